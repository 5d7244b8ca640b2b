package admission

import (
	"testing"
)

func TestStreamKeepsGoing(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Stream = true
	b := startController(t, s, newEngines(2))
	snd := oneAction[Send](t, b.step(newRequest("a", 0)))
	b.step(FirstByte{ID: "a", Engine: snd.Engine})
	for _, a := range b.advance(6 * sec) {
		switch a.(type) {
		case Reject, Fail, Cancel, Send:
			t.Fatalf("a stream that had begun was touched: %v", a)
		}
	}
}

func TestReservationsAreReleasedOnEveryOutcome(t *testing.T) {
	for st := Errored; st <= NotSent; st++ {
		b := startController(t, baseSettings(), newEngines(4))
		snd := oneAction[Send](t, b.step(newRequest("a", 0)))
		for n := 0; n < 3; n++ {
			l := actionsOf[Send](b.step(outcomeOf(snd, n, st)))
			if len(l) == 0 {
				break
			}
			snd = l[0]
		}
		b.step(ClientDisconnected{ID: "a"})
		for _, tn := range b.controller.tenants {
			if tn.threads != 0 || tn.memory != 0 {
				t.Fatalf("status %d leaves %v running", st, tn.threads)
			}
		}
		for _, e := range b.controller.engines {
			if e.threads != 0 || len(e.attempts) != 0 {
				t.Fatalf("status %d leaves %v threads at engine %d", st, e.threads, e.ID)
			}
		}
	}
}

func TestCostlyRequestsAreNotCut(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed, s.Classes[1].LatencyObjective = true, 4*sec
	b := startController(t, s, newEngines(2))
	heavy := newRequest("h", 1)
	heavy.Timeout = 20 * sec
	if s := oneAction[Send](t, b.step(heavy)); s.Timeout != 20*sec {
		t.Fatalf("a heavy request is capped at %v", s.Timeout)
	}
	if s := oneAction[Send](t, b.step(newRequest("a", 0))); s.Timeout != 4*sec {
		t.Fatalf("a small request is capped at %v", s.Timeout)
	}
}

func TestRequestsThatLockTablesGetHighPriority(t *testing.T) {
	s := baseSettings()
	s.PrioritiesSupported = true
	for _, waits := range []bool{false, true} {
		s.Classes[0].WaitsForLocks, s.Classes[1].LocksTables = waits, true
		b := startController(t, s, newEngines(4))
		load := newRequest("load", 1)
		load.Timeout, load.Work = 20*sec, 3*sec
		top := false
		for _, tm := range actionsOf[Terms](b.step(load)) {
			top = tm.Priority == 2
		}
		if top != waits {
			t.Fatalf("others wait: %v, top priority: %v", waits, top)
		}
	}
}
