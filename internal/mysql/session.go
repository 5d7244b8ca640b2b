package mysql

import (
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"beechcart/internal/exchange"
)

// phase is the state of a session.
type phase int

const (
	greeted phase = iota // no command received yet; the login may be complete
	idle                 // between commands
	reading              // a packet has been partly received
	serving              // a request is open
	closing              // the final error has been written
	phaseCount
)

// session is the state of one client connection.
type session struct {
	server *Server
	id     uint32
	conn   netpoll.Connection
	fd     int32 // descriptor of conn; -1 if unknown

	// Owned by the goroutine that serves the session's packets.
	sequence    byte // number of the next packet to write
	loggedIn    bool
	sentCommand bool

	// Guarded by the server's lock.
	openExchange  *exchange.Exchange // the request being served
	readingPacket bool
	killed        bool // KILL QUERY was processed before the query to cancel was read
	foundIdle     bool // the last check of Shutdown found the session idle; no packet has been read since
	phase         phase
	phaseSince    time.Time // start of the phase; while greeted, the time of the connect
	registered    bool      // requests are accepted; set to false before the connection is closed
	prev, next    *session  // neighbours in the queue of the phase
}

// close unregisters the session, so that no further request is accepted, and closes its connection.
func (s *session) close() error {
	s.server.mu.Lock()
	s.server.sessions.remove(s)
	s.server.mu.Unlock()
	return s.conn.Close()
}

// abandonRequest reports to the handler that the client no longer waits for the open request, if there is one.
func (s *session) abandonRequest() {
	s.server.mu.Lock()
	x := s.openExchange
	s.server.mu.Unlock()
	if x != nil {
		s.server.handler.ClientGone(x)
	}
}

// enter moves the session to a phase. A session stays in the phase greeted until its first command has been
// received, whatever else it sends.
func (s *session) enter(p phase) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.foundIdle = false
	if s.readingPacket = p == reading; p == idle {
		s.killed = false // openRequest clears killed for each query; after any other packet there is no query to cancel
	}
	if s.phase == greeted && (p == reading || (p == idle && !s.sentCommand)) {
		return
	}
	s.server.sessions.move(s, p, time.Now())
}

// openRequest records x as the open request. ok is false if the session has already been removed, for example because
// its client has disconnected or because the session was evicted: no further request of the session is accepted. The
// check holds the lock under which sessions are removed, so no request opens after the removal. killed reports that
// KILL QUERY cancelled the request before the request was read.
func (s *session) openRequest(x *exchange.Exchange) (ok, killed bool) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	killed, s.killed = s.killed, false
	if s.registered && !killed {
		s.openExchange = x
	}
	return s.registered, killed
}

// closeRequest clears the open request after it has been settled.
func (s *session) closeRequest() {
	s.server.mu.Lock()
	s.openExchange = nil
	s.server.mu.Unlock()
}

// hasUnread reports whether the kernel's receive buffer or netpoll's buffer holds unread input. The kernel is asked
// first, because netpoll moves input from the kernel's buffer to its own.
func (s *session) hasUnread() bool {
	if c, ok := s.conn.(netpoll.Conn); ok {
		if n, err := unix.IoctlGetInt(c.Fd(), unix.TIOCINQ); err == nil && n > 0 {
			return true
		}
	}
	return s.conn.Reader().Len() > 0
}
