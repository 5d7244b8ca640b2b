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

// raftStream carries the connections of the raft library. Each connection begins with a handshake: the dialling
// replica sends a line with the identity that the connection is meant for and the fleet's key, and the accepting
// replica replies with one byte. A connection that is meant for another identity, or has another key, is closed.
type raftStream struct {
	options  *Options
	identity string
	address  string
	listener net.Listener
	accepted chan net.Conn // connections that have passed the handshake
	closed   chan struct{}
	once     sync.Once // closes closed
}

const (
	handshakeReply    = "+"
	maxHandshakeBytes = 256
	acceptRetryPause  = 50 * time.Millisecond
	handshakeFormat   = "%s %s\n" // identity, key
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
		case <-time.After(acceptRetryPause): // the process may have run out of file descriptors
		}
	}
}

// handshake passes a connection that is meant for this identity to Accept, and closes any other.
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

// acceptsHandshake reads the handshake line, and replies and returns true if the line names this identity and the
// fleet's key. The dialling replica sends nothing more before the reply, so the reader buffers no byte after the line.
func (s *raftStream) acceptsHandshake(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(callTimeout))
	reader := bufio.NewReaderSize(io.LimitReader(c, maxHandshakeBytes), maxHandshakeBytes)
	line, err := reader.ReadString('\n')
	if err != nil || line != fmt.Sprintf(handshakeFormat, s.identity, s.options.Key) {
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

// Addr implements net.Listener. The address includes the identity, as in the log's configuration.
func (s *raftStream) Addr() net.Addr { return identityAddr(serverAddress(s.identity, s.address)) }

// serverAddress returns the address of a replica in the log's configuration: IDENTITY@HOST:PORT.
func serverAddress(identity, hostPort string) raft.ServerAddress {
	return raft.ServerAddress(identity + "@" + hostPort)
}

// identityAddr implements net.Addr for an address that serverAddress has returned.
type identityAddr string

// Network implements net.Addr.
func (identityAddr) Network() string { return "tcp" }

func (a identityAddr) String() string { return string(a) }

// Dial implements raft.StreamLayer. It opens a connection to an address of the form IDENTITY@HOST:PORT.
func (s *raftStream) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	identity, hostPort, ok := strings.Cut(string(to), "@")
	if !ok {
		return nil, fmt.Errorf("fleet: log address: found %q, must be IDENTITY@HOST:PORT", to)
	}
	c, err := s.options.dialTCP(hostPort, timeout, logTraffic)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	var answer [len(handshakeReply)]byte
	if _, err = fmt.Fprintf(c, handshakeFormat, identity, s.options.Key); err == nil {
		_, err = io.ReadFull(c, answer[:])
	}
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("fleet: %s did not accept the handshake for identity %s: %w", hostPort, identity, err)
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}
