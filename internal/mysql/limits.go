package mysql

import "time"

// Limits of a session's input, in bytes.
const (
	maxPacketBytes    = 256 << 10
	maxPipelinedBytes = 256 << 10                          // unread input while a request is open
	maxInputBytes     = maxPacketBytes + maxPipelinedBytes // unread input in any other phase
	maxDrainBytes     = 1 << 20                            // input discarded after a final error
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
	drainTimeout        = 500 * time.Millisecond // for the client to close the connection after a final error
)

const (
	expiryInterval       = 25 * time.Millisecond
	malformedLogInterval = 5 * time.Second
)

// admit reports whether a new session fits into the limit of sessions, and returns the evicted sessions, which the
// caller must close to make room. evictionCandidate chooses them, so that clients that send nothing cannot use up all
// sessions. A rejected session stays registered until its client has read the error or the next new session evicts it,
// so there is at most one such session.
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

// closeExpired periodically closes the sessions that have exceeded the timeout of their phase or the limit of unread
// input. It returns when stop is closed.
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
			ses.abandonRequest() // Close frees the descriptor only once the open request is settled
		}
		clear(expired)
	}
}
