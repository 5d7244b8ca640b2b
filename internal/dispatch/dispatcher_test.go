package dispatch

import (
	"log/slog"
	"strconv"
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

// scriptedController returns the actions that the test's decide function returns.
type scriptedController struct {
	decide func(events []admission.Event) []admission.Action
}

func (s scriptedController) Step(_ time.Duration, events []admission.Event) []admission.Action {
	return s.decide(events)
}

// fakeEngines counts the attempts that it is asked to start and to cancel.
type fakeEngines struct {
	started, cancelled int
	terms              admission.Terms // of the latest Start
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

func newExchange(timeout time.Duration) *exchange.Exchange {
	return exchange.New(exchange.Request{ID: "a", Timeout: timeout}, time.Now())
}

// requireBreach checks that breach violates the named invariant: it either panics, as in a debug build, or counts one
// violation, as in a release build.
func requireBreach(t *testing.T, c *invariant.Counters, name string, breach func()) {
	t.Helper()
	panicked := func() (panicked bool) {
		defer func() { panicked = recover() != nil }()
		breach()
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

// The analysis of a release uses the counter served_late, since a release may be slow without any other fault.
func TestAnswersAfterLatencyObjectiveAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		elapsed, work time.Duration
		late          int64
	}{
		"within the objective":                  {900 * time.Millisecond, 0, 0},
		"after the objective":                   {1100 * time.Millisecond, 0, 1},
		"within the objective extended by work": {1100 * time.Millisecond, 400 * time.Millisecond, 0},
		"after the objective extended by work":  {1500 * time.Millisecond, 400 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d, _, counters := newDispatcher(func(ev []admission.Event) []admission.Action {
				if _, ok := ev[0].(admission.Request); ok {
					return []admission.Action{admission.Send{ID: "a"}}
				}
				return nil
			})
			d.classes = []admission.Class{{LatencyObjective: time.Second, ObjectivePerWork: 2, Threads: 2}}
			x := exchange.New(exchange.Request{ID: "a", Timeout: time.Hour}, time.Now().Add(-c.elapsed))
			d.step([]message{requestAccepted{x}})
			outcome := admission.Outcome{ID: "a", Status: admission.OK, Work: c.work}
			d.step([]message{&attemptDone{exchange: x, outcome: outcome}})
			assert.EqualValues(t, 1, counters.Get("served"))
			assert.Equal(t, c.late, counters.Get("served_late"))
		})
	}
}

// An attempt is sent with the priority and the memory that the controller has accounted for.
func TestTermsAreSentWithTheAttempt(t *testing.T) {
	x := newExchange(time.Hour)
	x.Retry = true
	d, e, _ := newDispatcher(func(ev []admission.Event) []admission.Action {
		assert.True(t, ev[0].(admission.Request).Retry, "the client's retry flag is passed to the controller")
		return []admission.Action{admission.Terms{ID: "a", Priority: 2, GrantMB: 144}, admission.Send{ID: "a"}}
	})
	d.step([]message{requestAccepted{x}})
	assert.Equal(t, admission.Terms{ID: "a", Priority: 2, GrantMB: 144}, e.terms)
}

func TestNonIdempotentRequestThatMayHaveRunIsNotRejected(t *testing.T) {
	x := newExchange(time.Hour)
	d, _, c := newDispatcher(func(ev []admission.Event) []admission.Action {
		if r, ok := ev[0].(admission.Request); ok {
			assert.Less(t, r.Timeout, x.Timeout-answerMargin/2, "the controller's timeout leaves time to send the answer")
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

func TestControllerPanicDoesNotEndReleaseBuild(t *testing.T) {
	d, _, c := newDispatcher(func([]admission.Event) []admission.Action { panic("fault") })
	x := newExchange(50 * time.Millisecond)
	requireBreach(t, c, "controller_panic", func() { d.step([]message{requestAccepted{x}}) })
	d.controller = scriptedController{func([]admission.Event) []admission.Action { return nil }}
	select {
	case <-x.Done(): // settled by the deadline timer
	case <-time.After(10 * time.Second):
		require.Fail(t, "request with a timeout of 50 ms was not answered within 10 s")
	}
	d.mu.Lock()
	queued := d.queue
	d.queue = nil
	d.mu.Unlock()
	d.step(queued)
	assert.Equal(t, exchange.Failed, x.Answer().Kind)
	assert.True(t, time.Now().Before(x.Deadline().Add(time.Second)))
}

// panickingController steps another controller. It panics after each step for which panics returns true, and so loses
// the actions of that step.
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

// A panic loses the step that sets the controller's only timer, and no other message arrives. The queued request must
// still be rejected once it can no longer be served, long before its deadline.
func TestControllerPanicLosesNoTimer(t *testing.T) {
	counters := &invariant.Counters{}
	if !func() (releaseBuild bool) {
		defer func() { releaseBuild = recover() == nil }()
		return counters.Hold(false, "an invariant of this test")
	}() {
		t.Skip("a debug build ends at a controller panic")
	}
	controller, err := admission.New(admission.Settings{Replicas: 1, MaxAttempts: 1, Classes: []admission.Class{
		{LatencyObjective: 6 * time.Second, Deadline: time.Minute, PriorityWeight: 1, LateWeight: 0.5},
	}}, 1)
	require.NoError(t, err)
	var faults atomic.Int32
	start := time.Now()
	d := New(&panickingController{controller, func(events []admission.Event) bool {
		for _, ev := range events {
			// By 500 ms the timers set at the start have fired. The next timer event's step sets the only remaining timer.
			if _, ok := ev.(admission.Timer); ok && time.Since(start) > 500*time.Millisecond {
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

func TestOutcomeAfterDisconnectSettlesNothing(t *testing.T) {
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
	require.Len(t, d.queue, 1, "the disconnect is reported to the controller once")
	d.step(d.queue)
	assert.Equal(t, 1, e.cancelled)
	assert.Len(t, d.open, 1, "the request stays open while its attempt is in flight")
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
	assert.False(t, accept("a", "SELECT 1").Settled(),
		"a client may resend the same request after its connection was closed")
	delete(d.open, "a")
	accept("b", "SELECT 1")
	x := accept("a", "SELECT 2")
	require.True(t, x.Settled())
	assert.Equal(t, exchange.Failed, x.Answer().Kind)
	assert.EqualValues(t, 1, c.Get("reused_id"))
	assert.Equal(t, 3, events)
	for range 2 { // replace both generations
		d.recent.currentSince = time.Now().Add(-2 * idRetention)
		accept("c", "SELECT 1")
		delete(d.open, "c")
	}
	assert.False(t, accept("a", "SELECT 2").Settled(), "an id is forgotten after two generations")
	assert.LessOrEqual(t, len(d.recent.current)+len(d.recent.previous), 3)
}

func TestShutdownAnswersAllRequestsInTime(t *testing.T) {
	var timeouts []time.Duration
	d, _, _ := newDispatcher(func(ev []admission.Event) []admission.Action {
		for _, ev := range ev {
			switch ev := ev.(type) {
			case admission.ShutdownRequested:
				timeouts = append(timeouts, ev.Timeout)
			case admission.Request:
				timeouts = append(timeouts, ev.Timeout)
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
	require.Len(t, timeouts, 3)
	assert.Equal(t, 50*time.Millisecond, timeouts[1])
	assert.LessOrEqual(t, timeouts[2], 50*time.Millisecond, "a later request gets no more time than the shutdown")
	for !early.Settled() || !late.Settled() {
		<-d.wake
		d.mu.Lock()
		queued := d.queue
		d.queue = nil
		d.mu.Unlock()
		d.step(queued)
	}
	<-early.Done() // Settled may be true before the answer is set: the timer settles on its own goroutine
	assert.Equal(t, exchange.Failed, early.Answer().Kind)
}

// A request is answered at its deadline even while a step of the controller is running.
func TestDeadlineDoesNotWaitForStep(t *testing.T) {
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
	assert.Equal(t, 1, e.started, "the attempt is started; the engine client does not send the query of a settled request")
}

// Guards against memory that grows with every new request ID.
func TestRecentIDsAreBounded(t *testing.T) {
	const limit = 100
	ids := newRecentIDs(limit)
	for i := range 10 * limit {
		id := strconv.Itoa(i)
		require.True(t, ids.add(exchange.New(exchange.Request{ID: id}, time.Now())))
		require.LessOrEqual(t, len(ids.current)+len(ids.previous), 2*limit)
		require.True(t, ids.contains(strconv.Itoa(max(0, i-limit))), "the last IDs are remembered")
	}
	assert.False(t, ids.contains("0"))
}

// Guards against a request that runs again when its ID comes again after its client has left.
func TestIDOfARequestThatMayHaveRunIsNotAcceptedAgain(t *testing.T) {
	for status, wantFailed := range map[admission.Status]bool{
		admission.OK: true, admission.Cancelled: true, admission.Reset: true, admission.TimedOut: true,
		admission.Errored: true, admission.Overloaded: false, admission.NotSent: false, admission.ConnectFailed: false,
	} {
		d, _, c := newDispatcher(func(events []admission.Event) (actions []admission.Action) {
			for _, ev := range events {
				if request, ok := ev.(admission.Request); ok {
					actions = append(actions, admission.Send{ID: request.ID})
				}
			}
			return actions
		})
		x := newExchange(time.Hour)
		d.step([]message{requestAccepted{x}})
		d.ClientGone(x)
		d.step([]message{&attemptDone{exchange: x, outcome: admission.Outcome{ID: "a", Status: status}}})
		require.Empty(t, d.open)
		again := newExchange(time.Hour)
		d.step([]message{requestAccepted{again}})
		assert.Equal(t, wantFailed, again.Settled(), "status %d", status)
		if wantFailed {
			assert.Equal(t, exchange.Failed, again.Answer().Kind)
			assert.EqualValues(t, 1, c.Get("repeated_id"))
		}
	}
}
