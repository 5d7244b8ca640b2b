package admission

import (
	"math"
	"slices"
	"time"

	"beechcart/decision/slowstart"
)

const (
	coldFine    = 0.5             // part of the cold budget for work finer than our part of it ...
	coldLeaving = 0.5             // ... of our part while we end: our successor may run beside us ...
	coldTurn    = 0.27            // ... and for each of the two turns that any window holds
	coldSlot    = 0.55            // slots of turns in windows: half a one, and the time that a turn lasts
	guessFor    = 3 * time.Second // an engine that was lost counts as cold until the list had time to tell
)

type spend struct {
	at    time.Duration
	work  float64
	heavy bool // went in a turn
}

func (c *Controller) startCold(e *engine, at time.Duration) {
	e.coldFrom, e.repAt, e.guess, e.lost, e.rest = at, -1, 0, false, 0
	clear(e.mutes)
	e.ejected, e.strikes, e.pace, e.factor, e.lastOK = false, 0, 1, factorStart, c.now
}

// ready is what an engine can do now, as a share of what it can do warm.
func (c *Controller) ready(e *engine) float64 {
	age := float64(c.now-e.coldFrom) / math.Max(float64(c.set.Cold), 1)
	if e.coldFrom >= 0 && (age >= 1 || (e.guess > 0 && c.now-e.guess > guessFor)) {
		e.coldFrom, e.spent, e.guess = -1, nil, 0
	}
	if e.coldFrom < 0 {
		return 1
	}
	return c.set.ColdFrom + (1-c.set.ColdFrom)*math.Max(age, 0)
}

// coldRoom guards against pushing a cold engine over: all gateways together stay within its budget in any
// window, in the usual work of the classes, against the least it can do (ColdFrom). Work much finer than our
// part goes within that part. Heavier work goes in turns: each gateway whose stretch reaches it has one, by
// the list and the clock, and no window meets more than two (decision/slowstart). When it went by chance, never
// beside fine work, it stood for 15 s while new engines idled (docs/fleet.md). Those that came past engines
// ejected or erring leave it alone, and so does one that started within the window and does not know what its
// last run spent; one that ends may have its successor beside it. May harm where no gateway near it has
// anything to send, and after a change of the list; where clocks differ, turns meet by chance.
func (c *Controller) coldRoom(e *engine, work float64) bool {
	if c.ready(e) >= 1 || c.set.FallMultiple <= 0 {
		return true
	}
	if c.now < c.startedAt+c.set.FallWindow || e.share.PartAt(c.now, c.set.FallWindow) == 0 {
		return false
	}
	budget, fine, heavy := c.coldBudget(e, work)
	if c.stopAt > 0 {
		fine *= coldLeaving
	}
	if !heavy {
		return work+e.spentSince(c.now-c.set.FallWindow, false) <= fine
	}
	slot := time.Duration(coldSlot * float64(c.set.FallWindow))
	if c.stopAt > 0 || !e.share.Turn(c.now, slot) {
		return false
	}
	if c.now >= e.luckUntil {
		e.luck, e.luckUntil = c.rand(), c.now+slot
	}
	spent := e.spentSince(c.now-slot, true)
	window := slowstart.Window{Budget: budget, Mean: c.meanWork(), Fine: coldFine, Turn: coldTurn}
	return spent+work <= budget*coldTurn || (spent == 0 && e.luck < window.HeavyChance(work, c.now, slot))
}

// coldBudget is what a cold engine may get in a window, at the least, our part of it for fine work, and
// whether this work is too heavy for that part.
func (c *Controller) coldBudget(e *engine, work float64) (all, fine float64, heavy bool) {
	all = c.set.FallMultiple * (c.set.ColdFrom + c.ready(e)) / 2 * e.cores * c.set.FallWindow.Seconds()
	fine = all * coldFine * e.share.PartAt(c.now, c.set.FallWindow)
	return all, fine, work > fine/2
}

// meanWork is the mean work of the requests that came here, by what is known now of their classes.
func (c *Controller) meanWork() float64 {
	work, requests := 0.0, 0.0
	for i := range c.classes {
		k := &c.classes[i]
		work, requests = work+k.estN*k.work, requests+k.estN
	}
	return work / math.Max(requests, 1)
}

// spentSince sums the own work sent since then, heavy or fine.
func (e *engine) spentSince(from time.Duration, heavy bool) (sum float64) {
	for _, s := range e.spent {
		if s.at > from && s.heavy == heavy {
			sum += s.work
		}
	}
	return sum
}

// spend books own work, and forgets what no window of that length holds any more.
func (e *engine) spend(s spend, window time.Duration) {
	e.spent = append(slices.DeleteFunc(e.spent, func(o spend) bool { return o.at <= s.at-window }), s)
}
