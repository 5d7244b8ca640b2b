package admission

import (
	"math"
	"slices"
	"time"

	"beechcart/decision/slowstart"
)

// The fractions of a warming engine's budget: fineWorkFraction for the fine work (see workKind) of all front ends
// together, and turnFraction for each of the two turns that a window can contain. A front end that is shutting down
// uses shutdownFraction of its share, as its successor may already be running.
const (
	fineWorkFraction = 0.5
	turnFraction     = 0.27
	shutdownFraction = 0.5
)

// slotFraction is the length of a slot as a fraction of the overload window. A turn is the first
// 1/slowstart.TurnDivisor of a slot. Two slots less one turn are longer than the window, so that no window contains
// parts of more than two turns.
const slotFraction = 0.55

// minFineRequests is the number of requests that a front end's share of the budget must cover for their work to count
// as fine.
const minFineRequests = 2

// assumedWarmingLimit is how long an engine whose process may be new is assumed to be warming while discovery reports
// no restart.
const assumedWarmingLimit = 3 * time.Second

// workKind tells the work of requests that are small against this front end's share of a warming engine's budget (fine)
// from that of larger requests (heavy). It decides when the work may be sent to the engine.
type workKind int

const (
	fineWork  workKind = iota // at any time, within this front end's share
	heavyWork                 // only in this front end's turns
)

// slowStartSend is a send to a warming engine.
type slowStartSend struct {
	sentAt time.Duration
	work   float64 // seconds, summed over all threads
	kind   workKind
}

// warmingBudget is the work that may be sent to a warming engine within an overload window, in seconds summed over all
// threads.
type warmingBudget struct {
	total float64 // by all front ends
	fine  float64 // fine work, by this front end
}

// kindOf returns heavyWork if minFineRequests requests of the work exceed this front end's share of fine work.
func (b warmingBudget) kindOf(work float64) workKind {
	if work > b.fine/minFineRequests {
		return heavyWork
	}
	return fineWork
}

// beginSlowStart treats the engine as a new process that started at the given time, and resets the state that belongs
// to the previous process.
func (c *Controller) beginSlowStart(engine *engineState, at time.Duration) {
	engine.warmingSince, engine.warmingAssumedAt = at, 0
	engine.reportedAt = -1
	engine.slowdown, engine.threadFactor = 1, initialThreadFactor
	engine.lastAnswerAt = c.now
	engine.ejected, engine.processMayBeNew = false, false
	engine.consecutiveFailures, engine.overloadedUntil = 0, 0
	clear(engine.classRests)
}

// warmth returns the engine's current capacity as a fraction of its full capacity; 1 if it is warm. warmth also ends a
// slow start whose duration has passed.
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

// slowStartAllows reports whether the engine, if it is warming, may get a request of the given work. All front ends
// together keep to the engine's budget in any window (invariant 8 of this package). Fine work is sent within this front
// end's share. Heavy work is sent in turns, which follow from the engine list and the clock; if the clocks of front
// ends differ, their turns may overlap. A front end sends nothing to a warming engine while its quota of the engine is
// 0, nor in the first window after the start of the front end, since the new process does not know what the previous
// one sent. A front end that is shutting down sends no heavy work, since its successor may have the same turns.
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

// turnAllows reports whether this front end has its turn at the engine and the work fits the rest of the turn's budget.
// A single request that exceeds the whole budget of the turn is allowed at random, by one draw per slot.
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

// warmingBudget returns the engine's current budget, based on the mean of its capacity now and its initial capacity.
func (c *Controller) warmingBudget(engine *engineState) warmingBudget {
	slowStart := &c.settings.SlowStart
	total := slowStart.OverloadMultiple * (slowStart.InitialCapacity + c.warmth(engine)) / 2 * engine.cores *
		slowStart.OverloadWindow.Seconds()
	return warmingBudget{
		total: total,
		fine:  total * fineWorkFraction * engine.slowStartQuota.FractionAt(c.now, slowStart.OverloadWindow),
	}
}

// meanRequestWork returns the mean work of the requests that this front end has received, in seconds summed over all
// threads, from the current estimates of their classes.
func (c *Controller) meanRequestWork() float64 {
	work, requests := 0.0, 0.0
	for i := range c.estimates {
		estimate := &c.estimates[i]
		work += estimate.requests * estimate.work
		requests += estimate.requests
	}
	return work / math.Max(requests, 1)
}

// slowStartWorkSince returns the sum of the work of the kind that this front end sent to the engine after from.
func (e *engineState) slowStartWorkSince(from time.Duration, kind workKind) (sum float64) {
	for _, send := range e.slowStartSends {
		if send.sentAt > from && send.kind == kind {
			sum += send.work
		}
	}
	return sum
}

// recordSlowStartSend records a send if the engine is warming, and drops the recorded sends that are older than an
// overload window.
func (c *Controller) recordSlowStartSend(engine *engineState, work float64) {
	if c.warmth(engine) >= 1 {
		return
	}
	windowStart := c.now - c.settings.SlowStart.OverloadWindow
	engine.slowStartSends = slices.DeleteFunc(engine.slowStartSends, func(send slowStartSend) bool {
		return send.sentAt <= windowStart
	})
	kind := c.warmingBudget(engine).kindOf(work)
	engine.slowStartSends = append(engine.slowStartSends, slowStartSend{c.now, work, kind})
}
