package mysql

import "time"

// sessions are the sessions of a server, by id and by what they are at. Each list is in the order in which its sessions
// came to it, which is the order of their deadlines: looking for those that are overdue, or for the one of least use,
// costs nothing for the thousands that are neither. It is guarded by the server's lock.
type sessions struct {
	byID  map[uint32]*session
	lists [phases]sessionList
}

// sessionList is a list through the sessions themselves.
type sessionList struct{ head, tail *session }

// first is the first session that has nothing in hand and nothing unread.
func (l *sessionList) first() *session {
	for s := l.head; s != nil; s = s.next {
		if !s.reads && !s.unread() {
			return s
		}
	}
	return nil
}

func (l *sessionList) push(s *session) {
	if s.prev, s.next = l.tail, nil; l.tail != nil {
		l.tail.next = s
	} else {
		l.head = s
	}
	l.tail = s
}

func (l *sessionList) remove(s *session) {
	if s.prev != nil {
		s.prev.next = s.next
	} else {
		l.head = s.next
	}
	if s.next != nil {
		s.next.prev = s.prev
	} else {
		l.tail = s.prev
	}
	s.prev, s.next = nil, nil
}

func (t *sessions) add(s *session) {
	t.byID[s.id] = s
	s.listed = true
	t.lists[s.phase].push(s)
}

// drop forgets a session; one that was dropped before is left alone.
func (t *sessions) drop(s *session) {
	if !s.listed {
		return
	}
	s.listed = false
	delete(t.byID, s.id)
	t.lists[s.phase].remove(s)
}

// move brings a session to a phase.
func (t *sessions) move(s *session, p phase, now time.Time) {
	if s.listed {
		t.lists[s.phase].remove(s)
		t.lists[p].push(s)
	}
	s.phase, s.since = p, now
}

// leastUsed is the session that may be closed for a new one; that one itself when all others are at work. Those whose last error has been
// written and silent ones go first, then those idle for longest: a client whose next request crosses the close sends it
// again. One that has just come is about to ask, and its request would be lost to it, so it goes last. One that has sent what nobody
// has read yet is at work: a request that has lain there for longer than a close may cross would be lost.
func (t *sessions) leastUsed(comer *session) *session {
	if s := t.lists[closing].head; s != nil {
		return s
	}
	silent := t.lists[greeted].first()
	if silent != nil && comer.since.Sub(silent.since) >= silentAfter {
		return silent
	}
	if s := t.lists[idle].first(); s != nil {
		return s
	}
	if silent != nil {
		return silent
	}
	return comer
}

// overdue hands each session that is to be closed to out, with the reason, and drops it.
func (t *sessions) overdue(now time.Time, idleFor time.Duration, out func(s *session, why string)) {
	for _, l := range []struct {
		at   phase
		most time.Duration
	}{{greeted, firstWait}, {reading, packetWait}, {idle, idleFor}} {
		// Guards against a peer that was cut off, or never meant to ask: it would hold its descriptor for good.
		for s := t.lists[l.at].head; s != nil && now.Sub(s.since) > l.most; {
			next := s.next
			// Guards against losing what came before the close, and was not looked at as this process stood still.
			if l.at == reading || now.Sub(s.since) > l.most+crossWait || !(s.reads || s.unread()) {
				out(s, "sessions_swept")
				t.drop(s)
			}
			s = next
		}
	}
	// Guards against a peer that goes on sending whatever is done with it: netpoll reads all of it.
	for _, l := range []struct {
		at   phase
		most int
	}{{greeted, mostInput}, {reading, mostInput}, {serving, maxBehind}} {
		for s := t.lists[l.at].head; s != nil; {
			next := s.next
			if s.conn.Reader().Len() > l.most {
				out(s, "sessions_flooded")
				t.drop(s)
			}
			s = next
		}
	}
}
