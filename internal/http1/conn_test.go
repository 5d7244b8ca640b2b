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

// peer answers each connection with those pieces, and then holds it open, or closes it.
func peer(t *testing.T, hold bool, pieces ...string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				if _, err := c.Read(buf); err != nil {
					return
				}
				for _, p := range pieces {
					if _, err := c.Write([]byte(p)); err != nil {
						return
					}
				}
				if hold {
					_, _ = c.Read(buf)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func ask(t *testing.T, addr string) (Response, string, *Conn, error) {
	lim := Limits{Head: 512, Body: 64}
	c, err := Dial(context.Background(), addr, time.Second, nil)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	var b bytes.Buffer
	h, err := c.Do(Request{Method: "GET", Path: "/x", Fields: [][2]string{{"A", "b"}}}, time.Now().Add(300*time.Millisecond), lim,
		func(name, value []byte) error {
			if EqualName(name, "x-field") {
				b.Write(value)
			}
			return nil
		})
	if err == nil {
		err = c.Body(h, lim, time.Now().Add(300*time.Millisecond), 100*time.Millisecond, &b)
	}
	return h, b.String(), c, err
}

func TestAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, k := range map[string]struct {
		text  string
		body  string
		err   bool
		fresh bool
	}{
		"a length":           {ok + "Content-Length: 3\r\nX-Field: f\r\n\r\nabc", "fabc", false, true},
		"chunks":             {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", "abc", false, true},
		"no content":         {"HTTP/1.1 204 No Content\r\n\r\n", "", false, true},
		"interim answers":    {"HTTP/1.1 103 Early\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na", "a", false, true},
		"more than its own":  {ok + "Content-Length: 1\r\n\r\nab", "a", false, false},
		"its last":           {ok + "Connection: close\r\nContent-Length: 1\r\n\r\na", "a", false, false},
		"old":                {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", "a", false, false},
		"cut short":          {ok + "Content-Length: 5\r\n\r\nab", "ab", true, false},
		"a chunk cut short":  {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", "ab", true, false},
		"no length":          {ok + "\r\nabc", "", true, false},
		"two lengths":        {ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "", true, false},
		"length and chunks":  {ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na", "", true, false},
		"over the bound":     {ok + "Content-Length: 65\r\n\r\n" + strings.Repeat("a", 65), "", true, false},
		"chunks over it":     {ok + "Transfer-Encoding: chunked\r\n\r\n40\r\n" + strings.Repeat("a", 64) + "\r\n1\r\na\r\n0\r\n\r\n", strings.Repeat("a", 64), true, false},
		"a large head":       {ok + strings.Repeat("A: b\r\n", 200) + "\r\n", "", true, false},
		"a bare line feed":   {"HTTP/1.1 200 OK\nContent-Length: 1\r\n\r\na", "", true, false},
		"noise":              {"hello there, this is no HTTP\r\n\r\n", "", true, false},
		"another protocol":   {"HTTP/1.1 101 Switching\r\n\r\n", "", true, false},
		"a chunk of no size": {ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			whole := peer(t, true, k.text)
			_, body, c, err := ask(t, whole)
			assert.Equal(t, k.err, err != nil, "%v", err)
			assert.Equal(t, k.body, body)
			if err == nil {
				assert.Equal(t, k.fresh, c.Reusable())
			}
			// The same, byte by byte.
			_, split, _, err := ask(t, peer(t, true, strings.Split(k.text, "")...))
			assert.Equal(t, k.err, err != nil, "%v", err)
			if !k.err {
				assert.Equal(t, k.body, split)
			}
		})
	}
}

func TestTheEndOfTheContextEndsACall(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c, err := Dial(ctx, peer(t, true), time.Second, nil)
	require.NoError(t, err)
	began := time.Now()
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = c.Do(Request{Method: "GET", Path: "/"}, began.Add(10*time.Second), Limits{Head: 100}, nil)
	require.Error(t, err)
	assert.Less(t, time.Since(began), 5*time.Second)
}
