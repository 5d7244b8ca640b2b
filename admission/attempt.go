package admission

import (
	"math"
	"slices"
	"time"
)

// lightRequestMargin is the factor by which the expected work of a request must be below the mean of its class for high
// priority.
const lightRequestMargin = 1.5

// The priorities of [Terms]. Engines also accept 3, which stays unused: at that priority small requests would starve
// heavy ones.
const (
	lowPriority    = 0
	normalPriority = 1
	highPriority   = 2
)

// attemptState is the controller's record of one attempt of a request.
type attemptState struct {
	engine         *engineState
	sentAt         time.Duration
	expected       time.Duration // expected time from sending to answer
	lastProgressAt time.Duration // 0: no progress reported yet
	threads        float64       // reserved
	memory         float64       // reserved, in MB

	inFlight      bool
	cancelled     bool
	ofSmallClass  bool // the class was small when the attempt was sent
	onCalmEngine  bool // the engine was calm when the attempt was sent; the class estimates for calm engines count it
	countedAsLost bool // already counted in Controller.lostAnswerRate
}

// attemptRef refers to an attempt by its index. Pointers into requestState.attempts become invalid when the next
// attempt is appended.
type attemptRef struct {
	request *requestState
	index   int
}

func (r *attemptRef) attempt() *attemptState { return &r.request.attempts[r.index] }

// send starts an attempt: it emits the [Terms] of the attempt, if they are not the defaults, and then the [Send]. The
// only timeout is the deadline of the request: a shorter one would cut off costly requests.
func (c *Controller) send(request *requestState, engine *engineState) {
	c.dequeue(request)
	attempt := c.newAttempt(request, engine)
	attempt.memory = c.emitTerms(request, &attempt)
	c.releaseReservedRetry(request)
	if len(request.attempts) > 0 && c.settings.RetryBudget != nil {
		c.retryBudget.retries = append(c.retryBudget.retries, c.now)
	}
	c.recordSlowStartSend(engine, c.estimates[request.Class].work)
	request.attempts = append(request.attempts, attempt)
	engine.attempts = append(engine.attempts, &attemptRef{request, len(request.attempts) - 1})
	c.reserve(request, &attempt, 1)
	if engine.ejected {
		engine.recoveryInFlight++
	}
	engine.classRests[request.Class].extend(c.now)
	c.emit(Send{ID: request.ID, Engine: engine.ID, Timeout: request.deadline - c.now})
}

func (c *Controller) newAttempt(request *requestState, engine *engineState) attemptState {
	calm := c.engineLoad(engine, c.fleet.averageLoad) < calmLoad && c.warmth(engine) >= 1
	return attemptState{
		engine:       engine,
		sentAt:       c.now,
		expected:     c.expectedLatency(request, math.Max(engine.slowdown, c.fleet.medianSlowdown)),
		inFlight:     true,
		threads:      float64(request.classSettings.Threads),
		memory:       c.expectedMemory(request),
		ofSmallClass: c.isSmall(request.Class),
		onCalmEngine: calm,
	}
}

// emitTerms emits the priority and the memory grant of an attempt, unless both are the defaults, and returns the memory
// to reserve for the attempt, in MB.
func (c *Controller) emitTerms(request *requestState, attempt *attemptState) (memory float64) {
	priority, grant := c.priorityOf(request), 0.0
	memory = attempt.memory
	if c.settings.GrantsSupported && memory > 0 {
		grant = math.Ceil(memory)
		if attempt.engine.memoryMB > 0 && c.settings.MaxGrantFraction > 0 {
			grant = math.Min(grant, math.Floor(attempt.engine.memoryMB*c.settings.MaxGrantFraction))
		}
		memory = grant
	}
	if priority != normalPriority || grant > 0 {
		c.emit(Terms{ID: request.ID, Priority: priority, GrantMB: grant})
	}
	return memory
}

// priorityOf returns the priority of a request. Requests that lock tables get high priority if any class waits for
// locks, since a slow holder of a lock delays all requests that wait for the lock. Otherwise deferred requests, which
// are over their tenant's quota or past their objective, get low priority; of the others, those of a small class or of
// little work get high priority.
func (c *Controller) priorityOf(request *requestState) int {
	switch {
	case !c.settings.PrioritiesSupported:
		return normalPriority
	case request.classSettings.LocksTables && c.anyClassWaitsForLocks():
		return highPriority
	case request.rank() > 0:
		return lowPriority
	case c.isSmall(request.Class) || c.expectedWork(request)*lightRequestMargin < c.estimates[request.Class].work:
		return highPriority
	}
	return normalPriority
}

// handleOutcome releases the attempt, then updates the estimates and the health of the engine, and last either queues a
// retry or gives the final answer in the same step.
func (c *Controller) handleOutcome(event Outcome) {
	if engine := c.enginesByID[event.Engine]; engine != nil && event.Report != nil {
		engine.loadReport, engine.reportedAt = *event.Report, c.now
	}
	request := c.requests[event.ID]
	if request == nil || event.Attempt < 0 || event.Attempt >= len(request.attempts) {
		return
	}
	attempt := &request.attempts[event.Attempt]
	if !attempt.inFlight {
		return
	}
	c.release(request, attempt)
	if event.Status == OK {
		c.learnFromAnswer(request, attempt, event)
	}
	c.recordHealth(attempt.engine, attempt, event)
	if event.Status == OK || event.Status == Errored {
		c.estimates[request.Class].answeredAt = c.now
		attempt.engine.classRests[request.Class] = classRest{answeredAt: c.now}
	}
	if event.Status != OK && !event.Status.NeverRan() {
		c.recordMayHaveRun(request, attempt, event.Status)
	}
	c.closeOrRetry(request, event)
}

// recordMayHaveRun records that an attempt that did not succeed may have run. If the class is Ordered and the engine
// did not answer with an error, nothing of the request's key is sent for KeyCooldown, lest the next request of the key
// overtake the attempt on another engine.
func (c *Controller) recordMayHaveRun(request *requestState, attempt *attemptState, status Status) {
	if !request.mayHaveRun {
		request.mayHaveRun = true
		request.mayHaveRunSince = attempt.sentAt
		request.mayHaveRunOn = attempt.engine
	}
	queue := c.keyQueues[request.Key]
	if queue != nil && status != Errored && request.classSettings.Ordered {
		queue.cooldownUntil = max(queue.cooldownUntil, c.now+c.settings.KeyCooldown)
	}
}

// closeOrRetry closes, forgets, retries, rejects or fails a request after the end of one of its attempts. A request
// that has another attempt in flight waits for that attempt.
func (c *Controller) closeOrRetry(request *requestState, event Outcome) {
	switch {
	case event.Closed || event.Status == OK:
		c.closeRequest(request)
	case request.answered:
		c.forgetRequest(request)
	case request.inFlight > 0:
	case c.mayRetry(request):
		c.enqueueFirst(request)
	default:
		c.rejectOrFail(request)
	}
}

// release ends an attempt and returns its reservations.
func (c *Controller) release(request *requestState, attempt *attemptState) {
	engine := attempt.engine
	attempt.inFlight = false
	at := slices.IndexFunc(engine.attempts, func(ref *attemptRef) bool {
		return ref.request == request && ref.attempt() == attempt
	})
	if at >= 0 {
		engine.attempts = slices.Delete(engine.attempts, at, at+1)
	}
	c.reserve(request, attempt, -1)
	if engine.ejected && engine.recoveryInFlight > 0 {
		engine.recoveryInFlight--
	}
}

// reserve adds the threads and the memory of an attempt to all counters with sign 1, and subtracts them with sign -1.
func (c *Controller) reserve(request *requestState, attempt *attemptState, sign float64) {
	engine, tenant := attempt.engine, request.tenant
	threads, memory := sign*attempt.threads, sign*attempt.memory
	request.inFlight += int(sign)
	c.threads += threads
	engine.threads += threads
	engine.memory += memory
	tenant.threads += threads
	tenant.memory += memory
	if attempt.ofSmallClass {
		c.smallThreads += threads
		engine.smallMemory += memory
		tenant.smallMemory += memory
	}
}

// cancelAttempts cancels all attempts of a request that are in flight, if the settings allow cancellation.
func (c *Controller) cancelAttempts(request *requestState) {
	for index := range request.attempts {
		if request.attempts[index].inFlight {
			c.cancelAttempt(&attemptRef{request, index})
		}
	}
}

// cancelAttempt cancels an attempt in flight, if the settings allow cancellation and the attempt is not cancelled yet.
func (c *Controller) cancelAttempt(ref *attemptRef) {
	attempt := ref.attempt()
	if c.settings.CancellationAllowed && !attempt.cancelled {
		attempt.cancelled = true
		c.emit(Cancel{ID: ref.request.ID, Attempt: ref.index})
	}
}

// handleProgress applies a progress report on an attempt. A report of the fraction of work done also counts as a sign
// of life of the engine.
func (c *Controller) handleProgress(event Progress) {
	request := c.requests[event.ID]
	if request == nil || event.Attempt < 0 || event.Attempt >= len(request.attempts) {
		return
	}
	ref := &attemptRef{request, event.Attempt}
	attempt := ref.attempt()
	attempt.lastProgressAt = c.now
	if event.Kind == ProgressFraction {
		attempt.engine.lastAnswerAt = c.now
		c.migrateSlowPlan(ref, event.Value)
	}
}
