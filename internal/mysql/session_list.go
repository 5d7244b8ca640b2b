package mysql

import (
	"time"

	"golang.org/x/sys/unix"
)

// sessionList holds the registered sessions of a server, by id and by phase. The queue of a phase lists its sessions in
// the order in which they entered the phase. All sessions of a phase have the same timeout, so this is also the order
// in which they expire: finding expired sessions, or the session to evict, does not visit thousands of other sessions.
// The list is guarded by the server's lock.
type sessionList struct {
	byID    map[uint32]*session
	byPhase [phaseCount]sessionQueue
}

// sessionQueue is a doubly linked list of sessions, linked by their prev and next fields.
type sessionQueue struct{ head, tail *session }

// firstWithoutInput returns the first session that has no input to serve, or nil.
func (q *sessionQueue) firstWithoutInput() *session {
	for s := q.head; s != nil; s = s.next {
		if !s.hasInput() {
			return s
		}
	}
	return nil
}

func (q *sessionQueue) push(s *session) {
	if s.prev, s.next = q.tail, nil; q.tail != nil {
		q.tail.next = s
	} else {
		q.head = s
	}
	q.tail = s
}

func (q *sessionQueue) unlink(s *session) {
	if s.prev != nil {
		s.prev.next = s.next
	} else {
		q.head = s.next
	}
	if s.next != nil {
		s.next.prev = s.prev
	} else {
		q.tail = s.prev
	}
	s.prev, s.next = nil, nil
}

func (l *sessionList) add(s *session) {
	l.byID[s.id] = s
	s.registered = true
	l.byPhase[s.phase].push(s)
}

// hangUp removes a session and ends its connection. The caller must close the connection afterwards, without the lock.
func (l *sessionList) hangUp(s *session) {
	if s.registered {
		s.conn.hangUp()
		l.remove(s)
	}
}

// remove removes a session. Removing a session again has no effect.
func (l *sessionList) remove(s *session) {
	if !s.registered {
		return
	}
	s.registered = false
	delete(l.byID, s.id)
	l.byPhase[s.phase].unlink(s)
}

// move moves a session to the end of the queue of phase p.
func (l *sessionList) move(s *session, p phase, now time.Time) {
	if s.registered {
		l.byPhase[s.phase].unlink(s)
		l.byPhase[p].push(s)
	}
	s.phase, s.phaseSince = p, now
}

// removeDisconnected removes and returns the sessions whose clients have disconnected, which their goroutines have not
// found yet.
func (l *sessionList) removeDisconnected() (removed []*session) {
	sessions := make([]*session, 0, len(l.byID))
	fds := make([]unix.PollFd, 0, len(l.byID))
	for _, s := range l.byID {
		sessions = append(sessions, s)
		fds = append(fds, unix.PollFd{Fd: s.conn.fd, Events: unix.POLLRDHUP})
	}
	if n, err := unix.Poll(fds, 0); err != nil || n == 0 {
		return nil
	}
	for i := range fds {
		if hungUp(fds[i]) {
			l.remove(sessions[i])
			removed = append(removed, sessions[i])
		}
	}
	return removed
}

// evictionCandidate returns the session to close when a new session exceeds the limit. The order of preference is:
//  1. a session whose final error has been written;
//  2. a session that has sent no command for noCommandThreshold since it connected;
//  3. the session that has been idle for longest, since clients resend a request that is sent while the server closes
//     an idle connection;
//  4. a session that connected within noCommandThreshold: its client is about to send a first command, which would be
//     lost.
//
// A session with unread input is not evicted in steps 2 to 4, because its client may have sent a request long before
// the close and would not resend it. If all other sessions are busy, evictionCandidate returns the new session itself.
func (l *sessionList) evictionCandidate(newSession *session) *session {
	if s := l.byPhase[closing].head; s != nil {
		return s
	}
	noCommand := l.byPhase[greeted].firstWithoutInput()
	if noCommand != nil && newSession.phaseSince.Sub(noCommand.phaseSince) >= noCommandThreshold {
		return noCommand
	}
	if s := l.byPhase[idle].firstWithoutInput(); s != nil {
		return s
	}
	if noCommand != nil {
		return noCommand
	}
	return newSession
}

// removeTimedOut removes the sessions that have been in a phase for longer than its timeout. Without the timeouts, the
// session of a client that lost its network connection would hold a file descriptor forever.
func (l *sessionList) removeTimedOut(now time.Time, idleTimeout time.Duration, expired func(s *session)) {
	for _, limit := range []struct {
		phase   phase
		timeout time.Duration
	}{{greeted, firstCommandTimeout}, {reading, packetTimeout}, {idle, idleTimeout}} {
		for s := l.byPhase[limit.phase].head; s != nil && now.Sub(s.phaseSince) > limit.timeout; {
			next := s.next
			// Input that arrived in time may still be unread if this process was not scheduled meanwhile.
			if limit.phase == reading || now.Sub(s.phaseSince) > limit.timeout+unreadGrace || !s.hasInput() {
				expired(s)
				l.hangUp(s)
			}
			s = next
		}
	}
}
