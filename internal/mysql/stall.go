package mysql

import (
	"sync/atomic"
	"time"
)

const (
	// stallThreshold is the time between two ticks from which the process counts as not scheduled in between.
	stallThreshold = 2 * expiryInterval
	// inputTimeout bounds the wait for input to be handled after a stall.
	inputTimeout = 50 * time.Millisecond
	// stallWindow is how long before the start of an attempt a stall still matters.
	stallWindow = 100 * time.Millisecond
	// inputCheckInterval is the time between two checks for such input.
	inputCheckInterval = 200 * time.Microsecond
)

// stallDetector finds out that the process was not scheduled for a while, from a tick every expiryInterval.
type stallDetector struct {
	start     time.Time
	lastTick  atomic.Int64 // nanoseconds since start
	lastStall atomic.Int64 // when the latest stall was found, in nanoseconds since start; 0: never
}

func (d *stallDetector) tick() {
	now := int64(time.Since(d.start))
	if now-d.lastTick.Swap(now) > int64(stallThreshold) {
		d.lastStall.Store(now)
	}
}

// stalledSince reports whether the process is or was stalled at the given time, shortly before it, or later.
func (d *stallDetector) stalledSince(at time.Time) bool {
	if int64(time.Since(d.start))-d.lastTick.Load() > int64(stallThreshold) {
		return true
	}
	stall := d.lastStall.Load()
	return stall != 0 && stall >= int64(at.Sub(d.start)-stallWindow)
}

// AwaitInput must be called before a request is sent on whose attempt began at the given time. If this process was not
// scheduled for a while, its kernel may hold a KILL QUERY, or the close of a connection, from before. AwaitInput then
// waits until such input has been handled, for at most inputTimeout.
func (s *Server) AwaitInput(began time.Time) {
	if !s.stall.stalledSince(began) {
		return
	}
	for end := time.Now().Add(inputTimeout); s.inputPending() && time.Now().Before(end); {
		time.Sleep(inputCheckInterval)
	}
}

// inputPending reports whether there is input of clients that has not been handled, or a connection that has not been
// accepted. Commands that wait behind an open request do not count.
func (s *Server) inputPending() bool {
	if s.acceptPending() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ses := range s.sessions.byID {
		if ses.conn.hasUnread() || (ses.active && ses.openExchange == nil) {
			return true
		}
	}
	return false
}
