package admission

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

func TestUnresponsiveEngineIsEjected(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(4))
	lateSends := 0
	for i := range 400 {
		for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint("a", i), 0))) {
			if send.Engine == 1 {
				if i >= 200 {
					lateSends++
				}
				continue // engine 1 never answers
			}
			h.step(outcomeOf(send, 0, OK))
		}
		h.advance(20 * ms)
	}
	if !h.controller.enginesByID[1].ejected || lateSends > 10 {
		t.Fatalf("engine 1 ejected: %v, want true; %d sends to engine 1 in the second half, want at most 10",
			h.controller.enginesByID[1].ejected, lateSends)
	}
}

func TestAtMostHalfOfTheFleetIsEjected(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(4))
	for i := range 40 {
		for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint("a", i), 0))) {
			h.step(outcomeOf(send, 0, ConnectFailed))
		}
	}
	ejections := 0
	for _, engine := range h.controller.engines {
		if engine.ejected {
			ejections++
		}
	}
	if ejections == 0 || ejections > 2 {
		t.Fatalf("%d of 4 engines ejected, want 1 or 2", ejections)
	}
}

func TestFleetWideSlowdownEjectsNoEngine(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(4))
	var outcomes []Outcome
	due := []time.Duration{}
	for i := range 300 {
		delay := 100 * ms
		if i > 100 {
			delay = 700 * ms // all engines slow down at once
		}
		for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint("a", i), 0))) {
			outcome := outcomeOf(send, 0, OK)
			outcome.Latency = delay
			outcomes, due = append(outcomes, outcome), append(due, h.now+delay)
		}
		h.advance(20 * ms)
		for len(outcomes) > 0 && due[0] <= h.now {
			h.step(outcomes[0])
			outcomes, due = outcomes[1:], due[1:]
		}
	}
	for _, engine := range h.controller.engines {
		if engine.ejected {
			t.Fatalf("engine %d is ejected, want none while all are equally slow", engine.ID)
		}
	}
}

// TestFrontEndStallEjectsNoEngine: a step that runs far later than its timer first handles all events that arrived
// during the stall. Engines whose answers arrived during the stall are not ejected, and requests that arrived during
// the stall are sent.
func TestFrontEndStallEjectsNoEngine(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed, s.ProgressInterval = true, 2*sec
	h := startController(t, s, newEngines(4))
	var events []Event
	for i := range 12 {
		for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint("q", i), 0))) {
			if i%3 != 0 {
				events = append(events, outcomeOf(send, 0, OK))
			}
		}
	}
	h.now += 1700 * ms
	events = append(events, Timer{Token: uint64(h.controller.housekeepingAt)}, newRequest("late", 0))
	actions := h.step(events...)
	if sends := len(actionsOf[Send](actions)); sends == 0 {
		t.Error("no request was sent after the stall")
	}
	for _, engine := range h.controller.engines {
		if engine.ejected {
			t.Errorf("engine %d is ejected, want none", engine.ID)
		}
	}
	if h.controller.requests["late"] == nil || h.controller.requests["late"].inFlight != 1 {
		t.Error("the request that arrived during the stall was not sent")
	}
}

// TestResetWithEngineAliveIsNotAFailure: on a run with many connection resets, healthy engines were ejected although
// they had answered on another connection after the reset.
func TestResetWithEngineAliveIsNotAFailure(t *testing.T) {
	for _, alive := range []bool{true, false} {
		h := startController(t, baseSettings(), newEngines(1))
		for i := range ejectAfterResets {
			id := fmt.Sprint("r", i)
			h.step(Request{ID: id, Timeout: 4 * sec, TableGroup: -1, Work: 50 * ms})
			h.step(Outcome{ID: id, Engine: 1, Status: Reset, EngineAlive: alive})
			h.step(ClientDisconnected{ID: id})
		}
		if engine := h.controller.engines[0]; alive != (engine.consecutiveFailures == 0) {
			t.Fatalf("EngineAlive %v: %d consecutive failures; want 0 if true, more if false", alive, engine.consecutiveFailures)
		}
	}
}

// runHangingClass simulates four engines. Until the given time the first ones, as many as hanging, do not answer the
// heavy class, while they answer the other class. runHangingClass returns the number of heavy requests sent to these
// engines in each window of 5 s.
func runHangingClass(t *testing.T, hanging, windows int, until time.Duration) (sends []int, h *harness) {
	t.Helper()
	s := baseSettings()
	s.Replicas, s.ProgressInterval = 3, 0
	h = startController(t, s, newEngines(4))
	type answer struct {
		at time.Duration
		ev Outcome
	}
	var pending []answer
	sends = make([]int, windows)
	start := h.now
	for tick := 0; h.now < start+time.Duration(windows)*5*sec; tick++ {
		h.now += 10 * ms
		var ev []Event
		for i := 0; i < len(pending); i++ {
			if pending[i].at <= h.now {
				ev = append(ev, pending[i].ev)
				pending = append(pending[:i], pending[i+1:]...)
				i--
			}
		}
		if tick%2 == 0 {
			class := 0
			if tick%10 == 0 {
				class = 1
			}
			ev = append(ev, Request{ID: strconv.Itoa(tick), Class: class, Tenant: tick % 2, Timeout: 4 * sec,
				TableGroup: tick % 7, Work: time.Duration(1+2*class) * 20 * ms})
		}
		for _, send := range actionsOf[Send](h.step(ev...)) {
			request := h.controller.requests[send.ID]
			outcome := Outcome{ID: send.ID, Engine: send.Engine, Attempt: len(request.attempts) - 1, Status: OK,
				Latency: 40 * ms, Work: request.Work, Report: &Report{InFlight: 1, Queued: -1, Utilization: 0.1,
					MemoryUtilization: -1, DiskUtilization: -1}}
			at := h.now + 40*ms
			if request.Class == 1 && int(send.Engine) <= hanging {
				sends[int((h.now-start)/(5*sec))]++
				if h.now < start+until {
					at = h.now + 4*sec + 100*ms // after the client timed out and the attempt was cancelled
					outcome.Status, outcome.Closed = Cancelled, true
				}
			}
			pending = append(pending, answer{at, outcome})
		}
	}
	return sends, h
}

// TestEngineRestsForAHangingClass: an engine on which one class hangs while it answers the others looks idle and
// healthy. Without the rest it drew more requests of that class than any other engine, until they filled every limit.
func TestEngineRestsForAHangingClass(t *testing.T) {
	sends, h := runHangingClass(t, 1, 6, 20*sec)
	if sends[1] > 4 || sends[2] > 2 || sends[3] > 2 {
		t.Fatalf("heavy requests to the hanging engine in windows of 5 s: %v, want at most 4, 2, 2 in windows 1 to 3", sends)
	}
	if sends[5] < 5 {
		t.Fatalf("heavy requests to the engine in windows of 5 s: %v, want at least 5 in window 5, after recovery", sends)
	}
	for _, engine := range h.controller.engines {
		if engine.ejected {
			t.Fatalf("engine %d is ejected although it answers other classes", engine.ID)
		}
	}
}

// TestAtMostHalfOfTheEnginesRestForAClass: if more engines rested, the few remaining ones could not serve the class.
func TestAtMostHalfOfTheEnginesRestForAClass(t *testing.T) {
	_, h := runHangingClass(t, 3, 1, 5*sec)
	if resting := h.controller.restingEngines(1); resting != 2 {
		t.Fatalf("%d of 4 engines rest for the class that hangs on 3, want 2", resting)
	}
}
