package admission

import (
	"math"
	"time"
)

// requestState is the controller's state of a request. It is kept until the request is answered and none of its
// attempts is in flight.
type requestState struct {
	Request
	classSettings *Class
	tenant        *tenantState
	deadline      time.Duration // when the client gives up or the front end ends
	objectiveAt   time.Duration // until when an answer earns the full weight

	overQuota     bool // the tenant's quota was used up at arrival
	pastObjective bool // an answer by objectiveAt is not expected
	queued        bool
	streaming     bool // the answer has begun
	answered      bool // the final answer was given

	attempts      []attemptState
	inFlight      int           // number of attempts in flight
	retryReserved bool          // an attempt was migrated, and its retry is not sent yet
	predicted     time.Duration // total time that progress predicted for the last migrated attempt; 0: none

	// Set by the first attempt that may have run and whose answer is not known.
	mayHaveRun      bool
	mayHaveRunSince time.Duration // when that attempt was sent
	mayHaveRunOn    *engineState
}

// handleRequest queues a request. A request whose ID is in use or whose class is not known is ignored. A request that
// cannot meet its deadline gets its final answer at once, and a full queue sheds one request.
func (c *Controller) handleRequest(event Request) {
	if c.requests[event.ID] != nil || event.Class < 0 || event.Class >= len(c.settings.Classes) {
		return
	}
	request := c.newRequest(event)
	c.estimates[event.Class].countRequest(request)
	request.objectiveAt = c.objectiveOf(request)
	c.countArrival(request)
	c.requests[request.ID] = request
	c.unanswered = append(c.unanswered, request)
	c.joinKeyQueue(request)
	c.enqueue(request)
	if !c.canMeetDeadline(request, 1) { // a request may arrive with no time left
		c.rejectOrFail(request)
	} else if c.queuedRequests > max(minQueueLimit, int(c.fleet.threadLimit*queuedPerThread)) {
		c.shedLoad()
	}
}

func (c *Controller) newRequest(event Request) *requestState {
	request := &requestState{
		Request:       event,
		classSettings: &c.settings.Classes[event.Class],
		deadline:      c.capDeadline(c.now + event.Timeout),
	}
	if event.Tenant < 0 || event.Tenant >= len(c.tenants) {
		request.Tenant = 0
	}
	request.tenant = c.tenants[request.Tenant]
	request.MemoryMB = math.Max(request.MemoryMB, 0)
	return request
}

// objectiveOf returns the time until which an answer earns the full weight. The time that the client has spent on
// earlier tries counts; the estimate of it is how far the timeout is below three quarters of the class's deadline. If
// clients mark retries, the time counts only for marked ones. Otherwise a short timeout alone indicates a retry.
func (c *Controller) objectiveOf(request *requestState) time.Duration {
	class := request.classSettings
	spent := max(0, class.Deadline*3/4-request.Timeout)
	if c.settings.RetriesMarked && !request.Retry {
		spent = 0
	}
	forWork := class.ObjectivePerWork * c.expectedWork(request) / float64(class.Threads) * float64(time.Second)
	return min(c.now+class.LatencyObjective+time.Duration(forWork)-spent, request.deadline)
}

// countArrival counts the request in the arrival rate and the quota of its tenant, and adds the credit that an arrival
// brings for retries, health checks and gossip.
func (c *Controller) countArrival(request *requestState) {
	if c.settings.RetryBudget != nil {
		c.retryBudget.arrivals = append(c.retryBudget.arrivals, c.now)
	}
	c.arrivalRate(request.tenant)
	request.tenant.arrivalRate += 1 / arrivalRateDecay.Seconds()
	request.overQuota = c.overQuota(request)
	c.healthChecks.credit = math.Min(c.healthChecks.credit+c.healthCheckRate(), healthCheckBurst)
	c.gossip.credit = math.Min(c.gossip.credit+gossipBytesPerRequest, maxGossipCredit)
}

// rejectOrFail gives the final answer, unless the request has one or an attempt is in flight: a rejection if a repeat
// is harmless, a failure otherwise.
func (c *Controller) rejectOrFail(request *requestState) {
	if request.answered || request.inFlight > 0 {
		return
	}
	if c.repeatIsHarmless(request) {
		retryAfter := min(c.settings.MaxRetryAfter, request.classSettings.LatencyObjective)
		c.emit(Reject{ID: request.ID, RetryAfter: retryAfter})
	} else {
		c.emit(Fail{ID: request.ID})
	}
	c.closeRequest(request)
}

// repeatIsHarmless reports whether the client may send the request again. The repeat may reach any engine, so a request
// that is idempotent with key and may have run needs a scope of all engines.
func (c *Controller) repeatIsHarmless(request *requestState) bool {
	class := request.classSettings
	return c.retryAllowed(request) && !request.streaming &&
		(!request.mayHaveRun || class.Idempotency == Idempotent || class.DeduplicationScope == ScopeAll)
}

// closeRequest marks the request as answered. Attempts in flight keep their reservations until they end.
func (c *Controller) closeRequest(request *requestState) {
	if !request.answered {
		request.answered = true
		c.releaseReservedRetry(request)
		c.dequeue(request)
	}
	c.forgetRequest(request)
}

// forgetRequest drops an answered request, also from the queue of its key, unless an attempt is in flight.
func (c *Controller) forgetRequest(request *requestState) {
	if request.inFlight > 0 || c.requests[request.ID] != request {
		return
	}
	delete(c.requests, request.ID)
	c.leaveKeyQueue(request)
}
