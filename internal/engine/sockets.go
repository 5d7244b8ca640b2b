package engine

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	// maxDials bounds the tries to open one connection where each is reset.
	maxDials = 4
	// writeTimeout bounds the write of one call.
	writeTimeout = time.Second
)

// errNoSocket reports that this process may open no further connection.
var errNoSocket = errors.New("engine: no socket is free")

// socketUse is what a socket is opened for.
type socketUse int

const (
	ordinaryUse socketUse = iota // an attempt's POST
	urgentUse                    // health checks, repeated calls and the change log: these may use the reserve
)

// sockets limits the connections to engines and to the change log. Attempts leave a reserve, so that a flood of
// queries does not keep the front end from hearing of its engines.
type sockets struct {
	mu             sync.Mutex
	used           int // guarded by mu
	limit, reserve int
}

// acquire takes a socket; false where none is free for that use.
func (s *sockets) acquire(use socketUse) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.limit
	if use != urgentUse {
		limit -= s.reserve
	}
	if s.used >= limit {
		return false
	}
	s.used++
	return true
}

func (s *sockets) release() {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
}

// dial opens a connection, each try within the timeout; the end of ctx ends it. A connection that is reset while it
// comes up says nothing about the process behind it, and has carried nothing, so it is tried again at once. That this
// process has no descriptor left says nothing about the engine either: it is errNoSocket.
func (s *sockets) dial(
	ctx context.Context, address string, timeout time.Duration, use socketUse,
) (*connection, error) {
	if !s.acquire(use) {
		return nil, errNoSocket
	}
	for dials := 1; ; dials++ {
		raw, err := connect(ctx, address, timeout)
		if err == nil {
			_ = raw.SetWriteTimeout(writeTimeout)
			return &connection{raw: raw, sockets: s}, nil
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			err, dials = errNoSocket, maxDials
		}
		if isTimeout(err) || isRefused(err) || ctx.Err() != nil || dials == maxDials {
			s.release()
			return nil, err
		}
	}
}

// connect opens a TCP connection. The address of an engine is an IP address, and parsing it here avoids a lookup,
// which would cost more than the connection.
func connect(ctx context.Context, address string, timeout time.Duration) (netpoll.Connection, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netpoll.DialConnection("tcp", address, timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ip := parsed.Addr()
	conn, err := netpoll.DialTCP(ctx, "tcp", nil, &netpoll.TCPAddr{
		TCPAddr: net.TCPAddr{IP: ip.AsSlice(), Port: int(parsed.Port()), Zone: ip.Zone()},
	})
	if err != nil {
		return nil, err // a nil *TCPConnection must not become a netpoll.Connection that is not nil
	}
	return conn, nil
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// isRefused reports an error that proves that no process listens at an address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
