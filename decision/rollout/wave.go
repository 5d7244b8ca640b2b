package rollout

import (
	"fmt"
	"math"
	"time"
)

// advance performs the transitions that the last command and the time allow: it completes drains and halts, halts the
// release, grants permits and ends waves. Apply calls it after every command.
func (m *StateMachine) advance() {
	m.recordDrained()
	release := m.Release
	if !release.active() {
		return
	}
	m.acknowledgeHalt(release)
	if release.State != Running {
		return
	}
	if cause := m.haltCause(release); cause != "" && !release.RollingBack {
		m.haltRelease(fleetActor, cause)
		m.acknowledgeHalt(release)
		return
	}
	m.grantReleasePermits(release)
	m.advanceWave(release)
}

// acknowledgeHalt changes the state from Halting to Halted once no member can still shut down for the release
// (invariant 4).
func (m *StateMachine) acknowledgeHalt(release *Release) {
	if release.State == Halting && len(m.pendingShutdowns(release)) == 0 {
		release.State = Halted
	}
}

// waveRounding is subtracted before a product of share and count is rounded up, so that the floating-point error of a
// product whose exact value is a whole number does not add a member to the wave.
const waveRounding = 1e-9

// waveEnd returns the number of members in the waves up to the present one. A rollback is one wave of all members.
func (r *Release) waveEnd() int {
	if r.RollingBack {
		return len(r.Order)
	}
	share := r.Waves[r.Wave] * float64(len(r.Order))
	return min(len(r.Order), max(1, int(math.Ceil(share-waveRounding))))
}

// haltCause returns the reason why a release must halt; empty where the release may continue.
func (m *StateMachine) haltCause(release *Release) string {
	if cause := m.worseMetric(release); cause != "" {
		return cause
	}
	usage := m.memberUsage(m.Settings.FrontEnds)
	if unavailable, limit := usage.overall(); unavailable > limit {
		return fmt.Sprintf("%d of %d front ends are out, and %d may be", unavailable, usage.all.total, limit)
	}
	if cause := m.crashLoop(release); cause != "" {
		return cause
	}
	for _, number := range m.PermitNumbers() {
		permit := m.Permits[number]
		if permit.Release == release.Number && permit.ActivatedAt > 0 &&
			m.Now-permit.ActivatedAt >= m.Settings.ReturnTimeout {
			return fmt.Sprintf("%s went out and is not back within %v", permit.Subject, m.Settings.ReturnTimeout)
		}
	}
	return ""
}

// crashLoop returns the cause of a halt where a member whose target revision is the new one has crashed CrashLoop times
// within CrashWindow, counting only crashes since the release started; empty where no member has.
func (m *StateMachine) crashLoop(release *Release) string {
	for _, name := range m.memberNames() {
		member := m.Members[name]
		recent := 0
		for _, crash := range member.Crashes {
			at := time.Duration(crash)
			if at > m.Now-m.Settings.CrashWindow && at > release.StartedAt {
				recent++
			}
		}
		if recent >= m.Settings.CrashLoop && member.TargetRevision == release.Revision {
			return fmt.Sprintf("%s crashed %d times within %v", name, recent, m.Settings.CrashWindow)
		}
	}
	return ""
}

// grantReleasePermits grants permits to members of the waves up to the present one, as many as the budgets allow.
func (m *StateMachine) grantReleasePermits(release *Release) {
	usage := m.memberUsage(m.releaseBudget(release))
	for _, name := range release.Order[:release.waveEnd()] {
		member := m.Members[name]
		if member.Revision == release.target() || !m.isAvailable(member) {
			continue
		}
		u := m.memberUnit(member)
		if usage.check(u) != nil {
			continue
		}
		m.grantPermit(Permit{
			Subject: name, Purpose: Restart, Revision: release.target(), Release: release.Number,
			Incarnation: member.Incarnation,
		})
		usage.markUnavailable(u)
	}
}

// unfinishedMembers returns the members that keep the waves up to the present one from being complete. A member that
// was unavailable before its turn does not keep a wave from being complete. A member without a permit, whose target
// revision is that of the release, keeps the wave from being complete until the member serves.
func (m *StateMachine) unfinishedMembers(release *Release) (names []string) {
	for _, name := range release.Order[:release.waveEnd()] {
		member := m.Members[name]
		permit := m.permitOf(member.subject())
		holdsPermit := permit != nil && permit.Release == release.Number
		toRestart := m.isAvailable(member) && member.Revision != release.target()
		toReturn := permit == nil && !member.isServing() && member.TargetRevision == release.target()
		if holdsPermit || toRestart || toReturn {
			names = append(names, name)
		}
	}
	return names
}

// advanceWave ends a wave that is complete, has soaked and has had minWaveRequests requests on the new revision. The
// end of the last wave ends the release. A rollback ends as soon as its wave is complete.
func (m *StateMachine) advanceWave(release *Release) {
	if len(m.unfinishedMembers(release)) > 0 {
		release.SoakingSince = 0
		return
	}
	if release.RollingBack {
		m.finishRelease(release)
		return
	}
	if release.SoakingSince == 0 {
		release.SoakingSince = m.Now
	}
	if m.Now-release.SoakingSince < release.Soak || release.WaveRequests < m.minWaveRequests(release) {
		return
	}
	if release.Wave == len(release.Waves)-1 {
		m.finishRelease(release)
		return
	}
	release.Wave++
	release.SoakingSince, release.WaveRequests, release.Evidence = 0, 0, evidence{}
	m.grantReleasePermits(release)
}

// minWaveRequests returns how many requests the new revision must have had before the wave may end. A wave that
// includes the last member needs none, as no member is left on the previous revision to compare with.
func (m *StateMachine) minWaveRequests(release *Release) int64 {
	if release.waveEnd() == len(release.Order) {
		return 0
	}
	return m.Settings.Analyzer.MinRequests
}
