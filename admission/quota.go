package admission

import (
	"math"
	"time"
)

const (
	spareTokens = 3.0              // reserve of a tenant beyond two seconds of its rate, for chance
	rateFade    = 15 * time.Second // own arrivals are smoothed over so long: longer than most bursts
)

// beyondShare meters a tenant against this gateway's part of its allowance.
func (c *Controller) beyondShare(r *request) bool {
	if r.Tenant >= len(c.set.Tenants) || c.set.Tenants[r.Tenant].RequestsPerSecond <= 0 {
		return false
	}
	t, rate := r.ten, c.set.Tenants[r.Tenant].RequestsPerSecond/float64(c.set.Replicas)
	rate *= c.uneven(c.arrivals(t), rate)
	t.tokens = math.Min(t.tokens+rate*(c.now-t.filled).Seconds(), 2*rate+spareTokens)
	over := t.tokens < 1
	if t.filled = c.now; !over {
		t.tokens--
	}
	return over
}

// arrivals is a tenant's own rate, smoothed, and right from the start on.
func (c *Controller) arrivals(t *tenant) float64 {
	t.rate *= math.Exp(-float64(c.now-t.ratedAt) / float64(rateFade))
	t.ratedAt = c.now
	return t.rate / (1 - math.Exp(-max(c.now-c.startedAt, 2*time.Second).Seconds()/rateFade.Seconds()))
}

// uneven is how many times an equal part our own part is, by what arrives here against an equal part of what
// the allowances let through. Overload and repeats of clients come to 2.5 at equal gateways (from 1.5 on, an
// overload lost 0.15); more is a gateway with more clients. The sum over all stays under the equal parts and
// what arrives. Covers clients that stick to a gateway; may harm in a tenant's burst of longer than rateFade.
func (c *Controller) uneven(rate, equal float64) float64 {
	if c.set.Replicas < stretchFrom || equal <= 0 {
		return 1
	}
	x := rate / equal
	return math.Max(1, math.Min(x, 2*(x-2)))
}
