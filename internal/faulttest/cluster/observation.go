package cluster

import (
	"slices"
	"time"
)

// Process is one start of a front end, as the cluster has seen it. A time is zero where it has not come.
type Process struct {
	Member, Revision string
	StartedAt        time.Time
	ListeningAt      time.Time
	DrainingAt       time.Time // it has logged that it accepts no more requests
	ByGrant          bool      // ... as the fleet had granted
	EndedAt          time.Time
	ExitCode         int    // -1: ended by a signal
	Killed           bool   // by the cluster
	BrokenInvariant  string // that it has counted; empty for none
}

// drainNoticeDelay is after how long a load balancer knows that a front end accepts no more requests.
const drainNoticeDelay = 250 * time.Millisecond

// Processes lists the starts of the member so far.
func (m *Member) Processes() []Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.processes)
}

// MarkDraining records that the process that runs accepts no more requests, and whether the fleet had granted that.
func (m *Member) MarkDraining(at time.Time, byGrant bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(m.processes); n > 0 && m.processes[n-1].EndedAt.IsZero() {
		m.processes[n-1].DrainingAt, m.processes[n-1].ByGrant = at, byGrant
	}
}

// Unavailable tells whether the member was unavailable at a time, and since when: no process, one that did not listen
// yet or accepted no more requests, or one that was stopped. byGrant tells that the fleet had granted it.
func (m *Member) Unavailable(at time.Time) (unavailable, byGrant bool, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, pause := range m.pauses {
		if pause.from.Before(at) && (pause.to.IsZero() || pause.to.After(at)) {
			return true, false, pause.from
		}
	}
	unavailable = true
	for _, p := range m.processes {
		if p.ListeningAt.IsZero() || p.ListeningAt.After(at) {
			continue // the state before holds on
		}
		unavailable, byGrant = false, false
		if !p.DrainingAt.IsZero() && !p.DrainingAt.After(at) {
			unavailable, byGrant, since = true, p.ByGrant, p.DrainingAt
		} else if !p.EndedAt.IsZero() && !p.EndedAt.After(at) {
			unavailable, since = true, p.EndedAt
		}
	}
	return unavailable, byGrant, since
}

// Listening tells whether its process listens and is not stopped.
func (m *Member) Listening() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.frontEnd != nil && (len(m.pauses) == 0 || !m.pauses[len(m.pauses)-1].to.IsZero())
}

// AcceptsRequests tells whether a load balancer sends requests to the member: it listens, and has not been draining for
// drainNoticeDelay.
func (m *Member) AcceptsRequests() bool {
	m.mu.Lock()
	drainingAt := time.Time{}
	if n := len(m.processes); n > 0 {
		drainingAt = m.processes[n-1].DrainingAt
	}
	m.mu.Unlock()
	return m.Listening() && (drainingAt.IsZero() || time.Since(drainingAt) < drainNoticeDelay)
}

// Disturbed tells whether the member was killed, stopped or down at any time between.
func (m *Member) Disturbed(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, pause := range m.pauses {
		if pause.from.Before(to) && (pause.to.IsZero() || pause.to.After(from)) {
			return true
		}
	}
	for _, p := range m.processes {
		if p.Killed && (p.EndedAt.IsZero() || (p.EndedAt.After(from) && p.EndedAt.Before(to))) {
			return true
		}
	}
	return false
}
