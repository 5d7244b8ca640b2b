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

// stream carries the log's calls. Each connection begins with a line that names the identity that it is meant for, and the
// shared key; one that is meant for another is closed unread.
type stream struct {
	opt  *Options
	id   string
	addr string
	l    net.Listener
	good chan net.Conn
	over chan struct{}
	once sync.Once
}

func listen(o *Options, addr, id string) (*stream, error) {
	l, err := o.listenTCP(addr, logTraffic)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	s := &stream{opt: o, id: id, addr: addr, l: l, good: make(chan net.Conn), over: make(chan struct{})}
	go s.serve()
	return s, nil
}

func (s *stream) serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			select {
			case <-s.over:
				return
			case <-time.After(50 * time.Millisecond): // out of descriptors, most likely
				continue
			}
		}
		go s.greet(c)
	}
}

func (s *stream) greet(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(askWait))
	r := bufio.NewReaderSize(io.LimitReader(c, 256), 256)
	line, err := r.ReadString('\n')
	// The caller sends nothing more until it is answered, so the reader holds no byte of what follows.
	if want := s.id + " " + s.opt.Key + "\n"; err != nil || line != want {
		c.Close()
		return
	}
	if _, err := c.Write([]byte("+")); err != nil {
		c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	select {
	case s.good <- c:
	case <-s.over:
		c.Close()
	}
}

func (s *stream) Accept() (net.Conn, error) {
	select {
	case c := <-s.good:
		return c, nil
	case <-s.over:
		return nil, net.ErrClosed
	}
}

func (s *stream) Close() error {
	s.once.Do(func() { close(s.over) })
	return s.l.Close()
}

// Addr names the identity too: it is what the others know this keeper by.
func (s *stream) Addr() net.Addr { return named(address(s.id, s.addr)) }

type named string

func (named) Network() string  { return "tcp" }
func (n named) String() string { return string(n) }

// Dial opens a connection to an identity at an address.
func (s *stream) Dial(to raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	id, hostPort, ok := strings.Cut(string(to), "@")
	if !ok {
		return nil, fmt.Errorf("fleet: %q names no identity", to)
	}
	c, err := s.opt.dialTCP(hostPort, wait, logTraffic)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(wait))
	var yes [1]byte
	if _, err = fmt.Fprintf(c, "%s %s\n", id, s.opt.Key); err == nil {
		_, err = io.ReadFull(c, yes[:])
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("fleet: %s does not answer to %s: %w", hostPort, id, err)
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}
