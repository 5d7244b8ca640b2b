package mysql

import "time"

// Limits of a session's input, in bytes.
const (
	maxPacketBytes    = 256 << 10
	maxPipelinedBytes = 256 << 10                          // unread behind an open request
	maxInputBytes     = maxPacketBytes + maxPipelinedBytes // unread at any other time
	maxDrainBytes     = 1 << 20                            // read and discarded after a last error
)

// Time limits of a session. A client that sends nothing of use is answered or disconnected within 3 s.
const (
	firstCommandTimeout = 2500 * time.Millisecond // from the connect on
	silentAfter         = time.Second             // a session that has sent no command by then is unlikely to send one
	packetTimeout       = 2500 * time.Millisecond // for the rest of a packet that has begun
	defaultIdleTimeout  = 5 * time.Second         // clients close idle connections after 4 s
	unreadGrace         = 250 * time.Millisecond  // added to a time limit while the session has unread input
	writeTimeout        = 5 * time.Second
	drainTimeout        = 500 * time.Millisecond // for the client's close after a last error
)

const (
	expiryInterval       = 25 * time.Millisecond
	malformedLogInterval = 5 * time.Second
)

// admit reports whether a new session may stay, and which sessions have to be closed for it. The least useful session
// makes room, so that silent clients can't use up all sessions. A rejected session stays registered until its client
// has read the error, or until the next one connects, so there is at most one such session.
func (s *Server) admit(ses *session) (evicted []*session, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses.registered && len(s.sessions.byID) > s.options.MaxSessions {
		candidate := s.sessions.evictionCandidate(ses)
		if candidate == ses {
			return evicted, false
		}
		s.sessions.remove(candidate)
		evicted = append(evicted, candidate)
	}
	return evicted, true
}

// closeExpired closes the sessions that have been in a phase for too long, or have too much unread input, until stop is
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
		expired = expired[:0]
		s.mu.Lock()
		s.sessions.removeExpired(time.Now(), s.options.IdleTimeout, func(ses *session, counter string) {
			s.options.Counters.Add(counter, 1)
			expired = append(expired, ses)
		})
		s.mu.Unlock()
		for _, ses := range expired {
			_ = ses.conn.Close()
			ses.abandonRequest() // the descriptor stays open until the open request is settled
		}
		clear(expired)
	}
}
