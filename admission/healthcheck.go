package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The number of health checks that each request earns: maxHealthChecksPerRequest at most and, if the cost of a health
// check is known, at most as many as cost healthCheckCostPerRequest points of service.
const (
	maxHealthChecksPerRequest = 0.3
	healthCheckCostPerRequest = 0.012
)

// healthCheckBurst is the maximum number of health checks in one burst, and the most that can be earned ahead.
const healthCheckBurst = 6

// healthCheckBurstTimeout limits the wait for the results of a burst.
const healthCheckBurstTimeout = 500 * time.Millisecond

// healthCheckState is the state by which health checks are paced.
type healthCheckState struct {
	credit  float64       // health checks that requests have earned
	pending int           // health checks of the last burst that have no result yet
	sentAt  time.Duration // when the last burst was sent
}

// healthCheckRate returns the number of health checks that each request earns, a fraction.
func (c *Controller) healthCheckRate() float64 {
	if c.settings.HealthCheckCost <= 0 {
		return maxHealthChecksPerRequest
	}
	return math.Min(maxHealthChecksPerRequest, healthCheckCostPerRequest/c.settings.HealthCheckCost)
}

// sendHealthChecks waits for all results of the last burst, up to healthCheckBurstTimeout, since failed checks end late
// and matter most. It then sends gossip and, if the requests have earned one, the next burst.
func (c *Controller) sendHealthChecks() {
	if c.healthChecks.pending > 0 && c.now-c.healthChecks.sentAt < healthCheckBurstTimeout {
		return
	}
	c.sendGossip()
	c.healthChecks.pending = 0
	c.subsetFrom(c.subset.size, func(engine *engineState) (capacity float64, ok bool) { return engine.cores, true })
	if c.settings.LoadReporting != HealthCheckReports || !c.settings.HealthChecksAllowed {
		return
	}
	if c.healthChecks.credit < math.Min(healthCheckBurst, float64(len(c.candidates.engines))) {
		return
	}
	for _, engine := range c.enginesToCheck(c.candidates.engines) {
		if c.healthChecks.credit >= 1 {
			c.healthChecks.credit--
			c.healthChecks.pending++
			c.healthChecks.sentAt = c.now
			engine.checkedAt = c.now
			c.emit(HealthCheck{Engine: engine.ID})
		}
	}
}

// enginesToCheck returns the engines in the order of their last health check, the oldest first, without a random number
// of the first ones. The more front ends share the checks, the more may be left out; otherwise all front ends would
// check the same engines.
func (c *Controller) enginesToCheck(engines []*engineState) []*engineState {
	slices.SortStableFunc(engines, func(a, b *engineState) int { return cmp.Compare(a.checkedAt, b.checkedAt) })
	maxSkipped := float64(max(len(engines)-healthCheckBurst, 0)) * (1 - 1/float64(c.settings.Replicas))
	return engines[int(c.random.float64()*maxSkipped):]
}

// handleHealthCheckResult applies the result of a health check and adds it to the next gossip to other front ends.
func (c *Controller) handleHealthCheckResult(event HealthCheckResult) {
	engine := c.enginesByID[event.Engine]
	if engine == nil {
		return
	}
	c.healthChecks.pending--
	switch event.Status {
	case OK:
		c.markAlive(engine)
	case ConnectFailed:
		c.recordRefusedCheck(engine)
	default:
		c.recordMissedCheck(engine)
	}
	if event.Report != nil {
		engine.loadReport, engine.reportedAt = *event.Report, c.now
		c.gossip.addLoad(engine.gossipID, c.reportedLoad(engine))
	} else if event.Status != OK {
		c.gossip.addFailure(engine.gossipID)
	}
}
