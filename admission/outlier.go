package admission

import (
	"fmt"
	"math"
	"time"
)

// An attempt is overdue after overdueMultiple times its expected time and overdueMinimum.
const (
	overdueMultiple = 4.0
	overdueMinimum  = 300 * time.Millisecond
)

// silentAttempts overdue attempts since the last answer make an engine silent, if it is silent for silenceMultiple
// times as long as others.
const (
	silentAttempts  = 2
	silenceMultiple = 3
)

// missedProgressIntervals is after how many intervals without progress an attempt is taken for lost.
const missedProgressIntervals = 3

// The rate of errors of an engine: how fast it falls with an answer and rises with an error, and from what rate on an
// engine gets nothing that an error would end.
const (
	errorRateDecay = 0.1
	errorRateStep  = 0.25
	highErrorRate  = 0.5
)

// The rate of lost answers: how fast it follows, and from what rate on small requests are not waited for longer than
// lostAnswerWait times their expected time.
const (
	lostAnswerSmoothing = 0.04
	highLostAnswerRate  = 0.08
	lostAnswerWait      = 2.5
)

// Failures in a row that eject an engine. One reset alone may be a lost answer.
const (
	ejectAfterResets       = 2
	ejectAfterMissedChecks = 2
)

// The time of an ejection and of a rest for a class doubles with each failure, from minEjection to maxEjection.
const (
	minEjection          = 1 * time.Second
	maxEjection          = 8 * time.Second
	maxEjectionDoublings = 3
)

// overloadPause is how long an engine that rejected an attempt gets none.
const overloadPause = 200 * time.Millisecond

// classRest keeps a class from one engine.
type classRest struct {
	answeredAt time.Duration // when the engine answered the class last
	until      time.Duration // nothing of the class goes there before
	duration   time.Duration // of the rest in force; 0: none
}

// extend doubles a rest in force with each attempt of the class that is sent.
func (r *classRest) extend(now time.Duration) {
	if r.duration > 0 {
		r.duration = min(2*r.duration, maxEjection)
		r.until = now + r.duration
	}
}

// overdueAttempts counts attempts that are overdue.
type overdueAttempts struct {
	count         int
	tableGroup    int           // of the last of them
	severalGroups bool          // they are not all of one table group: no lock explains them
	firstSentAt   time.Duration // when the oldest was sent
}

func (o *overdueAttempts) add(tableGroup int, sentAt time.Duration) {
	o.severalGroups = o.severalGroups || tableGroup < 0 || (o.count > 0 && tableGroup != o.tableGroup)
	if o.count == 0 || sentAt < o.firstSentAt {
		o.firstSentAt = sentAt
	}
	o.tableGroup = tableGroup
	o.count++
}

// silence reports whether they tell of silence, and not of one lock or one slow request.
func (o *overdueAttempts) silence() bool { return o.count >= silentAttempts && o.severalGroups }

// recordHealth takes in what an outcome says of its engine: an answer clears it, refused connections and resets eject
// it. A lost connection to an engine that answers on another says nothing of it.
func (c *Controller) recordHealth(engine *engineState, attempt *attemptState, event Outcome) {
	if event.EngineAlive {
		return
	}
	switch event.Status {
	case OK, Errored:
		c.recordAnswer(engine, attempt, event.Status)
	case Reset:
		c.raiseLostAnswerRate()
		engine.consecutiveFailures++
		if engine.consecutiveFailures >= ejectAfterResets {
			c.eject(engine)
		}
	case ConnectFailed:
		c.eject(engine)
		engine.processMayBeNew = true
	case Overloaded:
		engine.cutThreadFactor()
		engine.overloadedUntil = c.now + overloadPause
	case TimedOut, Cancelled, NotSent: // say nothing of the engine
	}
}

// recordAnswer takes an answer or an error for a sign of life. Errors count against their engine, though requests may
// be at fault: they come fast and leave it idle, so that its load draws more.
func (c *Controller) recordAnswer(engine *engineState, attempt *attemptState, status Status) {
	engine.errorRate -= engine.errorRate * errorRateDecay
	if status == Errored {
		engine.errorRate += (1 - engine.errorRate) * errorRateStep
	}
	engine.lastAnswerAt, c.allEngines.lastAnswerAt = c.now, c.now
	engine.consecutiveFailures = 0
	c.lostAnswerRate -= c.lostAnswerRate * lostAnswerSmoothing
	if engine.ejected && attempt.sentAt >= engine.ejectedUntil {
		c.endEjection(engine)
	}
}

func (c *Controller) raiseLostAnswerRate() {
	c.lostAnswerRate += (1 - c.lostAnswerRate) * lostAnswerSmoothing
}

// errorExcess is the rate of errors that counts against an engine: one error alone doesn't.
func (e *engineState) errorExcess() float64 { return math.Max(0, e.errorRate-errorRateStep) }

// markAlive takes in an answered health check, own or another front end's.
func (c *Controller) markAlive(engine *engineState) {
	engine.missedChecks, engine.lastAnswerAt = 0, c.now
	if engine.ejected {
		c.endEjection(engine)
	}
}

// recordMissedCheck takes in a failed health check, own or another front end's. A process that hangs answers none,
// while a busy one does. The engine is checked again first.
func (c *Controller) recordMissedCheck(engine *engineState) {
	if !engine.ejected {
		engine.checkedAt = 0
	}
	engine.missedChecks++
	if engine.missedChecks >= ejectAfterMissedChecks {
		c.eject(engine)
	}
}

// recordRefusedCheck takes in a health check whose connection was refused.
func (c *Controller) recordRefusedCheck(engine *engineState) {
	if !engine.ejected {
		engine.checkedAt = 0
	}
	engine.missedChecks++
	c.eject(engine)
	engine.processMayBeNew = true
}

// eject takes an engine out of selection, unless that would leave less than half of the engines in use (invariant 9).
// One that is ejected and failed again after its time stays out for longer.
func (c *Controller) eject(engine *engineState) {
	if engine.ejected {
		if c.now >= engine.ejectedUntil {
			engine.consecutiveFailures++
			doublings := min(engine.consecutiveFailures, maxEjectionDoublings)
			engine.ejectedUntil = c.now + min(minEjection<<doublings, maxEjection)
		}
		return
	}
	if 2*(c.fleet.engines-c.fleet.usable+1) > c.fleet.engines {
		return
	}
	c.fleet.usable--
	engine.ejected, engine.ejectedUntil = true, c.now+minEjection
	engine.consecutiveFailures, engine.recoveryInFlight = 0, 0
	c.emit(Log{Text: fmt.Sprintf("engine %d ejected, %d own attempts out", engine.ID, len(engine.attempts))})
	c.migrateAttempts(engine)
}

// endEjection takes an engine back. One whose process may be new is taken to be warming until discovery has had time
// to tell.
func (c *Controller) endEjection(engine *engineState) {
	engine.ejected = false
	c.fleet.usable++
	if engine.processMayBeNew {
		c.beginSlowStart(engine, c.now)
		engine.warmingAssumedAt = c.now
	}
}

// admitsRecoveryTraffic reports whether the health of an engine lets it have the request. Once the time of its ejection
// is over, it gets one idempotent preferred request at a time. One that answers mostly with errors gets what may be
// sent again, and what an error would end only where no other candidate is more reliable.
func (c *Controller) admitsRecoveryTraffic(engine *engineState, request *requestState) bool {
	idempotent := request.classSettings.Idempotency == Idempotent
	if engine.ejected {
		return c.now >= engine.ejectedUntil && engine.recoveryInFlight == 0 && idempotent &&
			len(request.attempts) == 0 && request.rank() == preferredRank
	}
	if c.now < engine.overloadedUntil {
		return false
	}
	errorEnds := !idempotent || len(request.attempts)+1 >= c.settings.MaxAttempts
	return engine.errorRate <= highErrorRate || !errorEnds || !c.candidates.someReliable
}

// checkOverdueAttempts looks for engines and classes that are silent and for answers that got lost.
func (c *Controller) checkOverdueAttempts(engine *engineState) {
	overdue := overdueAttempts{} // sent since the last answer of the engine
	for _, ref := range engine.attempts {
		if c.isOverdue(ref) {
			c.recordOverdue(ref, &overdue)
		}
		if c.mayBeLost(ref) {
			c.migrateIfSlow(ref)
		}
	}
	if overdue.silence() && c.isSilenceOf(engine.lastAnswerAt, c.allEngines.lastAnswerAt) {
		c.eject(engine)
	}
	for class := range c.estimates {
		c.restClass(engine, class)
	}
}

// isSilenceOf reports whether the time since one sign of life is far longer than that since another: a stall of our own
// makes both long.
func (c *Controller) isSilenceOf(since, others time.Duration) bool {
	return c.now-since > silenceMultiple*(c.now-others)+silenceMultiple*overdueMinimum
}

func (c *Controller) isOverdue(ref *attemptRef) bool {
	attempt := ref.attempt()
	expected := max(attempt.expected, c.expectedLatency(ref.request, c.fleet.medianSlowdown))
	return float64(c.now-attempt.sentAt) > overdueMultiple*float64(expected)+float64(overdueMinimum)
}

// recordOverdue counts an overdue attempt against its class, and against its engine or, if the engine has answered
// others since, the rate of lost answers.
func (c *Controller) recordOverdue(ref *attemptRef, sinceAnswer *overdueAttempts) {
	request, attempt := ref.request, ref.attempt()
	if attempt.sentAt > attempt.engine.classRests[request.Class].answeredAt {
		c.estimates[request.Class].overdue.add(request.TableGroup, attempt.sentAt)
	}
	if attempt.sentAt > attempt.engine.lastAnswerAt {
		sinceAnswer.add(request.TableGroup, attempt.sentAt)
	} else if c.isSmall(request.Class) && !attempt.countedAsLost {
		attempt.countedAsLost = true
		c.raiseLostAnswerRate()
	}
}

// mayBeLost reports whether the answer of an attempt may be lost: a small first attempt takes long while answers get
// lost, or its progress has stopped.
func (c *Controller) mayBeLost(ref *attemptRef) bool {
	attempt := ref.attempt()
	if c.lostAnswerRate > highLostAnswerRate && ref.index == 0 && c.isSmall(ref.request.Class) {
		patience := lostAnswerWait*float64(attempt.expected) + float64(housekeepingInterval)
		if float64(c.now-attempt.sentAt) > patience {
			return true
		}
	}
	interval := c.settings.ProgressInterval
	return interval > 0 && c.now-max(attempt.sentAt, attempt.lastProgressAt) > missedProgressIntervals*interval
}

// restClass keeps a class from an engine that answers none of it, while it answers others and other engines answer the
// class; then the engine gets one request of it at a time, further and further apart. Such an engine looks idle, draws
// more, and holds what it gets until clients leave. At most half of the engines rest for a class (invariant 9).
func (c *Controller) restClass(engine *engineState, class int) {
	estimate, rest := &c.estimates[class], &engine.classRests[class]
	overdue := estimate.overdue
	estimate.overdue = overdueAttempts{}
	if rest.duration > 0 || !overdue.silence() || engine.lastAnswerAt < overdue.firstSentAt ||
		!c.isSilenceOf(overdue.firstSentAt, estimate.answeredAt) {
		return
	}
	if 2*(c.restingEngines(class)+1) > c.fleet.usable {
		return
	}
	rest.duration, rest.until = minEjection, c.now+minEjection
	c.emit(Log{Text: fmt.Sprintf("engine %d answers nothing of class %d", engine.ID, class)})
}

// restingEngines counts the engines in use that rest for a class.
func (c *Controller) restingEngines(class int) (count int) {
	for _, engine := range c.engines {
		if !engine.unavailable && !engine.ejected && engine.classRests[class].duration > 0 {
			count++
		}
	}
	return count
}
