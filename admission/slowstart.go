package admission

import (
	"math"
	"slices"
	"time"

	"beechcart/decision/slowstart"
)

// The parts of a warming engine's budget: for fine work, from all front ends together, and for each of the two turns
// that any window meets. A front end that is shutting down keeps to a part of its part, as its successor may run.
const (
	fineWorkFraction = 0.5
	turnFraction     = 0.27
	shutdownFraction = 0.5
)

// slotFraction is the length of a slot of turns over the overload window: half of it, and the time that a turn lasts.
const slotFraction = 0.55

// minFineRequests is how many requests of a work a front end's part has to hold for that work to be fine.
const minFineRequests = 2

// assumedWarmingLimit is how long an engine counts as warming without word from discovery that it has restarted.
const assumedWarmingLimit = 3 * time.Second

// workKind says how work goes to a warming engine.
type workKind int

const (
	fineWork  workKind = iota // at any time, within this front end's part
	heavyWork                 // in this front end's turns
)

// slowStartSend is a send to a warming engine.
type slowStartSend struct {
	sentAt time.Duration
	work   float64 // seconds over all threads
	kind   workKind
}

// warmingBudget is the work that a warming engine may get within an overload window, in seconds over all threads.
type warmingBudget struct {
	total float64 // from all front ends
	fine  float64 // of fine work, from this front end
}

// kindOf is heavyWork for work that is more than a fraction of this front end's part.
func (b warmingBudget) kindOf(work float64) workKind {
	if work > b.fine/minFineRequests {
		return heavyWork
	}
	return fineWork
}

// beginSlowStart takes an engine for a new process that started at that time.
func (c *Controller) beginSlowStart(engine *engineState, at time.Duration) {
	engine.warmingSince, engine.warmingAssumedAt = at, 0
	engine.reportedAt = -1
	engine.slowdown, engine.threadFactor = 1, initialThreadFactor
	engine.lastAnswerAt = c.now
	engine.ejected, engine.processMayBeNew = false, false
	engine.consecutiveFailures, engine.overloadedUntil = 0, 0
	clear(engine.classRests)
}

// warmth is the capacity of an engine now over its full capacity, 1 once it is warm. It ends a slow start whose time is
// over.
func (c *Controller) warmth(engine *engineState) float64 {
	age := float64(c.now-engine.warmingSince) / math.Max(float64(c.settings.SlowStart.Duration), 1)
	assumed := engine.warmingAssumedAt > 0
	if engine.warmingSince >= 0 && (age >= 1 || (assumed && c.now-engine.warmingAssumedAt > assumedWarmingLimit)) {
		engine.warmingSince, engine.warmingAssumedAt = -1, 0
		engine.slowStartSends = nil
	}
	if engine.warmingSince < 0 {
		return 1
	}
	initial := c.settings.SlowStart.InitialCapacity
	return initial + (1-initial)*math.Max(age, 0)
}

// slowStartAllows reports whether an engine that is warming may get a request of that work. All front ends together
// keep to its budget in any window (invariant 8). Work much finer than this front end's part goes within that part.
// Heavier work goes in turns, by the list and the clock; where front ends' clocks differ, their turns meet by chance.
// Nothing goes in the first window of this front end, which doesn't know what its previous process sent; and no heavy
// work once it is shutting down, as its successor may have the same turns.
func (c *Controller) slowStartAllows(engine *engineState, work float64) bool {
	window := c.settings.SlowStart.OverloadWindow
	if c.warmth(engine) >= 1 || c.settings.SlowStart.OverloadMultiple <= 0 {
		return true
	}
	if c.now < c.startedAt+window || engine.slowStartQuota.FractionAt(c.now, window) == 0 {
		return false
	}
	budget := c.warmingBudget(engine)
	if budget.kindOf(work) == heavyWork {
		return c.shutdownAt == 0 && c.turnAllows(engine, work, budget.total)
	}
	if c.shutdownAt > 0 {
		budget.fine *= shutdownFraction
	}
	return work+engine.slowStartWorkSince(c.now-window, fineWork) <= budget.fine
}

// turnAllows reports whether it is this front end's turn at the engine and the turn has room for the work. One request
// heavier than the turn's part goes by chance, with a draw that holds for the slot.
func (c *Controller) turnAllows(engine *engineState, work, budget float64) bool {
	slot := time.Duration(slotFraction * float64(c.settings.SlowStart.OverloadWindow))
	if !engine.slowStartQuota.HasTurn(c.now, slot) {
		return false
	}
	if c.now >= engine.randomDrawUntil {
		engine.randomDraw, engine.randomDrawUntil = c.random.float64(), c.now+slot
	}
	spent := engine.slowStartWorkSince(c.now-slot, heavyWork)
	if spent+work <= budget*turnFraction {
		return true
	}
	window := slowstart.WindowBudget{
		Total: budget, MeanWork: c.meanRequestWork(), FineFraction: fineWorkFraction, TurnFraction: turnFraction,
	}
	return spent == 0 && engine.randomDraw < window.HeavyProbability(work, c.now, slot)
}

// warmingBudget is reckoned with the mean of what the engine can do now and at its start.
func (c *Controller) warmingBudget(engine *engineState) warmingBudget {
	slowStart := &c.settings.SlowStart
	total := slowStart.OverloadMultiple * (slowStart.InitialCapacity + c.warmth(engine)) / 2 * engine.cores *
		slowStart.OverloadWindow.Seconds()
	return warmingBudget{
		total: total,
		fine:  total * fineWorkFraction * engine.slowStartQuota.FractionAt(c.now, slowStart.OverloadWindow),
	}
}

// meanRequestWork is the mean work of the requests that came here, by what is known now of their classes.
func (c *Controller) meanRequestWork() float64 {
	work, requests := 0.0, 0.0
	for i := range c.estimates {
		estimate := &c.estimates[i]
		work += estimate.requests * estimate.work
		requests += estimate.requests
	}
	return work / math.Max(requests, 1)
}

// slowStartWorkSince sums up the work of that kind that this front end sent after that time.
func (e *engineState) slowStartWorkSince(from time.Duration, kind workKind) (sum float64) {
	for _, send := range e.slowStartSends {
		if send.sentAt > from && send.kind == kind {
			sum += send.work
		}
	}
	return sum
}

// recordSlowStartSend books a send to an engine that is warming, and forgets what no window holds any more.
func (c *Controller) recordSlowStartSend(engine *engineState, work float64) {
	if c.warmth(engine) >= 1 {
		return
	}
	outside := c.now - c.settings.SlowStart.OverloadWindow
	engine.slowStartSends = slices.DeleteFunc(engine.slowStartSends, func(send slowStartSend) bool {
		return send.sentAt <= outside
	})
	kind := c.warmingBudget(engine).kindOf(work)
	engine.slowStartSends = append(engine.slowStartSends, slowStartSend{c.now, work, kind})
}
