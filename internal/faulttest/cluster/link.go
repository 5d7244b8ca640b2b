package cluster

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFault describes how a link disturbs its traffic. The zero value is an undisturbed link.
type LinkFault struct {
	Cut       bool          // streams wait until the cut ends; datagrams are lost
	Delay     time.Duration // added to each datagram and each piece of a stream
	Drop      float64       // share of datagrams that are lost
	Duplicate float64       // share of datagrams that are sent twice
}

// Link is one direction of the traffic between two processes. Its methods are safe for concurrent use.
type Link struct {
	From, To string

	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{} // closed and replaced by each change of the fault
	rng     *rand.Rand
	conns   map[net.Conn]bool // accepted by relays
}

// linkStream selects the stream of the pseudo-random generator that links use with their seed.
const linkStream = 0x6c696e6b

func newLink(from, to string, seed uint64) *Link {
	return &Link{
		From:    from,
		To:      to,
		changed: make(chan struct{}),
		rng:     rand.New(rand.NewPCG(seed, linkStream)),
		conns:   map[net.Conn]bool{},
	}
}

// Set replaces the fault of the link; the zero value ends the fault.
func (l *Link) Set(f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections that were dialled over the link.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		resetOnClose(c)
		c.Close()
	}
}

// await waits while the link is cut, and then for the link's delay. It returns false if closed is closed during a cut.
func (l *Link) await(closed <-chan struct{}) bool {
	for {
		l.mu.Lock()
		fault, changed := l.fault, l.changed
		l.mu.Unlock()
		if !fault.Cut {
			if fault.Delay > 0 {
				time.Sleep(fault.Delay)
			}
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
}

// drawDatagram returns the fault in force and a random number for one datagram.
func (l *Link) drawDatagram() (LinkFault, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.rng.Float64()
}

func (l *Link) add(c net.Conn) {
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
}

func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// resetOnClose makes Close reset a TCP connection.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Network is the set of links between processes. Its methods, except for Traffic, must be called from one goroutine.
type Network struct {
	links   map[[2]string]*Link // by the names of the processes at the ends: from, to
	relays  []*relay
	seed    uint64
	traffic traffic
}

// traffic counts the bytes and messages that have passed all links.
type traffic struct{ bytes, messages atomic.Int64 }

func (t *traffic) add(n int) {
	t.bytes.Add(int64(n))
	t.messages.Add(1)
}

// NewNetwork returns a network without links.
func NewNetwork(seed uint64) *Network { return &Network{links: map[[2]string]*Link{}, seed: seed} }

// Close stops all relays.
func (n *Network) Close() {
	for _, r := range n.relays {
		r.close()
	}
}

// Traffic returns how many bytes have passed all links so far, and in how many messages: datagrams and pieces of
// streams. It may be called from any goroutine.
func (n *Network) Traffic() (bytes, messages int64) {
	return n.traffic.bytes.Load(), n.traffic.messages.Load()
}

// Link returns the link from one process to another, and creates the link on first use.
func (n *Network) Link(from, to string) *Link {
	ends := [2]string{from, to}
	if n.links[ends] == nil {
		n.links[ends] = newLink(from, to, n.seed+uint64(len(n.links)))
	}
	return n.links[ends]
}

// Route starts a relay from one process to an address of another, the target, and returns the address that the first
// process dials instead of the target.
func (n *Network) Route(from, to, target string, protocols Protocols) (string, error) {
	r, err := newRelay(target, n.Link(from, to), n.Link(to, from), protocols, &n.traffic)
	if err != nil {
		return "", err
	}
	n.relays = append(n.relays, r)
	return r.addr, nil
}

// Each calls f for the links that are selected by the names of the processes at their ends.
func (n *Network) Each(selected func(from, to string) bool, f func(*Link)) {
	for ends, l := range n.links {
		if selected(ends[0], ends[1]) {
			f(l)
		}
	}
}
