package engine

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"beechcart/internal/membudget"
)

const (
	// maxDials bounds the tries to open one connection when each try is reset.
	maxDials = 4
	// writeTimeout is the time limit for writing one call.
	writeTimeout = time.Second
)

// Sizes of the kernel's receive buffers, in bytes. A response that is larger than the first window of a connection,
// some 64 KB, needs a buffer from which the kernel can open the window again: a response of the change log may be that
// large, a response of an engine may not.
const (
	engineReceiveBuffer    = 8 << 10
	pagedReceiveBuffer     = 32 << 10 // while the further pages of a result are read: fewer, larger reads
	changeLogReceiveBuffer = 64 << 10
)

// errNoSocket reports that the socket limit is reached, or that the kernel has no resources for a socket.
var errNoSocket = errors.New("engine: no socket available")

// ownShortages are the errors of a connect that show a lack of resources of this host, such as local ports.
var ownShortages = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ENOBUFS,
	syscall.ENOMEM,
}

// socketUse is the purpose of a socket.
type socketUse int

const (
	ordinaryUse socketUse = iota // an attempt's POST
	urgentUse                    // a health check, a call on a new connection or the change log; may use the reserve
)

// sockets limits the number of connections to engines and to the change log. The POSTs of attempts may not use the
// reserve, so that health checks and the change log still work under a flood of queries.
type sockets struct {
	mu             sync.Mutex
	used           int // guarded by mu
	limit, reserve int
	input          *membudget.Budget // for large responses on all connections; nil: unlimited
}

// acquire reserves a socket. acquire returns false if no socket is free for the given use.
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

// dial opens a connection. The timeout applies to each try, and the end of ctx aborts the dial. A reset during the
// connect is no evidence about the remote process, and nothing has been sent, so dial tries again at once. dial returns
// errNoSocket if this host lacks the resources for a socket, which is no evidence about the engine either.
func (s *sockets) dial(
	ctx context.Context, address string, timeout time.Duration, use socketUse,
) (*connection, error) {
	if !s.acquire(use) {
		return nil, errNoSocket
	}
	for dials := 1; ; dials++ {
		input, err := connect(ctx, address, timeout, s.input)
		if err == nil {
			return &connection{stream: input, sockets: s, writeTimeout: writeTimeout}, nil
		}
		if isTimeout(err) || isRefused(err) || isOutOfDescriptors(err) || ctx.Err() != nil || dials == maxDials {
			s.release()
			if isOwnShortage(err) {
				err = errNoSocket
			}
			return nil, err
		}
	}
}

// dialer opens connections without a keep-alive: every call has a time limit.
var dialer = net.Dialer{KeepAlive: -1}

// connect opens a TCP connection.
func connect(
	ctx context.Context, address string, timeout time.Duration, input *membudget.Budget,
) (*stream, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newStream(conn.(*net.TCPConn), input)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// isRefused reports an error that proves that no process listens at an address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isOutOfDescriptors reports an error that another try at once does not mend.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// isOwnShortage reports an error that is due to this host, not to the engine.
func isOwnShortage(err error) bool {
	return slices.ContainsFunc(ownShortages, func(shortage error) bool { return errors.Is(err, shortage) })
}
