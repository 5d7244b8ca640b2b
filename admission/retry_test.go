package admission

import (
	"fmt"
	"testing"
)

func TestNonIdempotentThatMayHaveRunIsFailed(t *testing.T) {
	for _, status := range []Status{Errored, TimedOut, Reset, Cancelled} {
		s := baseSettings()
		s.Classes[0].Idempotency, s.Classes[0].DeduplicationWindow = NonIdempotent, 5*sec
		h := startController(t, s, newEngines(4))
		send := oneAction[Send](t, h.step(newRequest("a", 0)))
		actions := h.step(outcomeOf(send, 0, status))
		oneAction[Fail](t, actions)
		if len(actionsOf[Send](actions))+len(actionsOf[Reject](actions)) > 0 {
			t.Fatalf("status %d: got %v, want one Fail and neither Send nor Reject", status, actions)
		}
	}
}

func TestAttemptThatNeverRanIsRetried(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency = NonIdempotent
	h := startController(t, s, newEngines(4))
	send := oneAction[Send](t, h.step(newRequest("a", 0)))
	if retry := oneAction[Send](t, h.step(outcomeOf(send, 0, ConnectFailed))); retry.Engine == send.Engine {
		t.Fatal("retry sent to the engine that refused the connection")
	}
}

func TestIdempotentWithKeyStaysInScopeAndWindow(t *testing.T) {
	for _, scope := range []Scope{ScopeAll, ScopeZone, ScopeCell} {
		s := baseSettings()
		s.Classes[0].Idempotency, s.Classes[0].DeduplicationScope, s.Classes[0].DeduplicationWindow = IdempotentWithKey,
			scope, sec
		for seed := range 20 {
			h := startController(t, s, newEngines(8))
			h.controller.random = splitMix64(seed)
			send := oneAction[Send](t, h.step(newRequest("a", 0)))
			retry := oneAction[Send](t, h.step(outcomeOf(send, 0, TimedOut)))
			first, second := h.controller.enginesByID[send.Engine], h.controller.enginesByID[retry.Engine]
			if (scope == ScopeZone && first.Zone != second.Zone) || (scope == ScopeCell && first.Cell != second.Cell) {
				t.Fatalf("scope %d: attempt on %v was retried out of scope on %v", scope, first.Engine, second.Engine)
			}
			h.now += 1001 * ms
			actions := h.step(outcomeOf(retry, 1, TimedOut))
			oneAction[Fail](t, actions)
			if len(actionsOf[Send](actions)) > 0 {
				t.Fatal("retried after the deduplication window")
			}
		}
	}
}

func TestRetryBudget(t *testing.T) {
	s := baseSettings()
	s.RetryBudget = &RetryBudget{MinRetries: 2, Ratio: 0.1, Window: 10 * sec}
	h := startController(t, s, newEngines(8))
	retries := 0
	for i := range 30 {
		for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint("r", i), 0))) {
			h.step(outcomeOf(send, 0, OK))
			_ = send
		}
	}
	for i := range 30 {
		sends := actionsOf[Send](h.step(newRequest(fmt.Sprint("x", i), 0)))
		for attempt := 0; len(sends) > 0; attempt++ {
			sends = actionsOf[Send](h.step(outcomeOf(sends[0], attempt, Errored)))
			retries += len(sends)
		}
	}
	if limit := 2 + 6; retries == 0 || retries > limit {
		t.Fatalf("%d retries, want at least 1 and at most %d", retries, limit)
	}
}

func TestStuckAttemptsAreMigrated(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed = true
	h := startController(t, s, newEngines(4))
	var stuck []Send
	for i := 0; len(stuck) < 3; i++ {
		request := newRequest(fmt.Sprint("a", i), 0)
		request.TableGroup = i
		for _, send := range actionsOf[Send](h.step(request)) {
			if send.Engine == 1 {
				stuck = append(stuck, send)
			} else {
				h.step(outcomeOf(send, 0, OK))
			}
		}
	}
	var cancels []Cancel
	for i := 0; len(cancels) == 0 && i < 200; i++ { // the other engines keep answering
		for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint("b", i), 0))) {
			if send.Engine != 1 {
				h.step(outcomeOf(send, 0, OK))
			}
		}
		cancels = actionsOf[Cancel](h.advance(20 * ms))
	}
	if len(cancels) == 0 {
		t.Fatal("no attempt of the unresponsive engine was migrated")
	}
	if retry := oneAction[Send](t, h.step(Outcome{ID: cancels[0].ID, Engine: 1, Status: Cancelled})); retry.Engine == 1 {
		t.Fatal("retry sent to the unresponsive engine")
	}
}

func TestIdempotentWithKeyPastItsWindowIsFailed(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Idempotency, s.Classes[0].DeduplicationWindow, s.Classes[0].LatencyObjective = IdempotentWithKey, sec,
		4*sec
	h := startController(t, s, newEngines(2))
	send := oneAction[Send](t, h.step(newRequest("a", 0)))
	for _, engine := range h.controller.engines {
		engine.overloadedUntil = h.now + 10*sec // no engine accepts requests for now
	}
	h.step(outcomeOf(send, 0, Reset))
	h.now += sec
	h.controller.now = h.now
	if request := h.controller.requests["a"]; h.controller.permits(h.controller.engines[0], request) ||
		h.controller.permits(h.controller.engines[1], request) {
		t.Fatal("retry permitted after the deduplication window")
	}
	if actions := h.advance(40 * ms); len(actionsOf[Fail](actions)) != 1 || len(actionsOf[Reject](actions)) > 0 {
		t.Fatalf("got %v, want one Fail and no Reject", actions)
	}
}

// TestLostAnswersAreRetried: an attempt that stops reporting progress is migrated, and a single reset does not eject
// the engine.
func TestLostAnswersAreRetried(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed, s.ProgressInterval = true, 2*sec
	h := startController(t, s, newEngines(4))
	request := newRequest("a", 1)
	request.Timeout, request.Work = 20*sec, 3*sec
	send := oneAction[Send](t, h.step(request))
	for i := range 3 {
		h.advance(2 * sec)
		h.step(Progress{ID: "a", Engine: send.Engine, Kind: ProgressFraction, Value: 0.5 + 0.2*float64(i)})
	}
	if cancels := len(actionsOf[Cancel](h.advance(4 * sec))); cancels != 0 {
		t.Fatal("attempt migrated 4s after its last progress, before three progress intervals")
	}
	oneAction[Cancel](t, h.advance(4*sec))
	oneAction[Send](t, h.step(Outcome{ID: "a", Engine: send.Engine, Status: Cancelled}))
	h.step(Outcome{ID: "a", Attempt: 1, Engine: send.Engine, Status: Reset})
	for _, engine := range h.controller.engines {
		if engine.ejected {
			t.Fatal("engine ejected after a single reset")
		}
	}
}

// TestMigrationsStayWithinTheRetryBudget: after an ejection, only as many attempts are migrated as the retry budget has
// retries for. An attempt cancelled without a retry would end its request.
func TestMigrationsStayWithinTheRetryBudget(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed, s.RetryBudget = true, &RetryBudget{MinRetries: 2, Window: 5 * sec}
	h := startController(t, s, newEngines(4))
	for i := range 12 {
		h.step(Request{ID: fmt.Sprint("r", i), Class: 1, Timeout: 20 * sec, TableGroup: -1, Work: 50 * ms})
	}
	h.advance(200 * ms)
	h.now += 6 * sec // the arrivals have left the window, so the budget allows two retries
	h.controller.now = h.now
	var cancels []Cancel
	for _, e := range h.controller.engines[:2] {
		h.controller.actions = nil
		h.controller.eject(e)
		cancels = append(cancels, actionsOf[Cancel](h.controller.actions)...)
	}
	if len(cancels) != 2 {
		t.Fatalf("%d attempts migrated, want 2 as the retry budget allows", len(cancels))
	}
	for _, cancel := range cancels {
		request := h.controller.requests[cancel.ID]
		oneAction[Send](t, h.step(Outcome{ID: cancel.ID, Engine: request.attempts[0].engine.ID, Status: Cancelled}))
	}
	if h.controller.retryBudget.reserved != 0 {
		t.Fatalf("%d retries still reserved, want 0", h.controller.retryBudget.reserved)
	}
}

// TestLastRetryIsLeftForHigherWeights: a class of low priority weight does not use up the retry budget.
func TestLastRetryIsLeftForHigherWeights(t *testing.T) {
	s := baseSettings()
	s.RetryBudget = &RetryBudget{MinRetries: 1, Window: 5 * sec}
	h := startController(t, s, newEngines(4))
	lowWeight := oneAction[Send](t, h.step(newRequest("low", 0)))
	if actions := h.step(outcomeOf(lowWeight, 0, ConnectFailed)); len(actionsOf[Send](actions)) != 0 {
		t.Fatal("the class of low priority weight got the last retry")
	}
	highWeight := oneAction[Send](t, h.step(Request{ID: "high", Class: 1, Timeout: 20 * sec, TableGroup: -1,
		Work: 100 * ms}))
	oneAction[Send](t, h.step(outcomeOf(highWeight, 0, ConnectFailed)))
}
