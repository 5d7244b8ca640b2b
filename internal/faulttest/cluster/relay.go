package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"
)

// Protocols is a set of protocols that a relay carries.
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

// relay listens on an address of its own, and forwards connections and datagrams to a target address.
type relay struct {
	addr     string
	target   string
	forward  *Link // carries datagrams and streams to the target
	backward *Link // carries streams from the target
	tcp      net.Listener
	udp      net.PacketConn // nil if the relay carries TCP only
	closed   chan struct{}
	traffic  *traffic
}

// newRelay starts a relay, which counts its traffic in counters. The caller must close the relay.
func newRelay(target string, forward, backward *Link, protocols Protocols, counters *traffic) (*relay, error) {
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
			traffic:  counters,
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
	return nil, errors.New("cluster: all ports that were tried for TCP are in use for UDP")
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

// forwardConnection dials the target and copies data both ways until one side ends. While the forward link is cut, the
// accepted connection stays open without data, like a connection across a network partition.
func (r *relay) forwardConnection(c net.Conn) {
	defer c.Close()
	r.forward.add(c)
	defer r.forward.remove(c)
	if !r.forward.await(r.closed) {
		return
	}
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		resetOnClose(c) // the target can't be reached: reset the accepted connection
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

// copy copies one direction of a connection over a link.
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

// forwardDatagrams forwards datagrams to the target, and none back: memberlist sends answers to the known address of a
// member, not to the source address of a datagram.
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
		if draw > 1-fault.Duplicate { // the lowest draws drop the datagram, the highest ones duplicate it
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
