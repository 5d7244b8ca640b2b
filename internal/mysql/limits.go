package mysql

import "time"

// Limits of a session's input, in bytes.
const (
	maxPacketBytes    = 256 << 10
	maxPipelinedBytes = 256 << 10 // commands that wait to be served
	sessionAllowance  = 4 << 10   // of one command, for which no memory needs to be reserved
	maxIdleInbox      = 4         // commands for which an idle session keeps memory
	commandOverhead   = 200       // memory that a command takes beside its payload
	maxRefusedBytes   = 4 << 20   // discarded bytes of commands that are refused while others wait to be served
	maxRefusals       = 4000      // commands, in the same way
	maxDrainBytes     = 1 << 20   // input discarded after its end
)

// The connections that may be open beyond the limit of sessions, because they are being closed or have not been
// admitted yet: a fraction of that limit, and a few.
const (
	closingDivisor = 16
	minClosing     = 2
)

// Rates of all sessions together.
const (
	maxReadRate         = 64 << 20 // input of clients that fill a read buffer, in bytes a second
	maxDrainRate        = 8 << 20  // input after its end, in bytes a second
	maxPacedCommandRate = 10000    // commands a second of the sessions that have used up their allowance
)

// A session's allowances. What exceeds them is paced over all sessions.
const (
	commandBurst = 200
	commandRate  = 500 // commands a second
	readBurst    = 32  // reads that fill their buffer, 512 KB
	readRate     = 16  // such reads a second
)

// Time limits of a session. A client that sends no first command, only a part of a packet, or invalid input is answered
// or disconnected within 3 s.
const (
	firstCommandTimeout = 2500 * time.Millisecond // measured from the connect
	noCommandThreshold  = time.Second             // without a command by then, a session is unlikely to send one
	packetTimeout       = 2500 * time.Millisecond // to receive the rest of a partly received packet
	defaultIdleTimeout  = 5 * time.Second         // clients close idle connections after 4 s
	unreadGrace         = 250 * time.Millisecond  // added to a time limit while the session has unread input
	writeTimeout        = 5 * time.Second
	catchUpTimeout      = 50 * time.Millisecond  // to read the input behind a request
	refusalRetryAfter   = 200 * time.Millisecond // advice to a client whose input is refused
	drainTimeout        = 500 * time.Millisecond // for the client to close the connection after a final error
)

const (
	expiryInterval   = 25 * time.Millisecond
	inputLogInterval = 5 * time.Second
)

// admit reports whether a new session fits into the limit of sessions, and returns the removed sessions, whose
// connections the caller must close to make room. These are the sessions whose clients have disconnected, and then
// those that evictionCandidate chooses, so that clients that send nothing cannot use up all sessions. A rejected
// session stays registered until its client has read the error or the next new session evicts it, so there is at most
// one such session.
func (s *Server) admit(ses *session) (removed []*session, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ses.registered && len(s.sessions.byID) > s.options.MaxSessions {
		removed = s.sessions.removeDisconnected()
	}
	for ses.registered && len(s.sessions.byID) > s.options.MaxSessions {
		candidate := s.sessions.evictionCandidate(ses)
		if candidate == ses {
			return removed, false
		}
		s.options.Counters.Add("sessions_evicted", 1)
		s.sessions.hangUp(candidate)
		removed = append(removed, candidate)
	}
	return removed, true
}

// closeExpired periodically closes the sessions that have exceeded the timeout of their phase. It returns when stop is
// closed.
func (s *Server) closeExpired(stop <-chan struct{}) {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	var expired []*session
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		s.stall.tick()
		s.cancelHoldUps(time.Now())
		expired = expired[:0]
		s.mu.Lock()
		s.sessions.removeTimedOut(time.Now(), s.options.IdleTimeout, func(ses *session) {
			s.options.Counters.Add("sessions_swept", 1)
			expired = append(expired, ses)
		})
		s.mu.Unlock()
		for _, ses := range expired {
			ses.conn.closeSoon()
		}
		clear(expired)
	}
}

// Limits of the search for memory.
const (
	// shedAfter is how long a packet may be incomplete before it is discarded in favour of another one.
	shedAfter = 250 * time.Millisecond
	// slowReaderThreshold is how long a write may wait for its client while other results need the memory.
	slowReaderThreshold = 250 * time.Millisecond
	// makeRoomInterval is the shortest time between two searches.
	makeRoomInterval = 10 * time.Millisecond
)

// makeRoom discards the packets that have been incomplete for shedAfter and have reserved memory. It reports whether it
// freed any. A client that stops half way through a large request, or sends one slowly, thus cannot keep the memory
// that others need. Its request is refused.
func (s *Server) makeRoom() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.madeRoomAt) < makeRoomInterval {
		return false
	}
	s.madeRoomAt = now
	freed := false
	for _, ses := range s.sessions.byID {
		if refusal, ok := ses.input.shed(now.Add(-shedAfter)); ok {
			s.options.Counters.Add("input_shed", 1)
			ses.queue(refusal)
			freed = true
		}
	}
	return freed
}

// CloseSlowReader closes the session that has waited longest for its client to read a result, if that is at least
// slowReaderThreshold. The result is then incomplete, which its client can tell. Call CloseSlowReader while other
// results find no memory.
func (s *Server) CloseSlowReader() {
	if slow := s.removeSlowReader(time.Now().Add(-slowReaderThreshold)); slow != nil {
		s.options.Counters.Add("slow_readers_closed", 1)
		slow.conn.closeSoon()
	}
}

// removeSlowReader removes the session whose write has been blocked for longest, if it has been since the given time.
func (s *Server) removeSlowReader(since time.Time) (slowest *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ses := range s.sessions.byID {
		if blocked := ses.conn.blockedSince.Load(); blocked != nil && blocked.Before(since) {
			slowest, since = ses, *blocked
		}
	}
	if slowest != nil {
		s.sessions.hangUp(slowest)
	}
	return slowest
}

// free releases the memory of a command.
func (s *Server) free(c command) {
	s.releaseInput(c.reserved)
	if c.small != nil {
		smallPayloads.Put(c.small)
	}
}

// releaseInput releases memory of the input budget.
func (s *Server) releaseInput(n int) {
	if n > 0 {
		s.options.Input.Release(n)
	}
}
