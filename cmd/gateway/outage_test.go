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

// outage is a way in which the change log can't be read.
type outage int

const (
	working      outage = iota
	unreachable         // its machine answers no connection
	notListening        // nobody listens
	mute                // connections are accepted, and calls never answered
	resetting           // each call is reset
	unavailable         // each call is answered 503
	slowly              // each call is answered, 1 to 3 s late
)

// changeLog serves a rig's change log at one address, with outages.
type changeLog struct {
	t       *testing.T
	address string
	changes http.HandlerFunc
	state   atomic.Int64 // an outage that the handler plays
	server  *http.Server // nil while nobody serves
	stop    func()       // ends the outage that needs a socket; nil: none
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
	case mute:
		<-q.Context().Done()
	case resetting:
		reset(w)
	case unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case slowly:
		select {
		case <-time.After(time.Second + rand.N(2*time.Second)):
			c.changes(w, q)
		case <-q.Context().Done():
		}
	default:
		c.changes(w, q)
	}
}

// fail begins an outage: all connections are closed.
func (c *changeLog) fail(o outage) {
	c.state.Store(int64(o))
	require.NoError(c.t, c.server.Close())
	switch o {
	case unreachable:
		c.stop = unanswered(c.t, c.address)
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

// unanswered lets the machine answer no connection to the address before stop is called.
func unanswered(t *testing.T, address string) (stop func()) {
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
