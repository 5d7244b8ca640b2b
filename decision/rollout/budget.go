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
	name, room, kind string
	weight           float64
	in               bool
}

// inFleet tells whether a front end counts as in: it serves, is heard of, and holds no permit.
func (m *StateMachine) inFleet(o *Member) bool {
	if m.skip(checkDoubtedOut) {
		return o.Phase == Serving && m.permitOf(o.Name, false) == nil
	}
	return o.serves() && m.permitOf(o.Name, false) == nil
}

func (m *StateMachine) memberUnit(o *Member) unit {
	return unit{o.Name, o.Zone, o.Kind, o.Weight, m.inFleet(o)}
}

func (m *StateMachine) engineUnit(e *Engine) unit {
	return unit{e.Name, e.Zone, e.Kind, e.Cores, e.Listed && e.Ready && m.permitOf(e.Name, true) == nil}
}

// tally sums the units up, so that many may be held against the budgets at the cost of one pass.
type tally struct {
	b      Budget
	load   float64
	all    scope
	rooms  map[string]*scope
	kinds  map[string]*scope
	weight float64    // of those that are in
	top    [2]float64 // the two greatest of them
}

type scope struct{ n, out int }

func newTally(b Budget, load float64, units []unit) *tally {
	t := &tally{b: b, load: load, rooms: map[string]*scope{}, kinds: map[string]*scope{}}
	for _, u := range units {
		if t.rooms[u.room] == nil {
			t.rooms[u.room] = &scope{}
		}
		if t.kinds[u.kind] == nil {
			t.kinds[u.kind] = &scope{}
		}
		for _, s := range t.scopes(u) {
			s.n++
			if !u.in {
				s.out++
			}
		}
		if u.in {
			t.weight += u.weight
			if u.weight > t.top[0] {
				t.top[0], t.top[1] = u.weight, t.top[0]
			} else if u.weight > t.top[1] {
				t.top[1] = u.weight
			}
		}
	}
	return t
}

func (t *tally) scopes(u unit) [3]*scope { return [3]*scope{&t.all, t.rooms[u.room], t.kinds[u.kind]} }

// limit is the most that may be out of n.
func limit(most int, share float64, n int) int {
	l := n
	if most > 0 {
		l = min(l, most)
	}
	if share > 0 {
		l = min(l, max(1, int(share*float64(n)+1e-9)))
	}
	return l
}

// overrun tells by how many the budget in all is passed.
func (t *tally) overrun() (out, most int) {
	return t.all.out, limit(t.b.Most, t.b.Share, t.all.n)
}

// fits tells whether the unit may go out by choice; it counts as in for that, whatever it is.
func (m *StateMachine) fits(t *tally, u unit) *RejectedError {
	mine := 0
	if !u.in {
		mine = 1 // it is out already, and adds nothing
	}
	room, kind := t.rooms[u.room], t.kinds[u.kind]
	for _, s := range []struct {
		name        string
		of          scope
		most        int
		share       float64
		room, check bool
	}{
		{"all", t.all, t.b.Most, t.b.Share, false, true},
		{"room " + u.room, *room, t.b.ZoneMost, t.b.ZoneShare, true, !m.skip(checkRoomBudget)},
		{"kind " + u.kind, *kind, t.b.KindMost, t.b.KindShare, false, true},
	} {
		most := limit(s.most, s.share, s.of.n)
		if s.check && s.of.out-mine+1 > most {
			return &RejectedError{Code: NoBudget, Scope: s.name, Limit: most,
				Text: fmt.Sprintf("%s may not go out: %d of %d (%s) are out, and %d may be", u.name, s.of.out-mine, s.of.n, s.name, most)}
		}
	}
	if t.load > 0 && !m.skip(checkFloor) {
		left, most := t.weight, t.top[0]
		if u.in {
			left -= u.weight
			if u.weight >= most {
				most = t.top[1]
			}
		}
		if need := t.load * (1 + t.b.Headroom); left-most < need {
			return &RejectedError{Code: NoBudget, Scope: "capacity",
				Text: fmt.Sprintf("%s may not go out: with one more loss %.4g would be left, and %.4g are needed (measured %.4g, headroom %.0f%%)",
					u.name, max(0, left-most), need, t.load, 100*t.b.Headroom)}
		}
	}
	return nil
}

// take books that the unit is out now.
func (t *tally) take(u unit) {
	if !u.in {
		return
	}
	for _, s := range t.scopes(u) {
		s.out++
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

// frontBudget is the budget in force for front ends, of a release or of an operator.
func (m *StateMachine) frontBudget(back bool) Budget {
	if back {
		return m.Settings.Rollback
	}
	return m.Settings.FrontEnds
}

func (m *StateMachine) memberTally(back bool) *tally {
	return newTally(m.frontBudget(back), m.Load.FrontEnds, m.memberUnits())
}

func (m *StateMachine) engineTally() *tally {
	return newTally(m.Settings.Engines, m.Load.Engines, m.engineUnits())
}

// out names who is out, for a refusal.
func out(units []unit, except string) (names []string) {
	for _, u := range units {
		if !u.in && u.name != except {
			names = append(names, u.name)
		}
	}
	slices.Sort(names)
	return names
}

// Due is the next time at which a tick may change something; false where none may.
func (m *StateMachine) Due() (time.Duration, bool) {
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
			at(o.PreviousEndedAt + m.Settings.Protocol)
			if o.Phase == Terminated {
				at(o.Changed + m.Settings.Protocol)
			}
		}
	}
	return due, due < math.MaxInt64
}
