package admission

import (
	"math"
	"slices"
	"time"
)

// An attempt has a slow plan if its progress foretells slowPlanMultiple times its expected time or more; it is migrated
// if another attempt saves slowPlanMinGain times its own expected time or more.
const (
	slowPlanMultiple = 4.0
	slowPlanMinGain  = 2.0
)

// remainingTimeFraction is how much of the time that progress foretells to be left is counted on; progress is rough.
const remainingTimeFraction = 0.7

// dearerClass is how many times the priority weight of a class is that of one for which it leaves the last retry.
const dearerClass = 2

// retryBudgetState counts what the retry budget is reckoned from.
type retryBudgetState struct {
	arrivals []time.Duration // of requests, within the budget's window
	retries  []time.Duration // sent within the window
	reserved int             // for migrated attempts whose retries are not sent yet
}

// mayRetry reports whether a request without an attempt in flight may have another.
func (c *Controller) mayRetry(request *requestState) bool {
	return !request.streaming && !c.aboutToEnd() && c.canMeetDeadline(request, 1) &&
		len(request.attempts) < c.settings.MaxAttempts && c.retryAllowed(request)
}

// retryAllowed reports whether the idempotency of the request allows another attempt (invariant 3).
func (c *Controller) retryAllowed(request *requestState) bool {
	if !request.mayHaveRun {
		return true
	}
	switch request.classSettings.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return c.now < request.mayHaveRunSince+request.classSettings.DeduplicationWindow
	default:
		return false
	}
}

// withinRetryBudget reports whether a retry of the request keeps to the budget beside so many reserved ones
// (invariant 7). The last one is left for classes of more weight.
func (c *Controller) withinRetryBudget(request *requestState, reserved int) bool {
	budget := c.settings.RetryBudget
	if budget == nil {
		return true
	}
	c.trimRetryWindow(c.now - budget.Window)
	weight := request.classSettings.PriorityWeight
	if slices.ContainsFunc(c.settings.Classes, func(other Class) bool {
		return other.PriorityWeight > dearerClass*weight
	}) {
		reserved++
	}
	limit := budget.MinRetries + budget.Ratio*float64(len(c.retryBudget.arrivals))
	return float64(len(c.retryBudget.retries)+reserved+1) <= limit
}

// trimRetryWindow forgets what is before the window. At its edge a retry still counts and an arrival doesn't.
func (c *Controller) trimRetryWindow(from time.Duration) {
	state := &c.retryBudget
	for len(state.arrivals) > 0 && state.arrivals[0] <= from {
		state.arrivals = state.arrivals[1:]
	}
	for len(state.retries) > 0 && state.retries[0] < from {
		state.retries = state.retries[1:]
	}
}

// releaseReservedRetry gives the reservation of a retry back, once it is sent or the request is over.
func (c *Controller) releaseReservedRetry(request *requestState) {
	if request.retryReserved {
		request.retryReserved = false
		c.retryBudget.reserved--
	}
}

// migratable reports whether an attempt may be cancelled for another in its place. Where retries are limited, only one
// whose retry may follow is.
func (c *Controller) migratable(ref *attemptRef) bool {
	request, attempt := ref.request, ref.attempt()
	return c.settings.CancellationAllowed && attempt.inFlight && !attempt.cancelled &&
		request.classSettings.Idempotency == Idempotent && !request.streaming && !request.answered &&
		len(request.attempts) < c.settings.MaxAttempts && c.withinRetryBudget(request, c.retryBudget.reserved)
}

// migrate cancels a migratable attempt; its retry is sent once its outcome has come.
func (c *Controller) migrate(ref *attemptRef) {
	ref.request.retryReserved = true
	c.retryBudget.reserved++
	c.cancelAttempt(ref)
}

// migrateIfSlow migrates an attempt that takes longer than expected.
func (c *Controller) migrateIfSlow(ref *attemptRef) {
	if attempt := ref.attempt(); c.migratable(ref) && c.now-attempt.sentAt > attempt.expected {
		c.migrate(ref)
	}
}

// migrateAttempts migrates the slow ones of an engine's attempts.
func (c *Controller) migrateAttempts(engine *engineState) {
	for _, ref := range engine.attempts {
		c.migrateIfSlow(ref)
	}
}

// migrateSlowPlan takes the fraction of an attempt's work that is done, and migrates the attempt if that foretells many
// times its expected time and another should end well before it. The plan differs from attempt to attempt, but not
// the cost of the request: one whose earlier attempt foretold as much is costly, and left to run. Progress that is
// slow as the engine is, or waits for memory, is taken for a slow plan too; and estimates of a class that scatter by
// more than slowPlanMultiple cost attempts. An idempotent attempt that can't end before its deadline is cancelled in
// any case.
func (c *Controller) migrateSlowPlan(ref *attemptRef, done float64) {
	request, attempt := ref.request, ref.attempt()
	elapsed := float64(c.now - attempt.sentAt)
	total := elapsed / math.Max(done, 1e-3)
	expected := float64(c.expectedLatency(request, math.Max(attempt.engine.slowdown, c.fleet.medianSlowdown)))
	expectedElsewhere := float64(c.expectedLatency(request, c.fleet.medianSlowdown))

	slow := total >= slowPlanMultiple*expected && total-elapsed >= slowPlanMinGain*expectedElsewhere
	costly := request.predicted > 0 && total >= float64(request.predicted)/2
	inVain := elapsed+(total-elapsed)*remainingTimeFraction > float64(request.deadline-attempt.sentAt)
	switch {
	case slow && !costly && c.migratable(ref) && c.canMeetDeadline(request, c.fleet.medianSlowdown):
		request.predicted = time.Duration(total)
		c.migrate(ref)
	case inVain && attempt.inFlight && request.classSettings.Idempotency == Idempotent && !request.streaming:
		c.cancelAttempt(ref)
	}
}
