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

const (
	readBufferBytes = 16 << 10
	// maxChunkLineBytes bounds the line with the size of a chunk.
	maxChunkLineBytes = 64
)

// Conn is a client connection with one call at a time. Its methods are for one goroutine, but for Close, which is for
// any.
type Conn struct {
	raw          net.Conn
	reader       *bufio.Reader
	host         string
	request      []byte // the request that is written; its memory is used again by the next one
	lastResponse bool   // the connection ends with the current response

	bodyDeadline time.Time
	stallTimeout time.Duration // between two pieces of the current body
}

// Limits are the limits of a response, in bytes.
type Limits struct{ Head, Body int }

// Secure makes a secure connection of a raw one. It is a function, so that programs without TLS do not link it.
type Secure func(ctx context.Context, raw net.Conn) (net.Conn, error)

// Dial connects to host:port, and secures the connection where secure is not nil. The end of ctx closes the
// connection, during the handshake and after it.
func Dial(ctx context.Context, address string, timeout time.Duration, secure Secure) (*Conn, error) {
	deadline := time.Now().Add(timeout)
	raw, err := netpoll.DialConnection("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = raw.Close() })
	c := &Conn{raw: raw, host: address}
	if secure != nil {
		if err = raw.SetDeadline(deadline); err == nil {
			c.raw, err = secure(ctx, raw)
		}
		if err != nil {
			_ = raw.Close()
			return nil, err
		}
	}
	c.reader = bufio.NewReaderSize(c.raw, readBufferBytes)
	return c, nil
}

// Close ends the connection and any call on it.
func (c *Conn) Close() { _ = c.raw.Close() }

// Field is a field of a request's head.
type Field struct{ Name, Value string }

// Request is a request without a body.
type Request struct {
	Method, Path string
	Fields       []Field // in this order
}

// Response is the head of a response.
type Response struct {
	StatusCode int
	framing    Framing
}

// FieldFunc takes a field of a response's head. The slices are valid during the call only. An error ends the call of
// Do.
type FieldFunc func(name, value []byte) error

// Do sends a request and reads the head of its response before the deadline. Each field that does not belong to the
// framing goes to field. Interim responses (1xx) are skipped.
func (c *Conn) Do(request Request, deadline time.Time, limits Limits, field FieldFunc) (Response, error) {
	if err := c.raw.SetDeadline(deadline); err != nil {
		return Response{}, err
	}
	if err := c.write(request); err != nil {
		return Response{}, err
	}
	left := limits.Head
	for {
		r, err := c.readHead(&left, field)
		if err != nil || r.StatusCode >= statusOK {
			return r, err
		}
		if r.StatusCode == statusSwitchingProtocols { // no request asks for another protocol
			return r, ErrMalformed
		}
	}
}

func (c *Conn) write(request Request) error {
	b := append(append(append(append(c.request[:0], request.Method...), ' '), request.Path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, c.host...), "\r\n"...)
	for _, f := range request.Fields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	c.request = append(b, "\r\n"...)
	_, err := c.raw.Write(c.request)
	return err
}

// readHead reads one head, interim or final, of at most left bytes, and reduces left by its size.
func (c *Conn) readHead(left *int, field FieldFunc) (Response, error) {
	var r Response
	line, err := c.readLine(left)
	if err != nil {
		return r, err
	}
	var http10 bool
	if r.StatusCode, http10, err = ParseStatusLine(line); err != nil {
		return r, err
	}
	r.framing = NewFraming(http10)
	for {
		if line, err = c.readLine(left); err != nil {
			return r, err
		}
		if len(line) == 0 {
			break
		}
		if err = r.parseField(line, field); err != nil {
			return r, err
		}
	}
	c.lastResponse = r.framing.Closes()
	return r, r.framing.Check()
}

// parseField reads one line of the head. The fields of interim responses are ignored, but for the framing.
func (r *Response) parseField(line []byte, field FieldFunc) error {
	name, value, err := ParseField(line)
	if err != nil {
		return err
	}
	if known, err := r.framing.ParseField(name, value); known || err != nil {
		return err
	}
	if r.StatusCode < statusOK {
		return nil
	}
	return field(name, value)
}

// readLine reads one line without its end. The line is valid until the next read.
func (c *Conn) readLine(left *int) ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > *left {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	*left -= len(line)
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, ErrMalformed
	}
	return line[:len(line)-2], nil
}

// Body writes the body of a response to w as it arrives. It may take until the deadline, if some of it arrives within
// each stallTimeout: a large body is not cut off, and silence in the middle of one is found out.
func (c *Conn) Body(
	r Response, limits Limits, deadline time.Time, stallTimeout time.Duration, w io.Writer,
) error {
	c.bodyDeadline, c.stallTimeout = deadline, stallTimeout
	length, chunked, err := r.framing.Body(r.StatusCode, limits.Body)
	c.lastResponse = c.lastResponse || r.framing.Closes()
	if err != nil {
		return err
	}
	if chunked {
		return c.copyChunks(limits.Body, w)
	}
	return c.copy(w, length)
}

func (c *Conn) copyChunks(maxBody int, w io.Writer) error {
	for {
		size, err := c.readChunkSize(maxBody)
		if err != nil {
			return err
		}
		maxBody -= size
		if err := c.copy(w, size); err != nil {
			return err
		}
		left := len("\r\n")
		line, err := c.readLine(&left)
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return ErrMalformed // trailers are not used here
		}
		if size == 0 {
			return nil
		}
	}
}

func (c *Conn) readChunkSize(maxSize int) (int, error) {
	if err := c.awaitInput(); err != nil {
		return 0, err
	}
	left := maxChunkLineBytes
	line, err := c.readLine(&left)
	if err != nil {
		return 0, err
	}
	return ParseChunkSize(line, maxSize)
}

// copy writes n bytes of the body to w, straight from the read buffer.
func (c *Conn) copy(w io.Writer, n int) error {
	for n > 0 {
		if err := c.awaitInput(); err != nil {
			return err
		}
		p, _ := c.reader.Peek(min(n, c.reader.Buffered()))
		if _, err := w.Write(p); err != nil {
			return err
		}
		n -= len(p)
		if _, err := c.reader.Discard(len(p)); err != nil {
			return err
		}
	}
	return nil
}

// awaitInput waits until a part of the body has arrived.
func (c *Conn) awaitInput() error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	until := time.Now().Add(c.stallTimeout)
	if c.bodyDeadline.Before(until) {
		until = c.bodyDeadline
	}
	if err := c.raw.SetReadDeadline(until); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	return unexpectedEOF(err)
}

// Reusable reports whether the connection may carry a further call, once the body has been read. A connection that
// has brought more than belonged to the response may not: the rest would be read as the next response.
func (c *Conn) Reusable() bool { return !c.lastResponse && c.reader.Buffered() == 0 }

// unexpectedEOF tells the end of a connection in the middle of a response from that of an idle connection.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
