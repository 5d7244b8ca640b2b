package admission

import (
	"math"
	"time"
)

// The time left until the deadline must be the expected latency times deadlineMargin, or times calmDeadlineMargin while
// the fleet is calm, as an idle engine loses little by trying.
const (
	deadlineMargin     = 1.5
	calmDeadlineMargin = 0.5
)

// lateMargin defines late requests: a waiting request is late if the time left until its objective is less than
// lateMargin times its expected latency.
const lateMargin = 2.5

// minLateWeight is the lowest LateWeight of a class with which a late request stays queued.
const minLateWeight = 0.25

// maxExpectedSlowdown limits the slowdown of the fleet that expireWaiting assumes, as a higher slowdown may be
// temporary.
const maxExpectedSlowdown = 2

// canMeetDeadline reports whether an engine with the slowdown can answer the request before its deadline, with some
// margin. A request that cannot be answered in time would occupy an engine after its client has given up.
func (c *Controller) canMeetDeadline(request *requestState, slowdown float64) bool {
	margin := deadlineMargin
	if c.fleet.averageLoad < calmLoad {
		margin = calmDeadlineMargin
	}
	needed := time.Duration(margin * float64(c.expectedLatency(request, slowdown)))
	return c.now+max(2*housekeepingInterval, needed) <= request.deadline
}

// expireWaiting gives a queued request its final answer as soon as the request cannot be answered before its deadline.
// A request that is only late for its objective stays queued as deferred if it is within the quota and the LateWeight
// of its class is at least minLateWeight, unless it delays another request of its key.
func (c *Controller) expireWaiting(request *requestState) {
	if !request.queued {
		return
	}
	slowdown := math.Min(c.fleet.medianSlowdown, maxExpectedSlowdown)
	needed := time.Duration(lateMargin * float64(c.expectedLatency(request, slowdown)))
	late := request.pastObjective || c.now+needed > request.objectiveAt
	newlyLate := late && !request.pastObjective
	notWorthWaiting := newlyLate && (request.classSettings.LateWeight < minLateWeight || request.overQuota)
	switch {
	case notWorthWaiting || (late && c.delaysSameKey(request)):
		c.rejectOrFail(request)
	case !c.canMeetDeadline(request, slowdown) || !c.retryAllowed(request):
		c.rejectOrFail(request)
	case newlyLate:
		c.dequeue(request)
		request.pastObjective = true
		c.enqueue(request)
	}
}
