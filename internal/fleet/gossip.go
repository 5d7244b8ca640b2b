package fleet

import (
	"fmt"
	"log"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// Settings of the gossip library. A member that only one other member suspects stays suspected for the library's
// longest suspicion timeout, and counts as alive until that timeout ends. The low multiples keep the timeout short. A
// false suspicion only delays permits briefly.
const (
	gossipInterval           = 100 * time.Millisecond
	gossipProbeInterval      = 300 * time.Millisecond
	gossipProbeTimeout       = 150 * time.Millisecond
	gossipExchangeInterval   = 5 * time.Second // between exchanges of the full state
	gossipStreamTimeout      = time.Second
	gossipReclaimTime        = time.Second // before a dead member's name may be used at another address
	gossipSuspicionMultiple  = 3           // of the probe interval; sets the shortest suspicion timeout
	gossipMaxSuspicionFactor = 1           // longest suspicion timeout over the shortest
	gossipMaxAwareness       = 2           // largest factor by which an unhealthy member lengthens its own probes
	gossipLeaveTimeout       = 500 * time.Millisecond
)

// Intervals between attempts to join control replicas that are not alive.
const (
	firstRejoinInterval = 300 * time.Millisecond // of the attempts after the start
	rejoinInterval      = time.Second
	firstRejoinCount    = 10
)

// gossip detects which members are alive.
type gossip struct {
	options *Options
	members *memberlist.Memberlist
	events  *processEvents
	stop    chan struct{} // closed by close
}

// processMetadata is the metadata that memberlist gossips about this member: the incarnation of its process, in
// decimal.
type processMetadata struct{ incarnation uint64 }

// NodeMeta implements memberlist.Delegate.
func (p processMetadata) NodeMeta(int) []byte { return strconv.AppendUint(nil, p.incarnation, 10) }

// NotifyMsg implements memberlist.Delegate.
func (processMetadata) NotifyMsg([]byte) {}

// GetBroadcasts implements memberlist.Delegate.
func (processMetadata) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (processMetadata) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (processMetadata) MergeRemoteState([]byte, bool) {}

// overridingTransport is memberlist's own transport, but dials the addresses of Options.DialOverrides.
type overridingTransport struct {
	*memberlist.NetTransport
	options *Options
}

// WriteTo implements memberlist.Transport.
func (t *overridingTransport) WriteTo(b []byte, address string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.options.dialAddress(address))
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *overridingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = t.options.dialAddress(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

// DialTimeout implements memberlist.Transport.
func (t *overridingTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.options.dialAddress(address), timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *overridingTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	a.Addr = t.options.dialAddress(a.Addr)
	return t.NetTransport.DialAddressTimeout(a, timeout)
}

// openGossip starts gossip under the incarnation of this process. The caller must close the gossip.
func openGossip(o *Options, incarnation uint64) (*gossip, error) {
	host, portText, err := net.SplitHostPort(o.GossipAddress)
	if err != nil {
		return nil, fmt.Errorf("fleet: gossip: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("fleet: gossip: port: found %q, must be a number", portText)
	}
	logger := log.New(logWriter{o.Log, "memberlist"}, "", 0)
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host}, BindPort: port, Logger: logger,
	})
	if err != nil {
		return nil, fmt.Errorf("fleet: gossip: %w", err)
	}
	var transport memberlist.NodeAwareTransport = &overridingTransport{netTransport, o}
	if o.Transport != nil {
		transport = newGossipTransport(netTransport, o.Transport)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Delegate, c.SecretKey = o.Name, processMetadata{incarnation}, []byte(o.Key)
	c.Transport, c.Logger = transport, logger
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = host, port, host, port
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = gossipProbeInterval, gossipProbeTimeout, gossipSuspicionMultiple
	c.GossipInterval, c.PushPullInterval, c.TCPTimeout = gossipInterval, gossipExchangeInterval, gossipStreamTimeout
	c.DeadNodeReclaimTime = gossipReclaimTime
	c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = gossipMaxSuspicionFactor, gossipMaxAwareness
	events := &processEvents{incarnations: map[string]uint64{}}
	c.Events = events
	members, err := memberlist.Create(c)
	if err != nil {
		_ = transport.Shutdown()
		return nil, fmt.Errorf("fleet: gossip: %w", err)
	}
	g := &gossip{o, members, events, make(chan struct{})}
	go g.rejoin()
	return g, nil
}

// rejoin contacts the control replicas that are not alive, until close. Otherwise two halves of a fleet that have
// declared each other dead would stay partitioned.
func (g *gossip) rejoin() {
	for i := 0; ; i++ {
		alive := g.aliveProcesses()
		for _, replica := range g.options.ControlReplicas {
			if _, ok := alive[replica.Name]; !ok && replica.Name != g.options.Name {
				_, _ = g.members.Join([]string{replica.GossipAddress}) // retried after the interval
			}
		}
		interval := firstRejoinInterval
		if i > firstRejoinCount {
			interval = rejoinInterval
		}
		select {
		case <-g.stop:
			return
		case <-time.After(interval):
		}
	}
}

// aliveProcesses returns the incarnation of each member that is alive or that gossip suspects: the library's events do
// not distinguish the two.
func (g *gossip) aliveProcesses() map[string]uint64 { return g.events.alive() }

func (g *gossip) close() {
	close(g.stop)
	_ = g.members.Leave(gossipLeaveTimeout)
	_ = g.members.Shutdown()
}
