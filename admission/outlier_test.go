package admission

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

func TestSilentEngineIsEjected(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(4))
	toDead := 0
	for i := range 400 {
		for _, s := range actionsOf[Send](b.step(newRequest(fmt.Sprint("a", i), 0))) {
			if s.Engine == 1 {
				if i >= 200 {
					toDead++
				}
				continue // never answers
			}
			b.step(outcomeOf(s, 0, OK))
		}
		b.advance(20 * ms)
	}
	if !b.controller.enginesByID[1].ejected || toDead > 10 {
		t.Fatalf("ejected %v, %d sends late on", b.controller.enginesByID[1].ejected, toDead)
	}
}

func TestNeverEjectsMostOfTheFleet(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(4))
	for i := range 40 {
		for _, s := range actionsOf[Send](b.step(newRequest(fmt.Sprint("a", i), 0))) {
			b.step(outcomeOf(s, 0, ConnectFailed))
		}
	}
	out := 0
	for _, e := range b.controller.engines {
		if e.ejected {
			out++
		}
	}
	if out == 0 || out > 2 {
		t.Fatalf("%d of 4 ejected", out)
	}
}

func TestSlowdownOfAllEjectsNone(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(4))
	var out []Outcome
	due := []time.Duration{}
	for i := range 300 {
		delay := 100 * ms
		if i > 100 {
			delay = 700 * ms // every engine is slow at once
		}
		for _, s := range actionsOf[Send](b.step(newRequest(fmt.Sprint("a", i), 0))) {
			o := outcomeOf(s, 0, OK)
			o.Latency = delay
			out, due = append(out, o), append(due, b.now+delay)
		}
		b.advance(20 * ms)
		for len(out) > 0 && due[0] <= b.now {
			b.step(out[0])
			out, due = out[1:], due[1:]
		}
	}
	for _, e := range b.controller.engines {
		if e.ejected {
			t.Fatalf("engine %d was ejected", e.ID)
		}
	}
}

// TestOwnStallEjectsNoEngine: after a turn far later than its timer all that came is taken in first, so no engine
// is ejected for what was answered in the stall, and what came in it is sent.
func TestOwnStallEjectsNoEngine(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed, s.ProgressInterval = true, 2*sec
	b := startController(t, s, newEngines(4))
	var evs []Event
	for i := range 12 {
		for _, snd := range actionsOf[Send](b.step(newRequest(fmt.Sprint("q", i), 0))) {
			if i%3 != 0 {
				evs = append(evs, outcomeOf(snd, 0, OK))
			}
		}
	}
	b.now += 1700 * ms
	evs = append(evs, Timer{Token: uint64(b.controller.housekeepingAt)}, newRequest("late", 0))
	acts := b.step(evs...)
	if n := len(actionsOf[Send](acts)); n == 0 {
		t.Error("nothing was sent")
	}
	for _, e := range b.controller.engines {
		if e.ejected {
			t.Errorf("engine %d ejected", e.ID)
		}
	}
	if b.controller.requests["late"] == nil || b.controller.requests["late"].inFlight != 1 {
		t.Error("what came in the stall was not sent")
	}
}

// TestConnectionResetsDoNotEject: resets of single connections, after which the engine answered, ejected
// engines that were well on a run with many.
func TestConnectionResetsDoNotEject(t *testing.T) {
	for _, alive := range []bool{true, false} {
		b := startController(t, baseSettings(), newEngines(1))
		for i := range ejectAfterResets {
			id := fmt.Sprint("r", i)
			b.step(Request{ID: id, Timeout: 4 * sec, TableGroup: -1, Work: 50 * ms})
			b.step(Outcome{ID: id, Engine: 1, Status: Reset, EngineAlive: alive})
			b.step(ClientDisconnected{ID: id})
		}
		if e := b.controller.engines[0]; alive != (e.consecutiveFailures == 0) {
			t.Fatalf("alive %v: %d strikes", alive, e.consecutiveFailures)
		}
	}
}

// hangingDay plays four engines of which the first so many hang on the heavy class and answer the rest, until it ends.
// It returns what went to those of the heavy class in each of the last windows of 5 s.
func hangingDay(t *testing.T, hanging, windows int, until time.Duration) (sends []int, b *harness) {
	t.Helper()
	s := baseSettings()
	s.Replicas, s.ProgressInterval = 3, 0
	b = startController(t, s, newEngines(4))
	type answer struct {
		at time.Duration
		ev Outcome
	}
	var due []answer
	sends = make([]int, windows)
	began := b.now
	for n := 0; b.now < began+time.Duration(windows)*5*sec; n++ {
		b.now += 10 * ms
		var ev []Event
		for i := 0; i < len(due); i++ {
			if due[i].at <= b.now {
				ev = append(ev, due[i].ev)
				due = append(due[:i], due[i+1:]...)
				i--
			}
		}
		if n%2 == 0 {
			class := 0
			if n%10 == 0 {
				class = 1
			}
			ev = append(ev, Request{ID: strconv.Itoa(n), Class: class, Tenant: n % 2, Timeout: 4 * sec, TableGroup: n % 7,
				Work: time.Duration(1+2*class) * 20 * ms})
		}
		for _, snd := range actionsOf[Send](b.step(ev...)) {
			r := b.controller.requests[snd.ID]
			o := Outcome{ID: snd.ID, Engine: snd.Engine, Attempt: len(r.attempts) - 1, Status: OK, Latency: 40 * ms,
				Work: r.Work, Report: &Report{InFlight: 1, Queued: -1, Utilization: 0.1, MemoryUtilization: -1,
					DiskUtilization: -1}}
			at := b.now + 40*ms
			if r.Class == 1 && int(snd.Engine) <= hanging {
				sends[int((b.now-began)/(5*sec))]++
				if b.now < began+until {
					at = b.now + 4*sec + 100*ms // its client has left, and it was asked for no more
					o.Status, o.Closed = Cancelled, true
				}
			}
			due = append(due, answer{at, o})
		}
	}
	return sends, b
}

// TestHangingClassRestsAtItsEngine: an engine that answers the other classes reads as idle and well. Without the rest
// it drew more of the class that hangs there than any other, until that filled every bound.
func TestHangingClassRestsAtItsEngine(t *testing.T) {
	sends, b := hangingDay(t, 1, 6, 20*sec)
	if sends[1] > 4 || sends[2] > 2 || sends[3] > 2 {
		t.Fatalf("%v heavy requests in windows of 5 s to an engine on which they hang", sends)
	}
	if sends[5] < 5 {
		t.Fatalf("%v heavy requests in windows of 5 s: it is well since 20 s, and not used", sends)
	}
	for _, e := range b.controller.engines {
		if e.ejected {
			t.Fatalf("engine %d is ejected, and answers", e.ID)
		}
	}
}

// TestAClassNeverRestsAtMostEngines: one engine alone can't serve what all others are kept from.
func TestAClassNeverRestsAtMostEngines(t *testing.T) {
	_, b := hangingDay(t, 3, 1, 5*sec)
	if n := b.controller.restingEngines(1); n != 2 {
		t.Fatalf("%d of 4 engines rest for the class, which hangs at 3", n)
	}
}
