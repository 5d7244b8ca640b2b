package rollout

import (
	"fmt"
	"slices"
)

// unit holds the properties of a front end or an engine that budgets depend on.
type unit struct {
	name, zone, kind string
	weight           float64
	available        bool
}

// isAvailable reports whether a front end counts as available.
func (m *StateMachine) isAvailable(member *Member) bool {
	return member.isServing() && m.permitOf(member.subject()) == nil
}

func (m *StateMachine) memberUnit(member *Member) unit {
	return unit{member.Name, member.Zone, member.Kind, member.Weight, m.isAvailable(member)}
}

func (m *StateMachine) engineUnit(engine *Engine) unit {
	available := engine.Listed && engine.Ready && m.permitOf(engine.subject()) == nil
	return unit{engine.Name, engine.Zone, engine.Kind, engine.Cores, available}
}

func (m *StateMachine) memberUnits() []unit {
	units := make([]unit, 0, len(m.Members))
	for _, member := range m.Members {
		units = append(units, m.memberUnit(member))
	}
	return units
}

func (m *StateMachine) engineUnits() []unit {
	units := make([]unit, 0, len(m.Engines))
	for _, engine := range m.Engines {
		units = append(units, m.engineUnit(engine))
	}
	return units
}

// releaseBudget returns the budget that limits the front ends of a release.
func (m *StateMachine) releaseBudget(release *Release) Budget {
	if release.RollingBack {
		return m.Settings.Rollback
	}
	return m.Settings.FrontEnds
}

// memberUsage returns the front ends' usage of a budget.
func (m *StateMachine) memberUsage(budget Budget) *budgetUsage {
	return newBudgetUsage(budget, m.Load.FrontEnds, m.memberUnits())
}

// engineUsage returns the engines' usage of their budget.
func (m *StateMachine) engineUsage() *budgetUsage {
	return newBudgetUsage(m.Settings.Engines, m.Load.Engines, m.engineUnits())
}

// budgetUsage is the usage of a budget by a set of units. The sums are computed once, for checks of many units.
type budgetUsage struct {
	budget  Budget
	load    float64
	all     scopeCount
	zones   map[string]*scopeCount
	kinds   map[string]*scopeCount
	weight  float64    // sum over the available units
	largest [2]float64 // the two largest weights of available units
}

// scopeCount counts the units of a fleet, a zone or a kind.
type scopeCount struct{ total, unavailable int }

func newBudgetUsage(budget Budget, load float64, units []unit) *budgetUsage {
	usage := &budgetUsage{budget: budget, load: load, zones: map[string]*scopeCount{}, kinds: map[string]*scopeCount{}}
	for _, u := range units {
		if usage.zones[u.zone] == nil {
			usage.zones[u.zone] = &scopeCount{}
		}
		if usage.kinds[u.kind] == nil {
			usage.kinds[u.kind] = &scopeCount{}
		}
		for _, scope := range usage.scopes(u) {
			scope.total++
			if !u.available {
				scope.unavailable++
			}
		}
		if u.available {
			usage.addWeight(u.weight)
		}
	}
	return usage
}

func (b *budgetUsage) addWeight(weight float64) {
	b.weight += weight
	if weight > b.largest[0] {
		b.largest[0], b.largest[1] = weight, b.largest[0]
	} else if weight > b.largest[1] {
		b.largest[1] = weight
	}
}

// scopes returns the counts that include a unit: of the fleet, of its zone and of its kind.
func (b *budgetUsage) scopes(u unit) [3]*scopeCount {
	return [3]*scopeCount{&b.all, b.zones[u.zone], b.kinds[u.kind]}
}

// shareRounding keeps a product of share and count from being rounded down where the exact product is a whole number.
const shareRounding = 1e-9

// budgetLimit returns how many units of a total may be unavailable. A bound of 0 is not set.
func budgetLimit(maxCount int, maxShare float64, total int) int {
	limit := total
	if maxCount > 0 {
		limit = min(limit, maxCount)
	}
	if maxShare > 0 {
		limit = min(limit, max(1, int(maxShare*float64(total)+shareRounding)))
	}
	return limit
}

// overall returns how many units of the fleet are unavailable, and how many may be.
func (b *budgetUsage) overall() (unavailable, limit int) {
	return b.all.unavailable, budgetLimit(b.budget.Max, b.budget.MaxShare, b.all.total)
}

// check returns a rejection where a unit may not be taken out of service, and nil where it may. A unit that is
// unavailable already is checked as if it were available.
func (b *budgetUsage) check(u unit) *RejectedError {
	counted := 0
	if !u.available {
		counted = 1
	}
	for _, scope := range []struct {
		name     string
		count    scopeCount
		maxCount int
		maxShare float64
	}{
		{"all", b.all, b.budget.Max, b.budget.MaxShare},
		{"room " + u.zone, *b.zones[u.zone], b.budget.ZoneMax, b.budget.ZoneMaxShare},
		{"kind " + u.kind, *b.kinds[u.kind], b.budget.KindMax, b.budget.KindMaxShare},
	} {
		limit := budgetLimit(scope.maxCount, scope.maxShare, scope.count.total)
		others := scope.count.unavailable - counted
		if others+1 > limit {
			return &RejectedError{Code: NoBudget, Scope: scope.name, Limit: limit,
				Text: fmt.Sprintf("%s may not go out: %d of %d (%s) are out, and %d may be",
					u.name, others, scope.count.total, scope.name, limit)}
		}
	}
	return b.checkCapacity(u)
}

// checkCapacity returns a rejection where the units could not carry the load without this unit and the largest other
// one, and nil where they could. Without a measured load nothing is checked.
func (b *budgetUsage) checkCapacity(u unit) *RejectedError {
	if !(b.load > 0) {
		return nil
	}
	left, largest := b.weight, b.largest[0]
	if u.available {
		left -= u.weight
		if u.weight >= largest {
			largest = b.largest[1]
		}
	}
	needed := b.load * (1 + b.budget.Headroom)
	if left-largest < needed {
		return &RejectedError{Code: NoBudget, Scope: "capacity",
			Text: fmt.Sprintf("%s may not go out: with one more loss %.4g would be left, and %.4g are needed "+
				"(measured %.4g, headroom %.0f%%)",
				u.name, max(0, left-largest), needed, b.load, 100*b.budget.Headroom)}
	}
	return nil
}

// markUnavailable counts an available unit as unavailable from now on.
func (b *budgetUsage) markUnavailable(u unit) {
	if !u.available {
		return
	}
	for _, scope := range b.scopes(u) {
		scope.unavailable++
	}
	// The largest weights are not updated. If one of them is this unit's weight, later checks are stricter than needed.
	b.weight -= u.weight
}

// unavailableNames returns the sorted names of the unavailable units, without the excepted one.
func unavailableNames(units []unit, except string) (names []string) {
	for _, u := range units {
		if !u.available && u.name != except {
			names = append(names, u.name)
		}
	}
	slices.Sort(names)
	return names
}
