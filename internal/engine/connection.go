package engine

import (
	"cmp"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"beechcart/internal/copycount"
)

// connection is an HTTP/1.1 connection that carries one call at a time. Only close may be called concurrently with
// other methods.
type connection struct {
	raw           netpoll.Connection
	sockets       *sockets // close releases the socket here
	closeOnce     sync.Once
	request       []byte // the encoded call; the buffer is reused for the next call
	responseBytes int    // size of the current response, which is still in the read buffer
	closing       bool   // the connection closes after the current response
	bodyLimit     int    // maximum size of a response's body in bytes; 0: maxBodyBytes
	queries       int    // number of queries and health checks carried so far
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close()
		c.sockets.release()
	})
}

// abort closes the connection with a TCP reset, so that the kernel sends no more bytes of a call without a response.
func (c *connection) abort() {
	if conn, ok := c.raw.(netpoll.Conn); ok && c.raw.IsActive() {
		_ = syscall.SetsockoptLinger(conn.Fd(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	c.close()
}

// limitReceiveBuffer sets the size of the kernel's receive buffer. netpoll reads all input into memory, even while the
// goroutine that checks the size of the input waits for the processor, and its poller gives way only when it finds no
// input. The poller empties a small buffer faster than the peer fills it.
func (c *connection) limitReceiveBuffer(bytes int) {
	if conn, ok := c.raw.(netpoll.Conn); ok {
		_ = syscall.SetsockoptInt(conn.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	}
}

// reusable releases the current response, and reports whether the connection may carry another call. A connection with
// surplus bytes after the response is not reusable: the next call would read those bytes as its response.
func (c *connection) reusable() bool {
	if c.responseBytes > 0 {
		err := c.raw.Reader().Skip(c.responseBytes)
		if err == nil {
			err = c.raw.Reader().Release()
		}
		if c.responseBytes = 0; err != nil {
			return false
		}
	}
	return !c.closing && c.raw.IsActive() && c.raw.Reader().Len() == 0
}

// hasSurplus reports whether the engine has sent more bytes than the last response. The caller must have called
// reusable before.
func (c *connection) hasSurplus() bool {
	return c.responseBytes == 0 && c.raw.IsActive() && c.raw.Reader().Len() > 0
}

// writeRequestLine starts a new call with the request line and the Host header.
func (c *connection) writeRequestLine(method, path, host string) {
	c.request = append(append(append(append(c.request[:0], method...), ' '), path...), " HTTP/1.1\r\n"...)
	c.writeHeader(headerHost, host)
}

// writeHeader appends a header to the call.
func (c *connection) writeHeader(name, value string) {
	c.request = append(append(append(append(c.request, name...), ": "...), value...), "\r\n"...)
}

// send sends the call with the given body. A nil body sends no Content-Length. The body must not change until a
// response has arrived or the connection is closed: netpoll does not copy a large one.
func (c *connection) send(body []byte) error {
	if body != nil {
		c.writeHeader(headerContentLength, strconv.Itoa(len(body)))
	}
	c.request = append(c.request, "\r\n"...)
	if len(body)+maxPostHeaderBytes <= singleWriteBytes {
		c.request = append(c.request, body...)
		copycount.Add(copycount.Call, len(body))
		body = nil
	}
	w := c.raw.Writer()
	if _, err := w.WriteBinary(c.request); err != nil {
		return err
	}
	if len(body) > 0 {
		if _, err := w.WriteBinary(body); err != nil {
			return err
		}
	}
	return w.Flush()
}

// maxResponseBytes returns the size in bytes that a response does not exceed, interim responses included.
func (c *connection) maxResponseBytes() int {
	return 2*maxHeadBytes + cmp.Or(c.bodyLimit, maxBodyBytes)
}

// receive reads one response before the deadline. The slices of the response are valid until reusable or close is
// called. Once a response has begun, the rest of the response must arrive within partialResponseTimeout: the peer may
// stop in the middle of a response and keep the connection open.
func (c *connection) receive(deadline time.Time) (response, error) {
	return c.receiveTimed(responseTimer{deadline: deadline})
}

// receiveTimed is receive with the time limits of timer.
func (c *connection) receiveTimed(timer responseTimer) (response, error) {
	r := c.raw.Reader()
	for want := 1; ; want = r.Len() + 1 {
		left := time.Until(timer.deadline)
		if left <= 0 {
			return response{}, netpoll.ErrReadTimeout
		}
		_ = c.raw.SetReadTimeout(left)
		if _, err := r.Peek(want); err != nil {
			return response{}, err
		}
		// Peek copies input that lies in several buffers, so more than a response may have is not looked at.
		buf, err := r.Peek(min(r.Len(), c.maxResponseBytes()))
		if err != nil {
			return response{}, err
		}
		parsed, n, err := parseResponse(buf, cmp.Or(c.bodyLimit, maxBodyBytes))
		if !errors.Is(err, errIncomplete) {
			c.responseBytes, c.closing = n, parsed.closes
			parsed.surplus = buf[n:]
			return parsed, err
		}
		if len(buf) == c.maxResponseBytes() {
			return response{}, errTooLarge
		}
		timer.received(len(buf))
	}
}
