package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	probeShare = 0.3                    // probes for each own query at the most, in bursts of so many ...
	probeSpend = 0.012                  // ... and points of service that they may cost
	probeBurst = 6                      // ... kept until so many go at once
	askFor     = 500 * time.Millisecond // the word of a burst waits so long for all its probes
)

// probeRate is what a query earns for probes. Guards against as many at any price: on days that price them
// tenfold they cost 0.025 to 0.037 of G, more than they told. May harm where reports alone tell a jam.
func (c *Controller) probeRate() float64 {
	if c.set.HealthCheckCost <= 0 {
		return probeShare
	}
	return math.Min(probeShare, probeSpend/c.set.HealthCheckCost)
}

// probe asks engines of the own stretch, as own queries have earned it, and tells peers what the last burst
// brought once all has come: a failed probe ends late, and is the word that counts most. Those least heard of
// go first, but the more gateways share the work the more at random, or all ask the same few (if08b63: a cut
// zone was known after 16 s). May harm: at random some engine stays unheard for longer.
func (c *Controller) probe() {
	if c.asking > 0 && c.now-c.askedAt < askFor {
		return
	}
	cost := float64(len(c.news) * (c.set.Replicas - 1))
	if len(c.news) > 0 && c.set.GossipAllowed && cost > 0 && c.bytes >= cost {
		c.bytes -= cost
		c.do(SendGossip{To: -1, Data: c.news})
	}
	c.news, c.asking = nil, 0
	c.along(c.subset, func(e *engine) (float64, bool) { return e.cores, true })
	if c.set.LoadReporting != HealthCheckReports || !c.set.HealthChecksAllowed ||
		c.probes < math.Min(probeBurst, float64(len(c.near))) {
		return
	}
	slices.SortStableFunc(c.near, func(a, b *engine) int { return cmp.Compare(a.heard, b.heard) })
	skip := float64(max(len(c.near)-probeBurst, 0)) * (1 - 1/float64(c.set.Replicas))
	for _, e := range c.near[int(c.rand()*skip):] {
		if c.probes >= 1 {
			c.probes, e.heard = c.probes-1, c.now
			c.asking, c.askedAt = c.asking+1, c.now
			c.do(HealthCheck{Engine: e.ID})
		}
	}
}

func (c *Controller) probed(ev HealthCheckResult) {
	e := c.byID[ev.Engine]
	if e == nil {
		return
	}
	c.asking--
	word := byte(tellFailed)
	if ev.Status == OK {
		c.alive(e)
	} else {
		c.miss(e, ev.Status == ConnectFailed)
	}
	if ev.Report != nil {
		e.rep, e.repAt = *ev.Report, c.now
		word = byte(min(max(c.reported(e)*tellScale, 0), tellFailed-1))
	}
	if ev.Report != nil || ev.Status != OK {
		c.news = append(c.news, byte(e.hash), byte(e.hash>>8), word)
	}
}
