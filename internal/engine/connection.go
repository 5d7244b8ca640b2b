package engine

import (
	"cmp"
	"errors"
	"os"
	"strconv"
	"sync"
	"time"

	"beechcart/internal/copycount"
)

// connection is an HTTP/1.1 connection that carries one call at a time. Only close may be called concurrently with
// other methods.
type connection struct {
	stream        *stream
	sockets       *sockets // close releases the socket here
	closeOnce     sync.Once
	writeTimeout  time.Duration // of one call
	request       []byte        // the encoded call; the buffer is reused for the next call
	responseBytes int           // size of the current response, which is still in the read buffer
	closing       bool          // the connection closes after the current response
	bodyLimit     int           // maximum size of a response's body in bytes; 0: maxBodyBytes
	queries       int           // number of queries and health checks carried so far
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		c.stream.close()
		c.sockets.release()
	})
}

// abort closes the connection with a TCP reset, so that the kernel sends no more bytes of a call without a response.
func (c *connection) abort() {
	c.stream.resetOnClose()
	c.close()
}

// isPartlyUndelivered reports whether the kernel of the peer's host has not acknowledged all bytes of the latest call,
// which has ended with err: a reset keeps the rest from arriving. It must be called before the connection is closed.
// After an error other than a timeout, this host's kernel does not know that any more.
func (c *connection) isPartlyUndelivered(err error) bool {
	if !isTimeout(err) {
		return false
	}
	unacknowledged, err := c.stream.unacknowledged()
	return err == nil && unacknowledged > 0
}

// limitReceiveBuffer sets the size of the kernel's receive buffer, in which a peer may leave bytes that are never read.
func (c *connection) limitReceiveBuffer(bytes int) { _ = c.stream.tcp.SetReadBuffer(bytes) }

// allowBody sets the maximum size of a response's body, for which no memory needs to be reserved. It must be called
// before the first call.
func (c *connection) allowBody(bytes int) { c.bodyLimit, c.stream.memory = bytes, nil }

// reusable releases the current response, and reports whether the connection may carry another call. A connection with
// surplus bytes after the response is not reusable: the next call would read those bytes as its response.
func (c *connection) reusable() bool {
	if c.responseBytes > 0 {
		c.stream.discard(c.responseBytes)
		c.responseBytes = 0
	}
	if c.stream.isOpen() {
		c.stream.fillAvailable()
	}
	return !c.closing && c.stream.isOpen() && c.stream.inputSize() == 0
}

// hasSurplus reports whether the engine has sent more bytes than the last response on a connection that is not closed.
// The caller must have called reusable before.
func (c *connection) hasSurplus() bool {
	return c.responseBytes == 0 && !c.stream.isClosed() && c.stream.inputSize() > 0
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
// response has arrived or the connection is closed: a large one is not copied.
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
	return c.stream.write(c.request, body, c.writeTimeout)
}

// maxResponseBytes returns the size in bytes that a response does not exceed, interim responses included.
func (c *connection) maxResponseBytes() int {
	return 2*maxHeadBytes + cmp.Or(c.bodyLimit, maxBodyBytes)
}

// receive reads one response before the deadline. The slices of the response are valid until reusable or close is
// called. Once a response has begun, the rest of the response must arrive within partialResponseTimeout: the peer may
// stop in the middle of a response and keep the connection open.
func (c *connection) receive(deadline time.Time) (response, error) {
	return c.receiveTimed(&responseTimer{deadline: deadline})
}

// receiveTimed is receive with the time limits of timer.
func (c *connection) receiveTimed(timer *responseTimer) (response, error) {
	for parsed := 0; ; parsed = c.stream.inputSize() {
		if !time.Now().Before(timer.deadline) {
			return response{}, os.ErrDeadlineExceeded
		}
		if c.stream.inputSize() == parsed {
			if err := c.stream.fill(c.maxResponseBytes(), timer.deadline); err != nil {
				return response{}, err
			}
		}
		r, err := c.parse()
		if !errors.Is(err, errIncomplete) {
			return r, err
		}
		if c.stream.inputSize() >= c.maxResponseBytes() {
			return response{}, errTooLarge
		}
		timer.received(c.stream.inputSize())
	}
}

// parse parses the response at the start of the input.
func (c *connection) parse() (response, error) {
	input := c.stream.input()
	r, n, err := parseResponse(input, cmp.Or(c.bodyLimit, maxBodyBytes))
	if !errors.Is(err, errIncomplete) {
		c.responseBytes, c.closing = n, r.closes
		r.surplus = input[n:]
	}
	return r, err
}
