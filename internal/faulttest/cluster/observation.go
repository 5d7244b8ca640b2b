package cluster

import (
	"slices"
	"time"
)

// Process is one front end process, as the cluster has observed it. The time of an event that has not occurred is zero.
type Process struct {
	Member, Revision string
	StartedAt        time.Time
	ListeningAt      time.Time
	DrainingAt       time.Time // when the process logged that it accepts no more requests
	ByGrant          bool      // the process stopped accepting requests under a grant of the fleet
	EndedAt          time.Time
	ExitCode         int    // -1 if a signal ended the process
	Killed           bool   // with SIGKILL, by the cluster
	BrokenInvariant  string // counted by the process; empty if there is none
}

// drainNoticeDelay is the time that a load balancer needs to notice that a front end accepts no more requests.
const drainNoticeDelay = 250 * time.Millisecond

// Processes returns the member's processes so far, in the order of their starts.
func (m *Member) Processes() []Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.processes)
}

// MarkDraining records that the running process accepts no more requests, and whether the fleet had granted its
// shutdown.
func (m *Member) MarkDraining(at time.Time, byGrant bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(m.processes); n > 0 && m.processes[n-1].EndedAt.IsZero() {
		m.processes[n-1].DrainingAt, m.processes[n-1].ByGrant = at, byGrant
	}
}

// Unavailable reports whether the member was unavailable at a time, and since when. A member is unavailable if it has
// no process, or if its process does not listen yet, accepts no more requests or is stopped by SIGSTOP. byGrant reports
// whether the fleet had granted the shutdown.
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
			continue // not listening at that time: the process before decides
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

// Listening reports whether the member's process listens and is not stopped by SIGSTOP.
func (m *Member) Listening() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.frontEnd != nil && (len(m.pauses) == 0 || !m.pauses[len(m.pauses)-1].to.IsZero())
}

// AcceptsRequests reports whether a load balancer sends requests to the member: the member listens, and has not been
// draining for drainNoticeDelay.
func (m *Member) AcceptsRequests() bool {
	m.mu.Lock()
	drainingAt := time.Time{}
	if n := len(m.processes); n > 0 {
		drainingAt = m.processes[n-1].DrainingAt
	}
	m.mu.Unlock()
	return m.Listening() && (drainingAt.IsZero() || time.Since(drainingAt) < drainNoticeDelay)
}

// Disturbed reports whether the member was stopped by SIGSTOP at any time between from and to, or one of its processes
// was killed and either ended between them or has not ended yet.
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
