package admission

import (
	"math"
	"time"
)

// requestState is what the controller keeps of a request, until it is answered and none of its attempts is in flight.
type requestState struct {
	Request
	classSettings *Class
	tenant        *tenantState
	deadline      time.Duration // the client gives up, or the front end ends
	objectiveAt   time.Duration // until then an answer earns the full weight

	overQuota     bool // beyond its tenant's quota
	pastObjective bool // it can't be served by objectiveAt
	queued        bool
	streaming     bool // its answer has begun
	answered      bool // has its final answer

	attempts      []attemptState
	inFlight      int           // attempts in flight
	retryReserved bool          // an attempt was migrated, and its retry is not sent yet
	predicted     time.Duration // time that the progress of an attempt foretold when it was migrated; 0: none was

	// Set by the first attempt that may have run and whose answer is not known.
	mayHaveRun      bool
	mayHaveRunSince time.Duration // when that attempt was sent
	mayHaveRunOn    *engineState
}

// handleRequest takes a request in. One whose ID is in use or whose class is not known is passed over.
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
	if !c.canMeetDeadline(request, 1) { // it may come with no time left at all
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

// objectiveOf is when the request stops earning its full weight. The time that its client has spent on earlier
// attempts counts. Clients that don't mark retries show them by a timeout that is shorter than that of a first try.
func (c *Controller) objectiveOf(request *requestState) time.Duration {
	class := request.classSettings
	spent := max(0, class.Deadline*3/4-request.Timeout)
	if c.settings.RetriesMarked && !request.Retry {
		spent = 0
	}
	forWork := class.ObjectivePerWork * c.expectedWork(request) / float64(class.Threads) * float64(time.Second)
	return min(c.now+class.LatencyObjective+time.Duration(forWork)-spent, request.deadline)
}

// countArrival books the request with its tenant and earns what arrivals allow: retries, health checks and gossip.
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

// rejectOrFail gives the final answer at once, if no attempt is in flight.
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

// repeatIsHarmless reports whether the client may send the request again. Its repeat may reach any engine, so that
// one that may have run and is idempotent by key needs a scope of all engines.
func (c *Controller) repeatIsHarmless(request *requestState) bool {
	class := request.classSettings
	return c.retryAllowed(request) && !request.streaming &&
		(!request.mayHaveRun || class.Idempotency == Idempotent || class.DeduplicationScope == ScopeAll)
}

// closeRequest marks the request as answered. What its attempts in flight reserve stays reserved until they end.
func (c *Controller) closeRequest(request *requestState) {
	if !request.answered {
		request.answered = true
		c.releaseReservedRetry(request)
		c.dequeue(request)
	}
	c.forgetRequest(request)
}

// forgetRequest drops an answered request that has no attempt in flight, and with it its place in the queue of its key.
func (c *Controller) forgetRequest(request *requestState) {
	if request.inFlight > 0 || c.requests[request.ID] != request {
		return
	}
	delete(c.requests, request.ID)
	c.leaveKeyQueue(request)
}
