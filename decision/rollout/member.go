package rollout

import (
	"slices"
	"time"
)

// applyStatus records a front end's report about itself. A report that is older than the last one of the same or a
// later process is rejected as StaleMessage and changes nothing (invariant 5).
func (m *StateMachine) applyStatus(report *ReportStatus) Result {
	if rejected := m.checkStatus(report); rejected != nil {
		return Result{Rejected: rejected}
	}
	member := m.Members[report.Name]
	if member == nil {
		member = m.register(report)
	}
	stale := report.Incarnation < member.Incarnation ||
		(report.Incarnation == member.Incarnation && report.StatusSequence <= member.StatusSequence)
	if stale {
		return reject(StaleMessage, "%s has said more since, as process %d", report.Name, member.Incarnation)
	}
	newProcess := report.Incarnation > member.Incarnation
	if newProcess {
		m.replaceProcess(member, report.Incarnation)
	}
	if member.Phase != report.Phase || member.Suspected || newProcess {
		member.ChangedAt = m.Now
	}
	member.Zone, member.Kind, member.Weight = report.Zone, report.Kind, report.Weight
	member.Incarnation, member.StatusSequence = report.Incarnation, report.StatusSequence
	member.Revision, member.Phase, member.Suspected = report.Revision, report.Phase, false
	return m.endPermitByProof(member)
}

// checkStatus returns a rejection of a report with an invalid field or of a removed process, and nil for others.
func (m *StateMachine) checkStatus(report *ReportStatus) *RejectedError {
	if report.Name == "" || report.Incarnation == 0 {
		return reject(InvalidArgument, "a word needs a name and an incarnation").Rejected
	}
	switch report.Phase {
	case Starting, Serving, Draining, Terminated:
	default:
		return reject(InvalidArgument, "phase: found %q, allowed is starting, serving, leaving, gone",
			string(report.Phase)).Rejected
	}
	if !(report.Weight >= 0) { // rejects NaN, too
		return reject(InvalidArgument, "weight: found %v, allowed is 0 or more", report.Weight).Rejected
	}
	if last, removed := m.Removed[report.Name]; removed && report.Incarnation <= last {
		return reject(StaleMessage, "%s was forgotten as process %d", report.Name, last).Rejected
	}
	return nil
}

// register adds a member on its first report.
func (m *StateMachine) register(report *ReportStatus) *Member {
	member := &Member{Name: report.Name, TargetRevision: report.Revision}
	if release := m.Release; release.active() {
		release.Order = append(release.Order, report.Name)
		if release.RollingBack {
			member.TargetRevision = release.PreviousRevision
		}
	}
	m.Members[report.Name] = member
	return member
}

// replaceProcess records that a later process has replaced a member's last one. A permit that the last process did not
// activate passes to the later one if the permit is for a drain, and ends otherwise.
func (m *StateMachine) replaceProcess(member *Member, incarnation uint64) {
	permit := m.permitOf(member.subject())
	if member.Incarnation > 0 {
		member.PreviousEndedAt = m.Now
		m.recordCrash(member, permit)
	}
	if permit == nil || permit.ActivatedAt > 0 {
		return
	}
	if permit.Purpose == Drain {
		permit.Incarnation = incarnation
	} else {
		m.endPermit(permit)
	}
}

// endPermitByProof ends the member's permit where a later process than the one that the permit was granted to serves
// (invariant 3). A report of the same process proves nothing, as the process may have sent it before it was told to
// shut down. A drain stays in force across a restart.
func (m *StateMachine) endPermitByProof(member *Member) Result {
	permit := m.permitOf(member.subject())
	if permit == nil || member.Incarnation <= permit.Incarnation || member.Phase != Serving {
		return Result{}
	}
	if permit.holdsDrain() {
		permit.Incarnation = member.Incarnation
		return Result{Permit: permit.Number}
	}
	m.endPermit(permit)
	return Result{}
}

// recordCrash records the end of a process, unless the process had reported that it drains or terminates, or an active
// permit had told it to shut down.
func (m *StateMachine) recordCrash(member *Member, permit *Permit) {
	if member.Phase == Draining || member.Phase == Terminated {
		return
	}
	if permit != nil && permit.ActivatedAt > 0 && permit.Incarnation == member.Incarnation {
		return
	}
	member.Crashes = append(member.Crashes, int64(m.Now))
	member.Crashes = slices.DeleteFunc(member.Crashes, func(at int64) bool {
		return time.Duration(at) < m.Now-m.Settings.CrashWindow
	})
	if excess := len(member.Crashes) - m.Settings.CrashLoop; excess > 0 {
		member.Crashes = slices.Delete(member.Crashes, 0, excess)
	}
}

// applySuspect records that a process is no longer seen alive. Only a newer report of the member withdraws the
// suspicion.
func (m *StateMachine) applySuspect(suspect *Suspect) Result {
	member := m.Members[suspect.Name]
	if member == nil || member.Incarnation != suspect.Incarnation || member.Suspected || member.Phase == Terminated {
		return Result{}
	}
	member.Suspected, member.ChangedAt = true, m.Now
	return Result{}
}

// applyRemove removes a front end or an engine that an operator declares permanently gone, with its permit.
func (m *StateMachine) applyRemove(subject Subject, requestedBy string) Result {
	if subject.Engine {
		if m.Engines[subject.Name] == nil {
			return reject(NotFound, "there is no engine %s", subject.Name)
		}
		delete(m.Engines, subject.Name)
	} else {
		member := m.Members[subject.Name]
		if member == nil {
			return reject(NotFound, "there is no front end %s", subject.Name)
		}
		m.removeMember(member)
	}
	if permit := m.permitOf(subject); permit != nil {
		m.endPermit(permit)
	}
	m.audit(requestedBy, "forget "+subject.label(), "known", "forgotten")
	return Result{}
}

// removeMember removes a front end and keeps its incarnation, so that a late report does not register it again.
func (m *StateMachine) removeMember(member *Member) {
	delete(m.Members, member.Name)
	if release := m.Release; release != nil {
		release.Order = slices.DeleteFunc(release.Order, func(name string) bool { return name == member.Name })
	}
	if _, removed := m.Removed[member.Name]; !removed {
		m.RemovedOrder = append(m.RemovedOrder, member.Name)
	}
	m.Removed[member.Name] = member.Incarnation
	for len(m.RemovedOrder) > m.Settings.KeepRemoved {
		delete(m.Removed, m.RemovedOrder[0])
		m.RemovedOrder = m.RemovedOrder[1:]
	}
	for _, permit := range m.Permits {
		delete(permit.DrainedBy, member.Name)
	}
}
