// Package cluster is many front end processes on one machine, with all that goes between them led through relays that cut,
// delay, drop, repeat and reset. It sees processes and sockets only; everything is on loopback addresses.
package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Trouble is what a link does to what goes over it. The zero value is a good link.
type Trouble struct {
	Cut       bool          // nothing goes this way; what was sent waits
	Delay     time.Duration // later by so much
	Drop, Dup float64       // shares of datagrams
}

// Link is one way from one process to another. Its methods are safe for concurrent use.
type Link struct {
	From, To string

	mu    sync.Mutex
	is    Trouble
	again chan struct{} // closed and replaced at each change
	rng   *rand.Rand
	conns map[net.Conn]bool
}

func newLink(from, to string, seed uint64) *Link {
	return &Link{From: from, To: to, again: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), conns: map[net.Conn]bool{}}
}

// Set puts the link in trouble, or, with the zero value, out of it.
func (l *Link) Set(t Trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.is = t
	close(l.again)
	l.again = make(chan struct{})
}

// Reset resets all connections that go over the link.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// pass waits until the link carries something, and then its delay; false once over is closed.
func (l *Link) pass(over <-chan struct{}) bool {
	for {
		l.mu.Lock()
		is, again := l.is, l.again
		l.mu.Unlock()
		if !is.Cut {
			if is.Delay > 0 {
				time.Sleep(is.Delay)
			}
			return true
		}
		select {
		case <-again:
		case <-over:
			return false
		}
	}
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

// relay carries TCP, and UDP where asked, from an address of its own to another.
type relay struct {
	addr   string
	target string
	there  *Link // of what is sent on
	back   *Link // of the answers on TCP
	tcp    net.Listener
	udp    net.PacketConn
	over   chan struct{}
	sum    *traffic
}

func newRelay(target string, there, back *Link, udp bool, sum *traffic) (*relay, error) {
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("rig: %w", err)
		}
		r := &relay{addr: l.Addr().String(), target: target, there: there, back: back, tcp: l, over: make(chan struct{}), sum: sum}
		if udp {
			if r.udp, err = net.ListenPacket("udp", r.addr); err != nil {
				l.Close()
				continue // the port is another's for UDP
			}
			go r.datagrams()
		}
		go r.serve()
		return r, nil
	}
	return nil, fmt.Errorf("rig: no port is free for TCP and UDP")
}

func (r *relay) close() {
	close(r.over)
	r.tcp.Close()
	if r.udp != nil {
		r.udp.Close()
	}
}

func (r *relay) serve() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

// carry joins a connection to one of the target's. While the way there is cut it stands open and says nothing, as a
// connection into a cut does.
func (r *relay) carry(c net.Conn) {
	defer c.Close()
	r.there.add(c)
	defer r.there.remove(c)
	if !r.there.pass(r.over) {
		return
	}
	d, err := net.DialTimeout("tcp", r.target, 2*time.Second)
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // refused there, so reset here
		}
		return
	}
	defer d.Close()
	ended := make(chan struct{}, 2)
	go func() { r.copy(d, c, r.there); ended <- struct{}{} }()
	go func() { r.copy(c, d, r.back); ended <- struct{}{} }()
	select {
	case <-ended:
	case <-r.over:
	}
}

func (r *relay) copy(to, from net.Conn, l *Link) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !l.pass(r.over) {
				return
			}
			r.sum.add(n)
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// datagrams carries what comes; memberlist sends its answers to addresses that it knows, not to where a datagram came from.
func (r *relay) datagrams() {
	out, err := net.Dial("udp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	b := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFrom(b)
		if err != nil {
			return
		}
		r.there.mu.Lock()
		is, draw := r.there.is, r.there.rng.Float64()
		r.there.mu.Unlock()
		if is.Cut || draw < is.Drop {
			continue
		}
		times := 1
		if draw > 1-is.Dup {
			times = 2
		}
		for range times {
			r.sum.add(n)
			if is.Delay > 0 {
				p := append([]byte(nil), b[:n]...)
				time.AfterFunc(is.Delay, func() { _, _ = out.Write(p) })
			} else {
				_, _ = out.Write(b[:n])
			}
		}
	}
}

// Net is all links between processes. Its methods but Traffic are for one goroutine.
type Net struct {
	links   map[[2]string]*Link
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

// Traffic is how many bytes have gone over all links so far, and in how many datagrams and pieces of streams. It may be called
// from any goroutine.
func (n *Net) Traffic() (bytes, messages int64) {
	return n.traffic.bytes.Load(), n.traffic.messages.Load()
}

// NewNet returns a net without links.
func NewNet(seed uint64) *Net { return &Net{links: map[[2]string]*Link{}, seed: seed} }

// Close ends all relays.
func (n *Net) Close() {
	for _, r := range n.relays {
		r.close()
	}
}

// Link is the way from one process to another.
func (n *Net) Link(from, to string) *Link {
	k := [2]string{from, to}
	if n.links[k] == nil {
		n.links[k] = newLink(from, to, n.seed+uint64(len(n.links)))
	}
	return n.links[k]
}

// Lead returns the address that a process dials for a target of another.
func (n *Net) Lead(from, to, target string, udp bool) (string, error) {
	r, err := newRelay(target, n.Link(from, to), n.Link(to, from), udp, &n.traffic)
	if err != nil {
		return "", err
	}
	n.relays = append(n.relays, r)
	return r.addr, nil
}

// Each calls f for the links that are chosen.
func (n *Net) Each(chosen func(from, to string) bool, f func(*Link)) {
	for k, l := range n.links {
		if chosen(k[0], k[1]) {
			f(l)
		}
	}
}
