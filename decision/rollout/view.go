package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// BudgetStatus tells how one budget stands.
type BudgetStatus struct {
	Subjects    string   `json:"of"` // "front ends" or "engines"
	Scope       string   `json:"scope"`
	Total       int      `json:"n"`
	Limit       int      `json:"limit"`
	Unavailable []string `json:"out"`
}

// Budgets tells how the budgets in force stand, rooms and kinds included where they are bounded.
func (m *StateMachine) Budgets() []BudgetStatus {
	r := m.Release
	back := r.active() && r.RollingBack
	lines := budgetStatus("front ends", m.frontEndBudget(back), m.memberUnits())
	return append(lines, budgetStatus("engines", m.Settings.Engines, m.engineUnits())...)
}

func budgetStatus(of string, b Budget, units []unit) []BudgetStatus {
	var lines []BudgetStatus
	add := func(scope string, most int, share float64, has func(unit) bool) {
		l := BudgetStatus{Subjects: of, Scope: scope, Unavailable: []string{}}
		for _, u := range units {
			if has(u) {
				l.Total++
				if !u.available {
					l.Unavailable = append(l.Unavailable, u.name)
				}
			}
		}
		slices.Sort(l.Unavailable)
		l.Limit = budgetLimit(most, share, l.Total)
		lines = append(lines, l)
	}
	add("all", b.Max, b.MaxShare, func(unit) bool { return true })
	group := func(name string, most int, share float64, of func(unit) string) {
		if most == 0 && share == 0 {
			return
		}
		var keys []string
		for _, u := range units {
			keys = append(keys, of(u))
		}
		slices.Sort(keys)
		for _, k := range slices.Compact(keys) {
			add(name+" "+k, most, share, func(u unit) bool { return of(u) == k })
		}
	}
	group("room", b.ZoneMax, b.ZoneMaxShare, func(u unit) string { return u.zone })
	group("kind", b.KindMax, b.KindMaxShare, func(u unit) string { return u.kind })
	return lines
}

// DrainBlockers tells, for the drain of an engine, each front end that keeps it from being stopped, and why.
func (m *StateMachine) DrainBlockers(permit uint64) (lines []string) {
	p := m.Permits[permit]
	if p == nil || !p.Engine {
		return nil
	}
	for _, name := range m.memberNames() {
		if why := m.drainBlocker(p, m.Members[name]); why != "" {
			lines = append(lines, why)
		}
	}
	return lines
}

// ReleaseBlockers tells what a release waits for.
func (m *StateMachine) ReleaseBlockers() (lines []string) {
	r := m.Release
	if !r.active() {
		return nil
	}
	if r.State != Running {
		for _, name := range m.pendingShutdowns(r) {
			lines = append(lines, name+": was told to go out, and has not said that it is, or stayed")
		}
		return lines
	}
	t := m.memberUsage(r.RollingBack)
	for _, name := range m.unfinishedMembers(r) {
		o := m.Members[name]
		switch p := m.permitOf(name, false); {
		case p != nil && p.ActivatedAt > 0:
			lines = append(lines, fmt.Sprintf("%s: out for %v", name, (m.Now-p.ActivatedAt).Round(time.Millisecond)))
		case p != nil:
			lines = append(lines, name+": has permit "+fmt.Sprint(p.Number)+", and has not begun")
		case !o.isServing():
			lines = append(lines, fmt.Sprintf("%s: is to serve on %s, and is %s", name, o.TargetRevision, o.Phase))
		default:
			if no := m.checkBudget(t, m.memberUnit(o)); no != nil {
				lines = append(lines, no.Text)
			} else {
				lines = append(lines, name+": its turn comes next")
			}
		}
	}
	if len(lines) == 0 && !r.RollingBack {
		if left := r.SoakingSince + r.Soak - m.Now; left > 0 {
			lines = append(lines, fmt.Sprintf("wave %d soaks for %v more", r.Wave+1, left.Round(time.Millisecond)))
		} else if least := m.minWaveRequests(r); r.WaveRequests < least {
			lines = append(lines, fmt.Sprintf("wave %d has had %d requests on %s, and needs %d", r.Wave+1, r.WaveRequests, r.Revision, least))
		}
	}
	return lines
}

// Wave is one wave of a plan.
type Wave struct {
	Members        []string      `json:"members"`
	MaxUnavailable int           `json:"at_once"` // most that may be out
	MaxDuration    time.Duration `json:"longest"` // with every member as late back as NotBack allows, and the soak
}

// Plan tells what a release would do, and touches nothing. Longest holds while nobody else is out.
func (m *StateMachine) Plan(s StartRelease) ([]Wave, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	if len(m.Members) == 0 {
		return nil, fmt.Errorf("rollout: the fleet has no member yet")
	}
	r := Release{Waves: s.Waves, Order: m.releaseOrder(m.LastRelease + 1)}
	b := m.Settings.FrontEnds
	most := budgetLimit(b.Max, b.MaxShare, len(r.Order))
	var out []Wave
	for before := 0; r.Wave < len(r.Waves); r.Wave++ {
		w := Wave{Members: r.Order[before:max(before, r.waveEnd())]}
		w.MaxUnavailable = min(most, len(w.Members))
		if w.MaxUnavailable > 0 {
			w.MaxDuration = time.Duration(math.Ceil(float64(len(w.Members))/float64(w.MaxUnavailable))) * m.Settings.ReturnTimeout
		}
		w.MaxDuration += s.Soak
		before = max(before, r.waveEnd())
		out = append(out, w)
	}
	return out, nil
}
