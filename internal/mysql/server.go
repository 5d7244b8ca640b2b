// Package mysql implements the server side of the MySQL client protocol 4.1 with text results, limited to the subset
// that the platform's gateways use. A [Server] turns each statement into an exchange, hands the exchange to a
// [RequestHandler] and writes the answer to the client. The package knows nothing of engines.
package mysql

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
	"beechcart/internal/membudget"
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
	MaxSessions int               // limit of concurrent sessions
	IdleTimeout time.Duration     // between two commands of a session; 0 means defaultIdleTimeout
	Input       *membudget.Budget // memory for the large requests of all sessions; nil: unlimited
	Counters    *invariant.Counters
	Log         *slog.Logger
}

// Server accepts and serves client sessions on one listener.
type Server struct {
	options Options
	handler RequestHandler

	mu                sync.Mutex
	sessions          sessionList // guarded by mu
	acceptor          *acceptor   // guarded by mu; nil before Serve
	stopping          bool        // guarded by mu; a session ends once it has answered all commands
	malformedLoggedAt time.Time   // guarded by mu
	refusedLoggedAt   time.Time   // guarded by mu
	acceptLoggedAt    time.Time   // guarded by mu
	madeRoomAt        time.Time   // guarded by mu; the time of the last call of makeRoom that looked for memory

	stall    stallDetector
	reads    pacer // of clients that send more than fits into a read buffer
	drains   pacer // of input after its end
	commands pacer // of clients that send commands at a high rate
}

// New returns a server that hands requests to handler. Serve starts it.
func New(options Options, handler RequestHandler) *Server {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	s := &Server{options: options, handler: handler, sessions: sessionList{byID: map[uint32]*session{}}}
	s.stall.start = time.Now()
	return s
}

// Serve listens at the TCP address and serves sessions until Shutdown.
func (s *Server) Serve(address string) error {
	a, err := listen(address, s.options.MaxSessions+s.options.MaxSessions/closingDivisor+minClosing)
	if err != nil {
		return fmt.Errorf("mysql: %w", err)
	}
	s.mu.Lock()
	s.acceptor = a
	s.mu.Unlock()
	s.options.Log.Info("listening", "address", a.address.String())
	s.stall.tick()
	stop := make(chan struct{})
	defer close(stop)
	go s.closeExpired(stop)
	return s.acceptConnections(a)
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions.byID)
}

// accept registers a session for a connection as soon as it is accepted, and starts it.
func (s *Server) accept(socket acceptedSocket) {
	ses := &session{server: s, phaseSince: time.Now()}
	ses.input.budget, ses.input.makeRoom, ses.input.deliver = s.options.Input, s.makeRoom, ses.deliver
	ses.serve = ses.serveInbox
	var err error
	if ses.conn, err = newConnection(socket, ses.receive); err != nil {
		s.options.Log.Warn("session not opened", "peer", socket.remote.String(), "error", err)
		return
	}
	s.mu.Lock()
	// Any client that knows the id can cancel the session's query, so the id must not be predictable.
	for ses.id == 0 || s.sessions.byID[ses.id] != nil {
		ses.id = rand.Uint32()
	}
	s.sessions.add(ses)
	s.mu.Unlock()
	go ses.run()
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
	ses.killed = ses.openExchange == nil && ses.registered && ses.hasQueryToRead()
	s.mu.Unlock()
	ses.abandonRequest()
	return true
}

// countMalformed counts malformed input, and logs the reason at most once per inputLogInterval.
func (s *Server) countMalformed(ses *session, reason string) {
	s.options.Counters.Add("malformed", 1)
	if s.mayLog(&s.malformedLoggedAt) {
		s.options.Log.Warn("malformed input", "peer", ses.conn.remote.String(), "why", reason)
	}
}

// countRefused counts a command for which there was no memory, and logs it at most once per inputLogInterval.
func (s *Server) countRefused(ses *session) {
	s.options.Counters.Add("input_refused", 1)
	if s.mayLog(&s.refusedLoggedAt) {
		s.options.Log.Warn("input refused", "peer", ses.conn.remote.String(), "session", ses.id,
			"request_kb", s.options.Input.Used()>>10, "limit_kb", s.options.Input.Limit()>>10)
	}
}

// countFailedAccept counts a connection that could not be accepted, and logs the error at most once per
// inputLogInterval.
func (s *Server) countFailedAccept(err error) {
	s.options.Counters.Add("accepts_failed", 1)
	if s.mayLog(&s.acceptLoggedAt) {
		s.options.Log.Warn("connection not accepted", "error", err)
	}
}

// mayLog reports whether a line may be logged again that was logged at the given time, which is guarded by mu.
func (s *Server) mayLog(loggedAt *time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(*loggedAt) < inputLogInterval {
		return false
	}
	*loggedAt = time.Now()
	return true
}
