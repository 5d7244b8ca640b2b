package dispatch

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/endpoints"
	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
)

// scriptedController answers each step by a function of the test.
type scriptedController struct {
	decide func(events []admission.Event) []admission.Action
}

func (s scriptedController) Step(_ time.Duration, events []admission.Event) []admission.Action {
	return s.decide(events)
}

// fakeEngines counts what it is asked to do.
type fakeEngines struct {
	started, cancelled int
	terms              admission.Terms // of the last start
}

func (e *fakeEngines) Update(endpoints.List) {}
func (e *fakeEngines) Start(
	_ *exchange.Exchange, _ int, _ uint32, terms admission.Terms, _ time.Duration, _ time.Time,
) {
	e.started++
	e.terms = terms
}
func (e *fakeEngines) Cancel(string, int) { e.cancelled++ }
func (e *fakeEngines) CheckHealth(uint32) {}
func (e *fakeEngines) CloseIdle(uint32)   {}

func newDispatcher(decide func([]admission.Event) []admission.Action) (*Dispatcher, *fakeEngines, *invariant.Counters) {
	c, e := &invariant.Counters{}, &fakeEngines{}
	classes := []admission.Class{{Idempotency: admission.NonIdempotent}}
	d := New(scriptedController{decide}, classes, c, slog.New(slog.DiscardHandler))
	d.engines = e
	return d, e, c
}

func newExchange(left time.Duration) *exchange.Exchange {
	return exchange.New(exchange.Request{ID: "a", Timeout: left}, time.Now())
}

// requireBreach runs what breaks an invariant: a debug build panics, a release build counts it.
func requireBreach(t *testing.T, c *invariant.Counters, name string, do func()) {
	t.Helper()
	panicked := func() (panicked bool) {
		defer func() { panicked = recover() != nil }()
		do()
		return false
	}()
	if !panicked {
		assert.EqualValues(t, 1, c.Get("broken_"+name))
	}
}

func TestAtMostOneAttemptInFlight(t *testing.T) {
	d, e, c := newDispatcher(func(ev []admission.Event) []admission.Action {
		return []admission.Action{admission.Send{ID: "a"}, admission.Send{ID: "a"}}
	})
	requireBreach(t, c, "two_attempts", func() { d.step([]message{requestAccepted{newExchange(time.Hour)}}) })
	assert.Equal(t, 1, e.started)
}

// The analysis of a release counts these: a revision may be slow and have no other fault.
func TestAnswersPastTheLatencyObjectiveAreCounted(t *testing.T) {
	for name, k := range map[string]struct {
		waited, work time.Duration
		late         int64
	}{
		"within the objective":             {900 * time.Millisecond, 0, 0},
		"past the objective":               {1100 * time.Millisecond, 0, 1},
		"within the objective of its work": {1100 * time.Millisecond, 400 * time.Millisecond, 0},
		"past the objective of its work":   {1500 * time.Millisecond, 400 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d, _, c := newDispatcher(func(ev []admission.Event) []admission.Action {
				if _, ok := ev[0].(admission.Request); ok {
					return []admission.Action{admission.Send{ID: "a"}}
				}
				return nil
			})
			d.classes = []admission.Class{{LatencyObjective: time.Second, ObjectivePerWork: 2, Threads: 2}}
			x := exchange.New(exchange.Request{ID: "a", Timeout: time.Hour}, time.Now().Add(-k.waited))
			d.step([]message{requestAccepted{x}})
			outcome := admission.Outcome{ID: "a", Status: admission.OK, Work: k.work}
			d.step([]message{&attemptDone{exchange: x, outcome: outcome}})
			assert.EqualValues(t, 1, c.Get("served"))
			assert.Equal(t, k.late, c.Get("served_late"))
		})
	}
}

// The engine gets the priority and the memory that the controller has accounted for.
func TestTermsAreSentWithTheAttempt(t *testing.T) {
	x := newExchange(time.Hour)
	x.Retry = true
	d, e, _ := newDispatcher(func(ev []admission.Event) []admission.Action {
		assert.True(t, ev[0].(admission.Request).Retry, "the client's mark of a retry")
		return []admission.Action{admission.Terms{ID: "a", Priority: 2, GrantMB: 144}, admission.Send{ID: "a"}}
	})
	d.step([]message{requestAccepted{x}})
	assert.Equal(t, admission.Terms{ID: "a", Priority: 2, GrantMB: 144}, e.terms)
}

func TestNonIdempotentRequestThatMayHaveRunIsNotRejected(t *testing.T) {
	x := newExchange(time.Hour)
	d, _, c := newDispatcher(func(ev []admission.Event) []admission.Action {
		if r, ok := ev[0].(admission.Request); ok {
			assert.Less(t, r.Timeout, x.Timeout-answerMargin/2, "the answer needs some of the time itself")
		}
		if _, ok := ev[0].(admission.Outcome); ok {
			return []admission.Action{admission.Reject{ID: "a"}}
		}
		return []admission.Action{admission.Send{ID: "a"}}
	})
	d.step([]message{requestAccepted{x}})
	requireBreach(t, c, "refused_in_doubt", func() {
		d.step([]message{&attemptDone{exchange: x, outcome: admission.Outcome{ID: "a", Status: admission.Reset}}})
	})
	assert.False(t, x.Settled() && x.Answer().Kind == exchange.Rejected)
}

func TestControllerPanicDoesNotEndAReleaseBuild(t *testing.T) {
	d, _, c := newDispatcher(func([]admission.Event) []admission.Action { panic("fault") })
	x := newExchange(50 * time.Millisecond)
	requireBreach(t, c, "controller_panic", func() { d.step([]message{requestAccepted{x}}) })
	d.controller = scriptedController{func([]admission.Event) []admission.Action { return nil }}
	select {
	case <-x.Done(): // by its deadline's own timer
	case <-time.After(10 * time.Second):
		require.Fail(t, "it is not answered before its client stops waiting")
	}
	d.mu.Lock()
	in := d.queue
	d.queue = nil
	d.mu.Unlock()
	d.step(in)
	assert.Equal(t, exchange.Failed, x.Answer().Kind)
	assert.True(t, time.Now().Before(x.Deadline().Add(time.Second)))
}

// panickingController steps another controller, and panics after the steps that a test names: their actions are lost.
type panickingController struct {
	Controller
	panics func(events []admission.Event) bool
}

func (p *panickingController) Step(now time.Duration, events []admission.Event) []admission.Action {
	actions := p.Controller.Step(now, events)
	if p.panics(events) {
		panic("fault")
	}
	return actions
}

// The step that set the controller's timer is lost, and no other message comes in. The queued request is still rejected
// once it can no longer be served, long before its deadline.
func TestControllerPanicLosesNoTimer(t *testing.T) {
	counters := &invariant.Counters{}
	if !func() (goesOn bool) {
		defer func() { goesOn = recover() == nil }()
		return counters.Hold(false, "a broken invariant")
	}() {
		t.Skip("a debug build ends with the panic")
	}
	ctl, err := admission.New(admission.Settings{Replicas: 1, MaxAttempts: 1, Classes: []admission.Class{
		{LatencyObjective: 6 * time.Second, Deadline: time.Minute, PriorityWeight: 1, LateWeight: 0.5},
	}}, 1)
	require.NoError(t, err)
	var faults atomic.Int32
	began := time.Now()
	d := New(&panickingController{ctl, func(events []admission.Event) bool {
		for _, ev := range events {
			// The step that sets the next timer, once those of the start have come and only one is left.
			if _, ok := ev.(admission.Timer); ok && time.Since(began) > 500*time.Millisecond {
				return faults.Add(1) == 1
			}
		}
		return false
	}}, []admission.Class{{}}, counters, slog.New(slog.DiscardHandler))
	stop := make(chan struct{})
	defer close(stop)
	go d.Run(&fakeEngines{}, stop)
	x := newExchange(3 * time.Second)
	d.Accept(x)
	<-x.Done()
	assert.Equal(t, exchange.Rejected, x.Answer().Kind, x.Answer().Reason)
	assert.Positive(t, faults.Load())
}

func TestLateOutcomeSettlesNothing(t *testing.T) {
	var closed []bool
	d, e, c := newDispatcher(func(ev []admission.Event) (acts []admission.Action) {
		for _, ev := range ev {
			switch ev := ev.(type) {
			case admission.Request:
				acts = append(acts, admission.Send{ID: "a"})
			case admission.ClientDisconnected:
				acts = append(acts, admission.Cancel{ID: "a"})
			case admission.Outcome:
				closed = append(closed, ev.Closed)
			}
		}
		return acts
	})
	x := newExchange(time.Hour)
	d.step([]message{requestAccepted{x}})
	d.ClientGone(x)
	d.ClientGone(x)
	require.Len(t, d.queue, 1, "a client is gone once")
	d.step(d.queue)
	assert.Equal(t, 1, e.cancelled)
	assert.Len(t, d.open, 1, "the id stays known while its attempt is in flight")
	d.step([]message{&attemptDone{exchange: x, outcome: admission.Outcome{ID: "a", Status: admission.OK}}})
	assert.Equal(t, []bool{true}, closed)
	assert.Equal(t, exchange.ClientGone, x.Answer().Kind)
	assert.EqualValues(t, 1, c.Get("served_too_late"))
	assert.Empty(t, d.open)
}

func TestIDIsNotReusedForAnotherStatement(t *testing.T) {
	var events int
	d, _, c := newDispatcher(func(ev []admission.Event) []admission.Action {
		events += len(ev)
		return nil
	})
	accept := func(id, statement string) *exchange.Exchange {
		x := exchange.New(exchange.Request{ID: id, Timeout: time.Hour, Statement: []byte(statement)}, time.Now())
		d.step([]message{requestAccepted{x}})
		return x
	}
	accept("a", "SELECT 1").Settle(exchange.Answer{Kind: exchange.ClientGone})
	delete(d.open, "a")
	assert.False(t, accept("a", "SELECT 1").Settled(), "a client resends what crossed a close")
	delete(d.open, "a")
	accept("b", "SELECT 1")
	x := accept("a", "SELECT 2")
	require.True(t, x.Settled())
	assert.Equal(t, exchange.Failed, x.Answer().Kind)
	assert.EqualValues(t, 1, c.Get("reused_id"))
	assert.Equal(t, 3, events)
	for range 2 { // both generations pass
		d.recent.currentSince = time.Now().Add(-2 * rememberIDsFor)
		accept("c", "SELECT 1")
		delete(d.open, "c")
	}
	assert.False(t, accept("a", "SELECT 2").Settled(), "an old id is forgotten")
	assert.LessOrEqual(t, len(d.recent.current)+len(d.recent.previous), 3)
}

func TestShutdownAnswersAllInTime(t *testing.T) {
	var left []time.Duration
	d, _, _ := newDispatcher(func(ev []admission.Event) []admission.Action {
		for _, ev := range ev {
			switch ev := ev.(type) {
			case admission.ShutdownRequested:
				left = append(left, ev.Timeout)
			case admission.Request:
				left = append(left, ev.Timeout)
			}
		}
		return nil
	})
	early, late := newExchange(time.Hour), newExchange(time.Hour)
	late.ID = "b"
	d.step([]message{requestAccepted{early}})
	d.Shutdown(50 * time.Millisecond)
	d.step([]message{d.queue[0], requestAccepted{late}})
	d.queue = nil
	require.Len(t, left, 3)
	assert.Equal(t, 50*time.Millisecond, left[1])
	assert.LessOrEqual(t, left[2], 50*time.Millisecond, "what comes later has no more time")
	for !early.Settled() || !late.Settled() {
		<-d.wake
		d.mu.Lock()
		in := d.queue
		d.queue = nil
		d.mu.Unlock()
		d.step(in)
	}
	<-early.Done() // the timer settles on its own goroutine: the answer may follow a moment after Settled
	assert.Equal(t, exchange.Failed, early.Answer().Kind)
}

// A request is answered at its deadline while a step of the controller takes long.
func TestDeadlineDoesNotWaitForAStep(t *testing.T) {
	inStep, release := make(chan struct{}), make(chan struct{})
	d, e, _ := newDispatcher(func(ev []admission.Event) []admission.Action {
		if len(ev) == 0 {
			return nil
		}
		close(inStep)
		<-release
		return []admission.Action{admission.Send{ID: "a"}}
	})
	x := newExchange(50 * time.Millisecond)
	stepped := make(chan struct{})
	go func() {
		defer close(stepped)
		d.step([]message{requestAccepted{x}})
	}()
	<-inStep
	<-x.Done()
	assert.Equal(t, exchange.Failed, x.Answer().Kind)
	close(release)
	<-stepped
	assert.Equal(t, 1, e.started, "the engine client sees that the request is settled, and sends nothing")
}
