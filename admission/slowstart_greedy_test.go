package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// saturatedFleet is a set of front ends whose queues are never empty. Each sends to a warming engine as much as the
// budget allows, so that the sum of what they send is the largest that any traffic can cause.
type saturatedFleet struct {
	settings      Settings
	frontEnds     []*saturatedController
	classWork     []float64 // mean work by class, in seconds
	heavyFraction float64   // fraction of requests of the second class
	meanWork      float64   // mean work of a request, in seconds
	list          []Engine  // all engines, as discovery lists them
	received      map[uint32][]observedSend
	seed          uint64
	rng           *rand.Rand
}

// saturatedController is one front end of a saturatedFleet.
type saturatedController struct {
	*Controller
	announcedAt map[uint32]time.Duration // when the front end receives the start of an engine, by engine ID
	stopsAt     time.Duration            // when the process stops; 0: no stop planned
}

// saturatedFaults are the conditions of a run of a saturatedFleet.
type saturatedFaults struct {
	staggered  bool // engines start at different times within 4 s
	lateLists  bool // ... and a third of the front ends receive each start up to 2.5 s late
	restarts   bool // two front ends a second are replaced by new ones
	overlap    bool // ... and run beside the old ones for 3 s
	fewHeavy   bool // engines are small, and a tenth of the requests has twenty times the work of the others
	restartAll bool // all front ends are replaced at once, 2 s after the first start, and don't know what was sent
}

// newSaturatedFleet draws the engine list, the settings and the traffic mix from the seed.
func newSaturatedFleet(t *testing.T, seed uint64, faults saturatedFaults) *saturatedFleet {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 11))
	settings := baseSettings()
	settings.Replicas = 20 + random.IntN(11)
	settings.SlowStart = SlowStart{
		Duration: slowStartDuration, InitialCapacity: slowStartCapacity,
		OverloadMultiple: float64(2 + random.IntN(3)), OverloadWindow: sec,
	}
	cores := 4 + 4*random.IntN(3)
	settings.Kinds = []Kind{{Cores: cores, MemoryMB: 24576}, {Cores: cores * (1 + 2*random.IntN(2)), MemoryMB: 24576}}
	f := &saturatedFleet{settings: settings, seed: seed, rng: random, list: newEngines(4 + random.IntN(27)),
		received: map[uint32][]observedSend{}}
	lightWork := 0.02 * math.Pow(50, random.Float64())
	f.classWork = []float64{lightWork, lightWork * math.Pow(20, random.Float64())}
	f.heavyFraction = 0.05 + 0.3*random.Float64()
	if faults.fewHeavy {
		f.settings.SlowStart.OverloadMultiple, f.settings.Kinds = 2,
			[]Kind{{Cores: 4, MemoryMB: 24576}, {Cores: 4, MemoryMB: 24576}}
		f.classWork, f.heavyFraction = []float64{lightWork / 4, lightWork * 5}, 0.1
	}
	f.meanWork = f.classWork[0]*(1-f.heavyFraction) + f.classWork[1]*f.heavyFraction
	for i := range f.list {
		f.list[i].ID = random.Uint32()
		if random.IntN(3) > 0 {
			f.list[i].Started = slowStartBegin
			if faults.staggered {
				f.list[i].Started += time.Duration(random.IntN(4000)) * ms
			}
		}
	}
	for me := range settings.Replicas {
		f.join(t, me, slowStartBegin-2*sec, faults)
	}
	return f
}

// join starts a front end whose estimates of the classes are exact and that knows the current engine list.
func (f *saturatedFleet) join(t *testing.T, me int, at time.Duration, faults saturatedFaults) {
	t.Helper()
	ownSettings := f.settings
	ownSettings.Me = me
	c, err := New(ownSettings, f.seed*1000+uint64(len(f.frontEnds)))
	if err != nil {
		t.Fatal(err)
	}
	frontEnd := &saturatedController{Controller: c, announcedAt: map[uint32]time.Duration{}}
	f.frontEnds = append(f.frontEnds, frontEnd)
	var list []Engine
	for _, entry := range f.list {
		switch lag := time.Duration(f.rng.IntN(100)) * ms; {
		case entry.Started <= at:
			list = append(list, entry)
		case faults.lateLists && f.rng.IntN(3) == 0:
			lag = time.Duration(f.rng.IntN(2500)) * ms
			fallthrough
		default:
			frontEnd.announcedAt[entry.ID] = entry.Started + lag
		}
	}
	c.Step(at, []Event{EndpointsChanged{Kind: Persisted, Engines: list}})
	for i := range c.estimates {
		c.estimates[i].work = f.classWork[i]
	}
	c.estimates[0].requests, c.estimates[1].requests = 100*(1-f.heavyFraction), 100*f.heavyFraction
}

// announcements returns the changes of the list that a front end receives by the given time.
func (f *saturatedFleet) announcements(frontEnd *saturatedController, at time.Duration) (events []Event) {
	for _, entry := range f.list {
		if announcedAt, ok := frontEnd.announcedAt[entry.ID]; ok && announcedAt <= at {
			delete(frontEnd.announcedAt, entry.ID)
			events = append(events, EndpointsChanged{Kind: Partial, Engines: []Engine{entry}})
		}
	}
	return events
}

// step lets each running front end send as much as it may, in random order.
func (f *saturatedFleet) step(at time.Duration) {
	heavyFirst := f.rng.IntN(2) == 0
	for _, i := range f.rng.Perm(len(f.frontEnds)) {
		frontEnd := f.frontEnds[i]
		if frontEnd.stopsAt > 0 && at >= frontEnd.stopsAt {
			continue
		}
		frontEnd.Step(at, f.announcements(frontEnd, at))
		for _, engine := range frontEnd.engines {
			for class := range f.classWork {
				if heavyFirst {
					class = len(f.classWork) - 1 - class
				}
				f.send(frontEnd.Controller, engine, f.classWork[class])
			}
		}
	}
}

// send sends as many requests of the work as the budget allows, and records them as Controller.send does. All count as
// informed, so that fullestWindow checks every window.
func (f *saturatedFleet) send(c *Controller, engine *engineState, work float64) {
	for c.warmth(engine) < 1 && c.slowStartAllows(engine, work) {
		c.recordSlowStartSend(engine, work)
		f.received[engine.ID] = append(f.received[engine.ID], observedSend{at: c.now, work: work, informed: true})
	}
}

// restart replaces two front ends, or all, by new ones. With overlap, the old ones get a shutdown request and stop 3 s
// later.
func (f *saturatedFleet) restart(t *testing.T, at time.Duration, round int, faults saturatedFaults) {
	t.Helper()
	replaced := []int{2 * round % f.settings.Replicas, (2*round + 1) % f.settings.Replicas}
	if faults.restartAll {
		replaced = f.rng.Perm(f.settings.Replicas)
	}
	for _, me := range replaced {
		old := f.frontEnds[me]
		if old.stopsAt = at; faults.overlap {
			old.stopsAt = at + 3*sec
			old.Step(at, []Event{ShutdownRequested{Timeout: 3 * sec}})
		}
		f.join(t, me, at, faults)
	}
}

// play runs all front ends for the whole slow start of all engines.
func (f *saturatedFleet) play(t *testing.T, faults saturatedFaults) {
	t.Helper()
	for at := slowStartBegin; at < slowStartBegin+slowStartDuration+4*sec; at += housekeepingInterval {
		age := at - slowStartBegin
		if (faults.restarts && age%sec == 0 && age < 8*sec) || (faults.restartAll && age == 2*sec) {
			f.restart(t, at, int(age/sec), faults)
		}
		f.step(at)
	}
}

// evaluate returns the fullest window over all engines, as slowStartRun.evaluate does.
func (f *saturatedFleet) evaluate() (w worstWindow) {
	for _, entry := range f.list {
		w = w.merge(fullestWindow(f.settings, entry, f.meanWork, f.received[entry.ID]))
	}
	return w
}

// Checks that the budgets of all front ends together never allow an overload of an engine, even if no queue is ever
// empty.
func TestSlowStartBudgetHoldsForGreedyFrontEnds(t *testing.T) {
	for name, faults := range map[string]saturatedFaults{
		"all at once":       {}, // all engines start at the same time
		"staggered":         {staggered: true},
		"late lists":        {staggered: true, lateLists: true},
		"restarts":          {restarts: true},
		"overlapping":       {restarts: true, overlap: true},
		"all anew":          {staggered: true, restartAll: true}, // all front ends are replaced at once
		"few heavy":         {fewHeavy: true},
		"late, overlapping": {staggered: true, lateLists: true, restarts: true, overlap: true},
	} {
		t.Run(name, func(t *testing.T) {
			var worst worstWindow
			overloads := 0
			for seed := range slowStartSeeds(t) {
				f := newSaturatedFleet(t, seed, faults)
				f.play(t, faults)
				w := f.evaluate()
				if w.overloads > 0 {
					overloads++
					t.Errorf("seed %d, %d front ends, %d engines, cores %d and %d, work %.2f: overloaded, worst window %+v", seed,
						f.settings.Replicas, len(f.list), f.settings.Kinds[0].Cores, f.settings.Kinds[1].Cores, f.classWork, w)
				}
				worst = worst.merge(w)
			}
			t.Logf("%d of %d fleets with an overload; used %.2f of the budgets, worst window %+v", overloads,
				slowStartSeeds(t), worst.used(), worst)
		})
	}
}

// Checks that the saturated fleet detects overloads: twice the budget must overload an engine.
func TestSaturatedFleetDetectsTwiceTheBudget(t *testing.T) {
	overloads := 0
	for seed := range uint64(3) {
		f := newSaturatedFleet(t, seed, saturatedFaults{})
		for _, frontEnd := range f.frontEnds {
			frontEnd.settings.SlowStart.OverloadMultiple *= 2
		}
		f.play(t, saturatedFaults{})
		w := f.evaluate()
		t.Logf("seed %d: worst window %+v", seed, w)
		overloads += w.overloads
	}
	if overloads == 0 {
		t.Error("found no overloaded engine at twice the budget, must be at least 1")
	}
}
