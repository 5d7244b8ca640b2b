package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// unit is a front end or an engine, as budgets see it.
type unit struct {
	name, zone, kind string
	weight           float64
	available        bool
}

// isAvailable tells whether a front end counts as in: it serves, is heard of, and holds no permit.
func (m *StateMachine) isAvailable(o *Member) bool {
	if m.skip(checkDoubtedOut) {
		return o.Phase == Serving && m.permitOf(o.Name, false) == nil
	}
	return o.isServing() && m.permitOf(o.Name, false) == nil
}

func (m *StateMachine) memberUnit(o *Member) unit {
	return unit{o.Name, o.Zone, o.Kind, o.Weight, m.isAvailable(o)}
}

func (m *StateMachine) engineUnit(e *Engine) unit {
	return unit{e.Name, e.Zone, e.Kind, e.Cores, e.Listed && e.Ready && m.permitOf(e.Name, true) == nil}
}

// budgetUsage sums the units up, so that many may be held against the budgets at the cost of one pass.
type budgetUsage struct {
	budget  Budget
	load    float64
	all     scopeCount
	zones   map[string]*scopeCount
	kinds   map[string]*scopeCount
	weight  float64    // of those that are in
	largest [2]float64 // the two greatest of them
}

type scopeCount struct{ total, unavailable int }

func newBudgetUsage(b Budget, load float64, units []unit) *budgetUsage {
	t := &budgetUsage{budget: b, load: load, zones: map[string]*scopeCount{}, kinds: map[string]*scopeCount{}}
	for _, u := range units {
		if t.zones[u.zone] == nil {
			t.zones[u.zone] = &scopeCount{}
		}
		if t.kinds[u.kind] == nil {
			t.kinds[u.kind] = &scopeCount{}
		}
		for _, s := range t.scopes(u) {
			s.total++
			if !u.available {
				s.unavailable++
			}
		}
		if u.available {
			t.weight += u.weight
			if u.weight > t.largest[0] {
				t.largest[0], t.largest[1] = u.weight, t.largest[0]
			} else if u.weight > t.largest[1] {
				t.largest[1] = u.weight
			}
		}
	}
	return t
}

func (t *budgetUsage) scopes(u unit) [3]*scopeCount {
	return [3]*scopeCount{&t.all, t.zones[u.zone], t.kinds[u.kind]}
}

// budgetLimit is the most that may be out of n.
func budgetLimit(most int, share float64, n int) int {
	l := n
	if most > 0 {
		l = min(l, most)
	}
	if share > 0 {
		l = min(l, max(1, int(share*float64(n)+1e-9)))
	}
	return l
}

// unavailable tells by how many the budget in all is passed.
func (t *budgetUsage) unavailable() (out, most int) {
	return t.all.unavailable, budgetLimit(t.budget.Max, t.budget.MaxShare, t.all.total)
}

// checkBudget tells whether the unit may go out by choice; it counts as in for that, whatever it is.
func (m *StateMachine) checkBudget(t *budgetUsage, u unit) *RejectedError {
	mine := 0
	if !u.available {
		mine = 1 // it is out already, and adds nothing
	}
	room, kind := t.zones[u.zone], t.kinds[u.kind]
	for _, s := range []struct {
		name        string
		of          scopeCount
		most        int
		share       float64
		room, check bool
	}{
		{"all", t.all, t.budget.Max, t.budget.MaxShare, false, true},
		{"room " + u.zone, *room, t.budget.ZoneMax, t.budget.ZoneMaxShare, true, !m.skip(checkRoomBudget)},
		{"kind " + u.kind, *kind, t.budget.KindMax, t.budget.KindMaxShare, false, true},
	} {
		most := budgetLimit(s.most, s.share, s.of.total)
		if s.check && s.of.unavailable-mine+1 > most {
			return &RejectedError{Code: NoBudget, Scope: s.name, Limit: most,
				Text: fmt.Sprintf("%s may not go out: %d of %d (%s) are out, and %d may be", u.name, s.of.unavailable-mine, s.of.total, s.name, most)}
		}
	}
	if t.load > 0 && !m.skip(checkFloor) {
		left, most := t.weight, t.largest[0]
		if u.available {
			left -= u.weight
			if u.weight >= most {
				most = t.largest[1]
			}
		}
		if need := t.load * (1 + t.budget.Headroom); left-most < need {
			return &RejectedError{Code: NoBudget, Scope: "capacity",
				Text: fmt.Sprintf("%s may not go out: with one more loss %.4g would be left, and %.4g are needed (measured %.4g, headroom %.0f%%)",
					u.name, max(0, left-most), need, t.load, 100*t.budget.Headroom)}
		}
	}
	return nil
}

// markUnavailable books that the unit is out now.
func (t *budgetUsage) markUnavailable(u unit) {
	if !u.available {
		return
	}
	for _, s := range t.scopes(u) {
		s.unavailable++
	}
	t.weight -= u.weight // the two greatest stay: they may be over the truth by one that is out, which errs on the safe side
}

func (m *StateMachine) memberUnits() []unit {
	out := make([]unit, 0, len(m.Members))
	for _, o := range m.Members {
		out = append(out, m.memberUnit(o))
	}
	return out
}

func (m *StateMachine) engineUnits() []unit {
	out := make([]unit, 0, len(m.Engines))
	for _, e := range m.Engines {
		out = append(out, m.engineUnit(e))
	}
	return out
}

// frontEndBudget is the budget in force for front ends, of a release or of an operator.
func (m *StateMachine) frontEndBudget(back bool) Budget {
	if back {
		return m.Settings.Rollback
	}
	return m.Settings.FrontEnds
}

func (m *StateMachine) memberUsage(back bool) *budgetUsage {
	return newBudgetUsage(m.frontEndBudget(back), m.Load.FrontEnds, m.memberUnits())
}

func (m *StateMachine) engineUsage() *budgetUsage {
	return newBudgetUsage(m.Settings.Engines, m.Load.Engines, m.engineUnits())
}

// unavailableNames names who is out, for a refusal.
func unavailableNames(units []unit, except string) (names []string) {
	for _, u := range units {
		if !u.available && u.name != except {
			names = append(names, u.name)
		}
	}
	slices.Sort(names)
	return names
}

// NextDeadline is the next time at which a tick may change something; false where none may.
func (m *StateMachine) NextDeadline() (time.Duration, bool) {
	due := time.Duration(math.MaxInt64)
	at := func(t time.Duration) {
		if t > m.Now && t < due {
			due = t
		}
	}
	if r := m.Release; r.active() && r.State == Running {
		if r.SoakingSince > 0 {
			at(r.SoakingSince + r.Soak)
		}
		for _, n := range slices.Sorted(maps.Keys(m.Permits)) {
			if p := m.Permits[n]; p.Release == r.Number && p.ActivatedAt > 0 {
				at(p.ActivatedAt + m.Settings.ReturnTimeout)
			}
		}
	}
	for _, p := range m.Permits {
		if !p.Engine || p.DrainedAt > 0 {
			continue
		}
		for _, o := range m.Members {
			at(o.PreviousEndedAt + m.Settings.AbandonedQueryTimeout)
			if o.Phase == Terminated {
				at(o.ChangedAt + m.Settings.AbandonedQueryTimeout)
			}
		}
	}
	return due, due < math.MaxInt64
}
