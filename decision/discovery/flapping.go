package discovery

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// penalty is the figure of merit of RFC 2439: it rises with each failure and halves in each half-life.
type penalty struct {
	value     float64 // at the time updatedAt
	updatedAt time.Duration
}

// at returns the decayed penalty at the given time.
func (p penalty) at(now time.Duration, settings *Settings) float64 {
	return p.value * math.Exp2(-(now-p.updatedAt).Seconds()/settings.HalfLife.Seconds())
}

// ceiling returns the highest penalty, which decays to Reuse in MaxSuppress (invariant 7).
func (s *Settings) ceiling() float64 {
	return s.Reuse * math.Exp2(s.MaxSuppress.Seconds()/s.HalfLife.Seconds())
}

// addFailure adds the penalty of one change from passing to failing.
func (p *penalty) addFailure(now time.Duration, settings *Settings) {
	p.value, p.updatedAt = math.Min(p.at(now, settings)+settings.Penalty, settings.ceiling()), now
}

// reuseAt returns the time at which the penalty has decayed to Reuse.
func (p penalty) reuseAt(settings *Settings) time.Duration {
	if p.value <= settings.Reuse {
		return p.updatedAt
	}
	halfLives := math.Log2(p.value / settings.Reuse)
	// A microsecond is added so that rounding does not leave the penalty above the threshold at that time.
	return p.updatedAt + time.Duration(halfLives*float64(settings.HalfLife)) + time.Microsecond
}

// unhealthy reports whether evidence suggests to eject the endpoint.
func (e *endpoint) unhealthy() bool { return e.failing || e.suppressed }

// ejectable reports whether evidence may eject the endpoint: neither a command nor an address conflict holds it back
// already.
func (e *endpoint) ejectable() bool { return !e.deregistered && !e.drain && e.addressConflict == "" }

// applyHealth applies the latest reported health of an endpoint. A change from passing to failing adds to the penalty
// and may suppress the endpoint.
func (s *EndpointSet) applyHealth(e *endpoint) {
	if !e.Passing && !e.failing {
		e.failingSince = s.now
		e.penalty.addFailure(s.now, &s.settings)
		e.suppressed = e.suppressed || e.penalty.at(s.now, &s.settings) >= s.settings.Suppress
	}
	e.failing = !e.Passing
}

// ejectUnhealthy ejects unhealthy endpoints up to the bound of invariant 3. Endpoints that are ejected already come
// first, then those that have failed for the longest time.
func (s *EndpointSet) ejectUnhealthy(all []*endpoint) {
	ejectable := 0
	var unhealthy []*endpoint
	for _, e := range all {
		s.endSuppression(e)
		if e.ejectable() {
			ejectable++
		}
		if e.ejectable() && e.unhealthy() {
			unhealthy = append(unhealthy, e)
		} else {
			e.ejected = false
		}
	}
	slices.SortStableFunc(unhealthy, compareEjection)
	allowed := min(int(s.settings.MaxEjected*float64(ejectable)), ejectable-1)
	for i, e := range unhealthy {
		if i >= allowed {
			e.ejected = false
		} else if !e.ejected {
			e.ejected, e.ejectedAt = true, s.now
		}
	}
}

// endSuppression ends the suppression of an endpoint that passes and whose penalty has decayed to Reuse.
func (s *EndpointSet) endSuppression(e *endpoint) {
	if e.suppressed && !e.failing && e.penalty.at(s.now, &s.settings) <= s.settings.Reuse {
		e.suppressed = false
	}
}

// compareEjection orders unhealthy endpoints by precedence for ejection: ejected ones by the time of their ejection,
// then the others by the start of their latest failure.
func compareEjection(a, b *endpoint) int {
	switch {
	case a.ejected && !b.ejected:
		return -1
	case b.ejected && !a.ejected:
		return 1
	case a.ejected:
		return cmp.Compare(a.ejectedAt, b.ejectedAt)
	}
	return cmp.Compare(a.failingSince, b.failingSince)
}
