package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"
)

// Protocols are those that a relay carries.
type Protocols int

// The sets of protocols.
const (
	TCPOnly Protocols = iota
	TCPAndUDP
)

const (
	dialTimeout      = 2 * time.Second
	streamBuffer     = 32 << 10
	maxDatagram      = 64 << 10
	portAttempts     = 20 // a port that is free for TCP may be taken for UDP
	anyLoopbackPort  = "127.0.0.1:0"
	streamDirections = 2
)

// relay carries what is sent to an address of its own to another.
type relay struct {
	addr     string
	target   string
	forward  *Link // of what is sent to the target
	backward *Link // of the answers on TCP
	tcp      net.Listener
	udp      net.PacketConn // nil: TCP only
	closed   chan struct{}
	traffic  *traffic
}

// newRelay starts a relay; close ends it.
func newRelay(target string, forward, backward *Link, protocols Protocols, sum *traffic) (*relay, error) {
	for range portAttempts {
		l, err := net.Listen("tcp", anyLoopbackPort)
		if err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
		r := &relay{
			addr:     l.Addr().String(),
			target:   target,
			forward:  forward,
			backward: backward,
			tcp:      l,
			closed:   make(chan struct{}),
			traffic:  sum,
		}
		if protocols == TCPAndUDP {
			if r.udp, err = net.ListenPacket("udp", r.addr); err != nil {
				l.Close()
				continue
			}
			go r.forwardDatagrams()
		}
		go r.serve()
		return r, nil
	}
	return nil, errors.New("cluster: no port is free for TCP and UDP")
}

func (r *relay) close() {
	close(r.closed)
	r.tcp.Close()
	if r.udp != nil {
		_ = r.udp.Close()
	}
}

func (r *relay) serve() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.forwardConnection(c)
	}
}

// forwardConnection joins a connection to one of the target's. While the way there is cut it is open and silent, as a
// connection into a cut is.
func (r *relay) forwardConnection(c net.Conn) {
	defer c.Close()
	r.forward.add(c)
	defer r.forward.remove(c)
	if !r.forward.await(r.closed) {
		return
	}
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		resetOnClose(c) // refused there, so reset here
		return
	}
	defer target.Close()
	ended := make(chan struct{}, streamDirections)
	go func() { r.copy(target, c, r.forward); ended <- struct{}{} }()
	go func() { r.copy(c, target, r.backward); ended <- struct{}{} }()
	select {
	case <-ended:
	case <-r.closed:
	}
}

func (r *relay) copy(to, from net.Conn, l *Link) {
	buffer := make([]byte, streamBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !l.await(r.closed) {
				return
			}
			r.traffic.add(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// forwardDatagrams carries what comes one way: memberlist sends its answers to addresses that it knows, not to where a
// datagram came from.
func (r *relay) forwardDatagrams() {
	target, err := net.Dial("udp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := r.udp.ReadFrom(buffer)
		if err != nil {
			return
		}
		fault, draw := r.forward.drawDatagram()
		if fault.Cut || draw < fault.Drop {
			continue
		}
		r.forwardDatagram(target, buffer[:n], fault)
		if draw > 1-fault.Duplicate {
			r.forwardDatagram(target, buffer[:n], fault)
		}
	}
}

func (r *relay) forwardDatagram(target net.Conn, datagram []byte, fault LinkFault) {
	r.traffic.add(len(datagram))
	if fault.Delay > 0 {
		delayed := bytes.Clone(datagram)
		time.AfterFunc(fault.Delay, func() { _, _ = target.Write(delayed) })
		return
	}
	_, _ = target.Write(datagram)
}
