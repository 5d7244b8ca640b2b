package fleet

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// wiredTransport is memberlist's own transport with all that goes through it counted and restricted by a wire.
type wiredTransport struct {
	*memberlist.NetTransport
	wire     *Transport
	packets  chan *memberlist.Packet
	streams  chan net.Conn
	finished chan struct{}
	finish   sync.Once // memberlist shuts its transport down twice where it fails to start
}

func newWiredTransport(inner *memberlist.NetTransport, wire *Transport) *wiredTransport {
	t := &wiredTransport{NetTransport: inner, wire: wire, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn),
		finished: make(chan struct{})}
	go t.forwardPackets()
	go t.forwardStreams()
	return t
}

func (t *wiredTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *wiredTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	host, _, err := net.SplitHostPort(a.Addr)
	if err != nil {
		return time.Time{}, err
	}
	if t.wire.Blocked(host) {
		return time.Now(), nil // lost on its way
	}
	at, err := t.NetTransport.WriteToAddress(b, a)
	if err == nil {
		t.meter().sent(len(b) + datagramHeader)
	}
	return at, err
}

func (t *wiredTransport) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return t.wire.dialWithin(addr, wait, gossipTraffic)
}

func (t *wiredTransport) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	return t.wire.dialWithin(a.Addr, wait, gossipTraffic)
}

func (t *wiredTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *wiredTransport) StreamCh() <-chan net.Conn           { return t.streams }

// Shutdown ends the listeners first: they hand over what they hold until they have ended.
func (t *wiredTransport) Shutdown() error {
	err := t.NetTransport.Shutdown()
	t.finish.Do(func() { close(t.finished) })
	return err
}

func (t *wiredTransport) meter() *meter { return &t.wire.meters[gossipTraffic] }

func (t *wiredTransport) forwardPackets() {
	for {
		select {
		case <-t.finished:
			return
		case packet := <-t.NetTransport.PacketCh():
			t.meter().received(len(packet.Buf) + datagramHeader)
			select {
			case t.packets <- packet:
			case <-t.finished:
				return
			}
		}
	}
}

func (t *wiredTransport) forwardStreams() {
	for {
		select {
		case <-t.finished:
			return
		case c := <-t.NetTransport.StreamCh():
			counted := t.wire.accepted(c, gossipTraffic)
			select {
			case t.streams <- counted:
			case <-t.finished:
				counted.Close()
				return
			}
		}
	}
}
