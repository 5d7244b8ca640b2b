package mysql

import (
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"beechcart/internal/exchange"
)

// phase is what a session is doing.
type phase int

const (
	greeted    phase = iota // it has sent no command yet, and may have logged in
	idle                    // between commands
	reading                 // a packet has begun
	serving                 // a request is open
	closing                 // the last error has been written
	phaseCount              // the number of phases
)

// session is one connection of a client.
type session struct {
	server *Server
	id     uint32
	conn   netpoll.Connection
	fd     int32 // of conn; -1: not known

	// Owned by the goroutine that serves the session's packets.
	sequence    byte // of the next packet to write
	loggedIn    bool
	sentCommand bool

	// Guarded by the server's lock.
	open          *exchange.Exchange // the request being served
	readingPacket bool
	killed        bool // KILL QUERY has overtaken the query that it is meant for
	phase         phase
	phaseSince    time.Time // while greeted: when it connected
	registered    bool      // its requests are accepted; whoever closes the session removes it first
	prev, next    *session  // of the same phase
}

// close closes the session. No request of it is accepted any more.
func (s *session) close() error {
	s.server.mu.Lock()
	s.server.sessions.remove(s)
	s.server.mu.Unlock()
	return s.conn.Close()
}

// abandonRequest reports that nobody waits for the open request any more.
func (s *session) abandonRequest() {
	s.server.mu.Lock()
	x := s.open
	s.server.mu.Unlock()
	if x != nil {
		s.server.handler.ClientGone(x)
	}
}

// enter moves the session to a phase. Until its first command it stays greeted, whatever it sends.
func (s *session) enter(p phase) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if s.readingPacket = p == reading; p == idle {
		s.killed = false // the packet was not a query
	}
	if s.phase == greeted && (p == reading || (p == idle && !s.sentCommand)) {
		return
	}
	s.server.sessions.move(s, p, time.Now())
}

// openRequest makes a request the open one. ok is false where the session was removed before, because its client has
// gone or to make room: no request of it is accepted then, however much it has sent. Both happen under the same lock.
// killed reports that the request was cancelled before it was read.
func (s *session) openRequest(x *exchange.Exchange) (ok, killed bool) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	killed, s.killed = s.killed, false
	if s.registered && !killed {
		s.open = x
	}
	return s.registered, killed
}

// closeRequest ends the open request, once it is settled.
func (s *session) closeRequest() {
	s.server.mu.Lock()
	s.open = nil
	s.server.mu.Unlock()
}

// hasUnread reports whether the client has sent something that has not been read, whether it is in netpoll's buffer
// or in the kernel's.
func (s *session) hasUnread() bool {
	if s.conn.Reader().Len() > 0 {
		return true
	}
	c, ok := s.conn.(netpoll.Conn)
	if !ok {
		return false
	}
	n, err := unix.IoctlGetInt(c.Fd(), unix.TIOCINQ)
	return err == nil && n > 0
}
