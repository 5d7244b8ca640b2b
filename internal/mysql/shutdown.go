package mysql

import (
	"context"
	"errors"
	"time"
)

// requiredIdleChecks is the number of consecutive checks that must find neither a pending connection nor a busy session
// before the listener is closed. One check could miss a connection that has left the kernel's accept queue and is not
// registered yet.
const requiredIdleChecks = 2

// Shutdown closes each session as soon as it has no open request, a busy one right behind an answer, and then the
// listener. When ctx ends, Shutdown closes everything that is still open and returns the error of ctx. The listener is
// closed last, once the accept queue is empty: clients cancel queries on new connections, and a request that was
// written to a connection in the accept queue counts as accepted.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for idleChecks := 0; idleChecks < requiredIdleChecks; idleChecks++ {
		if !s.checkIdle(idleChecks > 0) {
			idleChecks = -1
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.closeAll())
		case <-tick.C:
		}
	}
	return s.closeAll()
}

// checkIdle closes idle sessions and reports whether there is neither a pending connection nor a busy session.
// idleBefore is the result of the previous check: a session that is newly idle after an idle check was used in between,
// and needs another check.
func (s *Server) checkIdle(idleBefore bool) bool {
	if s.acceptPending() {
		return false
	}
	busy, newlyIdle := s.closeIdle()
	return busy == 0 && (newlyIdle == 0 || !idleBefore)
}

// closeAll unregisters the remaining sessions, so that no further request is accepted, and closes them and the
// listener.
func (s *Server) closeAll() error {
	var left []*session
	s.mu.Lock()
	a := s.acceptor
	for _, ses := range s.sessions.byID {
		s.sessions.hangUp(ses)
		left = append(left, ses)
	}
	s.mu.Unlock()
	for _, ses := range left {
		ses.conn.closeSoon()
	}
	if a == nil {
		return nil
	}
	return a.close()
}

// acceptPending reports whether a connection waits to be accepted or registered.
func (s *Server) acceptPending() bool {
	s.mu.Lock()
	a := s.acceptor
	s.mu.Unlock()
	return a != nil && a.pending()
}

// closeIdle closes the sessions that two consecutive calls found idle, that is, with neither an open request nor unread
// input. It returns the numbers of busy sessions and of sessions that only this call found idle. A session that has
// just connected stays open and is not counted: its client may be about to cancel another session's query.
func (s *Server) closeIdle() (busy, newlyIdle int) {
	var idleSessions []*session
	s.mu.Lock()
	for _, ses := range s.sessions.byID {
		switch {
		case ses.phase == serving || ses.phase == closing || ses.hasInput():
			ses.foundIdle = false
			busy++
		case ses.phase == greeted && time.Since(ses.phaseSince) < drainTimeout:
		case !ses.foundIdle:
			ses.foundIdle = true
			newlyIdle++
		default:
			idleSessions = append(idleSessions, ses)
			s.sessions.hangUp(ses)
		}
	}
	s.mu.Unlock()
	for _, ses := range idleSessions {
		ses.conn.closeSoon()
	}
	return busy, newlyIdle
}
