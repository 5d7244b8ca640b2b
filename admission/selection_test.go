package admission

import (
	"fmt"
	"testing"
)

func TestPlacementIsKept(t *testing.T) {
	s := baseSettings()
	s.Classes[0].OnlyKinds, s.Classes[0].OnlyZones = []int{1}, []int{1}
	b := startController(t, s, append(newEngines(2), Engine{ID: 9, Kind: -1, Zone: -1}))
	for i := range 60 {
		for _, snd := range actionsOf[Send](b.step(newRequest(fmt.Sprint("a", i), 0))) {
			if snd.Engine != 2 {
				t.Fatalf("sent to %d", snd.Engine)
			}
			b.step(outcomeOf(snd, 0, Overloaded))
		}
	}
	s.Classes[0].OnlyKinds = []int{-1}
	b = startController(t, s, append(newEngines(2), Engine{ID: 9, Kind: -1, Zone: 1}))
	if acts := b.step(newRequest("u", 0)); len(actionsOf[Send](acts)) > 0 {
		t.Fatal("an unknown kind matched an unknown name")
	}
}

func TestLoadReportsShiftSelection(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(2))
	got := map[uint32]int{}
	for i := range 200 {
		s := oneAction[Send](t, b.step(newRequest(fmt.Sprint("a", i), 0)))
		got[s.Engine]++
		util := 0.1
		if s.Engine == 1 {
			util = 0.7
		}
		o := outcomeOf(s, 0, OK)
		o.Report = &Report{Utilization: util, InFlight: -1, Queued: -1, MemoryUtilization: -1, DiskUtilization: -1}
		b.step(o)
		b.now += 10 * ms
	}
	if got[2] < 2*got[1] {
		t.Fatalf("the idle engine got %d, the busy one %d", got[2], got[1])
	}
}

func TestLockingAndWaitingRequestsAreKeptApart(t *testing.T) {
	s := baseSettings()
	s.Classes[0].WaitsForLocks, s.Classes[1].LocksTables = true, true
	met, all := 0, 0
	for seed := range uint64(60) {
		b := startController(t, s, newEngines(8))
		b.controller.random = splitMix64(seed)
		load, look := newRequest("load", 1), newRequest("look", 0)
		load.TableGroup, look.TableGroup, load.Timeout = 5, 5, 20*sec
		l := oneAction[Send](t, b.step(load))
		if w := oneAction[Send](t, b.step(look)); w.Engine == l.Engine {
			met++
		}
		all++
	}
	if met*30 > all {
		t.Fatalf("%d of %d waiters met the holder", met, all)
	}
}

// An engine whose pace has grown to half the speed of the fleet is drawn far less than half as often.
func TestSlowEnginesArePickedLess(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(4))
	slow, all := 0, 0
	for i := range 400 {
		for _, e := range b.controller.engines {
			e.slowdown = 1
		}
		b.controller.enginesByID[1].slowdown = 2
		for _, s := range actionsOf[Send](b.step(newRequest(fmt.Sprint("p", i), 0))) {
			if all++; s.Engine == 1 {
				slow++
			}
			b.step(outcomeOf(s, 0, OK))
		}
	}
	if all < 300 || slow == 0 || slow*20 > all {
		t.Fatalf("%d of %d sends to an engine at half the speed", slow, all)
	}
}

// Hundreds of front ends hear the same report: if all lean hard on it they jam the engine that it shows idle
// (ie87ac9: 60 sends a second to one that read 0.2 and turned most away). The idle get more, not nearly all.
func TestSharedReportsSoftenSelection(t *testing.T) {
	few := baseSettings()
	few.Replicas = subsetMinReplicas
	few.GossipAllowed = true // all draw from the whole fleet
	b := startController(t, few, newEngines(2))
	sent := map[uint32]int{}
	for i := range 600 {
		for _, e := range b.controller.engines {
			e.reportedAt, e.loadReport = b.now, Report{Utilization: 0.2 + 0.5*float64(e.ID-1), InFlight: -1, Queued: -1,
				MemoryUtilization: -1,
				DiskUtilization:   -1}
		}
		for _, s := range actionsOf[Send](b.step(newRequest(fmt.Sprint("d", i), 0))) {
			sent[s.Engine]++
			b.step(outcomeOf(s, 0, OK))
		}
		b.now += ms
	}
	if sent[2] == 0 || sent[1] < 2*sent[2] || sent[1] > 6*sent[2] {
		t.Fatalf("sends by engine: %v", sent)
	}
}

// An engine that answers many requests with an error is quick and looks idle: it must not draw more for it, and
// a front end whose own subset it is in looks further along the ring.
func TestErringEnginesArePickedLess(t *testing.T) {
	s := baseSettings()
	s.Replicas = 2 * subsetMinReplicas
	b := startController(t, s, newEngines(12))
	b.controller.collectCandidates(&requestState{classSettings: &b.controller.settings.Classes[0],
		Request: Request{TableGroup: -1}})
	bad, before := b.controller.candidates.engines[0].ID, len(b.controller.candidates.engines)
	sent, late := 0, 0
	for i := range 300 {
		out := actionsOf[Send](b.step(newRequest(fmt.Sprint("e", i), 0)))
		for try := 0; len(out) > 0; try++ {
			status := OK
			if out[0].Engine == bad && i%2 == 0 {
				status = Errored
			}
			if i >= 150 {
				sent++
				if out[0].Engine == bad {
					late++
				}
			}
			out = actionsOf[Send](b.step(outcomeOf(out[0], try, status)))
		}
		b.now += 50 * ms
	}
	b.controller.collectCandidates(&requestState{classSettings: &b.controller.settings.Classes[0],
		Request: Request{TableGroup: -1}})
	if sent == 0 || late*8 > sent || len(b.controller.candidates.engines) <= before {
		t.Fatalf("%d of %d sends to an engine of errors, subset of %d, was %d", late, sent,
			len(b.controller.candidates.engines), before)
	}
}

// TestMiddleEngineIsOpenToLockingAndWaiting: with few engines, holders of a group stood in line on two of five for
// seconds, while those that wait for them had time to spare on the other three.
func TestMiddleEngineIsOpenToLockingAndWaiting(t *testing.T) {
	s := baseSettings()
	s.Classes[0].WaitsForLocks, s.Classes[1].LocksTables = true, true
	for n, both := range map[int]int{4: 0, 5: 1, 6: 0, 7: 1} {
		b := startController(t, s, newEngines(n))
		used := [2]map[uint32]bool{{}, {}}
		for i := range 400 {
			id, class := fmt.Sprint("r", i), i%2
			snd := oneAction[Send](t, b.step(Request{ID: id, Class: class, Timeout: 4 * sec, TableGroup: 7, Work: 50 * ms}))
			used[class][snd.Engine] = true
			b.step(Outcome{ID: id, Engine: snd.Engine, Status: OK, Closed: true})
		}
		common := 0
		for e := range used[0] {
			if used[1][e] {
				common++
			}
		}
		if common != both || len(used[0])+len(used[1]) != n+both {
			t.Fatalf("%d engines: waiters on %v, holders on %v", n, used[0], used[1])
		}
	}
}
