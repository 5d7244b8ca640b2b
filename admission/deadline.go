package admission

import (
	"math"
	"time"
)

// How many times the expected time must fit before the deadline; less while the fleet is calm, as an idle engine may as
// well try.
const (
	deadlineMargin     = 1.5
	calmDeadlineMargin = 0.5
)

// lateMargin is how many times the expected time must fit before the objective, or a waiting request is late.
const lateMargin = 2.5

// minLateWeight is the LateWeight from which on a late request still waits.
const minLateWeight = 0.25

// maxExpectedSlowdown bounds the slowdown of the fleet that a waiting request is judged by: it may pass.
const maxExpectedSlowdown = 2

// canMeetDeadline reports whether the request can be answered before its deadline with some margin, by an engine of
// that slowdown. What can't would hold an engine for nobody.
func (c *Controller) canMeetDeadline(request *requestState, slowdown float64) bool {
	margin := deadlineMargin
	if c.fleet.averageLoad < calmLoad {
		margin = calmDeadlineMargin
	}
	needed := time.Duration(margin * float64(c.expectedLatency(request, slowdown)))
	return c.now+max(2*housekeepingInterval, needed) <= request.deadline
}

// expireWaiting gives a waiting request its final answer as soon as it can't be served in time. One that is only late
// for its objective goes on waiting, deferred, where its class still earns enough; unless it delays another of its key.
func (c *Controller) expireWaiting(request *requestState) {
	if !request.queued {
		return
	}
	slowdown := math.Min(c.fleet.medianSlowdown, maxExpectedSlowdown)
	needed := time.Duration(lateMargin * float64(c.expectedLatency(request, slowdown)))
	late := request.pastObjective || c.now+needed > request.objectiveAt
	becomesLate := late && !request.pastObjective
	worthless := becomesLate && (request.classSettings.LateWeight < minLateWeight || request.overQuota)
	switch {
	case worthless || (late && c.delaysSameKey(request)):
		c.rejectOrFail(request)
	case !c.canMeetDeadline(request, slowdown) || !c.retryAllowed(request):
		c.rejectOrFail(request)
	case becomesLate:
		c.dequeue(request)
		request.pastObjective = true
		c.enqueue(request)
	}
}
