package fleet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// wireListener hands out connections that are counted and restricted by a wire.
type wireListener struct {
	net.Listener
	wire *Transport
	kind trafficKind
}

func (l *wireListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wire.accepted(c, l.kind), nil
}

// wireConn is a connection whose traffic is counted, and that sends nothing while its other end is blocked.
type wireConn struct {
	net.Conn
	wire      *Transport
	meter     *meter
	peer      string // host of the other end
	unopened  atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
}

// wrap counts a connection that was opened.
func (w *Transport) wrap(c net.Conn, kind trafficKind) *wireConn {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	counted := &wireConn{Conn: c, wire: w, meter: &w.meters[kind], peer: host, closed: make(chan struct{})}
	counted.meter.sentBytes.Add(connectionBytes / 2)
	counted.meter.receivedBytes.Add(connectionBytes / 2)
	return counted
}

// accepted counts a connection that the other end has opened. On a real network it would not open while the other end is blocked, which
// gets no answer to its first segment; so nothing is read from it before the cut ends.
func (w *Transport) accepted(c net.Conn, kind trafficKind) *wireConn {
	counted := w.wrap(c, kind)
	counted.unopened.Store(w.Blocked(counted.peer))
	return counted
}

func (c *wireConn) Read(b []byte) (int, error) {
	if c.unopened.Load() {
		if err := c.wire.awaitClear(c.peer, c.closed, c.limit(&c.readDeadline)); err != nil {
			return 0, err
		}
		c.unopened.Store(false)
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.received(n + streamHeaders(n))
	}
	return n, err
}

func (c *wireConn) Write(b []byte) (int, error) {
	if c.wire.Blocked(c.peer) {
		if err := c.wire.awaitClear(c.peer, c.closed, c.limit(&c.writeDeadline)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.meter.sent(n + streamHeaders(n))
	}
	return n, err
}

// limit is until when a blocked read or write waits.
func (c *wireConn) limit(deadline *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := time.Now().Add(maxBlockedWrite)
	if deadline.IsZero() || deadline.After(latest) {
		return latest
	}
	return *deadline
}

func (c *wireConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline, c.writeDeadline = t, t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

func (c *wireConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *wireConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

func (c *wireConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// streamHeaders estimates the bytes of headers that a number of bytes of a stream travel under.
func streamHeaders(bytes int) int {
	segments := (bytes + segmentPayload - 1) / segmentPayload
	return segments * segmentHeader
}
