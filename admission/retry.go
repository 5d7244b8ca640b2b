package admission

import (
	"math"
	"slices"
	"time"
)

// An attempt has a slow plan if the total time projected from its progress is at least slowPlanMultiple times its
// expected time. The attempt is migrated only if the projected time left is also at least slowPlanMinGain times the
// expected time of another attempt.
const (
	slowPlanMultiple = 4.0
	slowPlanMinGain  = 2.0
)

// remainingTimeFraction is the part of the projected time left that is counted on against the deadline, since progress
// reports are rough.
const remainingTimeFraction = 0.7

// lastRetryWeightRatio is the ratio of priority weights above which a class leaves the last retry of the budget to the
// class of higher weight.
const lastRetryWeightRatio = 2

// retryBudgetState holds the counts that the retry budget limits and is computed from.
type retryBudgetState struct {
	arrivals []time.Duration // times at which requests arrived, within the budget's window
	retries  []time.Duration // times at which retries were sent, within the window
	reserved int             // retries of migrated attempts that are not sent yet
}

// mayRetry reports whether a request that has no attempt in flight may get another attempt.
func (c *Controller) mayRetry(request *requestState) bool {
	return !request.streaming && !c.shutdownImminent() && c.canMeetDeadline(request, 1) &&
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

// withinRetryBudget reports whether a retry of the request stays within the retry budget, given the number of reserved
// retries (invariant 7). A class of low priority weight leaves the last retry to classes of higher weight.
func (c *Controller) withinRetryBudget(request *requestState, reserved int) bool {
	budget := c.settings.RetryBudget
	if budget == nil {
		return true
	}
	c.trimRetryWindow(c.now - budget.Window)
	weight := request.classSettings.PriorityWeight
	if slices.ContainsFunc(c.settings.Classes, func(other Class) bool {
		return other.PriorityWeight > lastRetryWeightRatio*weight
	}) {
		reserved++
	}
	limit := budget.MinRetries + budget.Ratio*float64(len(c.retryBudget.arrivals))
	return float64(len(c.retryBudget.retries)+reserved+1) <= limit
}

// trimRetryWindow drops the arrivals and retries before the window, which begins at from. A retry at exactly from is
// kept and an arrival is dropped.
func (c *Controller) trimRetryWindow(from time.Duration) {
	state := &c.retryBudget
	for len(state.arrivals) > 0 && state.arrivals[0] <= from {
		state.arrivals = state.arrivals[1:]
	}
	for len(state.retries) > 0 && state.retries[0] < from {
		state.retries = state.retries[1:]
	}
}

// releaseReservedRetry returns the reserved retry of a request, if it has one, once the retry is sent or the request is
// closed.
func (c *Controller) releaseReservedRetry(request *requestState) {
	if request.retryReserved {
		request.retryReserved = false
		c.retryBudget.reserved--
	}
}

// migratable reports whether an attempt may be cancelled and replaced by a retry. With a retry budget, the budget must
// have room for the retry.
func (c *Controller) migratable(ref *attemptRef) bool {
	request, attempt := ref.request, ref.attempt()
	return c.settings.CancellationAllowed && attempt.inFlight && !attempt.cancelled &&
		request.classSettings.Idempotency == Idempotent && !request.streaming && !request.answered &&
		len(request.attempts) < c.settings.MaxAttempts && c.withinRetryBudget(request, c.retryBudget.reserved)
}

// migrate cancels a migratable attempt and reserves its retry, which is sent after the outcome of the cancelled attempt
// has arrived.
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

// migrateAttempts migrates the attempts of an engine that take longer than expected.
func (c *Controller) migrateAttempts(engine *engineState) {
	for _, ref := range engine.attempts {
		c.migrateIfSlow(ref)
	}
}

// migrateSlowPlan projects the total time of an attempt from the fraction of its work that is done. An attempt with a
// slow plan is migrated if another attempt should end well before it.
//
// The plan differs between the attempts of a request, but the cost of the request does not. If the progress of an
// earlier attempt projected a similar total, the request is costly and the attempt keeps running. Progress that is slow
// because the engine is slow, or because the request waits for memory, also looks like a slow plan. In a class whose
// estimates are off by more than slowPlanMultiple, needless migrations use up attempts.
//
// An idempotent attempt that cannot end before the deadline is cancelled in any case.
func (c *Controller) migrateSlowPlan(ref *attemptRef, done float64) {
	request, attempt := ref.request, ref.attempt()
	elapsed := float64(c.now - attempt.sentAt)
	total := elapsed / math.Max(done, 1e-3)
	expected := float64(c.expectedLatency(request, math.Max(attempt.engine.slowdown, c.fleet.medianSlowdown)))
	expectedElsewhere := float64(c.expectedLatency(request, c.fleet.medianSlowdown))

	slow := total >= slowPlanMultiple*expected && total-elapsed >= slowPlanMinGain*expectedElsewhere
	costly := request.predicted > 0 && total >= float64(request.predicted)/2
	missesDeadline := elapsed+(total-elapsed)*remainingTimeFraction > float64(request.deadline-attempt.sentAt)
	switch {
	case slow && !costly && c.migratable(ref) && c.canMeetDeadline(request, c.fleet.medianSlowdown):
		request.predicted = time.Duration(total)
		c.migrate(ref)
	case missesDeadline && attempt.inFlight && request.classSettings.Idempotency == Idempotent && !request.streaming:
		c.cancelAttempt(ref)
	}
}
