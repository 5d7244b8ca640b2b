package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// greedyFleet is front ends that send a warming engine all that its budget lets through, from queues that never run
// dry: the most that the sum of the parts can come to, whatever the traffic.
type greedyFleet struct {
	set   Settings
	ctls  []*greedyController
	works []float64 // mean work of the classes, in seconds
	heavy float64   // part of the requests that are of the second class
	mean  float64   // of a request, in seconds
	list  []Engine
	got   map[uint32][]observedSend
	seed  uint64
	rng   *rand.Rand
}

// greedyController is one front end of a greedy fleet.
type greedyController struct {
	*Controller
	hears map[uint32]time.Duration // when it hears of the start of an engine
	ends  time.Duration            // when its process ends; 0: not for now
}

// greedyFaults are what differs between the front ends of a greedy fleet.
type greedyFaults struct {
	staggered bool // engines start over 4 s
	lateLists bool // ... and a third of the front ends hear of each start up to 2.5 s late
	restarts  bool // two front ends a second are replaced by fresh ones
	overlap   bool // ... which run beside the old ones for 3 s
	fewHeavy  bool // engines are small, and a tenth of the requests are twenty times as heavy as the others
	allAnew   bool // all are replaced at once, 2 s after the first start, and know nothing of what was sent
}

// newGreedyFleet draws the list, the settings and the mix from the seed.
func newGreedyFleet(t *testing.T, seed uint64, faults greedyFaults) *greedyFleet {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 11))
	set := baseSettings()
	set.Replicas = 20 + r.IntN(11)
	set.SlowStart = SlowStart{
		Duration: slowStartDuration, InitialCapacity: slowStartCapacity,
		OverloadMultiple: float64(2 + r.IntN(3)), OverloadWindow: sec,
	}
	cores := 4 + 4*r.IntN(3)
	set.Kinds = []Kind{{Cores: cores, MemoryMB: 24576}, {Cores: cores * (1 + 2*r.IntN(2)), MemoryMB: 24576}}
	f := &greedyFleet{set: set, seed: seed, rng: r, list: newEngines(4 + r.IntN(27)), got: map[uint32][]observedSend{}}
	light := 0.02 * math.Pow(50, r.Float64())
	f.works = []float64{light, light * math.Pow(20, r.Float64())}
	f.heavy = 0.05 + 0.3*r.Float64()
	if faults.fewHeavy {
		f.set.SlowStart.OverloadMultiple, f.set.Kinds = 2, []Kind{{Cores: 4, MemoryMB: 24576}, {Cores: 4, MemoryMB: 24576}}
		f.works, f.heavy = []float64{light / 4, light * 5}, 0.1
	}
	f.mean = f.works[0]*(1-f.heavy) + f.works[1]*f.heavy
	for i := range f.list {
		f.list[i].ID = r.Uint32()
		if r.IntN(3) > 0 {
			f.list[i].Started = slowStartBegin
			if faults.staggered {
				f.list[i].Started += time.Duration(r.IntN(4000)) * ms
			}
		}
	}
	for me := range set.Replicas {
		f.join(t, me, slowStartBegin-2*sec, faults)
	}
	return f
}

// join starts a front end that knows the classes, and of the engines what the list says.
func (f *greedyFleet) join(t *testing.T, me int, at time.Duration, faults greedyFaults) {
	t.Helper()
	one := f.set
	one.Me = me
	c, err := New(one, f.seed*1000+uint64(len(f.ctls)))
	if err != nil {
		t.Fatal(err)
	}
	g := &greedyController{Controller: c, hears: map[uint32]time.Duration{}}
	f.ctls = append(f.ctls, g)
	var list []Engine
	for _, en := range f.list {
		switch lag := time.Duration(f.rng.IntN(100)) * ms; {
		case en.Started <= at:
			list = append(list, en)
		case faults.lateLists && f.rng.IntN(3) == 0:
			lag = time.Duration(f.rng.IntN(2500)) * ms
			fallthrough
		default:
			g.hears[en.ID] = en.Started + lag
		}
	}
	c.Step(at, []Event{EndpointsChanged{Kind: Persisted, Engines: list}})
	for i := range c.estimates {
		c.estimates[i].work = f.works[i]
	}
	c.estimates[0].requests, c.estimates[1].requests = 100*(1-f.heavy), 100*f.heavy
}

// news is what a front end hears of the list by that time.
func (f *greedyFleet) news(g *greedyController, at time.Duration) (events []Event) {
	for _, en := range f.list {
		if hears, ok := g.hears[en.ID]; ok && hears <= at {
			delete(g.hears, en.ID)
			events = append(events, EndpointsChanged{Kind: Partial, Engines: []Engine{en}})
		}
	}
	return events
}

// step lets each front end that runs send what it may, in an order that is drawn.
func (f *greedyFleet) step(at time.Duration) {
	heavyFirst := f.rng.IntN(2) == 0
	for _, i := range f.rng.Perm(len(f.ctls)) {
		g := f.ctls[i]
		if g.ends > 0 && at >= g.ends {
			continue
		}
		g.Step(at, f.news(g, at))
		for _, e := range g.engines {
			for k := range f.works {
				if heavyFirst {
					k = len(f.works) - 1 - k
				}
				f.send(g.Controller, e, f.works[k])
			}
		}
	}
}

// send lets as many requests of that work go as the budget lets through, and books them as Controller.send does.
func (f *greedyFleet) send(c *Controller, e *engineState, work float64) {
	for c.warmth(e) < 1 && c.slowStartAllows(e, work) {
		c.recordSlowStartSend(e, work)
		f.got[e.ID] = append(f.got[e.ID], observedSend{at: c.now, work: work, informed: true})
	}
}

// restart replaces two front ends, or all, by fresh ones. With overlap the old ones are told that they end, and do so 3
// s later.
func (f *greedyFleet) restart(t *testing.T, at time.Duration, round int, faults greedyFaults) {
	t.Helper()
	replaced := []int{2 * round % f.set.Replicas, (2*round + 1) % f.set.Replicas}
	if faults.allAnew {
		replaced = f.rng.Perm(f.set.Replicas)
	}
	for _, me := range replaced {
		old := f.ctls[me]
		if old.ends = at; faults.overlap {
			old.ends = at + 3*sec
			old.Step(at, []Event{ShutdownRequested{Timeout: 3 * sec}})
		}
		f.join(t, me, at, faults)
	}
}

// play lets all send for the whole ramp of all engines.
func (f *greedyFleet) play(t *testing.T, faults greedyFaults) {
	t.Helper()
	for at := slowStartBegin; at < slowStartBegin+slowStartDuration+4*sec; at += housekeepingInterval {
		age := at - slowStartBegin
		if (faults.restarts && age%sec == 0 && age < 8*sec) || (faults.allAnew && age == 2*sec) {
			f.restart(t, at, int(age/sec), faults)
		}
		f.step(at)
	}
}

// judge is the fullest window, as for a run.
func (f *greedyFleet) judge() (w worstWindow) {
	for _, en := range f.list {
		w = w.fuller(fullest(f.set, en, f.mean, f.got[en.ID]))
	}
	return w
}

// However the queues are filled, what the budgets of all front ends let through stays within what the engine bears.
func TestSlowStartBudgetHoldsForGreedyFrontEnds(t *testing.T) {
	for name, faults := range map[string]greedyFaults{
		"all at once":       {},
		"staggered":         {staggered: true},
		"late lists":        {staggered: true, lateLists: true},
		"restarts":          {restarts: true},
		"overlapping":       {restarts: true, overlap: true},
		"all anew":          {staggered: true, allAnew: true},
		"few heavy":         {fewHeavy: true},
		"late, overlapping": {staggered: true, lateLists: true, restarts: true, overlap: true},
	} {
		t.Run(name, func(t *testing.T) {
			var worst worstWindow
			falls := 0
			for seed := range slowStartSeeds(t) {
				f := newGreedyFleet(t, seed, faults)
				f.play(t, faults)
				w := f.judge()
				if w.falls > 0 {
					falls++
					t.Errorf("seed %d, %d front ends, %d engines, cores %d and %d, works %.2f: %+v", seed, f.set.Replicas,
						len(f.list), f.set.Kinds[0].Cores, f.set.Kinds[1].Cores, f.works, w)
				}
				worst = worst.fuller(w)
			}
			t.Logf("%d of %d fleets with a fall; used %.2f, worst %+v", falls, slowStartSeeds(t), worst.used(), worst)
		})
	}
}

// The same fleets with twice the budget fall: the test sees a sum of parts that is twice the whole.
func TestGreedyFleetDetectsTwiceTheBudget(t *testing.T) {
	falls := 0
	for seed := range uint64(3) {
		f := newGreedyFleet(t, seed, greedyFaults{})
		for _, g := range f.ctls {
			g.settings.SlowStart.OverloadMultiple *= 2
		}
		f.play(t, greedyFaults{})
		w := f.judge()
		t.Logf("seed %d: %+v", seed, w)
		falls += w.falls
	}
	if falls == 0 {
		t.Error("no engine falls at twice the budget")
	}
}
