// Package mysql implements the server side of the MySQL client protocol 4.1 with text results, limited to the subset
// that the platform's gateways use. A [Server] turns each statement into an exchange, hands the exchange to a
// [RequestHandler] and writes the answer to the client. The package knows nothing of engines.
package mysql

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
	"beechcart/internal/platformconfig"
)

// RequestHandler handles the requests of clients. Its methods are called from several goroutines at once.
type RequestHandler interface {
	// Accept starts handling a request. The handler settles the exchange with the final answer, during Accept or later.
	Accept(x *exchange.Exchange)
	// ClientGone reports that the client of a request has disconnected or has cancelled it.
	ClientGone(x *exchange.Exchange)
}

// Options are the settings of a server.
type Options struct {
	Names       platformconfig.Names
	MaxSessions int           // limit of concurrent sessions
	IdleTimeout time.Duration // between two commands of a session; 0 means defaultIdleTimeout
	Counters    *invariant.Counters
	Log         *slog.Logger
}

// Server accepts and serves client sessions on one listener.
type Server struct {
	options   Options
	handler   RequestHandler
	eventLoop netpoll.EventLoop

	mu                sync.Mutex
	sessions          sessionList      // guarded by mu
	listener          netpoll.Listener // guarded by mu; nil before Serve
	malformedLoggedAt time.Time        // guarded by mu
}

// sessionKey is the context key under which a connection's context holds its session.
type sessionKey struct{}

// New returns a server that hands requests to handler. Serve starts it.
func New(options Options, handler RequestHandler) (*Server, error) {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	s := &Server{options: options, handler: handler, sessions: sessionList{byID: map[uint32]*session{}}}
	loop, err := netpoll.NewEventLoop(s.onRequest, netpoll.WithOnPrepare(s.onAccept), netpoll.WithOnConnect(s.onConnect),
		netpoll.WithOnDisconnect(s.onDisconnect), netpoll.WithReadTimeout(packetTimeout),
		netpoll.WithWriteTimeout(writeTimeout))
	if err != nil {
		return nil, fmt.Errorf("mysql: %w", err)
	}
	s.eventLoop = loop
	return s, nil
}

// Serve listens at the TCP address and serves sessions until Shutdown.
func (s *Server) Serve(address string) error {
	l, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return fmt.Errorf("mysql: %w", err)
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	s.options.Log.Info("listening", "address", l.Addr().String())
	stop := make(chan struct{})
	defer close(stop)
	go s.closeExpired(stop)
	return s.eventLoop.Serve(l)
}

// onAccept registers a connection as soon as it is accepted. netpoll calls onAccept on the goroutine that polls all
// connections, so onAccept must not close a connection: the close would wait for that same goroutine.
func (s *Server) onAccept(c netpoll.Connection) context.Context {
	ses := &session{server: s, conn: c, fd: fileDescriptor(c), phaseSince: time.Now()}
	s.mu.Lock()
	// Any client that knows the id can cancel the session's query, so the id must not be predictable.
	for ses.id == 0 || s.sessions.byID[ses.id] != nil {
		ses.id = rand.Uint32()
	}
	s.sessions.add(ses)
	s.mu.Unlock()
	return context.WithValue(context.Background(), sessionKey{}, ses)
}

// onConnect sends the greeting to a new session, after evicting other sessions if the limit is exceeded. If no session
// can be evicted, onConnect rejects the new session with an error.
func (s *Server) onConnect(ctx context.Context, c netpoll.Connection) context.Context {
	ses := ctx.Value(sessionKey{}).(*session)
	evicted, ok := s.admit(ses)
	for _, e := range evicted {
		s.options.Counters.Add("sessions_evicted", 1)
		_ = e.conn.Close()
	}
	if !ok {
		s.options.Counters.Add("sessions_refused", 1)
		ses.failAndDrain(errTooManyConnections, "Too many connections")
		_ = ses.close()
	} else if ses.write(appendGreeting(nil, ses.id)) != nil {
		_ = c.Close()
	}
	return ctx
}

// onDisconnect removes the session and cancels its open request. netpoll calls onDisconnect as soon as the client has
// closed the connection, also while a request is being served.
func (s *Server) onDisconnect(ctx context.Context, _ netpoll.Connection) {
	ses, _ := ctx.Value(sessionKey{}).(*session)
	if ses == nil {
		return
	}
	s.mu.Lock()
	s.sessions.remove(ses)
	s.mu.Unlock()
	ses.abandonRequest()
}

// onRequest reads and serves one packet. netpoll makes one call at a time for each session.
func (s *Server) onRequest(ctx context.Context, c netpoll.Connection) error {
	ses, _ := ctx.Value(sessionKey{}).(*session)
	if ses == nil {
		return c.Close()
	}
	ses.enter(reading)
	if !ses.servePacket() {
		return ses.close()
	}
	ses.enter(idle)
	return nil
}

// killQuery cancels the open request of the session with the given id. It returns false if there is no such session.
func (s *Server) killQuery(id uint32) bool {
	s.mu.Lock()
	ses := s.sessions.byID[id]
	s.mu.Unlock()
	if ses == nil {
		return false
	}
	s.options.Counters.Add("kills", 1)
	s.mu.Lock()
	// KILL QUERY may be processed before the query that it cancels has been read. The session remembers the
	// cancellation, so that the query is not run for a client that no longer waits for its answer.
	ses.killed = ses.openExchange == nil && (ses.readingPacket || ses.hasUnread())
	s.mu.Unlock()
	ses.abandonRequest()
	return true
}

// countMalformed counts malformed input, and logs the reason at most once per malformedLogInterval.
func (s *Server) countMalformed(ses *session, reason string) {
	s.options.Counters.Add("malformed", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.malformedLoggedAt) < malformedLogInterval {
		return
	}
	s.malformedLoggedAt = time.Now()
	s.options.Log.Warn("malformed input", "peer", ses.conn.RemoteAddr().String(), "why", reason)
}
