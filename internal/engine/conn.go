package engine

import (
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

var errNoSocket = errors.New("engine: no socket is free")

// sockets bounds the connections of the server side. Probes, polls that were lost and the change log may use
// the reserve, attempts may not: a flood of queries must not blind the front end.
type sockets struct {
	mu            sync.Mutex
	used          int
	most, reserve int
}

func (s *sockets) take(urgent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.most
	if !urgent {
		most -= s.reserve
	}
	if s.used >= most {
		return false
	}
	s.used++
	return true
}

func (s *sockets) give() {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
}

// conn is one connection, with one call at a time.
type conn struct {
	c     netpoll.Connection
	socks *sockets
	once  sync.Once
	since time.Time // idle since then
	out   []byte    // the call being written; used again once it has been answered
}

// dial opens a connection; it does not outlive the time-out.
func (s *sockets) dial(addr string, timeout time.Duration, urgent bool) (*conn, error) {
	if !s.take(urgent) {
		return nil, errNoSocket
	}
	c, err := netpoll.DialConnection("tcp", addr, timeout)
	if err != nil {
		s.give()
		return nil, err
	}
	_ = c.SetWriteTimeout(time.Second)
	return &conn{c: c, socks: s}, nil
}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.c.Close()
		c.socks.give()
	})
}

// fresh tells whether the connection may carry a further call.
func (c *conn) fresh() bool { return c.c.IsActive() && c.c.Reader().Len() == 0 }

// header writes one field of the call in hand.
func (c *conn) header(name, value string) {
	c.out = append(append(append(append(c.out, name...), ": "...), value...), "\r\n"...)
}

// begin starts a call.
func (c *conn) begin(method, path, host string) {
	c.out = append(append(append(append(c.out[:0], method...), ' '), path...), " HTTP/1.1\r\n"...)
	c.header("Host", host)
}

// send writes the call in hand.
func (c *conn) send(body []byte) error {
	if body != nil {
		c.header("Content-Length", strconv.Itoa(len(body)))
	}
	c.out = append(append(c.out, "\r\n"...), body...)
	if _, err := c.c.Writer().WriteBinary(c.out); err != nil {
		return err
	}
	return c.c.Writer().Flush()
}

// receive reads one response before the deadline. Its slices hold until done is called.
func (c *conn) receive(deadline time.Time) (response, int, error) {
	r := c.c.Reader()
	for want := 1; ; want = r.Len() + 1 {
		left := time.Until(deadline)
		if left <= 0 {
			return response{}, 0, netpoll.ErrReadTimeout
		}
		_ = c.c.SetReadTimeout(left)
		if _, err := r.Peek(want); err != nil {
			return response{}, 0, err
		}
		buf, err := r.Peek(r.Len())
		if err != nil {
			return response{}, 0, err
		}
		resp, n, err := parse(buf)
		if !errors.Is(err, errShort) {
			return resp, n, err
		}
	}
}

// done releases a response that took n bytes.
func (c *conn) done(n int) error {
	if err := c.c.Reader().Skip(n); err != nil {
		return err
	}
	return c.c.Reader().Release()
}
