package admission

import (
	"fmt"
	"testing"
	"time"
)

func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	b := startController(t, baseSettings(), nil)
	b.step(newRequest("a", 0))
	if a := oneAction[Reject](t, b.advance(4*sec)); a.RetryAfter <= 0 {
		t.Fatal("a rejection must say when to come back")
	}
	b = startController(t, baseSettings(), newEngines(1))
	snd := oneAction[Send](t, b.step(newRequest("b", 0)))
	b.now += 4 * sec
	if acts := b.step(outcomeOf(snd, 0, TimedOut)); len(actionsOf[Reject](acts))+len(actionsOf[Fail](acts)) != 1 {
		t.Fatalf("no final answer at the deadline: %v", acts)
	}
}

// TestNoTimeLeftIsAnsweredAtOnce: a try may come with its time already over.
func TestNoTimeLeftIsAnsweredAtOnce(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(2))
	r := newRequest("a", 0)
	r.Timeout = 0
	acts := b.step(r)
	if oneAction[Reject](t, acts); len(actionsOf[Send](acts)) > 0 {
		t.Fatal("sent after its answer")
	}
}

// Callers of little patience: work that cannot end before they leave holds an engine for nobody.
func TestNothingIsSentThatCannotEndInTime(t *testing.T) {
	for _, c := range []struct {
		left time.Duration
		util float64
		sent bool
	}{{4 * sec, 0.7, true}, {800 * ms, 0.7, false}, {800 * ms, 0.2, true}, {400 * ms, 0.2, false}} {
		b := startController(t, baseSettings(), newEngines(2))
		for _, e := range b.controller.engines {
			e.reportedAt, e.loadReport = b.now, Report{Utilization: c.util, InFlight: -1, Queued: -1, MemoryUtilization: -1,
				DiskUtilization: -1}
		}
		b.step()
		r := newRequest("a", 0)
		r.Work, r.Timeout = 800*ms, c.left
		acts := b.step(r)
		acts = append(acts, b.advance(100*ms)...)
		if n := len(actionsOf[Send](acts)); (n == 1) != c.sent {
			t.Errorf("%v left for 800 ms of work: sent %d times", c.left, n)
		}
		if n := len(actionsOf[Reject](acts)); (n == 1) == c.sent {
			t.Errorf("%v left: rejected %d times", c.left, n)
		}
	}
	// By the pace of the engine: one that has grown slow is passed over by what is in a hurry.
	b := startController(t, baseSettings(), newEngines(2))
	b.controller.enginesByID[1].slowdown, b.controller.enginesByID[1].lastAnswerAt = 8, b.now
	for i := range 20 {
		b.controller.enginesByID[1].slowdown = 8
		for _, e := range b.controller.engines {
			e.reportedAt, e.loadReport = b.now, Report{Utilization: 0.7, InFlight: -1, Queued: -1, MemoryUtilization: -1,
				DiskUtilization: -1}
		}
		b.step()
		r := newRequest(fmt.Sprint("p", i), 0)
		r.Work, r.Timeout = 100*ms, 900*ms
		for _, a := range b.step(r) {
			if s, ok := a.(Send); ok && s.Engine == 1 {
				t.Fatal("sent to an engine too slow for its caller")
			}
		}
	}
}

// A first try of little patience is not old: where callers mark their retries it is in time until it is due.
func TestShortTimeoutIsNotAge(t *testing.T) {
	for _, c := range []struct{ marks, retry, old bool }{{true, false, false}, {true, true, true}, {false, false, true}} {
		s := baseSettings()
		s.RetriesMarked = c.marks
		b := startController(t, s, nil)
		r := newRequest("a", 0)
		r.Work, r.Timeout, r.Retry = 100*ms, sec, c.retry
		b.step(r)
		if got := b.controller.requests["a"].objectiveAt < b.now+sec; got != c.old {
			t.Errorf("%+v: aim %v from now", c, b.controller.requests["a"].objectiveAt-b.now)
		}
	}
}
