package admission

import (
	"math"
	"time"
)

// A tenant's tokens are limited to so many seconds of its rate and a reserve, as arrivals come by chance.
const (
	quotaBurstSeconds = 2
	quotaTokenReserve = 3.0
)

// arrivalRateDecay is the time constant over which arrivals are smoothed; longer than most bursts.
const arrivalRateDecay = 15 * time.Second

// minObservation is the least time over which a rate of arrivals is reckoned.
const minObservation = 2 * time.Second

// overQuota takes a token for the request from its tenant's bucket, and reports whether there was none. The bucket
// fills at this front end's part of the tenant's rate.
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

// arrivalRate is the rate at which requests of a tenant arrive here, a second, smoothed. The division makes up for the
// time before the first step, which the smoothing takes for one without requests.
func (c *Controller) arrivalRate(tenant *tenantState) float64 {
	tenant.arrivalRate *= math.Exp(-float64(c.now-tenant.arrivalRateAt) / float64(arrivalRateDecay))
	tenant.arrivalRateAt = c.now
	observed := max(c.now-c.startedAt, minObservation)
	return tenant.arrivalRate / (1 - math.Exp(-observed.Seconds()/arrivalRateDecay.Seconds()))
}

// quotaShare is the part of this front end over an equal part, by the rate that arrives here and the one that an equal
// part of the quotas allows. Overload and clients' retries bring more than an equal part everywhere, so that only
// what is far above it tells of a front end with more clients. The parts of all front ends together stay below the
// equal parts and what arrives. A burst of one tenant longer than arrivalRateDecay is taken for clients.
func (c *Controller) quotaShare(rate, equal float64) float64 {
	if c.settings.Replicas < subsetMinReplicas || equal <= 0 {
		return 1
	}
	ratio := rate / equal
	return math.Max(1, math.Min(ratio, 2*(ratio-2)))
}

// fleetQuotaShare is the quotaShare over all tenants together.
func (c *Controller) fleetQuotaShare() float64 {
	rate, equal := 0.0, 0.0
	for i, tenant := range c.settings.Tenants {
		rate += c.arrivalRate(c.tenants[i])
		equal += tenant.RequestsPerSecond / float64(c.settings.Replicas)
	}
	return c.quotaShare(rate, equal)
}
