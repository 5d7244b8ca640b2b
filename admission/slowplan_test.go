package admission

import (
	"testing"
)

// startHeavy sends one heavy request of an expected 1 s of work a thread on a site with progress.
func startHeavy(t *testing.T, change func(*Settings)) (*harness, Send) {
	t.Helper()
	s := baseSettings()
	s.CancellationAllowed, s.ProgressInterval = true, 2*sec
	if change != nil {
		change(&s)
	}
	b := startController(t, s, newEngines(4))
	return b, oneAction[Send](t, b.step(Request{ID: "a", Class: 1, Timeout: 20 * sec, TableGroup: -1, Work: 2 * sec,
		MemoryMB: 64}))
}

func (b *harness) reportProgress(attempt int, s Send, done float64) []Action {
	return b.step(Progress{ID: s.ID, Attempt: attempt, Engine: s.Engine, Kind: ProgressFraction, Value: done})
}

// TestSlowPlanIsMigrated: progress that foretells many times the expected time end an attempt, and another follows.
func TestSlowPlanIsMigrated(t *testing.T) {
	b, snd := startHeavy(t, nil)
	b.advance(2 * sec)
	oneAction[Cancel](t, b.reportProgress(0, snd, 0.12))
	if acts := b.reportProgress(0, snd, 0.13); len(actionsOf[Cancel](acts)) != 0 {
		t.Fatal("ended twice")
	}
	again := oneAction[Send](t, b.step(Outcome{ID: "a", Engine: snd.Engine, Status: Cancelled}))
	b.advance(2 * sec)
	if acts := b.reportProgress(1, again, 0.12); len(actionsOf[Cancel](acts)) != 0 {
		t.Fatal("a request that shows as much twice is costly, not slow")
	}
}

// TestUsualPlansRunOn: a request that is on its way, one near its end, and one on an engine that is slow as all
// are, run on.
func TestUsualPlansRunOn(t *testing.T) {
	b, snd := startHeavy(t, nil)
	b.advance(2 * sec)
	if acts := b.reportProgress(0, snd, 0.6); len(actionsOf[Cancel](acts)) != 0 {
		t.Fatal("a usual request was ended")
	}
	b.advance(8 * sec)
	if acts := b.reportProgress(0, snd, 0.9); len(actionsOf[Cancel](acts)) != 0 {
		t.Fatal("ended though another would take longer than what is left")
	}
	b, snd = startHeavy(t, nil)
	for _, e := range b.controller.engines {
		e.slowdown = 4
	}
	b.advance(2 * sec)
	for _, e := range b.controller.engines {
		e.slowdown = 4
	}
	if acts := b.reportProgress(0, snd, 0.15); len(actionsOf[Cancel](acts)) != 0 {
		t.Fatal("ended though all engines are slow")
	}
}

// TestSlowPlanIsLeftWhereNoRetryMayFollow: non-idempotent requests, the last attempt, and sites that do not cancel.
func TestSlowPlanIsLeftWhereNoRetryMayFollow(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"non-idempotent": func(s *Settings) { s.Classes[1].Idempotency = NonIdempotent },
		"last":           func(s *Settings) { s.MaxAttempts = 1 },
		"no word":        func(s *Settings) { s.CancellationAllowed = false },
		"budget":         func(s *Settings) { s.RetryBudget = &RetryBudget{Window: 5 * sec} },
	} {
		b, snd := startHeavy(t, change)
		b.advance(2 * sec)
		if acts := b.reportProgress(0, snd, 0.15); len(actionsOf[Cancel](acts)) != 0 { // 13 s of 20: it can still end
			t.Errorf("%s: ended", name)
		}
	}
}

// TestAttemptInVainIsCancelled: what can't end before its client leaves, and has no further attempt, is answered now.
func TestAttemptInVainIsCancelled(t *testing.T) {
	b, snd := startHeavy(t, func(s *Settings) { s.MaxAttempts = 1 })
	b.advance(2 * sec)
	oneAction[Cancel](t, b.reportProgress(0, snd, 0.05))
	oneAction[Reject](t, b.step(Outcome{ID: "a", Engine: snd.Engine, Status: Cancelled}))
}

// TestSlowPlansDoNotTeach: the cost of slow plans stays out of what a class is taken to need.
func TestSlowPlansDoNotTeach(t *testing.T) {
	b, snd := startHeavy(t, nil)
	for i := range 40 {
		work := 2 * sec
		if i%10 == 9 {
			work *= 20
		}
		b.step(Outcome{ID: "a", Engine: snd.Engine, Status: OK, Closed: true, Latency: work / 2, Work: work})
		b.now += sec
		snd = oneAction[Send](t, b.step(Request{ID: "a", Class: 1, Timeout: 20 * sec, TableGroup: -1, Work: 2 * sec,
			MemoryMB: 64}))
	}
	if fix := b.controller.estimates[1].workCorrection; fix > 1.6 {
		t.Fatalf("estimates are corrected by %.2f", fix)
	}
}
