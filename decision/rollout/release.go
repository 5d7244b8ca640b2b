package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// fleetActor is the actor of audit entries for changes that no operator has requested.
const fleetActor = "the fleet"

// Bounds of a release.
const (
	maxWaves = 100
	maxSoak  = 7 * 24 * time.Hour
)

// startRelease starts a release, unless one is active (invariant 7).
func (m *StateMachine) startRelease(start *StartRelease, requestedBy string) Result {
	if active := m.Release; active.active() {
		result := reject(FailedPrecondition, "release %d to %s, started by %s, is %s: one at a time",
			active.Number, active.Revision, active.StartedBy, active.State)
		result.Release = active.Number
		return result
	}
	if err := start.validate(); err != nil {
		return reject(InvalidArgument, "%v", err)
	}
	previous := start.PreviousRevision
	if previous == "" {
		previous = m.commonRevision()
	}
	if previous == start.Revision {
		return reject(NothingToDo, "the fleet serves on %s already", previous)
	}
	m.LastRelease++
	m.Release = &Release{
		Number:           m.LastRelease,
		Revision:         start.Revision,
		PreviousRevision: previous,
		StartedBy:        requestedBy,
		Waves:            slices.Clone(start.Waves),
		Soak:             start.Soak,
		Order:            m.releaseOrder(m.LastRelease),
		State:            Running,
		StartedAt:        m.Now,
	}
	m.audit(requestedBy, fmt.Sprintf("release %d", m.LastRelease), previous, start.Revision)
	return Result{Release: m.LastRelease}
}

// validate returns an error that names the first field that can't be used, by its name on the wire.
func (s *StartRelease) validate() error {
	switch {
	case s.Revision == "" || strings.ContainsAny(s.Revision, "/\\ \t\n\x00") || s.Revision[0] == '.':
		return fmt.Errorf("revision: found %q, allowed is one word that may name a folder", s.Revision)
	case len(s.Waves) == 0 || len(s.Waves) > maxWaves:
		return fmt.Errorf("waves: found %d, allowed is 1 to %d", len(s.Waves), maxWaves)
	case s.Soak < 0 || s.Soak > maxSoak:
		return fmt.Errorf("soak: found %v, allowed is 0 to 168h", s.Soak)
	}
	last := 0.0
	for i, share := range s.Waves {
		if !(share > last && share <= 1) { // rejects NaN, too
			return fmt.Errorf("waves: found %v at place %d, allowed is a share over %v, up to 1", share, i+1, last)
		}
		last = share
	}
	if last != 1 {
		return fmt.Errorf("waves: the last is %v, and must be 1", last)
	}
	return nil
}

// commonRevision returns the revision that most members serve on; in a tie, the first by name.
func (m *StateMachine) commonRevision() (common string) {
	members := map[string]int{}
	for _, name := range m.memberNames() {
		member := m.Members[name]
		if !member.isServing() {
			continue
		}
		revision := member.Revision
		members[revision]++
		if members[revision] > members[common] || (members[revision] == members[common] && revision < common) {
			common = revision
		}
	}
	return common
}

// releaseOrder returns the members with the zones in turn, and within a zone by a hash of name and release. Each wave
// is thereby spread over the zones, and releases begin with different members.
func (m *StateMachine) releaseOrder(release uint64) []string {
	hash := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%d %s", release, name)
		return h.Sum64()
	}
	byHash := func(a, b string) int { return cmp.Compare(hash(a), hash(b)) }
	var zones []string
	members := map[string][]string{}
	for _, name := range m.memberNames() {
		zone := m.Members[name].Zone
		if members[zone] == nil {
			zones = append(zones, zone)
		}
		members[zone] = append(members[zone], name)
	}
	slices.SortFunc(zones, func(a, b string) int { return byHash("room "+a, "room "+b) })
	for _, zone := range zones {
		slices.SortFunc(members[zone], byHash)
	}
	var order []string
	for i := 0; len(order) < len(m.Members); i++ {
		for _, zone := range zones {
			if i < len(members[zone]) {
				order = append(order, members[zone][i])
			}
		}
	}
	return order
}

// releaseIsRunning reports whether the release of that number is the present one, and neither halting, halted nor done.
func (m *StateMachine) releaseIsRunning(number uint64) bool {
	return m.Release != nil && m.Release.Number == number && m.Release.State == Running
}

// haltRelease begins to halt the release and revokes its inactive permits. The halt is acknowledged once each member
// that was told to shut down has reported (invariant 4).
func (m *StateMachine) haltRelease(actor, cause string) Result {
	release := m.Release
	if !release.active() {
		return reject(NothingToDo, "no release is under way")
	}
	if release.State != Running {
		return Result{Release: release.Number}
	}
	action := fmt.Sprintf("halt release %d: %s", release.Number, cause)
	m.audit(actor, action, string(release.State), string(Halting))
	release.State, release.HaltCause, release.SoakingSince = Halting, cause, 0
	m.revokePermits(release)
	return Result{Release: release.Number}
}

// revokePermits ends the inactive permits of a release.
func (m *StateMachine) revokePermits(release *Release) {
	for _, number := range m.PermitNumbers() {
		if permit := m.Permits[number]; permit.Release == release.Number && permit.ActivatedAt == 0 {
			m.endPermit(permit)
		}
	}
}

// pendingShutdowns returns the members that may yet shut down for the release: those that were told to, and have
// neither reported that they drain nor returned the permit.
func (m *StateMachine) pendingShutdowns(release *Release) (names []string) {
	for _, number := range m.PermitNumbers() {
		permit := m.Permits[number]
		if permit.Release != release.Number || permit.ActivatedAt == 0 {
			continue
		}
		member := m.Members[permit.Subject]
		if member.Incarnation == permit.Incarnation && member.Phase == Serving {
			names = append(names, permit.Subject)
		}
	}
	return names
}

// resumeRelease continues a halted release. Evidence and crashes so far are discarded, as the operator has seen the
// cause of the halt. Members that have shut down get the whole ReturnTimeout once more.
func (m *StateMachine) resumeRelease(requestedBy string) Result {
	release := m.Release
	if !release.active() || release.State == Running {
		return reject(NothingToDo, "no release is halted")
	}
	action := fmt.Sprintf("resume release %d", release.Number)
	m.audit(requestedBy, action, string(release.State), string(Running))
	release.State, release.HaltCause, release.SoakingSince = Running, "", 0
	release.Evidence, release.New, release.Old = evidence{}, RequestCounts{}, RequestCounts{}
	for _, member := range m.Members {
		member.Crashes = nil
	}
	for _, permit := range m.Permits {
		if permit.Release == release.Number && permit.ActivatedAt > 0 {
			permit.ActivatedAt = m.Now
		}
	}
	return Result{Release: release.Number}
}

// rollBackRelease returns all members to the previous revision. Members that start during the rollback start on that
// revision.
func (m *StateMachine) rollBackRelease(requestedBy string) Result {
	release := m.Release
	if release == nil {
		return reject(NothingToDo, "there is no release to take back")
	}
	if release.RollingBack {
		switch release.State {
		case Done:
			return reject(NothingToDo, "release %d was taken back", release.Number)
		case Running:
			return Result{Release: release.Number}
		default:
			return m.resumeRelease(requestedBy)
		}
	}
	action := fmt.Sprintf("take release %d back", release.Number)
	m.audit(requestedBy, action, release.Revision, release.PreviousRevision)
	if release.State == Done {
		release.Order = m.releaseOrder(release.Number)
	}
	release.State, release.RollingBack, release.SoakingSince, release.HaltCause = Running, true, 0, ""
	m.revokePermits(release)
	for _, member := range m.Members {
		member.TargetRevision = release.PreviousRevision
	}
	for _, permit := range m.Permits {
		if permit.Release == release.Number {
			permit.Revision = release.PreviousRevision
		}
	}
	return Result{Release: release.Number}
}

// finishRelease ends the release. Processes that start from now on start on its target.
func (m *StateMachine) finishRelease(release *Release) {
	end := "done"
	if release.RollingBack {
		end = "taken back"
	}
	action := fmt.Sprintf("release %d %s", release.Number, end)
	m.audit(fleetActor, action, string(release.State), string(Done))
	release.State = Done
	for _, member := range m.Members {
		member.TargetRevision = release.target()
	}
}

// errNoMembers reports that a fleet without members has no release to plan.
var errNoMembers = errors.New("rollout: the fleet has no member yet")
