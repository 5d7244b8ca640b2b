package admission

import (
	"math"
	"time"
)

// A tenant's bucket holds up to quotaBurstSeconds of the tenant's rate plus quotaTokenReserve tokens, as random
// arrivals come in bursts.
const (
	quotaBurstSeconds = 2
	quotaTokenReserve = 3.0
)

// arrivalRateDecay is the time constant of the smoothed arrival rates. It is longer than most bursts.
const arrivalRateDecay = 15 * time.Second

// minObservation is the shortest time over which an arrival rate is estimated.
const minObservation = 2 * time.Second

// overQuota takes a token for the request from its tenant's bucket, and reports whether the bucket was empty. The
// bucket fills at this front end's share of the tenant's rate.
func (c *Controller) overQuota(request *requestState) bool {
	if request.Tenant >= len(c.settings.Tenants) || c.settings.Tenants[request.Tenant].RequestsPerSecond <= 0 {
		return false
	}
	tenant := request.tenant
	rate := c.settings.Tenants[request.Tenant].RequestsPerSecond / float64(c.settings.Replicas)
	rate *= c.quotaShare(c.arrivalRate(tenant), rate)
	limit := quotaBurstSeconds*rate + quotaTokenReserve
	tenant.tokens = math.Min(tenant.tokens+rate*(c.now-tenant.tokensAt).Seconds(), limit)
	tenant.tokensAt = c.now
	if tenant.tokens < 1 {
		return true
	}
	tenant.tokens--
	return false
}

// arrivalRate returns the smoothed rate at which requests of a tenant arrive at this front end, in requests per second.
// The division corrects for the time before the first step, which the smoothing counts as time without arrivals.
func (c *Controller) arrivalRate(tenant *tenantState) float64 {
	tenant.arrivalRate *= math.Exp(-float64(c.now-tenant.arrivalRateAt) / float64(arrivalRateDecay))
	tenant.arrivalRateAt = c.now
	observed := max(c.now-c.startedAt, minObservation)
	return tenant.arrivalRate / (1 - math.Exp(-observed.Seconds()/arrivalRateDecay.Seconds()))
}

// quotaShare returns this front end's share of the quotas relative to an equal share, given the arrival rate here and
// the rate that an equal share of the quotas allows. Overload and clients' retries raise the rate above an equal share
// at every front end, so only a rate far above an equal share indicates a front end with more clients. The rates that
// all front ends allow together stay below the sum of the quotas and the arrivals. A burst of one tenant that is longer
// than arrivalRateDecay counts as more clients.
func (c *Controller) quotaShare(rate, equal float64) float64 {
	if c.settings.Replicas < subsetMinReplicas || equal <= 0 {
		return 1
	}
	ratio := rate / equal
	return math.Max(1, math.Min(ratio, 2*(ratio-2)))
}

// fleetQuotaShare returns the quotaShare for all tenants together.
func (c *Controller) fleetQuotaShare() float64 {
	rate, equal := 0.0, 0.0
	for i, tenant := range c.settings.Tenants {
		rate += c.arrivalRate(c.tenants[i])
		equal += tenant.RequestsPerSecond / float64(c.settings.Replicas)
	}
	return c.quotaShare(rate, equal)
}
