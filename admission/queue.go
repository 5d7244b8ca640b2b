package admission

import (
	"math"
	"slices"
	"time"
)

// The queue ranks. What is deferred goes only while nothing preferred is in turn in its class.
const (
	preferredRank = iota // within its tenant's quota and in time
	deferredRank         // over the quota or past its objective
	queueRanks
)

// The shared limit on queued requests: so many per own thread, and minQueueLimit at least.
const (
	queuedPerThread = 12
	minQueueLimit   = 32
)

// maxQueueLookahead is how many requests of one queue are looked at behind one that no engine has capacity for.
const maxQueueLookahead = 8

// The deficit of a tenant is limited to deficitLimit times the heaviest class, and grows by a quantum of one in
// quantaPerLimit of the limit a turn.
const (
	deficitLimit   = 4
	quantaPerLimit = 32
)

// maxPassesPerTenant bounds the round robin of one step.
const maxPassesPerTenant = 400

// deferredPenalty puts what is deferred behind all that is preferred, whatever their weights per work.
const deferredPenalty = 1e9

// keyQueue is the unfinished requests of one key of an Ordered class, in order of arrival.
type keyQueue struct {
	requests     []*requestState
	coolingUntil time.Duration // none goes before
}

// admit sends what may go by deficit round robin over the tenants, preferred requests first.
func (c *Controller) admit() {
	for rank := range queueRanks {
		idle := 0 // tenants in a row with nothing to send
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

// serveTenant gives a tenant its quantum and sends what its deficit covers. It reports whether the tenant had anything
// to send. A deficit is kept where engines have no capacity, and lost where nothing waits.
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

// nextAdmissible is the tenant's next request of the rank that may go, and its engine; nil where there is none. The
// class with the highest weight per work goes first, and the oldest request of a class.
func (c *Controller) nextAdmissible(tenant *tenantState, rank int) (*requestState, *engineState) {
	for _, class := range c.classOrder {
		if rank == deferredRank && c.hasPreferredInTurn(class) {
			continue
		}
		looked := 0
		for _, request := range tenant.queues[class][rank] {
			if !c.inTurn(request) {
				continue
			}
			if looked++; looked > maxQueueLookahead {
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

// hasPreferredInTurn reports whether a preferred request of the class waits that is in turn.
func (c *Controller) hasPreferredInTurn(class int) bool {
	for _, tenant := range c.tenants {
		if slices.ContainsFunc(tenant.queues[class][preferredRank], c.inTurn) {
			return true
		}
	}
	return false
}

// inTurn reports whether neither the order of its key nor the retry budget holds a request back. What is not in turn
// holds back no other: a deferred first of a key would wait for its own successors.
func (c *Controller) inTurn(request *requestState) bool {
	if request.ordered() {
		queue := c.keyQueues[request.Key]
		if queue == nil || queue.requests[0] != request || c.now < queue.coolingUntil {
			return false
		}
	}
	return len(request.attempts) == 0 || c.withinRetryBudget(request, 0)
}

// rank is the queue rank of a request. It must not change while the request is queued.
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

// enqueueFirst puts a request that is retried at the head of its queue.
func (c *Controller) enqueueFirst(request *requestState) {
	queue := c.queueOf(request)
	*queue = slices.Insert(*queue, 0, request)
	request.queued = true
	c.queuedRequests++
}

// dequeue takes a request out of its queue, if it is in it.
func (c *Controller) dequeue(request *requestState) {
	if !request.queued {
		return
	}
	queue := c.queueOf(request)
	if at := slices.Index(*queue, request); at >= 0 {
		*queue = slices.Delete(*queue, at, at+1)
	}
	request.queued = false
	c.queuedRequests--
}

// ordered reports whether the request is bound to the order of its key.
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
	if at := slices.Index(queue.requests, request); at >= 0 {
		queue.requests = slices.Delete(queue.requests, at, at+1)
	}
}

// forgetIdleKeys drops the queues of keys that neither hold a request nor cool down.
func (c *Controller) forgetIdleKeys() {
	for key, queue := range c.keyQueues { // the order of the map reaches no action
		if len(queue.requests) == 0 && c.now >= queue.coolingUntil {
			delete(c.keyQueues, key)
		}
	}
}

// delaysSameKey reports whether a request that is in time waits behind this one for their key.
func (c *Controller) delaysSameKey(request *requestState) bool {
	queue := c.keyQueues[request.Key]
	if queue == nil || !request.ordered() {
		return false
	}
	at := slices.Index(queue.requests, request)
	return at >= 0 && slices.ContainsFunc(queue.requests[at+1:], func(other *requestState) bool {
		return !other.pastObjective && !other.answered
	})
}

// shedLoad rejects the last request of one queue: of the deferred ones if there are any, then of the class with the
// least weight per work, then of the longest queue.
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
