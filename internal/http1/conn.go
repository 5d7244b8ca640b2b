package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
)

// Conn is one connection with one call at a time. Its methods are for one goroutine; Close is for any.
type Conn struct {
	c    net.Conn
	r    *bufio.Reader
	host string
	out  []byte
	last bool // the answer in hand ends the connection

	deadline time.Time // of the body in hand
	stall    time.Duration
}

// Limits bound an answer, in bytes.
type Limits struct{ Head, Body int }

// Secure turns a fresh connection into a secured one. It is a function, so that programs without TLS don't link it.
type Secure func(ctx context.Context, raw net.Conn) (net.Conn, error)

// Dial connects to host:port, and secures the connection where secure is not nil. The end of ctx closes the
// connection, during the handshake and after it.
func Dial(ctx context.Context, addr string, timeout time.Duration, secure Secure) (*Conn, error) {
	deadline := time.Now().Add(timeout)
	raw, err := netpoll.DialConnection("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = raw.Close() })
	c := &Conn{c: raw, host: addr}
	if secure != nil {
		if err = raw.SetDeadline(deadline); err == nil {
			c.c, err = secure(ctx, raw)
		}
		if err != nil {
			_ = raw.Close()
			return nil, err
		}
	}
	c.r = bufio.NewReaderSize(c.c, 16<<10)
	return c, nil
}

// Close ends the connection and any call on it.
func (c *Conn) Close() { _ = c.c.Close() }

// Request is one request without a body.
type Request struct {
	Method, Path string
	Fields       [][2]string // name and value, in order
}

// Response is the beginning of an answer.
type Response struct {
	StatusCode int
	length     int // -1: chunked or absent
	chunks     bool
}

// Do sends a call and reads the head of its answer before the deadline; field is called for each field, with
// slices that hold during the call only. Interim answers (1xx) are passed over.
func (c *Conn) Do(call Request, deadline time.Time, lim Limits, field func(name, value []byte) error) (Response, error) {
	if err := c.c.SetDeadline(deadline); err != nil {
		return Response{}, err
	}
	b := append(append(append(append(c.out[:0], call.Method...), ' '), call.Path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, c.host...), "\r\n"...)
	for _, f := range call.Fields {
		b = append(append(append(append(b, f[0]...), ": "...), f[1]...), "\r\n"...)
	}
	c.out = append(b, "\r\n"...)
	if _, err := c.c.Write(c.out); err != nil {
		return Response{}, err
	}
	left := lim.Head
	for {
		h, err := c.head(&left, field)
		if err != nil || h.StatusCode >= 200 {
			return h, err
		}
		if h.StatusCode == 101 { // nobody asked for another protocol
			return h, ErrMalformed
		}
	}
}

// head reads one head, interim or final. A field that comes twice and tells where the answer ends contradicts itself.
func (c *Conn) head(left *int, field func(name, value []byte) error) (Response, error) {
	h := Response{length: -1}
	line, err := c.line(left)
	if err != nil {
		return h, err
	}
	if h.StatusCode, c.last, err = ParseStatusLine(line); err != nil {
		return h, err
	}
	for {
		if line, err = c.line(left); err != nil {
			return h, err
		}
		if len(line) == 0 {
			break
		}
		name, value, err := ParseField(line)
		if err != nil {
			return h, err
		}
		switch {
		case EqualName(name, "Content-Length"):
			if h.length >= 0 {
				return h, ErrMalformed
			}
			if h.length, err = ParseDigits(value); err != nil {
				return h, err
			}
		case EqualName(name, "Transfer-Encoding"):
			if h.chunks || !EqualName(value, "chunked") {
				return h, ErrMalformed
			}
			h.chunks = true
		case EqualName(name, "Connection"):
			c.last = c.last || EqualName(value, "close")
		case h.StatusCode >= 200:
			if err := field(name, value); err != nil {
				return h, err
			}
		}
	}
	if h.chunks && h.length >= 0 {
		return h, ErrMalformed
	}
	return h, nil
}

// line reads one line without its end; it holds until the next read.
func (c *Conn) line(left *int) ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > *left {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, short(err)
	}
	*left -= len(line)
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, ErrMalformed
	}
	return line[:len(line)-2], nil
}

// Body writes the body of the answer in hand to w as it comes. It may take until the deadline, if some of it comes
// within each stall: guards against large answers that are cut off, and against silence in the middle of one.
func (c *Conn) Body(h Response, lim Limits, deadline time.Time, stall time.Duration, w io.Writer) error {
	c.deadline, c.stall = deadline, stall
	switch {
	case h.StatusCode == 204 || h.StatusCode == 304:
		return nil
	case h.chunks:
		return c.chunks(lim.Body, w)
	case h.length < 0 && h.StatusCode < 300:
		return ErrMalformed // a body up to the end of the connection might be cut short
	case h.length < 0:
		c.last = true
		return nil
	case h.length > lim.Body:
		return ErrTooLarge
	}
	return c.copy(w, h.length)
}

func (c *Conn) chunks(most int, w io.Writer) error {
	for {
		left := 64
		if err := c.more(); err != nil {
			return err
		}
		line, err := c.line(&left)
		if err != nil {
			return err
		}
		n, err := ParseChunkSize(line, most)
		if err != nil {
			return err
		}
		most -= n
		if n > 0 {
			if err := c.copy(w, n); err != nil {
				return err
			}
		}
		left = 2
		if line, err = c.line(&left); err != nil {
			return err
		}
		if len(line) > 0 {
			return ErrMalformed // trailers are not used here
		}
		if n == 0 {
			return nil
		}
	}
}

// copy hands n bytes on, straight from the buffer that they were read into.
func (c *Conn) copy(w io.Writer, n int) error {
	for n > 0 {
		if err := c.more(); err != nil {
			return err
		}
		p, _ := c.r.Peek(min(n, c.r.Buffered()))
		if _, err := w.Write(p); err != nil {
			return err
		}
		n -= len(p)
		if _, err := c.r.Discard(len(p)); err != nil {
			return err
		}
	}
	return nil
}

// more waits until something of the body is there.
func (c *Conn) more() error {
	if c.r.Buffered() > 0 {
		return nil
	}
	until := time.Now().Add(c.stall)
	if c.deadline.Before(until) {
		until = c.deadline
	}
	if err := c.c.SetReadDeadline(until); err != nil {
		return err
	}
	_, err := c.r.Peek(1)
	return short(err)
}

// Reusable tells whether the connection may carry a further call, once the body has been read. Guards against answers
// that bring more than belongs to them: what is left over would be read as the next answer.
func (c *Conn) Reusable() bool { return !c.last && c.r.Buffered() == 0 }

// short tells an end in the middle of an answer from the end of a connection that was idle.
func short(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
