package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestStuckAttemptsDoNotUseUpTheLimits(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(4))
	for i := range 30 { // everything on engines 1 and 2 hangs
		for _, s := range actionsOf[Send](b.step(newRequest(fmt.Sprint("a", i), 0))) {
			if s.Engine > 2 {
				b.step(outcomeOf(s, 0, OK))
			}
		}
	}
	for _, id := range []uint32{1, 2} {
		b.controller.eject(b.controller.enginesByID[id])
		b.controller.enginesByID[id].threads += 1000
		b.controller.tenants[0].threads += 1000
	}
	if s := oneAction[Send](t, b.step(newRequest("z", 0))); s.Engine < 3 {
		t.Fatalf("sent to the ejected engine %d", s.Engine)
	}
}

func TestOldReportsFadeToTheAverage(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(3))
	for id, util := range map[uint32]float64{1: 0.1, 2: 0.9} {
		b.step(HealthCheckResult{Engine: id, Status: OK,
			Report: &Report{Utilization: util, InFlight: -1, Queued: -1, MemoryUtilization: -1, DiskUtilization: -1}})
	}
	b.controller.summarizeFleet()
	avg := b.controller.fleet.averageLoad
	if l := b.controller.engineLoad(b.controller.enginesByID[3], avg); l != avg {
		t.Fatalf("an engine not heard from counts as %v, the average is %v", l, avg)
	}
	if l := b.controller.engineLoad(b.controller.enginesByID[1], avg); l > 0.11 {
		t.Fatalf("a new report of 0.1 counts as %v", l)
	}
	b.now += 20 * sec
	b.step()
	if l := b.controller.engineLoad(b.controller.enginesByID[1], avg); l < avg-0.01 || l > avg+0.01 {
		t.Fatalf("an old report counts as %v, the average is %v", l, avg)
	}
}

func TestMemoryLimitOfATenant(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(2))
	r := newRequest("a", 1)
	r.Timeout, r.MemoryMB = 20*sec, 6000
	b.step(r)
	held := b.controller.tenants[0].memory
	b.controller.tenants[0].memory = 2*16384 - 100 // the tenant holds nearly all of the fleet's memory
	r.ID = "b"
	if l := actionsOf[Send](b.step(r)); len(l) > 0 {
		t.Fatal("sent past the memory cap")
	}
	b.controller.tenants[0].memory = held
	oneAction[Send](t, b.step())
}

// TestLimitsBelowOneRequest: all front ends together run about the fleet's bound, though each one's part of it is
// under one request.
func TestLimitsBelowOneRequest(t *testing.T) {
	s := baseSettings()
	s.Replicas = 300
	running, lump := 0.0, 2.0/(20*8*initialThreadFactor/300)
	for g, b := range newFrontEnds(t, s, newEngines(20)) {
		for i := range 20 {
			r := newRequest(fmt.Sprint(g, "-", i), 1)
			r.Work, r.Timeout = 3*sec, 20*sec
			b.step(r)
		}
		running += b.controller.threads
	}
	if bound := 20 * 8 * initialThreadFactor * (1 + calmLimitDeviations*math.Sqrt(lump)); running < bound*0.7 ||
		running > bound*1.3 {
		t.Fatalf("%v threads run, the bound of all is %v", running, bound)
	}
}

// TestOwnThreadsCountAsFarAsTheLoadIsOwn: a request's own threads close an engine that reads busy to a
// front end of few, whose sends make the load, and not to one of many.
func TestOwnThreadsCountAsFarAsTheLoadIsOwn(t *testing.T) {
	for n, calm := range map[int]bool{1: false, 300: true} {
		s := baseSettings()
		s.Replicas = n
		b := startController(t, s, newEngines(20))
		e := b.controller.enginesByID[1]
		e.loadReport, e.reportedAt = Report{Utilization: 0.7, InFlight: -1, Queued: -1, MemoryUtilization: -1,
			DiskUtilization: -1}, b.now
		if b.controller.isCalm(e, 3, 0.7) != calm {
			t.Fatalf("%d front ends: calm %v", n, !calm)
		}
	}
}

// Small classes have slack to spare: at the top priority they ran at full speed while the heavy, whose aim is
// nearer to their work, took 3.4 times theirs (kumamoto-head-later, big-1).
func TestSmallClassesLeaveCapacityToHeavyOnes(t *testing.T) {
	s := baseSettings()
	s.PrioritiesSupported = true
	b := startController(t, s, newEngines(2))
	lane := map[int]int{}
	for class := range 2 {
		b.controller.estimates[class].work, b.controller.estimates[class].answers = []float64{0.1, 4}[class], 100
		lane[class] = 1
		r := newRequest(fmt.Sprint("c", class), class)
		r.Work, r.Timeout = time.Duration(b.controller.estimates[class].work*float64(sec)), 20*sec
		for _, a := range b.step(r) {
			if tm, ok := a.(Terms); ok {
				lane[class] = tm.Priority
			}
		}
	}
	if lane[0] != lane[1]+1 {
		t.Fatalf("priorities by class: %v", lane)
	}
}

// TestOwnThreadsStandInForUnreportedLoad: where reports tell only the line for memory, one own request of one front end
// among many does not read as a full engine, while threads that stay do.
func TestOwnThreadsStandInForUnreportedLoad(t *testing.T) {
	s := baseSettings()
	s.Replicas = 60
	b := startController(t, s, newEngines(12))
	e := b.controller.engines[b.controller.subset.first]
	e.loadReport, e.reportedAt = Report{InFlight: -1, Queued: 0, Utilization: -1, MemoryUtilization: -1,
		DiskUtilization: -1}, b.now
	b.step(newRequest("a", 0))
	b.advance(100 * ms)
	if load := b.controller.reportedLoad(e); load > 0.3 {
		t.Fatalf("one request reads as a load of %.2f", load)
	}
	e.threads = e.cores * 2 * b.controller.engineShare
	b.advance(3 * averageThreadsDecay)
	if load := b.controller.reportedLoad(e); load < 1 {
		t.Fatalf("two threads a core read as a load of %.2f", load)
	}
}

// TestHeavyRequestDoesNotLockSmallOnesOut: one heavy request is more than this front end's part of the fleet's threads
// and memory, and small ones still go.
func TestHeavyRequestDoesNotLockSmallOnesOut(t *testing.T) {
	s := baseSettings()
	s.Replicas, s.Classes[1].Threads = 60, 4
	b := startController(t, s, newEngines(12))
	for _, e := range b.controller.engines {
		e.loadReport, e.reportedAt = Report{InFlight: -1, Queued: 0, Utilization: 1, MemoryUtilization: -1,
			DiskUtilization: -1}, b.now
	}
	b.controller.randomDrawUntil, b.controller.randomDraw = b.now+20*sec, 0.1
	b.step(Request{ID: "heavy", Class: 1, Timeout: 20 * sec, TableGroup: -1, Work: 8 * sec, MemoryMB: 4000})
	if b.controller.threads < b.controller.fleet.threadLimit {
		t.Fatal("the heavy request is within our part: the test shows nothing")
	}
	small := newRequest("small", 0)
	small.MemoryMB = 100
	oneAction[Send](t, b.step(small))
}

// TestRequestsInFlightTellOverload: use ends at full; an engine that holds more threads than it carries well is under
// more pressure than its use tells, also where it jams at little use.
func TestRequestsInFlightTellOverload(t *testing.T) {
	s := baseSettings()
	b := startController(t, s, newEngines(4))
	b.controller.meanThreads = 2
	for _, x := range []struct{ util, held, least, most float64 }{
		{1, 2, 1, 1}, {1, 20, 2, 4}, {0.3, 20, 2, 4}, {-1, 20, 2, 4}, {0.3, -1, 0.3, 0.3},
	} {
		e := b.controller.engines[0]
		e.loadReport, e.reportedAt = Report{InFlight: x.held, Queued: -1, Utilization: x.util, MemoryUtilization: -1,
			DiskUtilization: -1}, b.now
		if load := b.controller.reportedLoad(e); load < x.least || load > x.most {
			t.Errorf("use %.1f and %.0f held read as %.2f", x.util, x.held, load)
		}
	}
}

// TestSmallClassesHaveTheirOwnMemory: a heavy request holds more than our part of an engine's memory, and more than
// half of the tenant's, and small ones still go there, until they hold as much themselves.
func TestSmallClassesHaveTheirOwnMemory(t *testing.T) {
	s := baseSettings()
	s.Replicas = 60
	b := startController(t, s, newEngines(12))
	e := b.controller.engines[b.controller.subset.first]
	r := &requestState{Request: newRequest("s", 0), classSettings: &b.controller.settings.Classes[0],
		tenant: b.controller.tenants[0]}
	r.MemoryMB = 100
	part := e.memoryMB * b.controller.engineShare
	b.controller.estimates[1].work = 4
	e.threads, e.memory = 2, 2*part
	if !b.controller.hasCapacity(e, r) {
		t.Fatal("a heavy request keeps the small out")
	}
	if e.smallMemory = part; b.controller.hasCapacity(e, r) {
		t.Fatal("the small pass our part by themselves")
	}
}
