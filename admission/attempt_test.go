package admission

import (
	"testing"
)

func TestStreamingRequestContinuesPastItsDeadline(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Stream = true
	h := startController(t, s, newEngines(2))
	send := oneAction[Send](t, h.step(newRequest("a", 0)))
	h.step(FirstByte{ID: "a", Engine: send.Engine})
	for _, a := range h.advance(6 * sec) {
		switch a.(type) {
		case Reject, Fail, Cancel, Send:
			t.Fatalf("%v after the stream began; want no action on the request", a)
		}
	}
}

func TestReservationsAreReleasedOnEveryOutcome(t *testing.T) {
	for status := Errored; status <= NotSent; status++ {
		h := startController(t, baseSettings(), newEngines(4))
		send := oneAction[Send](t, h.step(newRequest("a", 0)))
		for attempt := 0; attempt < 3; attempt++ {
			retries := actionsOf[Send](h.step(outcomeOf(send, attempt, status)))
			if len(retries) == 0 {
				break
			}
			send = retries[0]
		}
		h.step(ClientDisconnected{ID: "a"})
		for _, tenant := range h.controller.tenants {
			if tenant.threads != 0 || tenant.memory != 0 {
				t.Fatalf("status %d: tenant still has %v threads reserved", status, tenant.threads)
			}
		}
		for _, engine := range h.controller.engines {
			if engine.threads != 0 || len(engine.attempts) != 0 {
				t.Fatalf("status %d: %v threads still reserved on engine %d", status, engine.threads, engine.ID)
			}
		}
	}
}

func TestAttemptTimeoutIsTheClientTimeout(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed, s.Classes[1].LatencyObjective = true, 4*sec
	h := startController(t, s, newEngines(2))
	heavy := newRequest("h", 1)
	heavy.Timeout = 20 * sec
	if s := oneAction[Send](t, h.step(heavy)); s.Timeout != 20*sec {
		t.Fatalf("attempt of a heavy request has a timeout of %v, want 20s", s.Timeout)
	}
	if s := oneAction[Send](t, h.step(newRequest("a", 0))); s.Timeout != 4*sec {
		t.Fatalf("attempt of a small request has a timeout of %v, want 4s", s.Timeout)
	}
}

func TestRequestsThatLockTablesGetHighPriority(t *testing.T) {
	s := baseSettings()
	s.PrioritiesSupported = true
	for _, waits := range []bool{false, true} {
		s.Classes[0].WaitsForLocks, s.Classes[1].LocksTables = waits, true
		h := startController(t, s, newEngines(4))
		lockingRequest := newRequest("load", 1)
		lockingRequest.Timeout, lockingRequest.Work = 20*sec, 3*sec
		high := false
		for _, terms := range actionsOf[Terms](h.step(lockingRequest)) {
			high = terms.Priority == 2
		}
		if high != waits {
			t.Fatalf("a class waits for locks: %v, locking request has high priority: %v; want both alike", waits, high)
		}
	}
}
