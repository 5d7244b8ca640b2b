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

// servePieces answers the first call of each connection with the pieces, one write each, and keeps the connection open.
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

// call makes one call, and returns its X-Field and its body.
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
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	full := strings.Repeat("a", 64)
	for name, k := range map[string]struct {
		text  string
		body  string
		err   bool
		reuse bool
	}{
		"a length":           {ok + "Content-Length: 3\r\nX-Field: f\r\n\r\nabc", "fabc", false, true},
		"chunks":             {chunked + "2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", "abc", false, true},
		"no content":         {"HTTP/1.1 204 No Content\r\n\r\n", "", false, true},
		"interim answers":    {"HTTP/1.1 103 Early\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na", "a", false, true},
		"more than its own":  {ok + "Content-Length: 1\r\n\r\nab", "a", false, false},
		"its last":           {ok + "Connection: close\r\nContent-Length: 1\r\n\r\na", "a", false, false},
		"old":                {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", "a", false, false},
		"cut short":          {ok + "Content-Length: 5\r\n\r\nab", "ab", true, false},
		"a chunk cut short":  {chunked + "5\r\nab", "ab", true, false},
		"no length":          {ok + "\r\nabc", "", true, false},
		"two lengths":        {ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "", true, false},
		"length and chunks":  {ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na", "", true, false},
		"over the bound":     {ok + "Content-Length: 65\r\n\r\n" + strings.Repeat("a", 65), "", true, false},
		"chunks over it":     {chunked + "40\r\n" + full + "\r\n1\r\na\r\n0\r\n\r\n", full, true, false},
		"a large head":       {ok + strings.Repeat("A: b\r\n", 200) + "\r\n", "", true, false},
		"a bare line feed":   {"HTTP/1.1 200 OK\nContent-Length: 1\r\n\r\na", "", true, false},
		"noise":              {"hello there, this is no HTTP\r\n\r\n", "", true, false},
		"another protocol":   {"HTTP/1.1 101 Switching\r\n\r\n", "", true, false},
		"a chunk of no size": {chunked + "zz\r\n", "", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			whole := servePieces(t, k.text)
			body, c, err := call(t, whole)
			assert.Equal(t, k.err, err != nil, "%v", err)
			assert.Equal(t, k.body, body)
			if err == nil {
				assert.Equal(t, k.reuse, c.Reusable())
			}
			// The same response, byte by byte.
			split, _, err := call(t, servePieces(t, strings.Split(k.text, "")...))
			assert.Equal(t, k.err, err != nil, "%v", err)
			if !k.err {
				assert.Equal(t, k.body, split)
			}
		})
	}
}

func TestEndOfContextEndsACall(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c, err := Dial(ctx, servePieces(t), time.Second, nil)
	require.NoError(t, err)
	began := time.Now()
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = c.Do(Request{Method: "GET", Path: "/"}, began.Add(10*time.Second), Limits{Head: 100}, nil)
	require.Error(t, err)
	assert.Less(t, time.Since(began), 5*time.Second)
}
