package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

// BudgetStatus is the usage of one budget in one scope.
type BudgetStatus struct {
	Subjects    string   `json:"of"`    // "front ends" or "engines"
	Scope       string   `json:"scope"` // "all", "room ZONE" or "kind KIND"
	Total       int      `json:"n"`
	Limit       int      `json:"limit"`
	Unavailable []string `json:"out"`
}

// Budgets returns the usage of the budgets in force: in all, and by zone and by kind where these are bounded.
func (m *StateMachine) Budgets() []BudgetStatus {
	budget := m.Settings.FrontEnds
	if m.Release.active() {
		budget = m.releaseBudget(m.Release)
	}
	frontEnds := budgetStatus("front ends", budget, m.memberUnits())
	return append(frontEnds, budgetStatus("engines", m.Settings.Engines, m.engineUnits())...)
}

func budgetStatus(subjects string, budget Budget, units []unit) []BudgetStatus {
	all := BudgetStatus{Subjects: subjects, Scope: "all"}
	statuses := []BudgetStatus{all.of(units, budget.Max, budget.MaxShare)}
	for _, group := range []struct {
		name     string
		maxCount int
		maxShare float64
		key      func(unit) string
	}{
		{"room", budget.ZoneMax, budget.ZoneMaxShare, func(u unit) string { return u.zone }},
		{"kind", budget.KindMax, budget.KindMaxShare, func(u unit) string { return u.kind }},
	} {
		if group.maxCount == 0 && group.maxShare == 0 {
			continue
		}
		members := map[string][]unit{}
		for _, u := range units {
			members[group.key(u)] = append(members[group.key(u)], u)
		}
		for _, key := range slices.Sorted(maps.Keys(members)) {
			scope := BudgetStatus{Subjects: subjects, Scope: group.name + " " + key}
			statuses = append(statuses, scope.of(members[key], group.maxCount, group.maxShare))
		}
	}
	return statuses
}

// of returns the status with the counts and the limit for the units of its scope.
func (b BudgetStatus) of(units []unit, maxCount int, maxShare float64) BudgetStatus {
	b.Total, b.Unavailable = len(units), []string{}
	for _, u := range units {
		if !u.available {
			b.Unavailable = append(b.Unavailable, u.name)
		}
	}
	slices.Sort(b.Unavailable)
	b.Limit = budgetLimit(maxCount, maxShare, b.Total)
	return b
}

// DrainBlockers returns, for the permit of a drained engine, the reason of each front end that keeps the engine from
// being stopped. It returns nil for any other number.
func (m *StateMachine) DrainBlockers(number uint64) (blockers []string) {
	permit := m.Permits[number]
	if permit == nil || !permit.Engine {
		return nil
	}
	for _, name := range m.memberNames() {
		if blocker := m.drainBlocker(permit, m.Members[name]); blocker != "" {
			blockers = append(blockers, blocker)
		}
	}
	return blockers
}

// ReleaseBlockers returns the conditions that the active release waits for; nil where no release is active.
func (m *StateMachine) ReleaseBlockers() (blockers []string) {
	release := m.Release
	if !release.active() {
		return nil
	}
	if release.State != Running {
		for _, name := range m.pendingShutdowns(release) {
			blockers = append(blockers, name+": was told to go out, and has not said that it is, or stayed")
		}
		return blockers
	}
	usage := m.memberUsage(m.releaseBudget(release))
	for _, name := range m.unfinishedMembers(release) {
		blockers = append(blockers, m.memberBlocker(usage, m.Members[name]))
	}
	if len(blockers) == 0 && !release.RollingBack {
		return m.waveBlockers(release)
	}
	return blockers
}

// memberBlocker returns the condition that an unfinished member of a release waits for.
func (m *StateMachine) memberBlocker(usage *budgetUsage, member *Member) string {
	permit := m.permitOf(member.subject())
	switch {
	case permit != nil && permit.ActivatedAt > 0:
		return fmt.Sprintf("%s: out for %v", member.Name, (m.Now - permit.ActivatedAt).Round(time.Millisecond))
	case permit != nil:
		return member.Name + ": has permit " + strconv.FormatUint(permit.Number, 10) + ", and has not begun"
	case !member.isServing():
		return fmt.Sprintf("%s: is to serve on %s, and is %s", member.Name, member.TargetRevision, member.Phase)
	}
	if rejected := usage.check(m.memberUnit(member)); rejected != nil {
		return rejected.Text
	}
	return member.Name + ": its turn comes next"
}

// waveBlockers returns the condition that a wave waits for after all its members are finished.
func (m *StateMachine) waveBlockers(release *Release) []string {
	if left := release.SoakingSince + release.Soak - m.Now; left > 0 {
		return []string{fmt.Sprintf("wave %d soaks for %v more", release.Wave+1, left.Round(time.Millisecond))}
	}
	if needed := m.minWaveRequests(release); release.WaveRequests < needed {
		return []string{fmt.Sprintf("wave %d has had %d requests on %s, and needs %d",
			release.Wave+1, release.WaveRequests, release.Revision, needed)}
	}
	return nil
}

// Wave is one wave of a planned release.
type Wave struct {
	Members        []string      `json:"members"`
	MaxUnavailable int           `json:"at_once"`
	MaxDuration    time.Duration `json:"longest"` // if each member takes ReturnTimeout to return; includes the soak
}

// Plan returns the waves that a release would have, and changes nothing. MaxDuration assumes that no other member is
// unavailable.
func (m *StateMachine) Plan(start StartRelease) ([]Wave, error) {
	if err := start.validate(); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	if len(m.Members) == 0 {
		return nil, errNoMembers
	}
	release := Release{Waves: start.Waves, Order: m.releaseOrder(m.LastRelease + 1)}
	budget := m.Settings.FrontEnds
	limit := budgetLimit(budget.Max, budget.MaxShare, len(release.Order))
	var waves []Wave
	for first := 0; release.Wave < len(release.Waves); release.Wave++ {
		end := max(first, release.waveEnd())
		wave := Wave{Members: release.Order[first:end], MaxDuration: start.Soak}
		wave.MaxUnavailable = min(limit, len(wave.Members))
		if wave.MaxUnavailable > 0 {
			rounds := math.Ceil(float64(len(wave.Members)) / float64(wave.MaxUnavailable))
			wave.MaxDuration += time.Duration(rounds) * m.Settings.ReturnTimeout
		}
		first = end
		waves = append(waves, wave)
	}
	return waves, nil
}

// NextDeadline returns the next time at which a tick may change the state; false where there is none.
func (m *StateMachine) NextDeadline() (time.Duration, bool) {
	next := time.Duration(math.MaxInt64)
	consider := func(at time.Duration) {
		if at > m.Now {
			next = min(next, at)
		}
	}
	if release := m.Release; release.active() && release.State == Running {
		if release.SoakingSince > 0 {
			consider(release.SoakingSince + release.Soak)
		}
		for _, permit := range m.Permits {
			if permit.Release == release.Number && permit.ActivatedAt > 0 {
				consider(permit.ActivatedAt + m.Settings.ReturnTimeout)
			}
		}
	}
	for _, permit := range m.Permits {
		if !permit.Engine || permit.DrainedAt > 0 {
			continue
		}
		for _, member := range m.Members {
			consider(member.PreviousEndedAt + m.Settings.AbandonedQueryTimeout)
			if member.Phase == Terminated {
				consider(member.ChangedAt + m.Settings.AbandonedQueryTimeout)
			}
		}
	}
	return next, next < math.MaxInt64
}
