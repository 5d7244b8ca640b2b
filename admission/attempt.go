package admission

import (
	"math"
	"slices"
	"time"
)

// lightRequestMargin is how many times lighter than the mean of its class a request has to be for high priority.
const lightRequestMargin = 1.5

// The priorities of [Terms]. Engines know 3 as well; with it small requests would starve heavy ones.
const (
	lowPriority    = 0
	normalPriority = 1
	highPriority   = 2
)

// attemptState is what the controller keeps of one attempt of a request.
type attemptState struct {
	engine         *engineState
	sentAt         time.Duration
	expected       time.Duration // from sending to answer
	lastProgressAt time.Duration // 0: none yet
	threads        float64       // reserved
	memory         float64       // reserved, in MB

	inFlight      bool
	cancelled     bool
	ofSmallClass  bool // when it was sent
	onCalmEngine  bool // when it was sent: its latency tells that of a calm engine
	countedAsLost bool // in the rate of lost answers
}

// attemptRef names an attempt. Pointers into requestState.attempts don't survive the next attempt.
type attemptRef struct {
	request *requestState
	index   int
}

func (r *attemptRef) attempt() *attemptState { return &r.request.attempts[r.index] }

// send starts an attempt, terms first. Its only timeout is the client's: a shorter one would cut costly requests.
func (c *Controller) send(request *requestState, engine *engineState) {
	c.dequeue(request)
	attempt := c.newAttempt(request, engine)
	attempt.memory = c.setTerms(request, &attempt)
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

// setTerms sets the priority and the memory grant of an attempt, and returns the memory to reserve for it.
func (c *Controller) setTerms(request *requestState, attempt *attemptState) (memory float64) {
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

// priorityOf prefers what is small, and what holds locks: if that is slow, all that wait for the locks are.
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

// handleOutcome releases the attempt first, then learns from it, then decides what follows: another attempt, or the
// final answer at once.
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
	c.proceed(request, event)
}

// recordMayHaveRun notes that an attempt may have run though no answer tells. Its key rests, lest the next request of
// the key overtakes it on another engine.
func (c *Controller) recordMayHaveRun(request *requestState, attempt *attemptState, status Status) {
	if !request.mayHaveRun {
		request.mayHaveRun = true
		request.mayHaveRunSince = attempt.sentAt
		request.mayHaveRunOn = attempt.engine
	}
	queue := c.keyQueues[request.Key]
	if queue != nil && status != Errored && request.classSettings.Ordered {
		queue.coolingUntil = max(queue.coolingUntil, c.now+c.settings.KeyCooldown)
	}
}

// proceed decides what follows the end of an attempt.
func (c *Controller) proceed(request *requestState, event Outcome) {
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

// release ends an attempt and gives back what it reserved.
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

// reserve books the threads and the memory of an attempt with sign 1, and gives them back with sign -1.
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

// cancelAttempts cancels all attempts of a request that are in flight, where that is allowed.
func (c *Controller) cancelAttempts(request *requestState) {
	for index := range request.attempts {
		if request.attempts[index].inFlight {
			c.cancelAttempt(&attemptRef{request, index})
		}
	}
}

// cancelAttempt cancels an attempt in flight once, where that is allowed.
func (c *Controller) cancelAttempt(ref *attemptRef) {
	attempt := ref.attempt()
	if c.settings.CancellationAllowed && !attempt.cancelled {
		attempt.cancelled = true
		c.emit(Cancel{ID: ref.request.ID, Attempt: ref.index})
	}
}

// handleProgress takes what an engine tells of an attempt, which is a sign of life of the engine as well.
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
