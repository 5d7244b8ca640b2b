package engine

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"beechcart/internal/copycount"
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
	out   []byte // the call being written; used again once it has been answered
	took  int    // bytes of the response in hand, which are still in the buffer
	last  bool   // that response ends the connection
	most  int    // bytes of the body of a response; 0: maxBody

	queries int // that it has carried
}

// mostDials bounds the opening of one connection where each try is reset.
const mostDials = 4

// dial opens a connection, each try within the time-out. One that is reset while it comes up says nothing of
// the process behind it, and carried nothing: it is tried again at once. Nor does it say anything of that process that our own has
// no descriptor left. The end of ctx ends it.
func (s *sockets) dial(ctx context.Context, addr string, timeout time.Duration, urgent bool) (*conn, error) {
	if !s.take(urgent) {
		return nil, errNoSocket
	}
	for dials := 1; ; dials++ {
		c, err := connect(ctx, addr, timeout)
		if err == nil {
			_ = c.SetWriteTimeout(time.Second)
			return &conn{c: c, socks: s}, nil
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			err, dials = errNoSocket, mostDials
		}
		if isTimeout(err) || isRefused(err) || ctx.Err() != nil || dials == mostDials {
			s.give()
			return nil, err
		}
	}
}

// connect opens a connection. Engines' addresses are numbers: they are not looked up, which would cost more than the
// connection itself.
func connect(ctx context.Context, addr string, timeout time.Duration) (netpoll.Connection, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return netpoll.DialConnection("tcp", addr, timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := netpoll.DialTCP(ctx, "tcp", nil, &netpoll.TCPAddr{TCPAddr: net.TCPAddr{IP: a.Addr().AsSlice(), Port: int(a.Port()), Zone: a.Addr().Zone()}})
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.c.Close()
		c.socks.give()
	})
}

// abort closes the connection with a reset, so that nothing of a call that got no answer goes out any more.
func (c *conn) abort() {
	if fd, ok := c.c.(netpoll.Conn); ok && c.c.IsActive() {
		_ = syscall.SetsockoptLinger(fd.Fd(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	c.close()
}

// fresh gives the response in hand back, and tells whether the connection may carry a further call. Guards
// against answers that bring more than belongs to them: what is left over would be read as the next answer.
func (c *conn) fresh() bool {
	if c.took > 0 {
		err := c.c.Reader().Skip(c.took)
		if err == nil {
			err = c.c.Reader().Release()
		}
		if c.took = 0; err != nil {
			return false
		}
	}
	return !c.last && c.c.IsActive() && c.c.Reader().Len() == 0
}

// surplus tells that more has come than belonged to the last answer; fresh must have been called.
func (c *conn) surplus() bool { return c.took == 0 && c.c.IsActive() && c.c.Reader().Len() > 0 }

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
	copycount.Add(copycount.Call, len(body))
	if _, err := c.c.Writer().WriteBinary(c.out); err != nil {
		return err
	}
	return c.c.Writer().Flush()
}

// restWait is how long the rest of a response may take once it has begun.
const restWait = 150 * time.Millisecond

// receive reads one response before the deadline. Its slices hold until fresh or close is called. Guards against
// answers that stop short while their connection stays open: the rest has less time.
func (c *conn) receive(deadline time.Time) (response, error) {
	r := c.c.Reader()
	for want := 1; ; want = r.Len() + 1 {
		left := time.Until(deadline)
		if left <= 0 {
			return response{}, netpoll.ErrReadTimeout
		}
		_ = c.c.SetReadTimeout(left)
		if _, err := r.Peek(want); err != nil {
			return response{}, err
		}
		buf, err := r.Peek(r.Len())
		if err != nil {
			return response{}, err
		}
		resp, n, err := parseUpTo(buf, cmp.Or(c.most, maxBody))
		if !errors.Is(err, errShort) {
			c.took, c.last = n, resp.close
			return resp, err
		}
		if rest := time.Now().Add(restWait); want == 1 && rest.Before(deadline) {
			deadline = rest
		}
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// isRefused tells an error that proves that no process listens.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isSpoilt tells an answer that came, and can't be used.
func isSpoilt(err error) bool { return errors.Is(err, errBad) || errors.Is(err, errLarge) }
