package mysql

import "time"

// receive processes input of the client. It runs while the connection is read, and so must not close the connection.
func (s *session) receive(b []byte) {
	s.server.mu.Lock()
	queued := s.queuedBytes
	s.server.mu.Unlock()
	s.discarded = s.input.receive(b, s.conn.burstAt, queued)
	s.notePartial()
}

// deliver queues a command, and returns the size of all queued commands.
func (s *session) deliver(c command) (queued int) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.queue(c)
	return s.queuedBytes
}

// queue adds a command to the inbox and starts to serve it; the caller holds the server's lock.
func (s *session) queue(c command) {
	if s.ended {
		s.server.free(c)
		return
	}
	if last := len(s.inbox) - 1; c.refused > 0 && last >= s.served && s.inbox[last].refused > 0 &&
		s.inbox[last].sequence == c.sequence {
		s.inbox[last].refused += c.refused
		if at := s.inbox[last].answerBy; at.IsZero() || (!c.answerBy.IsZero() && c.answerBy.Before(at)) {
			s.inbox[last].answerBy = c.answerBy
		}
		return
	}
	if s.active && c.refused == 0 {
		c.answerBy = answerTime(c)
	}
	s.inbox = append(s.inbox, c)
	s.queuedBytes += c.size()
	if !s.active {
		s.active = true
		go s.serve()
	}
}

// notePartial records whether a packet has been partly received.
func (s *session) notePartial() {
	partial := s.input.partial()
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if s.partial == partial {
		return
	}
	if s.partial = partial; !partial {
		return
	}
	s.foundIdle = false
	if !s.active && s.phase == idle {
		s.server.sessions.move(s, reading, time.Now())
	}
}

// nextCommand removes the next command from the inbox. ok is false if there is none: the session then waits for input,
// and the goroutine that serves it must end.
func (s *session) nextCommand() (c command, ok bool) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.foundIdle, s.answering = false, false
	if s.served == len(s.inbox) || s.ended {
		s.active = false
		s.settlePhase()
		if s.server.stopping && s.phase == idle && !s.conn.hasUnread() {
			s.server.sessions.hangUp(s)
			s.conn.closeSoon()
		}
		return command{}, false
	}
	next := &s.inbox[s.served]
	c = *next
	if c.refused > 1 {
		next.refused--
		c.refused = 1
		return c, true
	}
	*next = command{}
	if s.served++; s.served == len(s.inbox) {
		s.inbox, s.served = s.inbox[:0], 0
		if cap(s.inbox) > maxIdleInbox {
			s.inbox = nil
		}
	}
	s.queuedBytes -= c.size()
	if s.phase != greeted && s.phase != closing {
		s.server.sessions.move(s, reading, time.Now())
	}
	return c, true
}

// settlePhase sets the phase of a session without commands; the caller holds the server's lock.
func (s *session) settlePhase() {
	if !s.partial {
		s.killed = false // there is no query to cancel
	}
	switch {
	case s.phase == closing, s.phase == greeted && !s.sentCommand:
	case s.partial:
		s.server.sessions.move(s, reading, time.Now())
	default:
		s.server.sessions.move(s, idle, time.Now())
	}
}

// dropInbox discards all commands, and all that may still arrive.
func (s *session) dropInbox() {
	s.server.mu.Lock()
	s.ended = true
	dropped := s.inbox[s.served:]
	s.inbox, s.served, s.queuedBytes = nil, 0, 0
	s.server.mu.Unlock()
	for _, c := range dropped {
		s.server.free(c)
	}
	s.input.close()
}
