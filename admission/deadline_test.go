package admission

import (
	"fmt"
	"testing"
	"time"
)

func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	h := startController(t, baseSettings(), nil)
	h.step(newRequest("a", 0))
	if reject := oneAction[Reject](t, h.advance(4*sec)); reject.RetryAfter <= 0 {
		t.Fatal("rejection without a Retry-After")
	}
	h = startController(t, baseSettings(), newEngines(1))
	send := oneAction[Send](t, h.step(newRequest("b", 0)))
	h.now += 4 * sec
	if actions := h.step(outcomeOf(send, 0, TimedOut)); len(actionsOf[Reject](actions))+
		len(actionsOf[Fail](actions)) != 1 {
		t.Fatalf("want one Reject or Fail at the deadline, got %v", actions)
	}
}

// TestRequestWithoutTimeLeftIsRejectedAtOnce: a request may arrive with a timeout of 0.
func TestRequestWithoutTimeLeftIsRejectedAtOnce(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(2))
	request := newRequest("a", 0)
	request.Timeout = 0
	actions := h.step(request)
	if oneAction[Reject](t, actions); len(actionsOf[Send](actions)) > 0 {
		t.Fatal("request sent after its final answer")
	}
}

// TestRequestThatCannotEndInTimeIsNotSent: a request that cannot end before its client gives up would occupy an engine
// without use.
func TestRequestThatCannotEndInTimeIsNotSent(t *testing.T) {
	for _, c := range []struct {
		timeLeft    time.Duration
		utilization float64
		sent        bool
	}{{4 * sec, 0.7, true}, {800 * ms, 0.7, false}, {800 * ms, 0.2, true}, {400 * ms, 0.2, false}} {
		h := startController(t, baseSettings(), newEngines(2))
		for _, engine := range h.controller.engines {
			engine.reportedAt, engine.loadReport = h.now, Report{Utilization: c.utilization, InFlight: -1, Queued: -1,
				MemoryUtilization: -1, DiskUtilization: -1}
		}
		h.step()
		request := newRequest("a", 0)
		request.Work, request.Timeout = 800*ms, c.timeLeft
		actions := h.step(request)
		actions = append(actions, h.advance(100*ms)...)
		if n := len(actionsOf[Send](actions)); (n == 1) != c.sent {
			t.Errorf("%v left for 800 ms of work: sent %d times", c.timeLeft, n)
		}
		if n := len(actionsOf[Reject](actions)); (n == 1) == c.sent {
			t.Errorf("%v left for 800 ms of work: rejected %d times", c.timeLeft, n)
		}
	}
	// An engine that has become slow gets no request with a short timeout.
	h := startController(t, baseSettings(), newEngines(2))
	h.controller.enginesByID[1].slowdown, h.controller.enginesByID[1].lastAnswerAt = 8, h.now
	for i := range 20 {
		h.controller.enginesByID[1].slowdown = 8
		for _, engine := range h.controller.engines {
			engine.reportedAt, engine.loadReport = h.now, Report{Utilization: 0.7, InFlight: -1, Queued: -1,
				MemoryUtilization: -1, DiskUtilization: -1}
		}
		h.step()
		request := newRequest(fmt.Sprint("p", i), 0)
		request.Work, request.Timeout = 100*ms, 900*ms
		for _, action := range h.step(request) {
			if send, ok := action.(Send); ok && send.Engine == 1 {
				t.Fatal("request sent to an engine that is too slow for its timeout")
			}
		}
	}
}

// TestShortTimeoutOfFirstTryKeepsObjective: where clients mark their retries, a short timeout makes the objective
// earlier for marked requests only. Where they do not, every request with a short timeout counts as a retry.
func TestShortTimeoutOfFirstTryKeepsObjective(t *testing.T) {
	for _, c := range []struct{ retriesMarked, retry, wantEarlier bool }{
		{true, false, false}, {true, true, true}, {false, false, true},
	} {
		s := baseSettings()
		s.RetriesMarked = c.retriesMarked
		h := startController(t, s, nil)
		request := newRequest("a", 0)
		request.Work, request.Timeout, request.Retry = 100*ms, sec, c.retry
		h.step(request)
		if earlier := h.controller.requests["a"].objectiveAt < h.now+sec; earlier != c.wantEarlier {
			t.Errorf("%+v: objective %v from now", c, h.controller.requests["a"].objectiveAt-h.now)
		}
	}
}
