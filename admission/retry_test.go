package admission

import (
	"fmt"
	"testing"
)

func TestNonIdempotentThatMayHaveRunIsFailed(t *testing.T) {
	for _, st := range []Status{Errored, TimedOut, Reset, Cancelled} {
		s := baseSettings()
		s.Classes[0].Idempotency, s.Classes[0].DeduplicationWindow = NonIdempotent, 5*sec
		b := startController(t, s, newEngines(4))
		snd := oneAction[Send](t, b.step(newRequest("a", 0)))
		acts := b.step(outcomeOf(snd, 0, st))
		oneAction[Fail](t, acts)
		if len(actionsOf[Send](acts))+len(actionsOf[Reject](acts)) > 0 {
			t.Fatalf("%d: resent or rejected: %v", st, acts)
		}
	}
}

func TestAttemptThatNeverRanIsRetried(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency = NonIdempotent
	b := startController(t, s, newEngines(4))
	snd := oneAction[Send](t, b.step(newRequest("a", 0)))
	if again := oneAction[Send](t, b.step(outcomeOf(snd, 0, ConnectFailed))); again.Engine == snd.Engine {
		t.Fatal("sent to the engine that just failed to connect")
	}
}

func TestIdempotentWithKeyStaysInScopeAndWindow(t *testing.T) {
	for _, scope := range []Scope{ScopeAll, ScopeZone, ScopeCell} {
		s := baseSettings()
		s.Classes[0].Idempotency, s.Classes[0].DeduplicationScope, s.Classes[0].DeduplicationWindow = IdempotentWithKey,
			scope, sec
		for seed := range 20 {
			b := startController(t, s, newEngines(8))
			b.controller.random = splitMix64(seed)
			snd := oneAction[Send](t, b.step(newRequest("a", 0)))
			again := oneAction[Send](t, b.step(outcomeOf(snd, 0, TimedOut)))
			x, y := b.controller.enginesByID[snd.Engine], b.controller.enginesByID[again.Engine]
			if (scope == ScopeZone && x.Zone != y.Zone) || (scope == ScopeCell && x.Cell != y.Cell) {
				t.Fatalf("scope %d: resent from %v to %v", scope, x.Engine, y.Engine)
			}
			b.now += 1001 * ms
			acts := b.step(outcomeOf(again, 1, TimedOut))
			oneAction[Fail](t, acts)
			if len(actionsOf[Send](acts)) > 0 {
				t.Fatal("resent after the window")
			}
		}
	}
}

func TestRetryBudget(t *testing.T) {
	s := baseSettings()
	s.RetryBudget = &RetryBudget{MinRetries: 2, Ratio: 0.1, Window: 10 * sec}
	b := startController(t, s, newEngines(8))
	extra := 0
	for i := range 30 {
		for _, snd := range actionsOf[Send](b.step(newRequest(fmt.Sprint("r", i), 0))) {
			b.step(outcomeOf(snd, 0, OK))
			_ = snd
		}
	}
	for i := range 30 {
		snds := actionsOf[Send](b.step(newRequest(fmt.Sprint("x", i), 0)))
		for n := 0; len(snds) > 0; n++ {
			snds = actionsOf[Send](b.step(outcomeOf(snds[0], n, Errored)))
			extra += len(snds)
		}
	}
	if limit := 2 + 6; extra == 0 || extra > limit {
		t.Fatalf("%d further attempts, limit %d", extra, limit)
	}
}

func TestStuckAttemptsAreMigrated(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed = true
	b := startController(t, s, newEngines(4))
	var stuck []Send
	for i := 0; len(stuck) < 3; i++ {
		r := newRequest(fmt.Sprint("a", i), 0)
		r.TableGroup = i
		for _, snd := range actionsOf[Send](b.step(r)) {
			if snd.Engine == 1 {
				stuck = append(stuck, snd)
			} else {
				b.step(outcomeOf(snd, 0, OK))
			}
		}
	}
	var back []Cancel
	for i := 0; len(back) == 0 && i < 200; i++ { // the others go on answering
		for _, snd := range actionsOf[Send](b.step(newRequest(fmt.Sprint("b", i), 0))) {
			if snd.Engine != 1 {
				b.step(outcomeOf(snd, 0, OK))
			}
		}
		back = actionsOf[Cancel](b.advance(20 * ms))
	}
	if len(back) == 0 {
		t.Fatal("nothing was migrated")
	}
	if again := oneAction[Send](t, b.step(Outcome{ID: back[0].ID, Engine: 1, Status: Cancelled})); again.Engine == 1 {
		t.Fatal("sent to the silent engine again")
	}
}

func TestIdempotentWithKeyPastItsWindowIsFailed(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency, s.Classes[0].DeduplicationWindow, s.Classes[0].LatencyObjective = IdempotentWithKey, sec,
		4*sec
	b := startController(t, s, newEngines(2))
	snd := oneAction[Send](t, b.step(newRequest("a", 0)))
	for _, e := range b.controller.engines {
		e.overloadedUntil = b.now + 10*sec // no engine takes anything for now
	}
	b.step(outcomeOf(snd, 0, Reset))
	b.now += sec
	b.controller.now = b.now
	if r := b.controller.requests["a"]; b.controller.permits(b.controller.engines[0], r) ||
		b.controller.permits(b.controller.engines[1], r) {
		t.Fatal("may be sent again after its window")
	}
	if acts := b.advance(40 * ms); len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Reject](acts)) > 0 {
		t.Fatalf("want one failure: %v", acts)
	}
}

// TestLostAnswersAreRetried: an attempt whose progress has stopped is migrated, and one reset ejects nothing.
func TestLostAnswersAreRetried(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed, s.ProgressInterval = true, 2*sec
	b := startController(t, s, newEngines(4))
	r := newRequest("a", 1)
	r.Timeout, r.Work = 20*sec, 3*sec
	snd := oneAction[Send](t, b.step(r))
	for i := range 3 {
		b.advance(2 * sec)
		b.step(Progress{ID: "a", Engine: snd.Engine, Kind: ProgressFraction, Value: 0.5 + 0.2*float64(i)})
	}
	if n := len(actionsOf[Cancel](b.advance(4 * sec))); n != 0 {
		t.Fatal("migrated while progress comes")
	}
	oneAction[Cancel](t, b.advance(4*sec))
	oneAction[Send](t, b.step(Outcome{ID: "a", Engine: snd.Engine, Status: Cancelled}))
	b.step(Outcome{ID: "a", Attempt: 1, Engine: snd.Engine, Status: Reset})
	for _, e := range b.controller.engines {
		if e.ejected {
			t.Fatal("one reset ejected an engine")
		}
	}
}

// TestNoMigrationWithoutARetry: an ejected engine's attempts are migrated only as far as the budget lets others
// follow them.
func TestNoMigrationWithoutARetry(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed, s.RetryBudget = true, &RetryBudget{MinRetries: 2, Window: 5 * sec}
	b := startController(t, s, newEngines(4))
	for i := range 12 {
		b.step(Request{ID: fmt.Sprint("r", i), Class: 1, Timeout: 20 * sec, TableGroup: -1, Work: 50 * ms})
	}
	b.advance(200 * ms)
	b.now += 6 * sec // the arrivals leave the window: two further attempts are all there is
	b.controller.now = b.now
	var all []Cancel
	for _, e := range b.controller.engines[:2] {
		b.controller.actions = nil
		b.controller.eject(e)
		all = append(all, actionsOf[Cancel](b.controller.actions)...)
	}
	if len(all) != 2 {
		t.Fatalf("%d attempts migrated, two can be repeated", len(all))
	}
	for _, x := range all {
		r := b.controller.requests[x.ID]
		oneAction[Send](t, b.step(Outcome{ID: x.ID, Engine: r.attempts[0].engine.ID, Status: Cancelled}))
	}
	if b.controller.retryBudget.reserved != 0 {
		t.Fatalf("%d repeats still promised", b.controller.retryBudget.reserved)
	}
}

// TestLastRetryIsLeftForHigherWeights: classes worth little do not use the budget up.
func TestLastRetryIsLeftForHigherWeights(t *testing.T) {
	s := baseSettings()
	s.RetryBudget = &RetryBudget{MinRetries: 1, Window: 5 * sec}
	b := startController(t, s, newEngines(4))
	cheap := oneAction[Send](t, b.step(newRequest("cheap", 0)))
	if acts := b.step(outcomeOf(cheap, 0, ConnectFailed)); len(actionsOf[Send](acts)) != 0 {
		t.Fatal("the last repeat went to the cheap class")
	}
	dear := oneAction[Send](t, b.step(Request{ID: "dear", Class: 1, Timeout: 20 * sec, TableGroup: -1, Work: 100 * ms}))
	oneAction[Send](t, b.step(outcomeOf(dear, 0, ConnectFailed)))
}
