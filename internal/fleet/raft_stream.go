package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// raftStream carries the calls of the raft library. Each connection begins with a line that names the identity that it
// is meant for and the fleet's key, and with one byte in answer. One that is meant for another identity is closed.
type raftStream struct {
	options  *Options
	identity string
	address  string
	listener net.Listener
	accepted chan net.Conn // after their handshake
	closed   chan struct{}
	once     sync.Once // closes closed
}

const (
	handshakeReply    = "+"
	maxHandshakeBytes = 256 // bytes
	acceptRetryPause  = 50 * time.Millisecond
	handshakeTemplate = "%s %s\n" // identity and key
)

// listenRaft listens at an address for connections that are meant for an identity. The caller must close the stream.
func listenRaft(o *Options, address, identity string) (*raftStream, error) {
	listener, err := o.listenTCP(address, logTraffic)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	s := &raftStream{
		options: o, identity: identity, address: address, listener: listener,
		accepted: make(chan net.Conn), closed: make(chan struct{}),
	}
	go s.serve()
	return s, nil
}

// serve accepts connections until the stream closes.
func (s *raftStream) serve() {
	for {
		c, err := s.listener.Accept()
		if err == nil {
			go s.handshake(c)
			continue
		}
		select {
		case <-s.closed:
			return
		case <-time.After(acceptRetryPause): // the process may have no descriptor left
		}
	}
}

// handshake hands over a connection that is meant for this identity, and closes any other.
func (s *raftStream) handshake(c net.Conn) {
	if !s.acceptsHandshake(c) {
		_ = c.Close()
		return
	}
	select {
	case s.accepted <- c:
	case <-s.closed:
		_ = c.Close()
	}
}

// acceptsHandshake reads the first line and answers it. The caller sends nothing more before the answer, so that the
// reader holds no byte of what follows.
func (s *raftStream) acceptsHandshake(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(callTimeout))
	reader := bufio.NewReaderSize(io.LimitReader(c, maxHandshakeBytes), maxHandshakeBytes)
	line, err := reader.ReadString('\n')
	if err != nil || line != fmt.Sprintf(handshakeTemplate, s.identity, s.options.Key) {
		return false
	}
	if _, err := c.Write([]byte(handshakeReply)); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	return true
}

// Accept implements net.Listener.
func (s *raftStream) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *raftStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.listener.Close()
}

// Addr implements net.Listener. It names the identity too, as the other replicas do.
func (s *raftStream) Addr() net.Addr { return identityAddr(serverAddress(s.identity, s.address)) }

// serverAddress is where a replica's log is reached, with the identity that calls must be meant for.
func serverAddress(identity, hostPort string) raft.ServerAddress {
	return raft.ServerAddress(identity + "@" + hostPort)
}

// identityAddr is a server address as a net.Addr.
type identityAddr string

// Network implements net.Addr.
func (identityAddr) Network() string { return "tcp" }

func (a identityAddr) String() string { return string(a) }

// Dial implements raft.StreamLayer: it opens a connection to an identity at an address.
func (s *raftStream) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	identity, hostPort, ok := strings.Cut(string(to), "@")
	if !ok {
		return nil, fmt.Errorf("fleet: %q names no identity", to)
	}
	c, err := s.options.dialTCP(hostPort, timeout, logTraffic)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	var answer [len(handshakeReply)]byte
	if _, err = fmt.Fprintf(c, handshakeTemplate, identity, s.options.Key); err == nil {
		_, err = io.ReadFull(c, answer[:])
	}
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("fleet: %s does not answer to %s: %w", hostPort, identity, err)
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}
