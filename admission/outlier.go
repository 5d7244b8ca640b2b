package admission

import (
	"fmt"
	"math"
	"time"
)

// An attempt is overdue after overdueMultiple times its expected time plus overdueMinimum.
const (
	overdueMultiple = 4.0
	overdueMinimum  = 300 * time.Millisecond
)

// An engine is unresponsive if at least minOverdue attempts sent since its last answer are overdue, and if the time
// without an answer is more than unresponsiveMultiple times that of the other engines.
const (
	minOverdue           = 2
	unresponsiveMultiple = 3
)

// missedProgressIntervals is the number of intervals without progress after which the answer of an attempt counts as
// lost.
const missedProgressIntervals = 3

// The error rate of an engine: how fast it falls with each answer, how fast it rises with each error, and the rate
// above which the engine gets no request that an error would end.
const (
	errorRateDecay = 0.1
	errorRateStep  = 0.25
	highErrorRate  = 0.5
)

// The lost answer rate: the weight of one answer, and the rate above which an attempt of a small class is not waited
// for longer than lostAnswerWait times its expected time.
const (
	lostAnswerSmoothing = 0.04
	highLostAnswerRate  = 0.08
	lostAnswerWait      = 2.5
)

// The numbers of consecutive failures that eject an engine. A single reset may be no more than a lost answer.
const (
	ejectAfterResets       = 2
	ejectAfterMissedChecks = 2
)

// The duration of an ejection and of a rest for a class. It doubles with each failure, from minEjection to maxEjection.
const (
	minEjection          = 1 * time.Second
	maxEjection          = 8 * time.Second
	maxEjectionDoublings = 3
)

// overloadPause is the time for which an engine that rejected an attempt gets no further attempts.
const overloadPause = 200 * time.Millisecond

// classRest keeps the requests of one class away from one engine.
type classRest struct {
	answeredAt time.Duration // time of the engine's last answer to the class
	until      time.Duration // no request of the class is sent to the engine before
	duration   time.Duration // duration of the current rest; 0: no rest
}

// extend doubles the current rest, if there is one. The caller sends an attempt of the class.
func (r *classRest) extend(now time.Duration) {
	if r.duration > 0 {
		r.duration = min(2*r.duration, maxEjection)
		r.until = now + r.duration
	}
}

// overdueAttempts counts overdue attempts on one engine.
type overdueAttempts struct {
	count         int
	tableGroup    int           // table group of the attempt that was added last
	severalGroups bool          // not all attempts share one table group, so no single table lock explains them
	firstSentAt   time.Duration // when the oldest attempt was sent
}

func (o *overdueAttempts) add(tableGroup int, sentAt time.Duration) {
	o.severalGroups = o.severalGroups || tableGroup < 0 || (o.count > 0 && tableGroup != o.tableGroup)
	if o.count == 0 || sentAt < o.firstSentAt {
		o.firstSentAt = sentAt
	}
	o.tableGroup = tableGroup
	o.count++
}

// unresponsive reports whether the attempts indicate an engine that does not answer, rather than one lock or one slow
// request.
func (o *overdueAttempts) unresponsive() bool { return o.count >= minOverdue && o.severalGroups }

// recordHealth updates the health of an engine from the outcome of an attempt. An answer clears earlier failures; a
// refused connection or repeated resets eject the engine. A lost connection to an engine that has answered on another
// connection since does not count.
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
	case TimedOut, Cancelled, NotSent: // no evidence on the health of the engine
	}
}

// recordAnswer records an answer or an error as a sign of life. Errors raise the error rate of the engine, although the
// requests may be at fault: errors return quickly and leave the engine idle, so that its low load would attract more
// requests.
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

// errorExcess returns the part of the error rate that counts against the engine. A single error does not count.
func (e *engineState) errorExcess() float64 { return math.Max(0, e.errorRate-errorRateStep) }

// markAlive records a successful health check of this or another front end.
func (c *Controller) markAlive(engine *engineState) {
	engine.missedChecks, engine.lastAnswerAt = 0, c.now
	if engine.ejected {
		c.endEjection(engine)
	}
}

// recordMissedCheck records a failed health check of this or another front end. A process that hangs answers no health
// check, while a busy one does. The engine is checked again before others.
func (c *Controller) recordMissedCheck(engine *engineState) {
	if !engine.ejected {
		engine.checkedAt = 0
	}
	engine.missedChecks++
	if engine.missedChecks >= ejectAfterMissedChecks {
		c.eject(engine)
	}
}

// recordRefusedCheck records a health check whose connection was refused, and ejects the engine.
func (c *Controller) recordRefusedCheck(engine *engineState) {
	if !engine.ejected {
		engine.checkedAt = 0
	}
	engine.missedChecks++
	c.eject(engine)
	engine.processMayBeNew = true
}

// eject takes an engine out of selection, unless less than half of the engines would remain in use (invariant 9). An
// ejected engine that fails again after the end of its ejection stays ejected for longer.
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

// endEjection returns an ejected engine to selection. If the process of the engine may be new, the engine counts as
// warming until discovery has had time to report the restart.
func (c *Controller) endEjection(engine *engineState) {
	engine.ejected = false
	c.fleet.usable++
	if engine.processMayBeNew {
		c.beginSlowStart(engine, c.now)
		engine.warmingAssumedAt = c.now
	}
}

// admitsRecoveryTraffic reports whether the health of an engine allows the request. After the end of its ejection, an
// engine gets one idempotent preferred request at a time. An engine with a high error rate gets requests that may be
// retried after an error, and other requests only if no candidate is more reliable.
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
	return engine.errorRate <= highErrorRate || !errorEnds || !c.candidates.anyReliable
}

// checkOverdueAttempts ejects an engine that is unresponsive, rests the classes that it does not answer, and migrates
// attempts whose answers may be lost.
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
	if overdue.unresponsive() && c.isUnresponsive(engine.lastAnswerAt, c.allEngines.lastAnswerAt) {
		c.eject(engine)
	}
	for class := range c.estimates {
		c.restClass(engine, class)
	}
}

// isUnresponsive reports whether the time since one event is far longer than that since the last answer of others. A
// stall of this front end makes both times long.
func (c *Controller) isUnresponsive(since, othersSince time.Duration) bool {
	return c.now-since > unresponsiveMultiple*(c.now-othersSince)+unresponsiveMultiple*overdueMinimum
}

func (c *Controller) isOverdue(ref *attemptRef) bool {
	attempt := ref.attempt()
	expected := max(attempt.expected, c.expectedLatency(ref.request, c.fleet.medianSlowdown))
	return float64(c.now-attempt.sentAt) > overdueMultiple*float64(expected)+float64(overdueMinimum)
}

// recordOverdue counts an overdue attempt against its class. If the engine has not answered since the attempt was sent,
// the attempt also counts against the engine, otherwise towards the lost answer rate.
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

// mayBeLost reports whether the answer of an attempt may be lost: the attempt has stopped reporting progress, or it is
// the first attempt of a small request and takes long while the lost answer rate is high.
func (c *Controller) mayBeLost(ref *attemptRef) bool {
	attempt := ref.attempt()
	if c.lostAnswerRate > highLostAnswerRate && ref.index == 0 && c.isSmall(ref.request.Class) {
		maxWait := lostAnswerWait*float64(attempt.expected) + float64(housekeepingInterval)
		if float64(c.now-attempt.sentAt) > maxWait {
			return true
		}
	}
	interval := c.settings.ProgressInterval
	return interval > 0 && c.now-max(attempt.sentAt, attempt.lastProgressAt) > missedProgressIntervals*interval
}

// restClass starts a rest of an engine for a class that the engine does not answer, while the engine answers other
// classes and other engines answer the class. The engine then gets one request of the class at a time, at growing
// intervals. Without the rest the engine would look idle, attract more requests of the class and hold them until their
// clients time out. At most half of the engines in use rest for a class (invariant 9).
func (c *Controller) restClass(engine *engineState, class int) {
	estimate, rest := &c.estimates[class], &engine.classRests[class]
	overdue := estimate.overdue
	estimate.overdue = overdueAttempts{}
	if rest.duration > 0 || !overdue.unresponsive() || engine.lastAnswerAt < overdue.firstSentAt ||
		!c.isUnresponsive(overdue.firstSentAt, estimate.answeredAt) {
		return
	}
	if 2*(c.restingEngines(class)+1) > c.fleet.usable {
		return
	}
	rest.duration, rest.until = minEjection, c.now+minEjection
	c.emit(Log{Text: fmt.Sprintf("engine %d answers nothing of class %d", engine.ID, class)})
}

// restingEngines returns the number of engines in use that rest for a class.
func (c *Controller) restingEngines(class int) (count int) {
	for _, engine := range c.engines {
		if !engine.unavailable && !engine.ejected && engine.classRests[class].duration > 0 {
			count++
		}
	}
	return count
}
