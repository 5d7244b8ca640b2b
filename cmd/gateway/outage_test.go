package main_test

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outage is a fault of the change log.
type outage int

const (
	working      outage = iota
	unreachable         // connects get no answer
	notListening        // connects are refused
	hanging             // connects succeed, and calls are never answered
	resetting           // each call is reset
	unavailable         // each call is answered 503
	slow                // each call is answered, 1 to 3 s late
)

// changeLog serves the change log of a testGateway at a fixed address, and simulates outages.
type changeLog struct {
	t            *testing.T
	address      string
	serveChanges http.HandlerFunc
	state        atomic.Int64 // the outage in force, for the handler
	server       *http.Server // the server started last; closed during some outages
	stop         func()       // ends an outage in which the server is closed; nil: the server runs
}

func newChangeLog(t *testing.T) *changeLog {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &changeLog{t: t, address: l.Addr().String()}
	c.serve(l)
	t.Cleanup(func() { _ = c.server.Close() })
	return c
}

func (c *changeLog) serve(l net.Listener) {
	c.server = &http.Server{Handler: c}
	go func(s *http.Server) { _ = s.Serve(l) }(c.server)
}

func (c *changeLog) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch outage(c.state.Load()) {
	case hanging:
		<-q.Context().Done()
	case resetting:
		resetConnection(w)
	case unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case slow:
		select {
		case <-time.After(time.Second + rand.N(2*time.Second)):
			c.serveChanges(w, q)
		case <-q.Context().Done():
		}
	default:
		c.serveChanges(w, q)
	}
}

// fail starts an outage and closes all connections.
func (c *changeLog) fail(o outage) {
	c.state.Store(int64(o))
	require.NoError(c.t, c.server.Close())
	switch o {
	case unreachable:
		c.stop = blockConnections(c.t, c.address)
	case notListening:
		c.stop = func() {}
	default:
		c.serve(c.listen())
	}
}

// recover ends the outage.
func (c *changeLog) recover() {
	c.state.Store(int64(working))
	if c.stop != nil {
		c.stop()
		c.stop = nil
		c.serve(c.listen())
	}
}

func (c *changeLog) listen() (l net.Listener) {
	require.Eventually(c.t, func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", c.address)
		return err == nil
	}, 10*time.Second, 5*time.Millisecond)
	return l
}

// blockConnections leaves connects to the address without an answer until stop is called: it fills the backlog of a
// listener that accepts nothing.
func blockConnections(t *testing.T, address string) (stop func()) {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp", address)
	require.NoError(t, err)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}, Port: a.Port}))
	require.NoError(t, syscall.Listen(fd, 0))
	var fill []net.Conn
	for {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			break
		}
		fill = append(fill, c)
	}
	return func() {
		for _, c := range fill {
			c.Close()
		}
		_ = syscall.Close(fd)
	}
}
