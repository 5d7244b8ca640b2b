package fleet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// meteredListener returns accepted connections whose traffic a transport counts and blocks.
type meteredListener struct {
	net.Listener
	transport *Transport
	kind      trafficKind
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.transport.accepted(c, l.kind), nil
}

// meteredConn is a connection whose traffic a transport counts. It sends nothing while its peer is blocked.
type meteredConn struct {
	net.Conn
	transport            *Transport
	meter                *meter
	peer                 string // host of the other end
	acceptedWhileBlocked atomic.Bool
	closed               chan struct{}
	closeOnce            sync.Once

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
}

// wrap returns an open connection with its traffic counted, and counts the bytes of its opening and closing.
func (t *Transport) wrap(c net.Conn, kind trafficKind) *meteredConn {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	metered := &meteredConn{Conn: c, transport: t, meter: &t.meters[kind], peer: host, closed: make(chan struct{})}
	metered.meter.sentBytes.Add(connectionBytes / 2)
	metered.meter.receivedBytes.Add(connectionBytes / 2)
	return metered
}

// accepted wraps a connection that the peer has dialled. On a real network, a connection from a blocked peer would not
// open, since the answer to its first segment is lost. Therefore the connection's reads wait until the peer is
// unblocked.
func (t *Transport) accepted(c net.Conn, kind trafficKind) *meteredConn {
	metered := t.wrap(c, kind)
	metered.acceptedWhileBlocked.Store(t.Blocked(metered.peer))
	return metered
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	if c.acceptedWhileBlocked.Load() {
		if err := c.transport.awaitUnblocked(c.peer, c.closed, c.waitDeadline(&c.readDeadline)); err != nil {
			return 0, err
		}
		c.acceptedWhileBlocked.Store(false)
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.received(n + streamHeaders(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	if c.transport.Blocked(c.peer) {
		if err := c.transport.awaitUnblocked(c.peer, c.closed, c.waitDeadline(&c.writeDeadline)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.meter.sent(n + streamHeaders(n))
	}
	return n, err
}

// waitDeadline returns the time until which a blocked read or write waits: the given deadline, or maxBlockedWait from
// now if that is earlier or the deadline is zero.
func (c *meteredConn) waitDeadline(deadline *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := time.Now().Add(maxBlockedWait)
	if deadline.IsZero() || deadline.After(latest) {
		return latest
	}
	return *deadline
}

// SetDeadline implements net.Conn.
func (c *meteredConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline, c.writeDeadline = t, t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *meteredConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *meteredConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// streamHeaders estimates the header bytes of the segments that carry this many bytes of a stream.
func streamHeaders(bytes int) int {
	segments := (bytes + segmentPayloadBytes - 1) / segmentPayloadBytes
	return segments * segmentHeaderBytes
}
