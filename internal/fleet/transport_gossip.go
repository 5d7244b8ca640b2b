package fleet

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// gossipTransport is memberlist's own transport, with its traffic counted and blocked by a [Transport].
type gossipTransport struct {
	*memberlist.NetTransport
	transport *Transport
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once // memberlist shuts its transport down twice if it fails to start
}

func newGossipTransport(inner *memberlist.NetTransport, transport *Transport) *gossipTransport {
	t := &gossipTransport{
		NetTransport: inner,
		transport:    transport,
		packets:      make(chan *memberlist.Packet),
		streams:      make(chan net.Conn),
		closed:       make(chan struct{}),
	}
	go t.forwardPackets()
	go t.forwardStreams()
	return t
}

// WriteTo implements memberlist.Transport.
func (t *gossipTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *gossipTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	host, _, err := net.SplitHostPort(a.Addr)
	if err != nil {
		return time.Time{}, err
	}
	if t.transport.Blocked(host) {
		return time.Now(), nil // the datagram is dropped
	}
	at, err := t.NetTransport.WriteToAddress(b, a)
	if err == nil {
		t.meter().sent(len(b) + datagramHeaderBytes)
	}
	return at, err
}

// DialTimeout implements memberlist.Transport.
func (t *gossipTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.transport.dialWithin(addr, timeout, gossipTraffic)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *gossipTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.transport.dialWithin(a.Addr, timeout, gossipTraffic)
}

// PacketCh implements memberlist.Transport.
func (t *gossipTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *gossipTransport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport. It stops the inner transport while the forwarding goroutines still run:
// the inner listeners can stop only after each packet and connection that they have received is forwarded.
func (t *gossipTransport) Shutdown() error {
	err := t.NetTransport.Shutdown()
	t.closeOnce.Do(func() { close(t.closed) })
	return err
}

func (t *gossipTransport) meter() *meter { return &t.transport.meters[gossipTraffic] }

func (t *gossipTransport) forwardPackets() {
	for {
		select {
		case <-t.closed:
			return
		case packet := <-t.NetTransport.PacketCh():
			t.meter().received(len(packet.Buf) + datagramHeaderBytes)
			select {
			case t.packets <- packet:
			case <-t.closed:
				return
			}
		}
	}
}

func (t *gossipTransport) forwardStreams() {
	for {
		select {
		case <-t.closed:
			return
		case c := <-t.NetTransport.StreamCh():
			metered := t.transport.accepted(c, gossipTraffic)
			select {
			case t.streams <- metered:
			case <-t.closed:
				_ = metered.Close()
				return
			}
		}
	}
}
