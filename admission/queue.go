package admission

import (
	"math"
	"slices"
	"time"
)

// The queue ranks. A deferred request is sent only while no preferred request of its class is eligible.
const (
	preferredRank = iota // within the tenant's quota and not past the latency objective
	deferredRank         // over the quota or past the latency objective
	queueRanks
)

// The limit on the queued requests of all tenants together is queuedPerThread times the front end's thread limit, and
// at least minQueueLimit.
const (
	queuedPerThread = 12
	minQueueLimit   = 32
)

// maxQueueLookahead is how many eligible requests of one queue nextAdmissible examines, so that a request that no
// engine has capacity for does not block those behind it.
const maxQueueLookahead = 8

// The deficit of a tenant is limited to deficitLimit times the mean work of the heaviest class times the weight of the
// tenant. Each turn adds a quantum of the limit divided by quantaPerLimit.
const (
	deficitLimit   = 4
	quantaPerLimit = 32
)

// maxPassesPerTenant limits the turns of the round robin in one call of admit, as an average per tenant and queue rank.
const maxPassesPerTenant = 400

// deferredPenalty is subtracted from the priority weight per work of deferred requests in shedLoad, so that deferred
// requests are shed before all preferred ones.
const deferredPenalty = 1e9

// keyQueue holds the unfinished requests of one key of an Ordered class, in order of arrival.
type keyQueue struct {
	requests      []*requestState
	cooldownUntil time.Duration // no request of the key is sent before
}

// admit sends the admissible requests by deficit round robin over the tenants, preferred requests first.
func (c *Controller) admit() {
	for rank := range queueRanks {
		idle := 0 // consecutive tenants without an admissible request
		for pass := 0; idle < len(c.tenants) && pass < maxPassesPerTenant*len(c.tenants); pass++ {
			tenant := c.tenants[c.nextTenant%len(c.tenants)]
			if c.serveTenant(tenant, rank) {
				idle = 0
			} else {
				idle++
			}
			c.nextTenant++
		}
	}
}

// serveTenant adds a quantum to the deficit of a tenant that has an admissible request, and sends the requests that the
// deficit covers. It reports whether the tenant had an admissible request. A tenant without one keeps its deficit while
// its requests wait for capacity, and loses the deficit when its queues are empty.
func (c *Controller) serveTenant(tenant *tenantState, rank int) bool {
	request, engine := c.nextAdmissible(tenant, rank)
	if request == nil {
		if tenant.idle() {
			tenant.deficit = 0
		}
		return false
	}
	limit := deficitLimit * c.heaviestWork() * tenant.weight
	tenant.deficit = math.Min(tenant.deficit+limit/quantaPerLimit, limit)
	for request != nil {
		cost := math.Min(c.expectedWork(request), limit)
		if cost > tenant.deficit {
			break
		}
		tenant.deficit -= cost
		c.send(request, engine)
		request, engine = c.nextAdmissible(tenant, rank)
	}
	return true
}

// nextAdmissible returns the tenant's next request of the rank that can be sent now and the engine for the request, or
// nil if there is none. The class with the highest priority weight per work comes first, and within a class the oldest
// request.
func (c *Controller) nextAdmissible(tenant *tenantState, rank int) (*requestState, *engineState) {
	for _, class := range c.classOrder {
		if rank == deferredRank && c.hasEligiblePreferred(class) {
			continue
		}
		examined := 0
		for _, request := range tenant.queues[class][rank] {
			if !c.inTurn(request) {
				continue
			}
			if examined++; examined > maxQueueLookahead {
				break
			}
			if !c.withinLimits(request) {
				continue
			}
			if engine := c.pickEngine(request); engine != nil {
				return request, engine
			}
		}
	}
	return nil, nil
}

// hasEligiblePreferred reports whether any tenant has an eligible preferred request of the class in its queue.
func (c *Controller) hasEligiblePreferred(class int) bool {
	for _, tenant := range c.tenants {
		if slices.ContainsFunc(tenant.queues[class][preferredRank], c.inTurn) {
			return true
		}
	}
	return false
}

// inTurn reports whether a request is eligible: neither the order of its key nor the retry budget holds the request
// back. An ineligible request does not hold back others: a deferred request at the head of its key would otherwise wait
// for its preferred successors, which wait for the head.
func (c *Controller) inTurn(request *requestState) bool {
	if request.ordered() {
		queue := c.keyQueues[request.Key]
		if queue == nil || queue.requests[0] != request || c.now < queue.cooldownUntil {
			return false
		}
	}
	return len(request.attempts) == 0 || c.withinRetryBudget(request, 0)
}

// rank returns the queue rank of the request. The rank must not change while the request is queued.
func (r *requestState) rank() int {
	if r.overQuota || r.pastObjective {
		return deferredRank
	}
	return preferredRank
}

func (c *Controller) queueOf(request *requestState) *[]*requestState {
	return &request.tenant.queues[request.Class][request.rank()]
}

// enqueue puts a request at the end of its queue.
func (c *Controller) enqueue(request *requestState) {
	queue := c.queueOf(request)
	*queue = append(*queue, request)
	request.queued = true
	c.queuedRequests++
}

// enqueueFirst puts a request that is to be retried at the head of its queue.
func (c *Controller) enqueueFirst(request *requestState) {
	queue := c.queueOf(request)
	*queue = slices.Insert(*queue, 0, request)
	request.queued = true
	c.queuedRequests++
}

// dequeue removes the request from its queue, if the request is queued.
func (c *Controller) dequeue(request *requestState) {
	if !request.queued {
		return
	}
	queue := c.queueOf(request)
	if index := slices.Index(*queue, request); index >= 0 {
		*queue = slices.Delete(*queue, index, index+1)
	}
	request.queued = false
	c.queuedRequests--
}

// ordered reports whether the requests of the request's key run one at a time, in order of arrival.
func (r *requestState) ordered() bool { return r.classSettings.Ordered && r.Key != "" }

func (c *Controller) joinKeyQueue(request *requestState) {
	if !request.ordered() {
		return
	}
	queue := c.keyQueues[request.Key]
	if queue == nil {
		queue = &keyQueue{}
		c.keyQueues[request.Key] = queue
	}
	queue.requests = append(queue.requests, request)
}

func (c *Controller) leaveKeyQueue(request *requestState) {
	queue := c.keyQueues[request.Key]
	if queue == nil || !request.ordered() {
		return
	}
	if index := slices.Index(queue.requests, request); index >= 0 {
		queue.requests = slices.Delete(queue.requests, index, index+1)
	}
}

// forgetIdleKeys deletes the queues of keys that hold no request and whose cooldown is over.
func (c *Controller) forgetIdleKeys() {
	for key, queue := range c.keyQueues { // the iteration order affects no action
		if len(queue.requests) == 0 && c.now >= queue.cooldownUntil {
			delete(c.keyQueues, key)
		}
	}
}

// delaysSameKey reports whether an unanswered request of the same key that is not past its objective waits behind this
// one.
func (c *Controller) delaysSameKey(request *requestState) bool {
	queue := c.keyQueues[request.Key]
	if queue == nil || !request.ordered() {
		return false
	}
	index := slices.Index(queue.requests, request)
	return index >= 0 && slices.ContainsFunc(queue.requests[index+1:], func(other *requestState) bool {
		return !other.pastObjective && !other.answered
	})
}

// shedLoad gives a final answer to the last request of one queue: of a deferred queue if there is one with requests,
// then the request with the lowest priority weight per expected work, then the one in the longest queue.
func (c *Controller) shedLoad() {
	var worst *requestState
	lowest, longest := math.Inf(1), 0
	for _, tenant := range c.tenants {
		for _, ranks := range tenant.queues {
			for rank, queue := range ranks {
				if len(queue) == 0 {
					continue
				}
				last := queue[len(queue)-1]
				value := last.classSettings.PriorityWeight/c.expectedWork(last) - float64(rank)*deferredPenalty
				if value < lowest || (value == lowest && len(queue) > longest) {
					lowest, longest, worst = value, len(queue), last
				}
			}
		}
	}
	c.rejectOrFail(worst)
}
