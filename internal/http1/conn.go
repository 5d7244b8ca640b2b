package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	readBufferBytes = 16 << 10
	// maxChunkLineBytes bounds the chunk-size line of a chunk, extensions included.
	maxChunkLineBytes = 64
)

// Conn is a client connection that carries one call at a time. Only Close may be called concurrently with other
// methods.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	host    string
	request []byte // the encoded request; the buffer is reused for the next request
	closing bool   // the connection closes after the current response

	bodyDeadline time.Time
	stallTimeout time.Duration // the longest wait for further bytes of the current body
}

// Limits are the maximum sizes of a response's head and body, in bytes.
type Limits struct{ Head, Body int }

// Secure performs the TLS handshake on a raw connection and returns the secured connection. TLS is injected as a
// function, so that programs without TLS do not link the TLS library.
type Secure func(ctx context.Context, raw net.Conn) (net.Conn, error)

// Dial connects to address (host:port), and secures the connection if secure is not nil. The timeout covers the connect
// and the handshake. When ctx ends, the connection is closed, during the handshake or later.
func Dial(ctx context.Context, address string, timeout time.Duration, secure Secure) (*Conn, error) {
	deadline := time.Now().Add(timeout)
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
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

// Close closes the connection and aborts the call in flight. Any goroutine may call Close.
func (c *Conn) Close() { _ = c.raw.Close() }

// Field is a header field of a request.
type Field struct{ Name, Value string }

// Request is a request without a body.
type Request struct {
	Method, Path string
	Fields       []Field // sent in this order
}

// Response is the head of a response.
type Response struct {
	StatusCode int
	framing    Framing
}

// FieldFunc handles a header field of a response. The slices are valid only until FieldFunc returns. Do fails with the
// error that FieldFunc returns.
type FieldFunc func(name, value []byte) error

// Do sends a request and reads the head of the response before the deadline. Do calls field for each header field of
// the final response that is not part of the framing. Interim responses (1xx) are skipped.
func (c *Conn) Do(request Request, deadline time.Time, limits Limits, field FieldFunc) (Response, error) {
	if err := c.raw.SetDeadline(deadline); err != nil {
		return Response{}, err
	}
	if err := c.write(request); err != nil {
		return Response{}, err
	}
	remaining := limits.Head
	for {
		r, err := c.readHead(&remaining, field)
		if err != nil || r.StatusCode >= statusOK {
			return r, err
		}
		if r.StatusCode == statusSwitchingProtocols { // requests never ask for a protocol upgrade
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

// readHead reads the head of one response, interim or final, of at most remaining bytes, and subtracts the head's size
// from remaining.
func (c *Conn) readHead(remaining *int, field FieldFunc) (Response, error) {
	var r Response
	line, err := c.readLine(remaining)
	if err != nil {
		return r, err
	}
	var http10 bool
	if r.StatusCode, http10, err = ParseStatusLine(line); err != nil {
		return r, err
	}
	r.framing = NewFraming(http10)
	for {
		if line, err = c.readLine(remaining); err != nil {
			return r, err
		}
		if len(line) == 0 {
			break
		}
		if err = r.parseField(line, field); err != nil {
			return r, err
		}
	}
	c.closing = r.framing.Closes()
	return r, r.framing.Check()
}

// parseField parses one header line. Of an interim response only the framing fields are read.
func (r *Response) parseField(line []byte, field FieldFunc) error {
	name, value, err := ParseField(line)
	if err != nil {
		return err
	}
	if isFraming, err := r.framing.ParseField(name, value); isFraming || err != nil {
		return err
	}
	if r.StatusCode < statusOK {
		return nil
	}
	return field(name, value)
}

// readLine reads one line, strips the CRLF and subtracts the line's size from remaining. The line is valid until the
// next read.
func (c *Conn) readLine(remaining *int) ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > *remaining {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	*remaining -= len(line)
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, ErrMalformed
	}
	return line[:len(line)-2], nil
}

// Body writes the body of a response to w as the body arrives. Body fails when the deadline has passed, or when no byte
// arrives within stallTimeout: a large body has time until the deadline, and a stalled peer is detected sooner.
func (c *Conn) Body(
	r Response, limits Limits, deadline time.Time, stallTimeout time.Duration, w io.Writer,
) error {
	c.bodyDeadline, c.stallTimeout = deadline, stallTimeout
	length, chunked, err := r.framing.Body(r.StatusCode, limits.Body)
	c.closing = c.closing || r.framing.Closes()
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
		remaining := len("\r\n")
		line, err := c.readLine(&remaining)
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return ErrMalformed // trailers are not supported
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
	remaining := maxChunkLineBytes
	line, err := c.readLine(&remaining)
	if err != nil {
		return 0, err
	}
	return ParseChunkSize(line, maxSize)
}

// copy writes n bytes of the body from the read buffer to w.
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

// awaitInput waits until the read buffer holds at least one byte. The wait ends at the body's deadline or after the
// stall timeout, whichever comes first.
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

// Reusable reports whether the connection may carry another call. Reusable must be called after the body has been read.
// A connection with surplus bytes after the response is not reusable: the next call would read those bytes as its
// response.
func (c *Conn) Reusable() bool { return !c.closing && c.reader.Buffered() == 0 }

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, for a connection that closes in the middle of a response.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
