package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A result must reach its client whole although its engine writes each page slowly.
func TestSlowlyWrittenResultIsServed(t *testing.T) {
	for _, pause := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			pages := resultPages(3)
			e := newEngine(t, func(call string, w http.ResponseWriter, _ *http.Request) bool {
				page, head := 0, fmt.Sprintf("X-Batches: %d", len(pages))
				if strings.HasPrefix(call, "GET ") && call != "GET 0" {
					page, _ = strconv.Atoi(strings.TrimPrefix(call, "GET "))
					head = fmt.Sprintf("X-Batch: %d", page)
				} else if call == "DELETE" {
					return false
				}
				writeInPieces(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
					head, len(pages[page]), pages[page]), pause)
				return true
			})
			r := startPlatform(t, platformLimits{memoryLimitMB, 1024}, e)
			a := r.dial().query("load", 24000)
			require.Zero(t, a.code, a.text)
			assert.Equal(t, strings.Join(pages, ""), strings.Join(a.rows, "\n")+"\n")
			assert.Equal(t, 1, e.count("POST"))
		})
	}
}

// writeInPieces writes a response in twelve pieces with a pause before each, and keeps the connection open for a while.
func writeInPieces(w http.ResponseWriter, response string, pause time.Duration) {
	const pieces = 12
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	for i := range pieces {
		time.Sleep(pause)
		if _, err := io.WriteString(c, response[len(response)*i/pieces:len(response)*(i+1)/pieces]); err != nil {
			return
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = c.Read(make([]byte, 1)) // until the front end closes the connection
}

// slowReader listens for queries and reads them at a given rate. It answers a query with one row once it is whole.
func slowReader(t *testing.T, bytesPerSecond int) (e *engine, whole *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	whole = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.(*net.TCPConn).SetReadBuffer(8 << 10)
				readSlowlyFrom(c, bytesPerSecond, whole)
			}()
		}
	}()
	e = &engine{name: fmt.Sprintf("s-%08x", l.Addr().(*net.TCPAddr).Port), Server: &httptest.Server{Listener: l}}
	return e, whole
}

// readSlowlyFrom reads calls from a connection and answers each one.
func readSlowlyFrom(c net.Conn, bytesPerSecond int, whole *atomic.Int64) {
	const slice = 20 * time.Millisecond
	throttled := readerFunc(func(p []byte) (int, error) {
		time.Sleep(slice)
		return c.Read(p[:min(len(p), int(int64(bytesPerSecond)*int64(slice)/int64(time.Second)))])
	})
	for r := bufio.NewReader(throttled); ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		response := "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
		if request.Method == "POST" {
			whole.Add(1)
			response = "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n"
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// The final answer of a large request must come in time although the engine reads the request slowly.
func TestSlowlyReadRequestIsAnsweredInTime(t *testing.T) {
	for _, deadlineMS := range []int{300, 1500} {
		for _, class := range []string{"lookup", "load"} {
			t.Run(fmt.Sprintf("%s, %d ms", class, deadlineMS), func(t *testing.T) {
				t.Parallel()
				e, _ := slowReader(t, 20<<10)
				r := startPlatformWith(t, platformLimits{32, 1024}, withoutHealthChecks(true), e)
				c := r.dial()
				began := time.Now()
				c.send(0, strings.Replace(paddedStatement(class, largeRequestBytes), "d=2500", fmt.Sprintf("d=%d", deadlineMS), 1))
				a := c.read()
				assert.Less(t, time.Since(began), time.Duration(deadlineMS)*time.Millisecond+answerSlack)
				assert.Contains(t, append([]int{1105}, retrySafeCodes...), a.code, a.text)
			})
		}
	}
}

// A large request must be served although its engine needs some seconds to read it.
func TestSlowlyReadRequestIsServed(t *testing.T) {
	e, whole := slowReader(t, 60<<10)
	r := startPlatformWith(t, platformLimits{32, 1024}, withoutHealthChecks(true), e)
	c := r.dial()
	c.send(0, strings.Replace(paddedStatement("load", largeRequestBytes), "d=2500", "d=20000", 1))
	a := c.read()
	assert.Zero(t, a.code, a.text)
	assert.EqualValues(t, 1, whole.Load())
}
