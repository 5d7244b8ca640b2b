package dispatch

import (
	"io"
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

// script is a controller that answers each step as it is told to.
type script struct {
	decide func(events []admission.Event) []admission.Action
}

func (s script) Step(_ time.Duration, events []admission.Event) []admission.Action {
	return s.decide(events)
}

type engines struct {
	started, cancelled int
	terms              admission.Terms // of the last start
}

func (e *engines) Update(endpoints.List) {}
func (e *engines) Start(_ *exchange.Exchange, _ int, _ uint32, terms admission.Terms, _ time.Duration, _ time.Time) {
	e.started++
	e.terms = terms
}
func (e *engines) Cancel(string, int) { e.cancelled++ }
func (e *engines) CheckHealth(uint32) {}
func (e *engines) CloseIdle(uint32)   {}

func newPlanner(decide func([]admission.Event) []admission.Action) (*Dispatcher, *engines, *invariant.Counters) {
	c, e := &invariant.Counters{}, &engines{}
	p := New(script{decide}, []admission.Class{{Idempotency: admission.NonIdempotent}}, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	p.engines = e
	return p, e, c
}

func request(left time.Duration) *exchange.Exchange {
	return exchange.New(exchange.Request{ID: "a", Timeout: left}, time.Now())
}

// breach runs what breaks an invariant: a debug build stops there, a release build counts it.
func breach(t *testing.T, c *invariant.Counters, name string, do func()) {
	stopped := func() (stopped bool) {
		defer func() { stopped = recover() != nil }()
		do()
		return false
	}()
	if !stopped {
		assert.EqualValues(t, 1, c.Get("broken_"+name))
	}
}

func TestNeverTwoAttemptsOut(t *testing.T) {
	p, e, c := newPlanner(func(ev []admission.Event) []admission.Action {
		return []admission.Action{admission.Send{ID: "a"}, admission.Send{ID: "a"}}
	})
	breach(t, c, "two_attempts", func() { p.step([]input{{kind: taken, x: request(time.Hour)}}) })
	assert.Equal(t, 1, e.started)
}

// Guards against a revision that is slow and nothing else: a release is judged by these counts.
func TestLateAnswersAreCounted(t *testing.T) {
	for name, k := range map[string]struct {
		waited, work time.Duration
		late         int64
	}{
		"within its aim":                 {900 * time.Millisecond, 0, 0},
		"past its aim":                   {1100 * time.Millisecond, 0, 1},
		"its work stretches its aim":     {1100 * time.Millisecond, 400 * time.Millisecond, 0},
		"past the aim that its work has": {1500 * time.Millisecond, 400 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, _, c := newPlanner(func(ev []admission.Event) []admission.Action {
				if _, ok := ev[0].(admission.Request); ok {
					return []admission.Action{admission.Send{ID: "a"}}
				}
				return nil
			})
			p.classes = []admission.Class{{LatencyObjective: time.Second, ObjectivePerWork: 2, Threads: 2}}
			x := exchange.New(exchange.Request{ID: "a", Timeout: time.Hour}, time.Now().Add(-k.waited))
			p.step([]input{{kind: taken, x: x}})
			p.step([]input{{kind: ended, x: x, ev: admission.Outcome{ID: "a", Status: admission.OK, Work: k.work}}})
			assert.EqualValues(t, 1, c.Get("served"))
			assert.Equal(t, k.late, c.Get("served_late"))
		})
	}
}

// Guards against terms that the controller counts on and the engine never hears of.
func TestTermsGoOutWithTheAttempt(t *testing.T) {
	x := request(time.Hour)
	x.Retry = true
	p, e, _ := newPlanner(func(ev []admission.Event) []admission.Action {
		assert.True(t, ev[0].(admission.Request).Retry, "the client's mark is lost")
		return []admission.Action{admission.Terms{ID: "a", Priority: 2, GrantMB: 144}, admission.Send{ID: "a"}}
	})
	p.step([]input{{kind: taken, x: x}})
	assert.Equal(t, admission.Terms{ID: "a", Priority: 2, GrantMB: 144}, e.terms)
}

func TestNoRefusalOfAnUnsafeRequestInDoubt(t *testing.T) {
	x := request(time.Hour)
	p, _, c := newPlanner(func(ev []admission.Event) []admission.Action {
		if r, ok := ev[0].(admission.Request); ok {
			assert.Less(t, r.Timeout, x.Timeout-answerMargin/2, "the answer needs some of the time itself")
		}
		if _, ok := ev[0].(admission.Outcome); ok {
			return []admission.Action{admission.Reject{ID: "a"}}
		}
		return []admission.Action{admission.Send{ID: "a"}}
	})
	p.step([]input{{kind: taken, x: x}})
	breach(t, c, "refused_in_doubt", func() {
		p.step([]input{{kind: ended, x: x, ev: admission.Outcome{ID: "a", Status: admission.Reset}}})
	})
	assert.False(t, x.Settled() && x.Answer().Kind == exchange.Rejected)
}

func TestAFaultOfTheControllerEndsNoReleaseBuild(t *testing.T) {
	p, _, c := newPlanner(func([]admission.Event) []admission.Action { panic("fault") })
	x := request(50 * time.Millisecond)
	breach(t, c, "controller_panic", func() { p.step([]input{{kind: taken, x: x}}) })
	p.ctl = script{func([]admission.Event) []admission.Action { return nil }}
	select {
	case <-x.Done(): // by its deadline's own timer
	case <-time.After(10 * time.Second):
		require.Fail(t, "it is not answered before its client stops waiting")
	}
	p.mu.Lock()
	in := p.queue
	p.queue = nil
	p.mu.Unlock()
	p.step(in)
	assert.Equal(t, exchange.Failed, x.Answer().Kind)
	assert.True(t, time.Now().Before(x.Deadline().Add(time.Second)))
}

// faulty is a controller that does as it should, and then panics where it is told to: what it decided is lost.
type faulty struct {
	Controller
	fault func(events []admission.Event) bool
}

func (f *faulty) Step(now time.Duration, events []admission.Event) []admission.Action {
	acts := f.Controller.Step(now, events)
	if f.fault(events) {
		panic("fault")
	}
	return acts
}

// The step that set the controller's timer is lost. Nothing else comes in, and still what waits is looked at: it is refused once it
// can't be served any more, long before its time is over.
func TestAFaultOfTheControllerLosesNoTimer(t *testing.T) {
	counters := &invariant.Counters{}
	if !func() (goesOn bool) {
		defer func() { goesOn = recover() == nil }()
		return counters.Hold(false, "what a debug build stops at")
	}() {
		t.Skip("a debug build stops at a fault")
	}
	ctl, err := admission.New(admission.Settings{Replicas: 1, MaxAttempts: 1, Classes: []admission.Class{
		{LatencyObjective: 6 * time.Second, Deadline: time.Minute, PriorityWeight: 1, LateWeight: 0.5},
	}}, 1)
	require.NoError(t, err)
	var faults atomic.Int32
	began := time.Now()
	p := New(&faulty{ctl, func(events []admission.Event) bool {
		for _, ev := range events {
			// The step that sets the next timer, once those of the start have come and only one is left.
			if _, ok := ev.(admission.Timer); ok && time.Since(began) > 500*time.Millisecond {
				return faults.Add(1) == 1
			}
		}
		return false
	}}, []admission.Class{{}}, counters, slog.New(slog.NewTextHandler(io.Discard, nil)))
	stop := make(chan struct{})
	defer close(stop)
	go p.Run(&engines{}, stop)
	x := request(3 * time.Second)
	p.Accept(x)
	<-x.Done()
	assert.Equal(t, exchange.Rejected, x.Answer().Kind, x.Answer().Reason)
	assert.Positive(t, faults.Load())
}

func TestALateOutcomeSettlesNothing(t *testing.T) {
	var closed []bool
	p, e, c := newPlanner(func(ev []admission.Event) (acts []admission.Action) {
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
	x := request(time.Hour)
	p.step([]input{{kind: taken, x: x}})
	p.ClientGone(x)
	p.ClientGone(x)
	require.Len(t, p.queue, 1, "a client leaves once")
	p.step(p.queue)
	assert.Equal(t, 1, e.cancelled)
	assert.Len(t, p.open, 1, "the id is held while its attempt is out")
	p.step([]input{{kind: ended, x: x, ev: admission.Outcome{ID: "a", Status: admission.OK}}})
	assert.Equal(t, []bool{true}, closed)
	assert.Equal(t, exchange.ClientGone, x.Answer().Kind)
	assert.EqualValues(t, 1, c.Get("served_too_late"))
	assert.Empty(t, p.open)
}

func TestAnIdIsNotUsedForAnotherStatement(t *testing.T) {
	var told int
	p, _, c := newPlanner(func(ev []admission.Event) []admission.Action {
		told += len(ev)
		return nil
	})
	ask := func(id, statement string) *exchange.Exchange {
		x := exchange.New(exchange.Request{ID: id, Timeout: time.Hour, Statement: []byte(statement)}, time.Now())
		p.step([]input{{kind: taken, x: x}})
		return x
	}
	ask("a", "SELECT 1").Settle(exchange.Answer{Kind: exchange.ClientGone})
	delete(p.open, "a")
	assert.False(t, ask("a", "SELECT 1").Settled(), "what crossed a close is sent again")
	delete(p.open, "a")
	ask("b", "SELECT 1")
	x := ask("a", "SELECT 2")
	require.True(t, x.Settled())
	assert.Equal(t, exchange.Failed, x.Answer().Kind)
	assert.EqualValues(t, 1, c.Get("reused_id"))
	assert.Equal(t, 3, told)
	for range 2 { // both generations pass
		p.seen.since = time.Now().Add(-2 * rememberFor)
		ask("c", "SELECT 1")
		delete(p.open, "c")
	}
	assert.False(t, ask("a", "SELECT 2").Settled(), "what is long ago is forgotten")
	assert.LessOrEqual(t, len(p.seen.now)+len(p.seen.old), 3)
}

func TestStopAnswersAllInTime(t *testing.T) {
	var left []time.Duration
	p, _, _ := newPlanner(func(ev []admission.Event) []admission.Action {
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
	early, late := request(time.Hour), request(time.Hour)
	late.ID = "b"
	p.step([]input{{kind: taken, x: early}})
	p.Shutdown(50 * time.Millisecond)
	p.step([]input{p.queue[0], {kind: taken, x: late}})
	p.queue = nil
	require.Len(t, left, 3)
	assert.Equal(t, 50*time.Millisecond, left[1])
	assert.LessOrEqual(t, left[2], 50*time.Millisecond, "what comes later has no more time")
	for !early.Settled() || !late.Settled() {
		<-p.wake
		p.mu.Lock()
		in := p.queue
		p.queue = nil
		p.mu.Unlock()
		p.step(in)
	}
	<-early.Done() // the timer answers by itself: what is settled may have its answer a moment later
	assert.Equal(t, exchange.Failed, early.Answer().Kind)
}

// Guards against an answer that waits for a step that takes long: the time of the client runs on meanwhile.
func TestTheDeadlineWaitsForNoStep(t *testing.T) {
	inStep, goOn := make(chan struct{}), make(chan struct{})
	p, e, _ := newPlanner(func(ev []admission.Event) []admission.Action {
		if len(ev) == 0 {
			return nil
		}
		close(inStep)
		<-goOn
		return []admission.Action{admission.Send{ID: "a"}}
	})
	x := request(50 * time.Millisecond)
	over := make(chan struct{})
	go func() {
		defer close(over)
		p.step([]input{{kind: taken, x: x}})
	}()
	<-inStep
	<-x.Done()
	assert.Equal(t, exchange.Failed, x.Answer().Kind)
	close(goOn)
	<-over
	assert.Equal(t, 1, e.started, "the server side sees that nobody waits, and sends nothing")
}
