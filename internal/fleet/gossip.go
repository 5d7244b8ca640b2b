package fleet

import (
	"fmt"
	"log"
	"maps"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// gossip is who is heard of.
type gossip struct {
	options *Options
	members *memberlist.Memberlist
	events  *processEvents
	stop    chan struct{}
}

// meta tells which process of a member is heard.
type meta struct{ incarnation uint64 }

func (m meta) NodeMeta(int) []byte           { return strconv.AppendUint(nil, m.incarnation, 10) }
func (meta) NotifyMsg([]byte)                {}
func (meta) GetBroadcasts(int, int) [][]byte { return nil }
func (meta) LocalState(bool) []byte          { return nil }
func (meta) MergeRemoteState([]byte, bool)   {}

// routedTransport is memberlist's own transport, with addresses dialled in place of others.
type routedTransport struct {
	*memberlist.NetTransport
	options *Options
}

func (t *routedTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.options.dialAddress(addr))
}

func (t *routedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = t.options.dialAddress(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

func (t *routedTransport) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.options.dialAddress(addr), wait)
}

func (t *routedTransport) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	a.Addr = t.options.dialAddress(a.Addr)
	return t.NetTransport.DialAddressTimeout(a, wait)
}

func openGossip(o *Options, incarnation uint64) (*gossip, error) {
	host, port, err := net.SplitHostPort(o.GossipAddress)
	if err != nil {
		return nil, fmt.Errorf("fleet: gossip: %w", err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("fleet: gossip: port %q is no number", port)
	}
	quiet := log.New(logWriter{o.Log, "memberlist"}, "", 0)
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: n, Logger: quiet})
	if err != nil {
		return nil, fmt.Errorf("fleet: gossip: %w", err)
	}
	var transport memberlist.NodeAwareTransport = &routedTransport{t, o}
	if o.Transport != nil {
		transport = newWiredTransport(t, o.Transport)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Delegate, c.Transport, c.Logger, c.SecretKey = o.Name, meta{incarnation}, transport, quiet, []byte(o.Key)
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = host, n, host, n
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = 300*time.Millisecond, 150*time.Millisecond, 3
	c.GossipInterval, c.PushPullInterval, c.TCPTimeout = 100*time.Millisecond, 5*time.Second, time.Second
	c.DeadNodeReclaimTime = time.Second // a member comes back at another port
	// A suspicion that nobody shares lasts the longest time, and one's own bad health stretches the probes: by default 5.4 s, and
	// eight times the interval. So long a member that is gone counted as in, and others were let out beside it. A doubt that is
	// wrong costs a permit for a moment and frees nothing.
	c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = 1, 2
	alive := &processEvents{incarnations: map[string]uint64{}}
	c.Events = alive
	list, err := memberlist.Create(c)
	if err != nil {
		_ = transport.Shutdown()
		return nil, fmt.Errorf("fleet: gossip: %w", err)
	}
	g := &gossip{o, list, alive, make(chan struct{})}
	go g.rejoin()
	return g, nil
}

// rejoin looks for keepers that are not heard of. Guards against two halves that took each other for dead and never asked
// again.
func (g *gossip) rejoin() {
	for i := 0; ; i++ {
		heard := g.aliveProcesses()
		for _, k := range g.options.ControlReplicas {
			if _, ok := heard[k.Name]; !ok && k.Name != g.options.Name {
				_, _ = g.members.Join([]string{k.GossipAddress})
			}
		}
		wait := 300 * time.Millisecond
		if i > 10 {
			wait = time.Second
		}
		select {
		case <-g.stop:
			return
		case <-time.After(wait):
		}
	}
}

// aliveProcesses tells the process of each member that is heard of, or suspected for less than a moment: the library tells no difference.
func (g *gossip) aliveProcesses() map[string]uint64 {
	g.events.mu.Lock()
	defer g.events.mu.Unlock()
	return maps.Clone(g.events.incarnations)
}

func (g *gossip) close() {
	close(g.stop)
	_ = g.members.Leave(500 * time.Millisecond)
	_ = g.members.Shutdown()
}
