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

// raftStream carries the log's calls. Each connection begins with a line that names the identity that it is meant for, and the
// shared key; one that is meant for another is closed unread.
type raftStream struct {
	options  *Options
	identity string
	addr     string
	listener net.Listener
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func listenRaft(o *Options, addr, id string) (*raftStream, error) {
	l, err := o.listenTCP(addr, logTraffic)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	s := &raftStream{options: o, identity: id, addr: addr, listener: l, accepted: make(chan net.Conn), closed: make(chan struct{})}
	go s.serve()
	return s, nil
}

func (s *raftStream) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			select {
			case <-s.closed:
				return
			case <-time.After(50 * time.Millisecond): // out of descriptors, most likely
				continue
			}
		}
		go s.handshake(c)
	}
}

func (s *raftStream) handshake(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(callTimeout))
	r := bufio.NewReaderSize(io.LimitReader(c, 256), 256)
	line, err := r.ReadString('\n')
	// The caller sends nothing more until it is answered, so the reader holds no byte of what follows.
	if want := s.identity + " " + s.options.Key + "\n"; err != nil || line != want {
		c.Close()
		return
	}
	if _, err := c.Write([]byte("+")); err != nil {
		c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	select {
	case s.accepted <- c:
	case <-s.closed:
		c.Close()
	}
}

func (s *raftStream) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *raftStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.listener.Close()
}

// Addr names the identity too: it is what the others know this keeper by.
func (s *raftStream) Addr() net.Addr { return serverAddr(serverAddress(s.identity, s.addr)) }

type serverAddr string

func (serverAddr) Network() string  { return "tcp" }
func (n serverAddr) String() string { return string(n) }

// Dial opens a connection to an identity at an address.
func (s *raftStream) Dial(to raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	id, hostPort, ok := strings.Cut(string(to), "@")
	if !ok {
		return nil, fmt.Errorf("fleet: %q names no identity", to)
	}
	c, err := s.options.dialTCP(hostPort, wait, logTraffic)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(wait))
	var yes [1]byte
	if _, err = fmt.Fprintf(c, "%s %s\n", id, s.options.Key); err == nil {
		_, err = io.ReadFull(c, yes[:])
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("fleet: %s does not answer to %s: %w", hostPort, id, err)
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}
