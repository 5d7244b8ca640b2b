package http1

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// servePieces starts a server and returns its address. The server writes the pieces one by one in response to the first
// read of each connection, and then keeps the connection open until the client closes it or sends more.
func servePieces(t *testing.T, pieces ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buf := make([]byte, 4096)
				if _, err := c.Read(buf); err != nil {
					return
				}
				for _, p := range pieces {
					if _, err := c.Write([]byte(p)); err != nil {
						return
					}
				}
				_, _ = c.Read(buf)
			}()
		}
	}()
	return l.Addr().String()
}

// call sends one request, and returns the value of X-Field followed by the body.
func call(t *testing.T, address string) (string, *Conn, error) {
	t.Helper()
	limits := Limits{Head: 512, Body: 64}
	c, err := Dial(context.Background(), address, time.Second, nil)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	var b bytes.Buffer
	request := Request{Method: "GET", Path: "/x", Fields: []Field{{"A", "b"}}}
	r, err := c.Do(request, time.Now().Add(300*time.Millisecond), limits, func(name, value []byte) error {
		if EqualName(name, "x-field") {
			b.Write(value)
		}
		return nil
	})
	if err == nil {
		err = c.Body(r, limits, time.Now().Add(300*time.Millisecond), 100*time.Millisecond, &b)
	}
	return b.String(), c, err
}

func TestResponses(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	const chunked = statusLine + "Transfer-Encoding: chunked\r\n\r\n"
	maxBody := strings.Repeat("a", 64)
	for name, tc := range map[string]struct {
		text  string
		body  string
		err   bool
		reuse bool
	}{
		"fixed length":       {statusLine + "Content-Length: 3\r\nX-Field: f\r\n\r\nabc", "fabc", false, true},
		"chunked":            {chunked + "2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", "abc", false, true},
		"no content":         {"HTTP/1.1 204 No Content\r\n\r\n", "", false, true},
		"interim response":   {"HTTP/1.1 103 Early\r\n\r\n" + statusLine + "Content-Length: 1\r\n\r\na", "a", false, true},
		"surplus bytes":      {statusLine + "Content-Length: 1\r\n\r\nab", "a", false, false},
		"connection close":   {statusLine + "Connection: close\r\nContent-Length: 1\r\n\r\na", "a", false, false},
		"version 1.0":        {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", "a", false, false},
		"truncated body":     {statusLine + "Content-Length: 5\r\n\r\nab", "ab", true, false},
		"truncated chunk":    {chunked + "5\r\nab", "ab", true, false},
		"missing length":     {statusLine + "\r\nabc", "", true, false},
		"repeated length":    {statusLine + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "", true, false},
		"length and chunked": {statusLine + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na", "", true, false},
		"body above limit":   {statusLine + "Content-Length: 65\r\n\r\n" + strings.Repeat("a", 65), "", true, false},
		"chunks above limit": {chunked + "40\r\n" + maxBody + "\r\n1\r\na\r\n0\r\n\r\n", maxBody, true, false},
		"head above limit":   {statusLine + strings.Repeat("A: b\r\n", 200) + "\r\n", "", true, false},
		"bare line feed":     {"HTTP/1.1 200 OK\nContent-Length: 1\r\n\r\na", "", true, false},
		"not HTTP":           {"hello there, this is no HTTP\r\n\r\n", "", true, false},
		"protocol switch":    {"HTTP/1.1 101 Switching\r\n\r\n", "", true, false},
		"invalid chunk size": {chunked + "zz\r\n", "", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			address := servePieces(t, tc.text)
			body, c, err := call(t, address)
			assert.Equal(t, tc.err, err != nil, "%v", err)
			assert.Equal(t, tc.body, body)
			if err == nil {
				assert.Equal(t, tc.reuse, c.Reusable())
			}
			// The same response, sent one byte per write.
			split, _, err := call(t, servePieces(t, strings.Split(tc.text, "")...))
			assert.Equal(t, tc.err, err != nil, "%v", err)
			if !tc.err {
				assert.Equal(t, tc.body, split)
			}
		})
	}
}

func TestContextCancellationAbortsCall(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c, err := Dial(ctx, servePieces(t), time.Second, nil)
	require.NoError(t, err)
	began := time.Now()
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = c.Do(Request{Method: "GET", Path: "/"}, began.Add(10*time.Second), Limits{Head: 100}, nil)
	require.Error(t, err)
	assert.Less(t, time.Since(began), 5*time.Second)
}

// A body that is not read yet must stay in the kernel's buffers: a peer that sends without end must not fill the memory
// of this process.
func TestUnreadBodyTakesNoMemory(t *testing.T) {
	const maxKernelBuffers = 32 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4<<10))
		written, _ := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n"))
		sum := int64(written)
		_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		for block := make([]byte, 256<<10); err == nil && sum < 1<<30; sum += int64(written) {
			written, err = c.Write(block)
		}
		accepted <- sum
	}()
	c, err := Dial(context.Background(), l.Addr().String(), time.Second, nil)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	_, err = c.Do(Request{Method: "GET", Path: "/"}, time.Now().Add(10*time.Second), Limits{Head: 512},
		func(_, _ []byte) error { return nil })
	require.NoError(t, err)
	sum := <-accepted
	t.Logf("%d KB were accepted", sum>>10)
	assert.Less(t, sum, int64(maxKernelBuffers))
}
