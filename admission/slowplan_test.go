package admission

import (
	"testing"
)

// sendHeavyRequest starts a controller whose engines report progress, with the settings changed by the function unless
// it is nil, and sends one heavy request with an expected 1 s of work per thread.
func sendHeavyRequest(t *testing.T, change func(*Settings)) (*harness, Send) {
	t.Helper()
	s := baseSettings()
	s.CancellationAllowed, s.ProgressInterval = true, 2*sec
	if change != nil {
		change(&s)
	}
	h := startController(t, s, newEngines(4))
	return h, oneAction[Send](t, h.step(Request{ID: "a", Class: 1, Timeout: 20 * sec, TableGroup: -1, Work: 2 * sec,
		MemoryMB: 64}))
}

func (h *harness) reportProgress(attempt int, send Send, done float64) []Action {
	return h.step(Progress{ID: send.ID, Attempt: attempt, Engine: send.Engine, Kind: ProgressFraction, Value: done})
}

// TestSlowPlanIsMigrated: an attempt whose progress predicts many times the expected time is cancelled and retried.
func TestSlowPlanIsMigrated(t *testing.T) {
	h, send := sendHeavyRequest(t, nil)
	h.advance(2 * sec)
	oneAction[Cancel](t, h.reportProgress(0, send, 0.12))
	if actions := h.reportProgress(0, send, 0.13); len(actionsOf[Cancel](actions)) != 0 {
		t.Fatal("attempt cancelled twice")
	}
	retry := oneAction[Send](t, h.step(Outcome{ID: "a", Engine: send.Engine, Status: Cancelled}))
	h.advance(2 * sec)
	if actions := h.reportProgress(1, retry, 0.12); len(actionsOf[Cancel](actions)) != 0 {
		t.Fatal("retry cancelled: two attempts that predict the same time show a costly request, not a slow plan")
	}
}

// TestOtherPlansAreNotMigrated: an attempt with normal progress, one near its end and one that is slow because all
// engines are slow keep running.
func TestOtherPlansAreNotMigrated(t *testing.T) {
	h, send := sendHeavyRequest(t, nil)
	h.advance(2 * sec)
	if actions := h.reportProgress(0, send, 0.6); len(actionsOf[Cancel](actions)) != 0 {
		t.Fatal("attempt with normal progress cancelled")
	}
	h.advance(8 * sec)
	if actions := h.reportProgress(0, send, 0.9); len(actionsOf[Cancel](actions)) != 0 {
		t.Fatal("attempt cancelled although a retry would take longer than the rest of it")
	}
	h, send = sendHeavyRequest(t, nil)
	for _, engine := range h.controller.engines {
		engine.slowdown = 4
	}
	h.advance(2 * sec)
	for _, engine := range h.controller.engines {
		engine.slowdown = 4
	}
	if actions := h.reportProgress(0, send, 0.15); len(actionsOf[Cancel](actions)) != 0 {
		t.Fatal("attempt cancelled although all engines are slow")
	}
}

// TestSlowPlanIsNotMigratedWithoutRetry: an attempt with a slow plan keeps running if no retry may follow or if the
// platform does not allow cancellation.
func TestSlowPlanIsNotMigratedWithoutRetry(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"non-idempotent":  func(s *Settings) { s.Classes[1].Idempotency = NonIdempotent },
		"last attempt":    func(s *Settings) { s.MaxAttempts = 1 },
		"no cancellation": func(s *Settings) { s.CancellationAllowed = false },
		"empty budget":    func(s *Settings) { s.RetryBudget = &RetryBudget{Window: 5 * sec} },
	} {
		h, send := sendHeavyRequest(t, change)
		h.advance(2 * sec)
		// The progress predicts 13 s, which is within the timeout of 20 s.
		if actions := h.reportProgress(0, send, 0.15); len(actionsOf[Cancel](actions)) != 0 {
			t.Errorf("%s: attempt cancelled", name)
		}
	}
}

// TestAttemptThatCannotEndInTimeIsCancelled: an attempt that cannot end before its client gives up is cancelled, and
// its request is rejected at once if no retry is left.
func TestAttemptThatCannotEndInTimeIsCancelled(t *testing.T) {
	h, send := sendHeavyRequest(t, func(s *Settings) { s.MaxAttempts = 1 })
	h.advance(2 * sec)
	oneAction[Cancel](t, h.reportProgress(0, send, 0.05))
	oneAction[Reject](t, h.step(Outcome{ID: "a", Engine: send.Engine, Status: Cancelled}))
}

// TestSlowPlansDoNotRaiseEstimates: the work of attempts with a slow plan hardly raises the estimates of their class.
func TestSlowPlansDoNotRaiseEstimates(t *testing.T) {
	h, send := sendHeavyRequest(t, nil)
	for i := range 40 {
		work := 2 * sec
		if i%10 == 9 {
			work *= 20
		}
		h.step(Outcome{ID: "a", Engine: send.Engine, Status: OK, Closed: true, Latency: work / 2, Work: work})
		h.now += sec
		send = oneAction[Send](t, h.step(Request{ID: "a", Class: 1, Timeout: 20 * sec, TableGroup: -1, Work: 2 * sec,
			MemoryMB: 64}))
	}
	if factor := h.controller.estimates[1].workCorrection; factor > 1.6 {
		t.Fatalf("correction of work estimates is %.2f, want at most 1.6", factor)
	}
}
