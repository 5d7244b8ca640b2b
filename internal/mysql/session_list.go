package mysql

import "time"

// sessionList holds the registered sessions of a server, by id and by phase. The queue of a phase is in the order in
// which its sessions entered it, which is the order of their time limits: finding expired sessions, or the one to
// evict, does not look at the thousands of others. It is guarded by the server's lock.
type sessionList struct {
	byID    map[uint32]*session
	byPhase [phaseCount]sessionQueue
}

// sessionQueue is a doubly linked list through the sessions.
type sessionQueue struct{ head, tail *session }

// firstQuiet is the first session that is not reading a packet and has no unread input; nil when there is none.
func (q *sessionQueue) firstQuiet() *session {
	for s := q.head; s != nil; s = s.next {
		if !s.readingPacket && !s.hasUnread() {
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

// remove removes a session; a session that was removed before is left alone.
func (l *sessionList) remove(s *session) {
	if !s.registered {
		return
	}
	s.registered = false
	delete(l.byID, s.id)
	l.byPhase[s.phase].unlink(s)
}

// move moves a session to a phase.
func (l *sessionList) move(s *session, p phase, now time.Time) {
	if s.registered {
		l.byPhase[s.phase].unlink(s)
		l.byPhase[p].push(s)
	}
	s.phase, s.phaseSince = p, now
}

// evictionCandidate is the session that may be closed to make room for a new one: first a session whose last error
// has been written, then a silent one, then the one that has been idle for longest, since a client resends a request
// that crosses the close. A session that has just connected goes after these: it is about to send its first command,
// which would be lost. A session with unread input is never chosen, because its request may have come long enough
// before the close to be lost. When all others are at work the new session itself is returned.
func (l *sessionList) evictionCandidate(newcomer *session) *session {
	if s := l.byPhase[closing].head; s != nil {
		return s
	}
	silent := l.byPhase[greeted].firstQuiet()
	if silent != nil && newcomer.phaseSince.Sub(silent.phaseSince) >= silentAfter {
		return silent
	}
	if s := l.byPhase[idle].firstQuiet(); s != nil {
		return s
	}
	if silent != nil {
		return silent
	}
	return newcomer
}

// expiredFunc takes a session that has exceeded a limit, and the name of the counter of that limit.
type expiredFunc func(s *session, counter string)

// removeExpired removes each session that has exceeded a limit, and hands it to expired.
func (l *sessionList) removeExpired(now time.Time, idleTimeout time.Duration, expired expiredFunc) {
	l.removeOverdue(now, idleTimeout, expired)
	l.removeFlooded(expired)
}

// removeOverdue removes the sessions that have been in a phase for too long. A client that was cut off would hold its
// descriptor forever otherwise.
func (l *sessionList) removeOverdue(now time.Time, idleTimeout time.Duration, expired expiredFunc) {
	for _, limit := range []struct {
		phase   phase
		timeout time.Duration
	}{{greeted, firstCommandTimeout}, {reading, packetTimeout}, {idle, idleTimeout}} {
		for s := l.byPhase[limit.phase].head; s != nil && now.Sub(s.phaseSince) > limit.timeout; {
			next := s.next
			// While this process had no processor, input may have come in time without being looked at.
			hasInput := func() bool { return s.readingPacket || s.hasUnread() }
			if limit.phase == reading || now.Sub(s.phaseSince) > limit.timeout+unreadGrace || !hasInput() {
				expired(s, "sessions_swept")
				l.remove(s)
			}
			s = next
		}
	}
}

// removeFlooded removes the sessions with too much unread input: netpoll reads all that a client sends into memory.
func (l *sessionList) removeFlooded(expired expiredFunc) {
	for _, limit := range []struct {
		phase phase
		bytes int
	}{{greeted, maxInputBytes}, {reading, maxInputBytes}, {serving, maxPipelinedBytes}} {
		for s := l.byPhase[limit.phase].head; s != nil; {
			next := s.next
			if s.conn.Reader().Len() > limit.bytes {
				expired(s, "sessions_flooded")
				l.remove(s)
			}
			s = next
		}
	}
}
