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

// responseTimeout is how long the rest of a response may take once it has begun.
const responseTimeout = 150 * time.Millisecond

// connection is one HTTP/1.1 connection with one call at a time. Its methods are for one goroutine, but for close,
// which is for any.
type connection struct {
	raw           netpoll.Connection
	sockets       *sockets // gets the socket back
	closeOnce     sync.Once
	request       []byte // the call that is written; its memory is used again by the next call
	responseBytes int    // bytes of the current response, which are still in the buffer
	lastResponse  bool   // the connection ends with that response
	bodyLimit     int    // bytes of the body of a response; 0: maxBodyBytes
	queries       int    // queries and health checks that it has carried
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close()
		c.sockets.release()
	})
}

// abort closes the connection with a reset, so that nothing more is sent of a call that got no answer.
func (c *connection) abort() {
	if conn, ok := c.raw.(netpoll.Conn); ok && c.raw.IsActive() {
		_ = syscall.SetsockoptLinger(conn.Fd(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	c.close()
}

// reusable releases the current response, and reports whether the connection may carry a further call. A connection
// that has brought more than belonged to the response may not: the rest would be read as the next answer.
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
	return !c.lastResponse && c.raw.IsActive() && c.raw.Reader().Len() == 0
}

// hasSurplus reports whether the engine has sent more than belonged to the last response. reusable must have been
// called.
func (c *connection) hasSurplus() bool {
	return c.responseBytes == 0 && c.raw.IsActive() && c.raw.Reader().Len() > 0
}

// writeRequestLine begins a call.
func (c *connection) writeRequestLine(method, path, host string) {
	c.request = append(append(append(append(c.request[:0], method...), ' '), path...), " HTTP/1.1\r\n"...)
	c.writeHeader(headerHost, host)
}

// writeHeader adds a header to the call.
func (c *connection) writeHeader(name, value string) {
	c.request = append(append(append(append(c.request, name...), ": "...), value...), "\r\n"...)
}

// send sends the call with its body; nil: it has none.
func (c *connection) send(body []byte) error {
	if body != nil {
		c.writeHeader(headerContentLength, strconv.Itoa(len(body)))
	}
	c.request = append(append(c.request, "\r\n"...), body...)
	copycount.Add(copycount.Call, len(body))
	if _, err := c.raw.Writer().WriteBinary(c.request); err != nil {
		return err
	}
	return c.raw.Writer().Flush()
}

// receive reads one response before the deadline. Its slices are valid until reusable or close is called. The rest of
// a response that has begun has responseTimeout: an engine may stop in the middle of one and keep the connection
// open.
func (c *connection) receive(deadline time.Time) (response, error) {
	r := c.raw.Reader()
	for want := 1; ; want = r.Len() + 1 {
		left := time.Until(deadline)
		if left <= 0 {
			return response{}, netpoll.ErrReadTimeout
		}
		_ = c.raw.SetReadTimeout(left)
		if _, err := r.Peek(want); err != nil {
			return response{}, err
		}
		buf, err := r.Peek(r.Len())
		if err != nil {
			return response{}, err
		}
		parsed, n, err := parseResponse(buf, cmp.Or(c.bodyLimit, maxBodyBytes))
		if !errors.Is(err, errIncomplete) {
			c.responseBytes, c.lastResponse = n, parsed.closes
			return parsed, err
		}
		if end := time.Now().Add(responseTimeout); want == 1 && end.Before(deadline) {
			deadline = end
		}
	}
}
