package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestStuckAttemptsDoNotUseUpLimits: attempts that hang on ejected engines leave the limits free for the other engines.
func TestStuckAttemptsDoNotUseUpLimits(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(4))
	for i := range 30 { // attempts on engines 1 and 2 get no outcome
		for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint("a", i), 0))) {
			if send.Engine > 2 {
				h.step(outcomeOf(send, 0, OK))
			}
		}
	}
	for _, id := range []uint32{1, 2} {
		h.controller.eject(h.controller.enginesByID[id])
		h.controller.enginesByID[id].threads += 1000
		h.controller.tenants[0].threads += 1000
	}
	if send := oneAction[Send](t, h.step(newRequest("z", 0))); send.Engine < 3 {
		t.Fatalf("sent to the ejected engine %d", send.Engine)
	}
}

func TestOldReportsDecayToAverage(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(3))
	for id, utilization := range map[uint32]float64{1: 0.1, 2: 0.9} {
		h.step(HealthCheckResult{Engine: id, Status: OK,
			Report: &Report{Utilization: utilization, InFlight: -1, Queued: -1, MemoryUtilization: -1, DiskUtilization: -1}})
	}
	h.controller.summarizeFleet()
	average := h.controller.fleet.averageLoad
	if load := h.controller.engineLoad(h.controller.enginesByID[3], average); load != average {
		t.Fatalf("load of an engine without a report is %v, want the average of %v", load, average)
	}
	if load := h.controller.engineLoad(h.controller.enginesByID[1], average); load > 0.11 {
		t.Fatalf("load right after a report of 0.1 is %v, want at most 0.11", load)
	}
	h.now += 20 * sec
	h.step()
	if load := h.controller.engineLoad(h.controller.enginesByID[1], average); load < average-0.01 || load > average+0.01 {
		t.Fatalf("load 20 s after the last report is %v, want the average of %v", load, average)
	}
}

func TestMemoryLimitOfTenant(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(2))
	request := newRequest("a", 1)
	request.Timeout, request.MemoryMB = 20*sec, 6000
	h.step(request)
	reserved := h.controller.tenants[0].memory
	h.controller.tenants[0].memory = 2*16384 - 100 // nearly all of the fleet's memory
	request.ID = "b"
	if sends := actionsOf[Send](h.step(request)); len(sends) > 0 {
		t.Fatal("request sent beyond the memory limit of its tenant")
	}
	h.controller.tenants[0].memory = reserved
	oneAction[Send](t, h.step())
}

// TestLimitsBelowOneRequest: the threads of all front ends together are close to the limit of the fleet, although the
// share of each front end is less than one request.
func TestLimitsBelowOneRequest(t *testing.T) {
	s := baseSettings()
	s.Replicas = 300
	inFlight, requestFraction := 0.0, 2.0/(20*8*initialThreadFactor/300)
	for me, h := range newFrontEnds(t, s, newEngines(20)) {
		for i := range 20 {
			request := newRequest(fmt.Sprint(me, "-", i), 1)
			request.Work, request.Timeout = 3*sec, 20*sec
			h.step(request)
		}
		inFlight += h.controller.threads
	}
	if limit := 20 * 8 * initialThreadFactor * (1 + limitDeviations*math.Sqrt(requestFraction)); inFlight < limit*0.7 ||
		inFlight > limit*1.3 {
		t.Fatalf("%v threads in flight at all front ends, want 0.7 to 1.3 times the limit of %v", inFlight, limit)
	}
}

// TestOwnThreadsCountByShareOfLoad: the threads of the next request put a busy engine under pressure for a single front
// end, whose attempts are the whole load, but not for one of many front ends.
func TestOwnThreadsCountByShareOfLoad(t *testing.T) {
	for replicas, belowPressure := range map[int]bool{1: false, 300: true} {
		s := baseSettings()
		s.Replicas = replicas
		h := startController(t, s, newEngines(20))
		engine := h.controller.enginesByID[1]
		engine.loadReport, engine.reportedAt = Report{Utilization: 0.7, InFlight: -1, Queued: -1, MemoryUtilization: -1,
			DiskUtilization: -1}, h.now
		if h.controller.isBelowPressure(engine, 3, 0.7) != belowPressure {
			t.Fatalf("%d front ends: engine below pressure is %v, want the opposite", replicas, !belowPressure)
		}
	}
}

// TestSmallClassesLeaveCapacityToHeavyOnes: the priority of small classes is only one above that of heavy classes. At
// the highest priority of the engines, small requests ran at full speed while heavy ones, whose latency objective is
// closer to their work, took 3.4 times theirs (kumamoto-head-later, big-1).
func TestSmallClassesLeaveCapacityToHeavyOnes(t *testing.T) {
	s := baseSettings()
	s.PrioritiesSupported = true
	h := startController(t, s, newEngines(2))
	priorities := map[int]int{}
	for class := range 2 {
		h.controller.estimates[class].work, h.controller.estimates[class].answers = []float64{0.1, 4}[class], 100
		priorities[class] = 1
		request := newRequest(fmt.Sprint("c", class), class)
		request.Work, request.Timeout = time.Duration(h.controller.estimates[class].work*float64(sec)), 20*sec
		for _, action := range h.step(request) {
			if terms, ok := action.(Terms); ok {
				priorities[class] = terms.Priority
			}
		}
	}
	if priorities[0] != priorities[1]+1 {
		t.Fatalf("priorities by class: %v, want that of class 0 one above that of class 1", priorities)
	}
}

// TestOwnThreadsReplaceUnreportedLoad: the reports carry only the number of queued requests. One request of one front
// end among many does not count as a fully loaded engine, while threads that stay in flight do.
func TestOwnThreadsReplaceUnreportedLoad(t *testing.T) {
	s := baseSettings()
	s.Replicas = 60
	h := startController(t, s, newEngines(12))
	engine := h.controller.engines[h.controller.subset.first]
	engine.loadReport, engine.reportedAt = Report{InFlight: -1, Queued: 0, Utilization: -1, MemoryUtilization: -1,
		DiskUtilization: -1}, h.now
	h.step(newRequest("a", 0))
	h.advance(100 * ms)
	if load := h.controller.reportedLoad(engine); load > 0.3 {
		t.Fatalf("one request counts as a load of %.2f, want at most 0.3", load)
	}
	engine.threads = engine.cores * 2 * h.controller.engineShare
	h.advance(3 * averageThreadsDecay)
	if load := h.controller.reportedLoad(engine); load < 1 {
		t.Fatalf("two threads per core count as a load of %.2f, want at least 1", load)
	}
}

// TestHeavyRequestDoesNotBlockSmallOnes: small requests are sent although one heavy request exceeds this front end's
// share of the fleet's threads and memory.
func TestHeavyRequestDoesNotBlockSmallOnes(t *testing.T) {
	s := baseSettings()
	s.Replicas, s.Classes[1].Threads = 60, 4
	h := startController(t, s, newEngines(12))
	for _, engine := range h.controller.engines {
		engine.loadReport, engine.reportedAt = Report{InFlight: -1, Queued: 0, Utilization: 1, MemoryUtilization: -1,
			DiskUtilization: -1}, h.now
	}
	h.controller.randomDrawUntil, h.controller.randomDraw = h.now+20*sec, 0.1
	h.step(Request{ID: "heavy", Class: 1, Timeout: 20 * sec, TableGroup: -1, Work: 8 * sec, MemoryMB: 4000})
	if h.controller.threads < h.controller.fleet.threadLimit {
		t.Fatal("precondition not met: the heavy request is within the thread limit")
	}
	small := newRequest("small", 0)
	small.MemoryMB = 100
	oneAction[Send](t, h.step(small))
}

// TestRequestsInFlightShowOverload: the utilization of an engine cannot exceed 1. An engine with more threads in flight
// than it carries well has a higher load than its utilization, also if its requests block each other at a low
// utilization.
func TestRequestsInFlightShowOverload(t *testing.T) {
	s := baseSettings()
	h := startController(t, s, newEngines(4))
	h.controller.meanThreads = 2
	for _, c := range []struct{ utilization, inFlight, lowest, highest float64 }{
		{1, 2, 1, 1}, {1, 20, 2, 4}, {0.3, 20, 2, 4}, {-1, 20, 2, 4}, {0.3, -1, 0.3, 0.3},
	} {
		engine := h.controller.engines[0]
		engine.loadReport, engine.reportedAt = Report{InFlight: c.inFlight, Queued: -1, Utilization: c.utilization,
			MemoryUtilization: -1, DiskUtilization: -1}, h.now
		if load := h.controller.reportedLoad(engine); load < c.lowest || load > c.highest {
			t.Errorf("utilization %.1f and %.0f requests in flight count as a load of %.2f", c.utilization, c.inFlight, load)
		}
	}
}

// TestSmallClassesHaveSeparateMemory: an engine on which a heavy request reserves more than this front end's share of
// the memory still has memory for small requests, until small requests reserve that share themselves.
func TestSmallClassesHaveSeparateMemory(t *testing.T) {
	s := baseSettings()
	s.Replicas = 60
	h := startController(t, s, newEngines(12))
	engine := h.controller.engines[h.controller.subset.first]
	request := &requestState{Request: newRequest("s", 0), classSettings: &h.controller.settings.Classes[0],
		tenant: h.controller.tenants[0]}
	request.MemoryMB = 100
	share := engine.memoryMB * h.controller.engineShare
	h.controller.estimates[1].work = 4
	engine.threads, engine.memory = 2, 2*share
	if !h.controller.hasCapacity(engine, request) {
		t.Fatal("no capacity for a small request beside a heavy one")
	}
	if engine.smallMemory = share; h.controller.hasCapacity(engine, request) {
		t.Fatal("small requests exceed the front end's share of the engine's memory")
	}
}
