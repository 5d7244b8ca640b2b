package rollout

import (
	"fmt"
	"time"
)

// applyDrain grants a permit to drain a front end or an engine, where the budget allows that. An engine's permit is
// active at once, because the front ends, not the engine, carry out the drain.
func (m *StateMachine) applyDrain(subject Subject, requestedBy string) Result {
	if permit := m.permitOf(subject); permit != nil {
		if permit.holdsDrain() {
			return Result{Permit: permit.Number}
		}
		return reject(FailedPrecondition, "%s holds permit %d for %s",
			subject.Name, permit.Number, string(permit.Purpose))
	}
	permit := Permit{Subject: subject.Name, Engine: subject.Engine, Purpose: Drain, RequestedBy: requestedBy}
	var rejected *RejectedError
	if subject.Engine {
		rejected = m.prepareEngineDrain(&permit)
	} else {
		rejected = m.prepareMemberDrain(&permit)
	}
	if rejected != nil {
		return Result{Rejected: rejected}
	}
	m.audit(requestedBy, "drain "+subject.label(), "in", "out")
	return Result{Permit: m.grantPermit(permit).Number}
}

// prepareEngineDrain fills in a permit to drain an engine, or returns the reason why the permit can't be granted.
func (m *StateMachine) prepareEngineDrain(permit *Permit) *RejectedError {
	engine := m.Engines[permit.Subject]
	if engine == nil {
		return reject(NotFound, "there is no engine %s", permit.Subject).Rejected
	}
	permit.Incarnation, permit.DrainedBy, permit.ActivatedAt = engine.Process, map[string]uint64{}, m.Now
	rejected := m.engineUsage().check(m.engineUnit(engine))
	if rejected != nil {
		rejected.Unavailable = unavailableNames(m.engineUnits(), permit.Subject)
	}
	return rejected
}

// prepareMemberDrain fills in a permit to drain a front end, or returns the reason why the permit can't be granted.
func (m *StateMachine) prepareMemberDrain(permit *Permit) *RejectedError {
	member := m.Members[permit.Subject]
	if member == nil {
		return reject(NotFound, "there is no front end %s", permit.Subject).Rejected
	}
	permit.Incarnation = member.Incarnation
	rejected := m.memberUsage(m.Settings.FrontEnds).check(m.memberUnit(member))
	if rejected != nil {
		rejected.Unavailable = unavailableNames(m.memberUnits(), permit.Subject)
	}
	return rejected
}

// applyUndrain ends a drain. The permit of a front end that was told to shut down is only cancelled: the front end
// stays unavailable until it returns the permit or its next process serves.
func (m *StateMachine) applyUndrain(subject Subject, requestedBy string) Result {
	permit := m.permitOf(subject)
	if permit == nil || permit.Purpose != Drain {
		return reject(NothingToDo, "%s is not drained", subject.Name)
	}
	m.audit(requestedBy, "undrain "+subject.label(), "out", "in")
	if subject.Engine || permit.ActivatedAt == 0 {
		m.endPermit(permit)
	} else {
		permit.Cancelled = true
	}
	return Result{Permit: permit.Number}
}

// applyEngine records an engine's state as a front end's endpoint list shows that state. The state of an older process
// comes from an outdated list, and is rejected.
func (m *StateMachine) applyEngine(engine Engine) Result {
	if engine.Name == "" || !(engine.Cores >= 0) { // rejects NaN, too
		return reject(InvalidArgument, "an engine needs a name, and cores of 0 or more")
	}
	known := m.Engines[engine.Name]
	if known != nil && engine.Process < known.Process {
		return reject(StaleMessage, "%s has a newer process", engine.Name)
	}
	if known != nil && !engine.Listed { // a list without the engine has no zone, kind or cores for it
		known.Listed, known.Ready = false, false
		return Result{}
	}
	m.Engines[engine.Name] = &engine
	// An outdated list may still show the drained process as ready, so that only a newer process ends the drain.
	permit := m.permitOf(engine.subject())
	if permit != nil && engine.Listed && engine.Ready && engine.Process > permit.Incarnation {
		m.endPermit(permit)
	}
	return Result{}
}

// applyReportDrained records that a front end's process has no query on a drained engine and sends no more queries
// there.
func (m *StateMachine) applyReportDrained(report *ReportDrained) Result {
	permit, member := m.Permits[report.Permit], m.Members[report.Name]
	if permit == nil || !permit.Engine || member == nil {
		return reject(NoPermit, "permit %d is no drain of an engine", report.Permit)
	}
	if member.Incarnation != report.Incarnation {
		return reject(StaleMessage, "%s is process %d now", report.Name, member.Incarnation)
	}
	permit.DrainedBy[report.Name] = member.Incarnation
	return Result{Permit: permit.Number}
}

// enginesWithPermit returns the names of the engines that hold a permit, whether or not their drain is complete, in the
// order of their permit numbers.
func (m *StateMachine) enginesWithPermit() []string {
	var names []string
	for _, number := range m.PermitNumbers() {
		if permit := m.Permits[number]; permit.Engine {
			names = append(names, permit.Subject)
		}
	}
	return names
}

// recordDrained sets DrainedAt in the permits of engines on which no query is left.
func (m *StateMachine) recordDrained() {
	for _, number := range m.PermitNumbers() {
		if permit := m.Permits[number]; permit.Engine && permit.DrainedAt == 0 && m.isDrained(permit) {
			permit.DrainedAt = m.Now
		}
	}
}

func (m *StateMachine) isDrained(permit *Permit) bool {
	for _, member := range m.Members {
		if m.drainBlocker(permit, member) != "" {
			return false
		}
	}
	return true
}

// drainBlocker returns the reason why one front end keeps a drained engine from being stopped (invariant 6); empty
// where the front end does not.
func (m *StateMachine) drainBlocker(permit *Permit, member *Member) string {
	if left := m.abandonedQueryTimeLeft(member.PreviousEndedAt); member.PreviousEndedAt > 0 && left > 0 {
		return fmt.Sprintf("%s: queries of its last process may run for %v more", member.Name, left)
	}
	if member.Phase == Terminated {
		if left := m.abandonedQueryTimeLeft(member.ChangedAt); left > 0 {
			return fmt.Sprintf("%s: its queries may run for %v more", member.Name, left)
		}
		return ""
	}
	if permit.DrainedBy[member.Name] == member.Incarnation {
		return ""
	}
	if member.Suspected {
		return member.Name + ": not heard of; forget it if it is gone"
	}
	return member.Name + ": has not said that nothing of its own is out there"
}

// abandonedQueryTimeLeft returns how long a front end's queries may still run on engines after its process ended.
func (m *StateMachine) abandonedQueryTimeLeft(endedAt time.Duration) time.Duration {
	return endedAt + m.Settings.AbandonedQueryTimeout - m.Now
}
