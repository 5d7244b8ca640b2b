package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The health checks that a request earns: so many at most, and no more than cost so many points of service for each
// request where the cost of a check is known.
const (
	maxHealthChecksPerRequest = 0.3
	healthCheckCostPerRequest = 0.012
)

// healthCheckBurst is how many health checks are saved up for a burst.
const healthCheckBurst = 6

// healthCheckBurstTimeout is how long the results of a burst are waited for.
const healthCheckBurstTimeout = 500 * time.Millisecond

// healthCheckState paces the health checks.
type healthCheckState struct {
	credit  float64       // checks that requests have earned
	pending int           // checks of the last burst without a result
	sentAt  time.Duration // when the last burst was sent
}

// healthCheckRate is how many health checks a request earns.
func (c *Controller) healthCheckRate() float64 {
	if c.settings.HealthCheckCost <= 0 {
		return maxHealthChecksPerRequest
	}
	return math.Min(maxHealthChecksPerRequest, healthCheckCostPerRequest/c.settings.HealthCheckCost)
}

// sendHealthChecks ends a burst of health checks once all results have come, and sends the next once it is earned.
// Failed checks end late and count most, hence the wait.
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

// enginesToCheck sorts the engines by the time of their last check, and leaves out some of the first at random: the
// more the more front ends share the checks, or all would check the same.
func (c *Controller) enginesToCheck(engines []*engineState) []*engineState {
	slices.SortStableFunc(engines, func(a, b *engineState) int { return cmp.Compare(a.checkedAt, b.checkedAt) })
	spare := float64(max(len(engines)-healthCheckBurst, 0)) * (1 - 1/float64(c.settings.Replicas))
	return engines[int(c.random.float64()*spare):]
}

// handleHealthCheckResult takes in the result of a health check, and keeps it for the other front ends.
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
