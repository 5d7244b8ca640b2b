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

// trafficMix is the traffic of a run, and the settings that determine how many requests a window may contain.
type trafficMix struct {
	name             string
	work             [2]time.Duration // mean work by class, summed over all threads
	heavyEvery       int              // one request in heavyEvery is of the second class; 0: none
	cores            int
	overloadMultiple float64
	rate             int // requests a second over all front ends; about the capacity of warm engines
}

// meanWork returns the mean work of a request, in seconds.
func (m trafficMix) meanWork() float64 {
	if m.heavyEvery == 0 {
		return m.work[0].Seconds()
	}
	every := float64(m.heavyEvery)
	return (m.work[0].Seconds()*(every-1) + m.work[1].Seconds()) / every
}

// At the start of an engine, its budget for a window of one second covers 2 to 60 requests of mean work, depending on
// the mix.
var trafficMixes = []trafficMix{
	{name: "two a window", work: [2]time.Duration{1200 * ms, 0}, cores: 4, overloadMultiple: 2, rate: 50},
	{name: "six a window", work: [2]time.Duration{800 * ms, 0}, cores: 8, overloadMultiple: 2, rate: 130},
	{name: "fifty a window", work: [2]time.Duration{290 * ms, 0}, cores: 12, overloadMultiple: 4, rate: 520},
	{name: "few, light and heavy", work: [2]time.Duration{200 * ms, 2500 * ms}, heavyEvery: 5, cores: 6,
		overloadMultiple: 2, rate: 110},
	{name: "light and heavy", work: [2]time.Duration{100 * ms, 3500 * ms}, heavyEvery: 10, cores: 12, overloadMultiple: 4,
		rate: 340},
	{name: "light and middling", work: [2]time.Duration{150 * ms, 900 * ms}, heavyEvery: 4, cores: 8, overloadMultiple: 3,
		rate: 320},
}

// fleetFaults are the conditions of a run beside its mix. The zero value is a run without any of them.
type fleetFaults struct {
	healthChecks  bool // front ends get load reports by health checks
	gossip        bool // ... and send the results to each other by gossip, so that all send to all engines
	staggered     bool // engines start one after another
	returning     bool // half of the warming engines were in the list before, went down and return
	lateLists     bool // a third of the front ends receive each start up to 2.5 s late
	unevenTraffic bool // a quarter of the front ends have four times the traffic of the others
	errorAnswers  bool // a warm engine answers most requests with an error
	removal       bool // a warm engine leaves the list during the run, which some front ends learn late
	churn         bool // front ends leave and join during the run
	overlap       bool // ... each replacement joins while its predecessor is still shutting down
	mixed         bool // one kind of engine has three times the cores of the other
	scatter       bool // the work of a request varies about the mean of its class
	unknownWork   bool // requests come without an estimate of their work
	largeBurst    bool // the burst has 3 times the usual rate instead of 1.5 times
}

func drawFaults(r *rand.Rand) fleetFaults {
	coin := func() bool { return r.IntN(2) == 0 }
	faults := fleetFaults{healthChecks: coin(), staggered: coin(), returning: coin(), lateLists: coin(),
		unevenTraffic: coin(), errorAnswers: coin(), removal: coin(), churn: coin(), overlap: coin(), mixed: coin(),
		scatter: coin(), unknownWork: r.IntN(4) == 0, largeBurst: coin()}
	faults.gossip = faults.healthChecks && r.IntN(3) == 0
	return faults
}

// observedSend is one attempt sent to a warming engine.
type observedSend struct {
	at       time.Duration
	work     float64 // seconds
	informed bool    // the front end had received the start of the engine
}

// slowStartRun is a run of a fleet with some warming engines, and the record of what was sent to each of these.
type slowStartRun struct {
	*fleetHarness
	t             *testing.T
	settings      Settings
	mix           trafficMix
	faults        fleetFaults
	rng           *rand.Rand
	list          []Engine
	downAt        map[uint32]time.Duration // when an engine went down, for those that return
	informedAt    map[uint32]map[int]time.Duration
	workByRequest map[string]time.Duration
	received      map[uint32][]observedSend
	weights       []float64 // share of the traffic by front end; 0: the front end has left
	erringEngine  uint32    // engine that answers with errors
	seed          uint64
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
	settings := baseSettings()
	settings.SlowStart = SlowStart{
		Duration: slowStartDuration, InitialCapacity: slowStartCapacity,
		OverloadMultiple: mix.overloadMultiple, OverloadWindow: sec,
	}
	settings.Classes[0].Threads, settings.Classes[1].Threads = 1, 4
	for i := range settings.Classes {
		settings.Classes[i].LatencyObjective = 3 * mix.work[i] / time.Duration(settings.Classes[i].Threads)
		settings.Classes[i].Deadline = 3*settings.Classes[i].LatencyObjective + 4*sec
	}
	if faults.healthChecks {
		settings.LoadReporting, settings.HealthChecksAllowed, settings.GossipAllowed = HealthCheckReports, true, faults.gossip
	}
	settings.Kinds = []Kind{{Cores: mix.cores, MemoryMB: 24576}, {Cores: mix.cores, MemoryMB: 24576}}
	if faults.mixed {
		settings.Kinds[1].Cores *= 3
	}
	settings.Replicas = []int{20, 25, 30}[rng.IntN(3)]
	run := &slowStartRun{t: t, settings: settings, mix: mix, faults: faults, rng: rng, seed: seed,
		workByRequest: map[string]time.Duration{}, downAt: map[uint32]time.Duration{},
		informedAt: map[uint32]map[int]time.Duration{}, received: map[uint32][]observedSend{}}
	run.list = newEngines(8 + 4*rng.IntN(2))
	run.erringEngine = uint32(len(run.list))
	run.fleetHarness = newFleetHarness(t, settings, settings.Replicas, run.initialList(), 1000*seed)
	run.respond, run.onSend = run.respondTo, run.recordSend
	for i := range run.controllers {
		run.weights = append(run.weights, 1)
		if faults.unevenTraffic && i%4 == 0 {
			run.weights[i] = 4
		}
	}
	return run
}

// initialList sets the start times of the warming engines and returns the list that is valid before the first start.
func (run *slowStartRun) initialList() (listed []Engine) {
	for i := range run.list {
		entry := &run.list[i]
		warming := i%2 == 0
		if warming {
			entry.Started = slowStartBegin + 2*sec
			if run.faults.staggered {
				entry.Started += time.Duration(i) * 700 * ms
			}
			run.informedAt[entry.ID] = map[int]time.Duration{}
		}
		before := *entry
		before.Started = 0
		if warming && run.faults.returning && i%4 == 0 {
			run.downAt[entry.ID] = entry.Started - 1500*ms
			listed = append(listed, before)
		} else if !warming {
			listed = append(listed, before)
		}
	}
	return listed
}

// respondTo returns the status and the latency of an attempt.
func (run *slowStartRun) respondTo(at time.Duration, frontEnd int, s Send) (Status, time.Duration) {
	entry := run.list[s.Engine-1]
	if down := run.downAt[s.Engine]; down > 0 && at >= down && at < entry.Started {
		return ConnectFailed, ms
	}
	if run.faults.errorAnswers && s.Engine == run.erringEngine && run.rng.IntN(5) > 0 {
		return Errored, 5 * ms
	}
	return OK, run.workByRequest[s.ID] / time.Duration(run.controllers[frontEnd].requests[s.ID].classSettings.Threads)
}

// recordSend records an attempt sent to a warming engine. Every attempt of a request counts.
func (run *slowStartRun) recordSend(at time.Duration, frontEnd int, s Send) {
	entry := run.list[s.Engine-1]
	if run.informedAt[s.Engine] == nil || at < entry.Started {
		return
	}
	informedAt, informed := run.informedAt[s.Engine][frontEnd]
	run.received[s.Engine] = append(run.received[s.Engine],
		observedSend{at, run.workByRequest[s.ID].Seconds(), informed && informedAt <= at})
}

// announce sends a change of the list to one front end, after the delay.
func (run *slowStartRun) announce(delay time.Duration, frontEnd int, entry Engine) {
	if entry.State == Ready {
		run.informedAt[entry.ID][frontEnd] = run.now + delay
	}
	run.schedule(delay, frontEnd, EndpointsChanged{Kind: Partial, Engines: []Engine{entry}})
}

// listLag draws the delay with which a front end receives a change of the list.
func (run *slowStartRun) listLag() time.Duration {
	lag := time.Duration(run.rng.IntN(100)) * ms
	if run.faults.lateLists && run.rng.IntN(3) == 0 {
		lag += time.Duration(run.rng.IntN(2400)) * ms
	}
	return lag
}

// join starts a new front end with the number of an earlier one. The new front end knows only the list and its
// settings.
func (run *slowStartRun) join(me int) {
	ownSettings := run.settings
	ownSettings.Me, ownSettings.Zone = me, me%ownSettings.Zones
	c, err := New(ownSettings, 1000*run.seed+500+uint64(len(run.controllers)))
	if err != nil {
		run.t.Fatal(err)
	}
	frontEnd := len(run.controllers)
	run.controllers, run.weights = append(run.controllers, c), append(run.weights, run.weights[me])
	var now []Engine
	for _, entry := range run.list {
		if entry.Started <= run.now {
			now = append(now, entry)
		}
		if run.informedAt[entry.ID] != nil && entry.Started <= run.now {
			run.informedAt[entry.ID][frontEnd] = run.now
		}
	}
	run.step(frontEnd, EndpointsChanged{Kind: Persisted, Engines: now})
	for _, entry := range run.list {
		if entry.Started > run.now {
			run.announce(entry.Started-run.now+run.listLag(), frontEnd, entry)
		}
	}
}

// leave stops a front end: it receives no more requests or events.
func (run *slowStartRun) leave(frontEnd int) { run.weights[frontEnd] = 0 }

// stepLive passes the event to the front end unless the front end has left.
func (run *slowStartRun) stepLive(frontEnd int, event Event) {
	if run.weights[frontEnd] > 0 {
		run.step(frontEnd, event)
	}
}

// runUntil plays until the given time. Each request goes to a front end drawn by weight.
func (run *slowStartRun) runUntil(end time.Duration, rate int) {
	for arrival := run.now; run.now < end; {
		if len(run.pending) > 0 && run.pending[0].at <= arrival {
			e := run.pending[0]
			run.pending = run.pending[1:]
			run.now = max(run.now, e.at)
			run.stepLive(e.frontEnd, e.event)
			continue
		}
		run.now = arrival
		arrival += time.Duration(run.rng.ExpFloat64() * float64(sec) / float64(rate))
		run.arrive()
	}
}

func (run *slowStartRun) arrive() {
	run.lastRequest++
	class := 0
	if run.mix.heavyEvery > 0 && run.rng.IntN(run.mix.heavyEvery) == 0 {
		class = 1
	}
	r := Request{ID: fmt.Sprint("r", run.lastRequest), Class: class, Timeout: run.settings.Classes[class].Deadline,
		TableGroup: -1, Work: run.mix.work[class]}
	if run.faults.scatter {
		r.Work = time.Duration((0.4 + 1.2*run.rng.Float64()) * float64(r.Work))
	}
	run.workByRequest[r.ID] = r.Work
	if run.faults.unknownWork {
		r.Work = 0
	}
	run.step(run.pickFrontEnd(), r)
}

// pickFrontEnd draws a front end by weight.
func (run *slowStartRun) pickFrontEnd() int {
	sum := 0.0
	for _, w := range run.weights {
		sum += w
	}
	at := run.rng.Float64() * sum
	for i, w := range run.weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(run.weights) - 1
}

// play plays the whole run. Engines start from 2 s after the beginning on, when a burst of 8 s begins as well. With
// churn, front ends leave and join every second of the burst.
func (run *slowStartRun) play() {
	for _, entry := range run.list {
		if run.informedAt[entry.ID] != nil {
			for frontEnd := range run.controllers {
				run.announce(entry.Started-run.now+run.listLag(), frontEnd, entry)
			}
		}
	}
	if run.faults.removal {
		removed := run.list[1]
		removed.State = Removed
		for frontEnd := range run.controllers {
			run.announce(5*sec+run.listLag(), frontEnd, removed)
		}
	}
	run.runUntil(slowStartBegin+2*sec, run.mix.rate)
	burst := run.mix.rate * 3 / 2
	if run.faults.largeBurst {
		burst = run.mix.rate * 3
	}
	for round := range 8 {
		if run.faults.churn {
			run.churn(round)
		}
		run.runUntil(slowStartBegin+time.Duration(round+3)*sec, burst)
	}
	run.runUntil(slowStartBegin+slowStartRunLength, run.mix.rate)
}

// churn replaces two front ends. With overlap, the old ones get a shutdown request and run beside the new ones for 3 s.
func (run *slowStartRun) churn(round int) {
	for _, me := range []int{2 * round, 2*round + 1} {
		if !run.faults.overlap {
			run.leave(me)
			run.join(me)
			continue
		}
		run.step(me, ShutdownRequested{Timeout: 3 * sec})
		run.join(me)
		if before := me - 6; before >= 0 { // got its shutdown request 3 s ago
			run.leave(before)
		}
	}
}

// worstWindow describes the fullest window of an engine or a run, and totals over all windows. N is the number of
// requests of mean work that the budget of the window covers; the bound on a window is N + 2 sqrt(N) + 2 such requests.
type worstWindow struct {
	boundFraction     float64 // work of the fullest window, as a fraction of the bound
	meanRequests      float64 // ... in requests of mean work
	budget            float64 // ... its N
	sendCount         int     // ... its number of requests
	informed          float64 // ... the fraction from front ends that had received the start of the engine
	engine            uint32
	age               time.Duration // ... age of the engine at the beginning of the window
	maxSendFraction   float64       // largest number of requests in any window, as a fraction of the bound
	maxBudgetFraction float64       // largest work in any window, as a fraction of N
	overloads         int           // engines with a window over the bound, which overloads them
	sends             int           // sends to warming engines
	work, totalBudget float64       // work of all sends, and the sum of the budgets of all windows, in seconds
}

// merge combines the results of two engines or runs.
func (w worstWindow) merge(other worstWindow) worstWindow {
	overloads, sends := w.overloads+other.overloads, w.sends+other.sends
	maxBudgetFraction, maxSendFraction := max(w.maxBudgetFraction, other.maxBudgetFraction),
		max(w.maxSendFraction, other.maxSendFraction)
	work, totalBudget := w.work+other.work, w.totalBudget+other.totalBudget
	if other.boundFraction > w.boundFraction {
		w = other
	}
	w.overloads, w.sends, w.maxBudgetFraction, w.maxSendFraction, w.work, w.totalBudget = overloads, sends,
		maxBudgetFraction, maxSendFraction, work, totalBudget
	return w
}

// used returns the fraction of the budgets that was used, over all windows.
func (w worstWindow) used() float64 { return w.work / max(w.totalBudget, 1) }

// fullestWindow checks each window that begins with a send to the engine, until the engine is warm. N is taken at the
// beginning of the window, where it is smallest. Windows with a third or more of their work from front ends that had
// not received the start of the engine are not counted.
func fullestWindow(settings Settings, entry Engine, meanWork float64, sends []observedSend) (w worstWindow) {
	slowStart := settings.SlowStart
	perWindow := slowStart.OverloadMultiple * float64(settings.Kinds[entry.Kind].Cores) *
		slowStart.OverloadWindow.Seconds() / meanWork
	warmAt := entry.Started + slowStart.Duration
	windows := slowStart.Duration.Seconds() / slowStart.OverloadWindow.Seconds()
	w.totalBudget = perWindow * meanWork * (1 + slowStart.InitialCapacity) / 2 * windows
	for i, first := range sends {
		if first.at >= warmAt {
			break
		}
		w.sends, w.work = w.sends+1, w.work+first.work
		age := first.at - entry.Started
		n := perWindow * (slowStart.InitialCapacity +
			(1-slowStart.InitialCapacity)*age.Seconds()/slowStart.Duration.Seconds())
		bound := n + 2*math.Sqrt(n) + 2
		meanRequests, informed, sendCount := 0.0, 0.0, 0
		for _, s := range sends[i:] {
			if s.at >= min(first.at+slowStart.OverloadWindow, warmAt) {
				break
			}
			meanRequests, sendCount = meanRequests+s.work/meanWork, sendCount+1
			if s.informed {
				informed += s.work / meanWork
			}
		}
		if informed <= meanRequests*2/3 {
			continue
		}
		if meanRequests > bound {
			w.overloads = 1
		}
		w.maxBudgetFraction, w.maxSendFraction = max(w.maxBudgetFraction, meanRequests/n),
			max(w.maxSendFraction, float64(sendCount)/bound)
		if meanRequests/bound > w.boundFraction {
			w.boundFraction, w.meanRequests, w.budget, w.sendCount, w.informed, w.engine, w.age = meanRequests/bound,
				meanRequests, n, sendCount, informed/meanRequests, entry.ID, age
		}
	}
	return w
}

func (run *slowStartRun) evaluate() (w worstWindow) {
	for _, entry := range run.list {
		w = w.merge(fullestWindow(run.settings, entry, run.mix.meanWork(), run.received[entry.ID]))
	}
	return w
}

// slowStartSeeds returns the number of runs for each mix: the environment variable RAMP_SEEDS, or a small default.
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

// A warming engine fails if the work that all front ends together send to it is too much. No window of a warming engine
// may contain more than N + 2 sqrt(N) + 2 requests of mean work from front ends that have received the engine's start,
// where N is the number that the settings allow the engine in that time. The bound must also hold if front ends join,
// leave, receive the list late or have uneven traffic.
func TestSlowStartBudgetHoldsForTheFleet(t *testing.T) {
	for _, mix := range trafficMixes {
		t.Run(mix.name, func(t *testing.T) {
			var worst worstWindow
			var worstSeed uint64
			maxBudgetFraction, maxSendFraction, used, overloadedRuns := 0.0, 0.0, 0.0, 0
			seeds := slowStartSeeds(t)
			for seed := range seeds {
				faults := drawFaults(rand.New(rand.NewPCG(seed, 3)))
				run := newSlowStartRun(t, mix, seed, faults)
				run.play()
				w := run.evaluate()
				if w.sends == 0 {
					t.Errorf("seed %d: found no sends to a warming engine, must be at least 1", seed)
				}
				if w.overloads > 0 {
					overloadedRuns++
					t.Errorf("seed %d, %d front ends: %d engines overloaded, must be 0; worst window %+v; %+v", seed,
						run.settings.Replicas, w.overloads, w, faults)
				}
				if w.boundFraction > worst.boundFraction {
					worst, worstSeed = w, seed
				}
				maxBudgetFraction, maxSendFraction, used = max(maxBudgetFraction, w.maxBudgetFraction),
					max(maxSendFraction, w.maxSendFraction), used+w.used()
			}
			t.Logf("%d runs, %d with an overload; worst window, seed %d: %.1f of N %.1f, %.2f of the bound (most sends: %.2f);"+
				" at most %.2f of N; used %.2f of the budgets",
				seeds, overloadedRuns, worstSeed, worst.meanRequests, worst.budget, worst.boundFraction, maxSendFraction,
				maxBudgetFraction, used/float64(seeds))
		})
	}
}

// Checks that the slow start run detects overloads: front ends without a budget for warming engines must overload one.
func TestSlowStartRunDetectsFrontEndsWithoutABudget(t *testing.T) {
	for _, mix := range trafficMixes[4:5] {
		run := newSlowStartRun(t, mix, 6, fleetFaults{largeBurst: true})
		for _, c := range run.controllers {
			c.settings.SlowStart.OverloadMultiple = 0
		}
		run.play()
		if w := run.evaluate(); w.overloads == 0 {
			t.Errorf("%s: found no overloaded engine, must be at least 1; worst window %+v", mix.name, w)
		} else {
			t.Logf("%s: %d engines overloaded; worst window %+v", mix.name, w.overloads, w)
		}
	}
}
