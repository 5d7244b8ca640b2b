package cluster

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFault is what a link does to what goes over it. The zero value is a good link.
type LinkFault struct {
	Cut       bool          // nothing goes this way; what was sent waits
	Delay     time.Duration // added to each message
	Drop      float64       // share of datagrams that are lost
	Duplicate float64       // share of datagrams that are sent twice
}

// Link is one way from one process to another. Its methods are safe for concurrent use.
type Link struct {
	From, To string

	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{} // closed and replaced at each change of the fault
	rng     *rand.Rand
	conns   map[net.Conn]bool
}

// linkStream is the stream of random numbers that links draw from, of their seed.
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

// Set replaces the link's fault; the zero value ends it.
func (l *Link) Set(f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections that go over the link.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		resetOnClose(c)
		c.Close()
	}
}

// await waits until the link is not cut, and then its delay; false once closed is closed.
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

// resetOnClose lets a connection end with a reset.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Network is all links between processes. Its methods but Traffic are for one goroutine.
type Network struct {
	links   map[[2]string]*Link // by the names of both ends
	relays  []*relay
	seed    uint64
	traffic traffic
}

// traffic is what has gone over all links.
type traffic struct{ bytes, messages atomic.Int64 }

func (t *traffic) add(n int) {
	t.bytes.Add(int64(n))
	t.messages.Add(1)
}

// NewNetwork returns a network without links.
func NewNetwork(seed uint64) *Network { return &Network{links: map[[2]string]*Link{}, seed: seed} }

// Close ends all relays.
func (n *Network) Close() {
	for _, r := range n.relays {
		r.close()
	}
}

// Traffic is how many bytes have gone over all links so far, and in how many datagrams and pieces of streams. It may be
// called from any goroutine.
func (n *Network) Traffic() (bytes, messages int64) {
	return n.traffic.bytes.Load(), n.traffic.messages.Load()
}

// Link is the way from one process to another.
func (n *Network) Link(from, to string) *Link {
	ends := [2]string{from, to}
	if n.links[ends] == nil {
		n.links[ends] = newLink(from, to, n.seed+uint64(len(n.links)))
	}
	return n.links[ends]
}

// Route returns the address that a process dials for a target of another.
func (n *Network) Route(from, to, target string, protocols Protocols) (string, error) {
	r, err := newRelay(target, n.Link(from, to), n.Link(to, from), protocols, &n.traffic)
	if err != nil {
		return "", err
	}
	n.relays = append(n.relays, r)
	return r.addr, nil
}

// Each calls f for the links that are chosen by the names of their ends.
func (n *Network) Each(chosen func(from, to string) bool, f func(*Link)) {
	for ends, l := range n.links {
		if chosen(ends[0], ends[1]) {
			f(l)
		}
	}
}
