package admission

import (
	"fmt"
	"testing"
	"time"
)

// trackedRequest is the state of one request as the invariant checks see it.
type trackedRequest struct {
	Request
	deadline        time.Duration
	inFlight        bool // whether an attempt is in flight
	engine          uint32
	attempt         int
	answered        bool
	mayHaveRun      bool
	mayHaveRunSince time.Duration
	mayHaveRunOn    Engine
}

// randomRun sends random events to a controller and checks the invariants on each action.
type randomRun struct {
	*testing.T
	*harness
	seed     uint64
	settings Settings
	random   splitMix64
	drained  map[uint32]time.Duration // when the drain of an engine was listed, by engine ID
	requests map[string]*trackedRequest
	order    []*trackedRequest
	arrivals []time.Duration
	retries  []time.Duration
	actions  []Action
	sends    int
}

// playRandomRun makes a randomRun and returns its actions and the number of sends among them.
func playRandomRun(t *testing.T, seed uint64) ([]Action, int) {
	t.Helper()
	s := baseSettings()
	s.Classes = append(s.Classes,
		Class{LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: 2, Threads: 1,
			Idempotency: IdempotentWithKey, DeduplicationScope: ScopeCell, DeduplicationWindow: sec},
		Class{LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: 2, Threads: 1,
			Idempotency: NonIdempotent, OnlyZones: []int{1}, LocksTables: true})
	s.CancellationAllowed, s.GrantsSupported, s.PrioritiesSupported = true, true, true
	s.RetryBudget = &RetryBudget{MinRetries: 5, Ratio: 0.2, Window: 5 * sec}
	run := &randomRun{
		T: t, harness: startController(t, s, newEngines(6)), seed: seed, settings: s, random: splitMix64(seed),
		drained: map[uint32]time.Duration{}, requests: map[string]*trackedRequest{},
	}
	for i := range 1500 {
		run.now += 10 * ms
		var events []Event
		if i < 1200 {
			events = append(events, run.arrive(i))
		}
		if i%100 == 50 {
			events = append(events, run.drainOrReturn())
		}
		events = append(events, run.endAttempts()...)
		run.check(run.step(append(events, Timer{Token: uint64(run.controller.housekeepingAt)})...))
		run.checkAnswered()
	}
	return run.actions, run.sends
}

func (run *randomRun) arrive(i int) Event {
	request := &trackedRequest{Request: newRequest(fmt.Sprint("s", i), int(run.random.float64()*4)), attempt: -1}
	request.Timeout, request.Tenant, request.TableGroup = 3*sec, int(run.random.float64()*2), int(run.random.float64()*4)
	request.deadline = run.now + request.Timeout
	run.requests[request.ID] = request
	run.order = append(run.order, request)
	run.arrivals = append(run.arrivals, run.now)
	return request.Request
}

// drainOrReturn drains a random engine, or makes the engine ready again with a new start time if it is drained.
func (run *randomRun) drainOrReturn() Event {
	engine := newEngines(6)[int(run.random.float64()*6)]
	if engine.State = Draining; run.drained[engine.ID] > 0 {
		engine.State, engine.Started = Ready, run.now
		delete(run.drained, engine.ID)
	} else {
		run.drained[engine.ID] = run.now
	}
	return EndpointsChanged{Kind: Partial, Engines: []Engine{engine}}
}

// endAttempts returns outcomes of some of the attempts in flight, and of all whose request is past its deadline.
func (run *randomRun) endAttempts() (events []Event) {
	statuses := []Status{OK, OK, OK, OK, Errored, Overloaded, TimedOut, ConnectFailed, Reset}
	for _, r := range run.order {
		if !r.inFlight || (run.random.float64() > 0.08 && run.now < r.deadline) {
			continue
		}
		status := statuses[int(run.random.float64()*9)]
		if run.now >= r.deadline {
			status = TimedOut
		}
		r.inFlight = false
		if status == OK {
			r.answered = true
		} else if !status.NeverRan() && !r.mayHaveRun {
			r.mayHaveRun, r.mayHaveRunOn = true, run.controller.enginesByID[r.engine].Engine
			r.mayHaveRunSince = run.controller.requests[r.ID].attempts[r.attempt].sentAt
		}
		events = append(events, outcomeOf(Send{ID: r.ID, Engine: r.engine}, r.attempt, status))
	}
	return events
}

func (run *randomRun) check(actions []Action) {
	run.Helper()
	run.actions = append(run.actions, actions...)
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			run.checkSend(a)
		case Reject:
			run.checkReject(a)
		case Fail:
			if run.requests[a.ID].answered {
				run.Fatalf("seed %d: %s has two final answers", run.seed, a.ID)
			}
			run.requests[a.ID].answered = true
		}
	}
}

func (run *randomRun) checkSend(a Send) {
	run.Helper()
	r := run.requests[a.ID]
	run.sends++
	engine := run.controller.enginesByID[a.Engine].Engine
	class := run.settings.Classes[r.Class]
	switch {
	case r.answered:
		run.Fatalf("seed %d: %s sent after its final answer", run.seed, a.ID)
	case r.inFlight:
		run.Fatalf("seed %d: %s has two attempts in flight", run.seed, a.ID)
	case run.drained[a.Engine] > 0 && run.now > run.drained[a.Engine]+run.settings.DrainGrace:
		run.Fatalf("seed %d: %s sent to a drained engine after DrainGrace", run.seed, a.ID)
	case len(class.OnlyZones) > 0 && engine.Zone != 1:
		run.Fatalf("seed %d: %s sent outside the zones of its class", run.seed, a.ID)
	case r.mayHaveRun && class.Idempotency == NonIdempotent:
		run.Fatalf("seed %d: non-idempotent %s sent again although it may have run", run.seed, a.ID)
	case r.mayHaveRun && class.Idempotency == IdempotentWithKey &&
		(engine.Cell != r.mayHaveRunOn.Cell || run.now >= r.mayHaveRunSince+class.DeduplicationWindow):
		run.Fatalf("seed %d: %s sent again outside its deduplication scope or window", run.seed, a.ID)
	}
	if r.attempt++; r.attempt > 0 {
		run.retries = append(run.retries, run.now)
		retries, arrivals := countAfter(run.retries, run.now-5*sec), countAfter(run.arrivals, run.now-5*sec)
		if float64(retries) > 5+0.2*float64(arrivals) {
			run.Fatalf("seed %d: %d retries for %d arrivals exceed the retry budget", run.seed, retries, arrivals)
		}
	}
	r.inFlight, r.engine = true, a.Engine
}

func (run *randomRun) checkReject(a Reject) {
	run.Helper()
	r := run.requests[a.ID]
	idempotency := run.settings.Classes[r.Class].Idempotency
	if r.answered || (idempotency != Idempotent && (r.mayHaveRun || r.inFlight)) {
		run.Fatalf("seed %d: %s rejected after its final answer, or although it may run", run.seed, a.ID)
	}
	r.answered = true
}

func (run *randomRun) checkAnswered() {
	run.Helper()
	for _, r := range run.order {
		if !r.answered && run.now > r.deadline+run.settings.DeadlineSlack {
			run.Fatalf("seed %d: %s has no final answer by its deadline: %+v", run.seed, r.ID, run.controller.requests[r.ID])
		}
	}
}

func countAfter(times []time.Duration, from time.Duration) (n int) {
	for _, at := range times {
		if at > from {
			n++
		}
	}
	return n
}
