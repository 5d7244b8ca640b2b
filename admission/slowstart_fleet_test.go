package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// trafficMix is what clients send on a run, and the settings that make it many or few requests a window.
type trafficMix struct {
	name         string
	work         [2]time.Duration // mean work of the classes, over all threads
	heavyEvery   int              // one request in so many is of the second class; 0: none
	cores        int
	fallMultiple float64
	rate         int // requests a second over all front ends, about what warm engines bear
}

// meanWork is the mean work of a request, in seconds.
func (m trafficMix) meanWork() float64 {
	if m.heavyEvery == 0 {
		return m.work[0].Seconds()
	}
	every := float64(m.heavyEvery)
	return (m.work[0].Seconds()*(every-1) + m.work[1].Seconds()) / every
}

// The mixes come to 2 to 60 requests of mean work in a window of a second, at the start of an engine.
var trafficMixes = []trafficMix{
	{name: "two a window", work: [2]time.Duration{1200 * ms, 0}, cores: 4, fallMultiple: 2, rate: 50},
	{name: "six a window", work: [2]time.Duration{800 * ms, 0}, cores: 8, fallMultiple: 2, rate: 130},
	{name: "fifty a window", work: [2]time.Duration{290 * ms, 0}, cores: 12, fallMultiple: 4, rate: 520},
	{name: "few, light and heavy", work: [2]time.Duration{200 * ms, 2500 * ms}, heavyEvery: 5, cores: 6, fallMultiple: 2,
		rate: 110},
	{name: "light and heavy", work: [2]time.Duration{100 * ms, 3500 * ms}, heavyEvery: 10, cores: 12, fallMultiple: 4,
		rate: 340},
	{name: "light and middling", work: [2]time.Duration{150 * ms, 900 * ms}, heavyEvery: 4, cores: 8, fallMultiple: 3,
		rate: 320},
}

// fleetFaults are what differs between runs beside the mix. The zero value is the plainest run.
type fleetFaults struct {
	probes    bool // front ends pull reports by health checks
	tells     bool // ... and tell peers what the health checks brought, so that all draw from all engines
	staggered bool // engines start one after another
	returning bool // half of the warming engines were there before, went down and come back
	lateLists bool // a third of the front ends learn of each start up to 2.5 s late
	uneven    bool // a quarter of the front ends have four times the traffic of the others
	errors    bool // a warm engine answers most requests with an error
	removal   bool // a warm engine leaves the list in the middle, known late to some
	churn     bool // front ends leave and join in the middle
	overlap   bool // ... the joining one while the one that it replaces is still stopping
	mixed     bool // kinds of engines differ threefold in cores
	scatter   bool // the work of requests scatters about the mean of their class
	unknown   bool // requests come without an estimate of their work
	flood     bool // the burst is of three times the usual traffic, not of half as much again
}

func drawFaults(r *rand.Rand) fleetFaults {
	is := func() bool { return r.IntN(2) == 0 }
	t := fleetFaults{probes: is(), staggered: is(), returning: is(), lateLists: is(), uneven: is(), errors: is(),
		removal: is(), churn: is(), overlap: is(), mixed: is(), scatter: is(), unknown: r.IntN(4) == 0, flood: is()}
	t.tells = t.probes && r.IntN(3) == 0
	return t
}

// observedSend is one attempt that reached a warming engine.
type observedSend struct {
	at       time.Duration
	work     float64 // seconds
	informed bool    // its front end had been informed of the start
}

// slowStartRun is a fleet before engines of which some are warming, and what each of these got.
type slowStartRun struct {
	*fleetHarness
	t          *testing.T
	set        Settings
	mix        trafficMix
	faults     fleetFaults
	rng        *rand.Rand
	list       []Engine
	downFrom   map[uint32]time.Duration // of engines that come back
	informedAt map[uint32]map[int]time.Duration
	works      map[string]time.Duration
	got        map[uint32][]observedSend
	weights    []float64 // of the traffic, by controller; 0: it has left
	erring     uint32    // engine that errs
	seed       uint64
}

const (
	slowStartBegin     = 100 * sec
	slowStartDuration  = 14 * sec
	slowStartCapacity  = 0.3
	slowStartRunLength = 18 * sec
)

func newSlowStartRun(t *testing.T, mix trafficMix, seed uint64, faults fleetFaults) *slowStartRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	set := baseSettings()
	set.SlowStart = SlowStart{
		Duration: slowStartDuration, InitialCapacity: slowStartCapacity,
		OverloadMultiple: mix.fallMultiple, OverloadWindow: sec,
	}
	set.Classes[0].Threads, set.Classes[1].Threads = 1, 4
	for i := range set.Classes {
		set.Classes[i].LatencyObjective = 3 * mix.work[i] / time.Duration(set.Classes[i].Threads)
		set.Classes[i].Deadline = 3*set.Classes[i].LatencyObjective + 4*sec
	}
	if faults.probes {
		set.LoadReporting, set.HealthChecksAllowed, set.GossipAllowed = HealthCheckReports, true, faults.tells
	}
	set.Kinds = []Kind{{Cores: mix.cores, MemoryMB: 24576}, {Cores: mix.cores, MemoryMB: 24576}}
	if faults.mixed {
		set.Kinds[1].Cores *= 3
	}
	set.Replicas = []int{20, 25, 30}[rng.IntN(3)]
	d := &slowStartRun{t: t, set: set, mix: mix, faults: faults, rng: rng, seed: seed, works: map[string]time.Duration{},
		downFrom: map[uint32]time.Duration{}, informedAt: map[uint32]map[int]time.Duration{},
		got: map[uint32][]observedSend{}}
	d.list = newEngines(8 + 4*rng.IntN(2))
	d.erring = uint32(len(d.list))
	d.fleetHarness = newFleetHarness(t, set, set.Replicas, d.warm(), 1000*seed)
	d.answer, d.sent = d.answers, d.counts
	for i := range d.ctls {
		d.weights = append(d.weights, 1)
		if faults.uneven && i%4 == 0 {
			d.weights[i] = 4
		}
	}
	return d
}

// warm is the list as it stands before the first start, and plans the starts of the others.
func (d *slowStartRun) warm() (listed []Engine) {
	for i := range d.list {
		en := &d.list[i]
		cold := i%2 == 0
		if cold {
			en.Started = slowStartBegin + 2*sec
			if d.faults.staggered {
				en.Started += time.Duration(i) * 700 * ms
			}
			d.informedAt[en.ID] = map[int]time.Duration{}
		}
		before := *en
		before.Started = 0
		if cold && d.faults.returning && i%4 == 0 {
			d.downFrom[en.ID] = en.Started - 1500*ms
			listed = append(listed, before)
		} else if !cold {
			listed = append(listed, before)
		}
	}
	return listed
}

// answers is what an engine makes of an attempt.
func (d *slowStartRun) answers(at time.Duration, ctl int, s Send) (Status, time.Duration) {
	en := d.list[s.Engine-1]
	if down := d.downFrom[s.Engine]; down > 0 && at >= down && at < en.Started {
		return ConnectFailed, ms
	}
	if d.faults.errors && s.Engine == d.erring && d.rng.IntN(5) > 0 {
		return Errored, 5 * ms
	}
	return OK, d.works[s.ID] / time.Duration(d.ctls[ctl].requests[s.ID].classSettings.Threads)
}

// counts notes an attempt that reaches a warming engine. Each further attempt of a request counts again.
func (d *slowStartRun) counts(at time.Duration, ctl int, s Send) {
	en := d.list[s.Engine-1]
	if d.informedAt[s.Engine] == nil || at < en.Started {
		return
	}
	informedAt, informed := d.informedAt[s.Engine][ctl]
	d.got[s.Engine] = append(d.got[s.Engine], observedSend{at, d.works[s.ID].Seconds(), informed && informedAt <= at})
}

// announce tells one front end of a change to the list, in so long.
func (d *slowStartRun) announce(after time.Duration, ctl int, en Engine) {
	if en.State == Ready {
		d.informedAt[en.ID][ctl] = d.now + after
	}
	d.later(after, ctl, EndpointsChanged{Kind: Partial, Engines: []Engine{en}})
}

// listLag is how late a front end learns of a change.
func (d *slowStartRun) listLag() time.Duration {
	lag := time.Duration(d.rng.IntN(100)) * ms
	if d.faults.lateLists && d.rng.IntN(3) == 0 {
		lag += time.Duration(d.rng.IntN(2400)) * ms
	}
	return lag
}

// join starts a fresh front end with the number of one that there was; all that it knows is the list and its settings.
func (d *slowStartRun) join(me int) {
	one := d.set
	one.Me, one.Zone = me, me%one.Zones
	c, err := New(one, 1000*d.seed+500+uint64(len(d.ctls)))
	if err != nil {
		d.t.Fatal(err)
	}
	ctl := len(d.ctls)
	d.ctls, d.weights = append(d.ctls, c), append(d.weights, d.weights[me])
	var now []Engine
	for _, en := range d.list {
		if en.Started <= d.now {
			now = append(now, en)
		}
		if d.informedAt[en.ID] != nil && en.Started <= d.now {
			d.informedAt[en.ID][ctl] = d.now
		}
	}
	d.step(ctl, EndpointsChanged{Kind: Persisted, Engines: now})
	for _, en := range d.list {
		if en.Started > d.now {
			d.announce(en.Started-d.now+d.listLag(), ctl, en)
		}
	}
}

// leave ends a front end: nothing reaches it from now on.
func (d *slowStartRun) leave(ctl int) { d.weights[ctl] = 0 }

// stepLive passes on only what is for a front end that runs.
func (d *slowStartRun) stepLive(ctl int, ev Event) {
	if d.weights[ctl] > 0 {
		d.step(ctl, ev)
	}
}

// until plays to that time; arrivals are spread over the front ends by their weights.
func (d *slowStartRun) until(end time.Duration, rate int) {
	for arrival := d.now; d.now < end; {
		if len(d.ends) > 0 && d.ends[0].at <= arrival {
			e := d.ends[0]
			d.ends = d.ends[1:]
			d.now = max(d.now, e.at)
			d.stepLive(e.ctl, e.ev)
			continue
		}
		d.now = arrival
		arrival += time.Duration(d.rng.ExpFloat64() * float64(sec) / float64(rate))
		d.arrive()
	}
}

func (d *slowStartRun) arrive() {
	d.next++
	class := 0
	if d.mix.heavyEvery > 0 && d.rng.IntN(d.mix.heavyEvery) == 0 {
		class = 1
	}
	r := Request{ID: fmt.Sprint("r", d.next), Class: class, Timeout: d.set.Classes[class].Deadline, TableGroup: -1,
		Work: d.mix.work[class]}
	if d.faults.scatter {
		r.Work = time.Duration((0.4 + 1.2*d.rng.Float64()) * float64(r.Work))
	}
	d.works[r.ID] = r.Work
	if d.faults.unknown {
		r.Work = 0
	}
	d.step(d.pick(), r)
}

// pick draws a front end by its weight.
func (d *slowStartRun) pick() int {
	sum := 0.0
	for _, w := range d.weights {
		sum += w
	}
	at := d.rng.Float64() * sum
	for i, w := range d.weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(d.weights) - 1
}

// play runs the run: the starts come 2 s after its begin, a burst from then for 8 s; front ends
// leave and join from a second after the first start on.
func (d *slowStartRun) play() {
	for _, en := range d.list {
		if d.informedAt[en.ID] != nil {
			for ctl := range d.ctls {
				d.announce(en.Started-d.now+d.listLag(), ctl, en)
			}
		}
	}
	if d.faults.removal {
		gone := d.list[1]
		gone.State = Removed
		for ctl := range d.ctls {
			d.announce(5*sec+d.listLag(), ctl, gone)
		}
	}
	d.until(slowStartBegin+2*sec, d.mix.rate)
	burst := d.mix.rate * 3 / 2
	if d.faults.flood {
		burst = d.mix.rate * 3
	}
	for round := range 8 {
		if d.faults.churn {
			d.churn(round)
		}
		d.until(slowStartBegin+time.Duration(round+3)*sec, burst)
	}
	d.until(slowStartBegin+slowStartRunLength, d.mix.rate)
}

// churn replaces two front ends. With overlap the old ones know that they end, and run on beside the new for a while.
func (d *slowStartRun) churn(round int) {
	for _, me := range []int{2 * round, 2*round + 1} {
		if !d.faults.overlap {
			d.leave(me)
			d.join(me)
			continue
		}
		d.step(me, ShutdownRequested{Timeout: 3 * sec})
		d.join(me)
		if before := me - 6; before >= 0 { // it heard of its end 3 s ago
			d.leave(before)
		}
	}
}

// worstWindow is the fullest window of an engine or a run, and what it came to in all.
type worstWindow struct {
	of            float64 // the most that a window held, as a part of N + 2 x root of N + 2
	count         float64 // ... that window in requests of mean work
	budget        float64 // ... and N
	plain         int     // ... and its plain count
	informed      float64 // ... and the part of it from front ends that had been informed of the start
	engine        uint32
	age           time.Duration // ... of the engine at its begin
	plainOf       float64       // the most requests, counted plainly, that a window held, as a part of the same bound
	overOf        float64       // the most that a window held, as a part of N alone
	falls         int           // engines that fall by the rule
	sends         int           // to warming engines
	work, allowed float64       // of these, and of all windows in all, in seconds
}

// fuller joins what two engines or runs came to.
func (w worstWindow) fuller(o worstWindow) worstWindow {
	falls, sends := w.falls+o.falls, w.sends+o.sends
	overOf, plainOf := max(w.overOf, o.overOf), max(w.plainOf, o.plainOf)
	work, allowed := w.work+o.work, w.allowed+o.allowed
	if o.of > w.of {
		w = o
	}
	w.falls, w.sends, w.overOf, w.plainOf, w.work, w.allowed = falls, sends, overOf, plainOf, work, allowed
	return w
}

// used is the part of the budgets that was used, over all windows.
func (w worstWindow) used() float64 { return w.work / max(w.allowed, 1) }

// fullest looks at each window of an engine that begins at a send, up to the engine's being warm; N is that of the
// window's begin, the least in it.
func fullest(set Settings, en Engine, mean float64, sends []observedSend) (w worstWindow) {
	start := set.SlowStart
	perWindow := start.OverloadMultiple * float64(set.Kinds[en.Kind].Cores) * start.OverloadWindow.Seconds() / mean
	warm := en.Started + start.Duration
	windows := start.Duration.Seconds() / start.OverloadWindow.Seconds()
	w.allowed = perWindow * mean * (1 + start.InitialCapacity) / 2 * windows
	for i, first := range sends {
		if first.at >= warm {
			break
		}
		w.sends, w.work = w.sends+1, w.work+first.work
		age := first.at - en.Started
		n := perWindow * (start.InitialCapacity + (1-start.InitialCapacity)*age.Seconds()/start.Duration.Seconds())
		most := n + 2*math.Sqrt(n) + 2
		count, informed, plain := 0.0, 0.0, 0
		for _, s := range sends[i:] {
			if s.at >= min(first.at+start.OverloadWindow, warm) {
				break
			}
			count, plain = count+s.work/mean, plain+1
			if s.informed {
				informed += s.work / mean
			}
		}
		if informed <= count*2/3 {
			continue
		}
		if count > most {
			w.falls = 1
		}
		w.overOf, w.plainOf = max(w.overOf, count/n), max(w.plainOf, float64(plain)/most)
		if count/most > w.of {
			w.of, w.count, w.budget, w.plain, w.informed, w.engine, w.age = count/most, count, n, plain, informed/count, en.ID,
				age
		}
	}
	return w
}

func (d *slowStartRun) judge() (w worstWindow) {
	for _, en := range d.list {
		w = w.fuller(fullest(d.set, en, d.mix.meanWork(), d.got[en.ID]))
	}
	return w
}

// slowStartSeeds is how many runs are played for each mix: RAMP_SEEDS, or few.
func slowStartSeeds(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("RAMP_SEEDS")
	switch {
	case text == "" && raceDetector:
		return 2
	case text == "":
		return 7
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		t.Fatalf("RAMP_SEEDS: %v", err)
	}
	return n
}

// Warming engines fall under the sum of what all front ends send. No window of a warming engine may hold more than
// N + 2 x root of N + 2 requests of mean work from front ends that know of its start, N being what the settings allow
// it in that time, whoever joins, leaves, learns late or has more traffic than the others.
func TestSlowStartBudgetHoldsForTheFleet(t *testing.T) {
	for _, mix := range trafficMixes {
		t.Run(mix.name, func(t *testing.T) {
			var worst worstWindow
			var worstSeed uint64
			overOf, plainOf, used, fallen := 0.0, 0.0, 0.0, 0
			seeds := slowStartSeeds(t)
			for seed := range seeds {
				faults := drawFaults(rand.New(rand.NewPCG(seed, 3)))
				d := newSlowStartRun(t, mix, seed, faults)
				d.play()
				w := d.judge()
				if w.sends == 0 {
					t.Errorf("seed %d: no send reached a warming engine", seed)
				}
				if w.falls > 0 {
					fallen++
					t.Errorf("seed %d, %d front ends: %d engines fall; %+v; %+v", seed, d.set.Replicas, w.falls, w, faults)
				}
				if w.of > worst.of {
					worst, worstSeed = w, seed
				}
				overOf, plainOf, used = max(overOf, w.overOf), max(plainOf, w.plainOf), used+w.used()
			}
			t.Logf("%d runs, %d with an overload; worst of seed %d: %.1f of N %.1f, part of the bound %.2f (plain count %.2f);"+
				" most over N alone %.2f; used %.2f",
				seeds, fallen, worstSeed, worst.count, worst.budget, worst.of, plainOf, overOf, used/float64(seeds))
		})
	}
}

// A test of slow start that front ends without a budget for warming engines would pass tells nothing.
func TestSlowStartRunDetectsFrontEndsWithoutABudget(t *testing.T) {
	for _, mix := range trafficMixes[4:5] {
		d := newSlowStartRun(t, mix, 6, fleetFaults{flood: true})
		for _, c := range d.ctls {
			c.settings.SlowStart.OverloadMultiple = 0
		}
		d.play()
		if w := d.judge(); w.falls == 0 {
			t.Errorf("%s: no engine falls; %+v", mix.name, w)
		} else {
			t.Logf("%s: %d engines fall; %+v", mix.name, w.falls, w)
		}
	}
}
