package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// BudgetLine tells how one budget stands.
type BudgetLine struct {
	Of    string   `json:"of"` // "front ends" or "engines"
	Scope string   `json:"scope"`
	N     int      `json:"n"`
	Limit int      `json:"limit"`
	Out   []string `json:"out"`
}

// Budgets tells how the budgets in force stand, rooms and kinds included where they are bounded.
func (m *StateMachine) Budgets() []BudgetLine {
	r := m.Release
	back := r.active() && r.RollingBack
	lines := budgetLines("front ends", m.frontBudget(back), m.memberUnits())
	return append(lines, budgetLines("engines", m.Settings.Engines, m.engineUnits())...)
}

func budgetLines(of string, b Budget, units []unit) []BudgetLine {
	var lines []BudgetLine
	add := func(scope string, most int, share float64, has func(unit) bool) {
		l := BudgetLine{Of: of, Scope: scope, Out: []string{}}
		for _, u := range units {
			if has(u) {
				l.N++
				if !u.in {
					l.Out = append(l.Out, u.name)
				}
			}
		}
		slices.Sort(l.Out)
		l.Limit = limit(most, share, l.N)
		lines = append(lines, l)
	}
	add("all", b.Most, b.Share, func(unit) bool { return true })
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
	group("room", b.ZoneMost, b.ZoneShare, func(u unit) string { return u.room })
	group("kind", b.KindMost, b.KindShare, func(u unit) string { return u.kind })
	return lines
}

// Blocks tells, for the drain of an engine, each front end that keeps it from being stopped, and why.
func (m *StateMachine) Blocks(permit uint64) (lines []string) {
	p := m.Permits[permit]
	if p == nil || !p.Engine {
		return nil
	}
	for _, name := range m.names() {
		if why := m.blocks(p, m.Members[name]); why != "" {
			lines = append(lines, why)
		}
	}
	return lines
}

// Waiting tells what a release waits for.
func (m *StateMachine) Waiting() (lines []string) {
	r := m.Release
	if !r.active() {
		return nil
	}
	if r.State != Running {
		for _, name := range m.going(r) {
			lines = append(lines, name+": was told to go out, and has not said that it is, or stayed")
		}
		return lines
	}
	t := m.memberTally(r.RollingBack)
	for _, name := range m.waiting(r) {
		o := m.Members[name]
		switch p := m.permitOf(name, false); {
		case p != nil && p.ActivatedAt > 0:
			lines = append(lines, fmt.Sprintf("%s: out for %v", name, (m.Now-p.ActivatedAt).Round(time.Millisecond)))
		case p != nil:
			lines = append(lines, name+": has permit "+fmt.Sprint(p.Number)+", and has not begun")
		case !o.serves():
			lines = append(lines, fmt.Sprintf("%s: is to serve on %s, and is %s", name, o.TargetRevision, o.Phase))
		default:
			if no := m.fits(t, m.memberUnit(o)); no != nil {
				lines = append(lines, no.Text)
			} else {
				lines = append(lines, name+": its turn comes next")
			}
		}
	}
	if len(lines) == 0 && !r.RollingBack {
		if left := r.SoakingSince + r.Soak - m.Now; left > 0 {
			lines = append(lines, fmt.Sprintf("wave %d soaks for %v more", r.Wave+1, left.Round(time.Millisecond)))
		} else if least := m.least(r); r.Sample < least {
			lines = append(lines, fmt.Sprintf("wave %d has had %d requests on %s, and needs %d", r.Wave+1, r.Sample, r.Revision, least))
		}
	}
	return lines
}

// Wave is one wave of a plan.
type Wave struct {
	Members []string      `json:"members"`
	AtOnce  int           `json:"at_once"` // most that may be out
	Longest time.Duration `json:"longest"` // with every member as late back as NotBack allows, and the soak
}

// Plan tells what a release would do, and touches nothing. Longest holds while nobody else is out.
func (m *StateMachine) Plan(s StartRelease) ([]Wave, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	if len(m.Members) == 0 {
		return nil, fmt.Errorf("rollout: the fleet has no member yet")
	}
	r := Release{Waves: s.Waves, Order: m.order(m.Releases + 1)}
	b := m.Settings.FrontEnds
	most := limit(b.Most, b.Share, len(r.Order))
	var out []Wave
	for before := 0; r.Wave < len(r.Waves); r.Wave++ {
		w := Wave{Members: r.Order[before:max(before, r.cut())]}
		w.AtOnce = min(most, len(w.Members))
		if w.AtOnce > 0 {
			w.Longest = time.Duration(math.Ceil(float64(len(w.Members))/float64(w.AtOnce))) * m.Settings.ReturnTimeout
		}
		w.Longest += s.Soak
		before = max(before, r.cut())
		out = append(out, w)
	}
	return out, nil
}
