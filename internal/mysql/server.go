// Package mysql serves clients: the MySQL client protocol 4.1 with text results, as far as gateways of the platform
// use it. It turns each statement into an exchange, hands it to a [RequestHandler] and writes the exchange's answer.
// It knows nothing of engines.
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

// RequestHandler takes the requests of clients. Its methods are called from any goroutine.
type RequestHandler interface {
	// Accept takes a request, and settles its exchange with the final answer.
	Accept(x *exchange.Exchange)
	// ClientGone reports that the client of a request has disconnected or has cancelled it.
	ClientGone(x *exchange.Exchange)
}

// Options are the settings of a server.
type Options struct {
	Names       platformconfig.Names
	MaxSessions int           // at once
	IdleTimeout time.Duration // between two commands of a session; 0: defaultIdleTimeout
	Counters    *invariant.Counters
	Log         *slog.Logger
}

// Server serves sessions on one listener.
type Server struct {
	options   Options
	handler   RequestHandler
	eventLoop netpoll.EventLoop

	mu                sync.Mutex
	sessions          sessionList      // guarded by mu
	listener          netpoll.Listener // guarded by mu; nil before Serve
	malformedLoggedAt time.Time        // guarded by mu
}

// sessionKey is the key of a connection's session in its context.
type sessionKey struct{}

// New returns a server that hands requests to handler.
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

// Serve accepts sessions at the address until Shutdown.
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

// onAccept registers a connection as soon as it is accepted. It runs on the goroutine that reads all connections, so
// it must not close one: netpoll would wait there for itself.
func (s *Server) onAccept(c netpoll.Connection) context.Context {
	ses := &session{server: s, conn: c, fd: fileDescriptor(c), phaseSince: time.Now()}
	s.mu.Lock()
	// The id lets anyone cancel the session's query, so it must not be predictable.
	for ses.id == 0 || s.sessions.byID[ses.id] != nil {
		ses.id = rand.Uint32()
	}
	s.sessions.add(ses)
	s.mu.Unlock()
	return context.WithValue(context.Background(), sessionKey{}, ses)
}

// onConnect makes room for a new session, or rejects it, and greets its client.
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

// onDisconnect is called as soon as the client has closed the connection, also while a request is being served.
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

// onRequest reads what a client has sent. netpoll calls it for one packet of a session at a time.
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

// killQuery cancels the open request of the session with that id; false when there is no such session.
func (s *Server) killQuery(id uint32) bool {
	s.mu.Lock()
	ses := s.sessions.byID[id]
	s.mu.Unlock()
	if ses == nil {
		return false
	}
	s.options.Counters.Add("kills", 1)
	s.mu.Lock()
	// A KILL QUERY may overtake its query on the way through this program. Nobody would wait for that query.
	ses.killed = ses.open == nil && (ses.readingPacket || ses.hasUnread())
	s.mu.Unlock()
	ses.abandonRequest()
	return true
}

// countMalformed counts input that can't be used, and logs some of it.
func (s *Server) countMalformed(ses *session, why string) {
	s.options.Counters.Add("malformed", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.malformedLoggedAt) < malformedLogInterval {
		return
	}
	s.malformedLoggedAt = time.Now()
	s.options.Log.Warn("malformed input", "peer", ses.conn.RemoteAddr().String(), "why", why)
}
