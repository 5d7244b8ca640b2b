package admission

import (
	"fmt"
	"testing"
	"time"
)

// stormRequest is what the checks of a storm know of one request.
type stormRequest struct {
	Request
	deadline        time.Duration
	inFlight        bool // an attempt is
	engine          uint32
	attempt         int
	answered        bool
	mayHaveRun      bool
	mayHaveRunSince time.Duration
	mayHaveRunOn    Engine
}

// storm plays random events against a controller and checks the invariants on each action.
type storm struct {
	*testing.T
	*harness
	seed     uint64
	settings Settings
	random   splitMix64
	drained  map[uint32]time.Duration // engines, by when their drain was told
	requests map[string]*stormRequest
	order    []*stormRequest
	arrivals []time.Duration
	retries  []time.Duration
	actions  []Action
	sends    int
}

// playStorm returns all actions of a storm and the number of its sends.
func playStorm(t *testing.T, seed uint64) ([]Action, int) {
	t.Helper()
	s := baseSettings()
	s.Classes = append(s.Classes,
		Class{LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: 2, Threads: 1,
			Idempotency: IdempotentWithKey, DeduplicationScope: ScopeCell, DeduplicationWindow: sec},
		Class{LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: 2, Threads: 1,
			Idempotency: NonIdempotent, OnlyZones: []int{1}, LocksTables: true})
	s.CancellationAllowed, s.GrantsSupported, s.PrioritiesSupported = true, true, true
	s.RetryBudget = &RetryBudget{MinRetries: 5, Ratio: 0.2, Window: 5 * sec}
	w := &storm{
		T: t, harness: startController(t, s, newEngines(6)), seed: seed, settings: s, random: splitMix64(seed),
		drained: map[uint32]time.Duration{}, requests: map[string]*stormRequest{},
	}
	for i := range 1500 {
		w.now += 10 * ms
		var events []Event
		if i < 1200 {
			events = append(events, w.arrive(i))
		}
		if i%100 == 50 {
			events = append(events, w.drainOrReturn())
		}
		events = append(events, w.endAttempts()...)
		w.check(w.step(append(events, Timer{Token: uint64(w.controller.housekeepingAt)})...))
		w.checkAnswered()
	}
	return w.actions, w.sends
}

func (w *storm) arrive(i int) Event {
	r := &stormRequest{Request: newRequest(fmt.Sprint("s", i), int(w.random.float64()*4)), attempt: -1}
	r.Timeout, r.Tenant, r.TableGroup = 3*sec, int(w.random.float64()*2), int(w.random.float64()*4)
	r.deadline = w.now + r.Timeout
	w.requests[r.ID] = r
	w.order = append(w.order, r)
	w.arrivals = append(w.arrivals, w.now)
	return r.Request
}

// drainOrReturn drains an engine, or brings it back if it is drained.
func (w *storm) drainOrReturn() Event {
	engine := newEngines(6)[int(w.random.float64()*6)]
	if engine.State = Draining; w.drained[engine.ID] > 0 {
		engine.State, engine.Started = Ready, w.now
		delete(w.drained, engine.ID)
	} else {
		w.drained[engine.ID] = w.now
	}
	return EndpointsChanged{Kind: Partial, Engines: []Engine{engine}}
}

// endAttempts ends some of the attempts in flight, and all whose time is over.
func (w *storm) endAttempts() (events []Event) {
	statuses := []Status{OK, OK, OK, OK, Errored, Overloaded, TimedOut, ConnectFailed, Reset}
	for _, r := range w.order {
		if !r.inFlight || (w.random.float64() > 0.08 && w.now < r.deadline) {
			continue
		}
		status := statuses[int(w.random.float64()*9)]
		if w.now >= r.deadline {
			status = TimedOut
		}
		r.inFlight = false
		if status == OK {
			r.answered = true
		} else if !status.NeverRan() && !r.mayHaveRun {
			r.mayHaveRun, r.mayHaveRunOn = true, w.controller.enginesByID[r.engine].Engine
			r.mayHaveRunSince = w.controller.requests[r.ID].attempts[r.attempt].sentAt
		}
		events = append(events, outcomeOf(Send{ID: r.ID, Engine: r.engine}, r.attempt, status))
	}
	return events
}

func (w *storm) check(actions []Action) {
	w.Helper()
	w.actions = append(w.actions, actions...)
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			w.checkSend(a)
		case Reject:
			w.checkReject(a)
		case Fail:
			if w.requests[a.ID].answered {
				w.Fatalf("seed %d: %s answered twice", w.seed, a.ID)
			}
			w.requests[a.ID].answered = true
		}
	}
}

func (w *storm) checkSend(a Send) {
	w.Helper()
	r := w.requests[a.ID]
	w.sends++
	engine := w.controller.enginesByID[a.Engine].Engine
	class := w.settings.Classes[r.Class]
	switch {
	case r.answered:
		w.Fatalf("seed %d: %s sent after its answer", w.seed, a.ID)
	case r.inFlight:
		w.Fatalf("seed %d: %s has two attempts in flight", w.seed, a.ID)
	case w.drained[a.Engine] > 0 && w.now > w.drained[a.Engine]+w.settings.DrainGrace:
		w.Fatalf("seed %d: %s sent to a drained engine", w.seed, a.ID)
	case len(class.OnlyZones) > 0 && engine.Zone != 1:
		w.Fatalf("seed %d: %s misplaced", w.seed, a.ID)
	case r.mayHaveRun && class.Idempotency == NonIdempotent:
		w.Fatalf("seed %d: non-idempotent %s may have run and is sent again", w.seed, a.ID)
	case r.mayHaveRun && class.Idempotency == IdempotentWithKey &&
		(engine.Cell != r.mayHaveRunOn.Cell || w.now >= r.mayHaveRunSince+class.DeduplicationWindow):
		w.Fatalf("seed %d: %s is sent again out of its scope or window", w.seed, a.ID)
	}
	if r.attempt++; r.attempt > 0 {
		w.retries = append(w.retries, w.now)
		retries, arrivals := since(w.retries, w.now-5*sec), since(w.arrivals, w.now-5*sec)
		if float64(retries) > 5+0.2*float64(arrivals) {
			w.Fatalf("seed %d: %d retries for %d arrivals", w.seed, retries, arrivals)
		}
	}
	r.inFlight, r.engine = true, a.Engine
}

func (w *storm) checkReject(a Reject) {
	w.Helper()
	r := w.requests[a.ID]
	idempotency := w.settings.Classes[r.Class].Idempotency
	if r.answered || (idempotency != Idempotent && (r.mayHaveRun || r.inFlight)) {
		w.Fatalf("seed %d: %s rejected wrongly", w.seed, a.ID)
	}
	r.answered = true
}

func (w *storm) checkAnswered() {
	w.Helper()
	for _, r := range w.order {
		if !r.answered && w.now > r.deadline+w.settings.DeadlineSlack {
			w.Fatalf("seed %d: %s has no answer in time %+v", w.seed, r.ID, w.controller.requests[r.ID])
		}
	}
}

func since(times []time.Duration, from time.Duration) (n int) {
	for _, at := range times {
		if at > from {
			n++
		}
	}
	return n
}
