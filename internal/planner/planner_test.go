package planner

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
	"beechcart/internal/roster"
)

// script is a controller that answers each step as it is told to.
type script struct {
	decide func(events []admission.Event) []admission.Action
}

func (s script) Step(_ time.Duration, events []admission.Event) []admission.Action {
	return s.decide(events)
}

type engines struct{ started, cancelled int }

func (e *engines) Update(roster.List)                                        {}
func (e *engines) Start(*exchange.Exchange, int, uint32, int, time.Duration) { e.started++ }
func (e *engines) Cancel(string, int)                                        { e.cancelled++ }
func (e *engines) Probe(uint32)                                              {}
func (e *engines) CloseIdle(uint32)                                          {}

func newPlanner(decide func([]admission.Event) []admission.Action) (*Planner, *engines, *invariant.Counters) {
	c, e := &invariant.Counters{}, &engines{}
	p := New(script{decide}, []admission.Class{{Effect: admission.Unsafe}}, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	p.engines = e
	return p, e, c
}

func request(left time.Duration) *exchange.Exchange {
	return exchange.New(exchange.Request{ID: "a", Left: left}, time.Now())
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

func TestNoRefusalOfAnUnsafeRequestInDoubt(t *testing.T) {
	x := request(time.Hour)
	p, _, c := newPlanner(func(ev []admission.Event) []admission.Action {
		if r, ok := ev[0].(admission.Request); ok {
			assert.Less(t, r.Left, x.Left-answerMargin/2, "the answer needs some of the time itself")
		}
		if _, ok := ev[0].(admission.Outcome); ok {
			return []admission.Action{admission.Refuse{ID: "a"}}
		}
		return []admission.Action{admission.Send{ID: "a"}}
	})
	p.step([]input{{kind: taken, x: x}})
	breach(t, c, "refused_in_doubt", func() {
		p.step([]input{{kind: ended, x: x, ev: admission.Outcome{ID: "a", Status: admission.Reset}}})
	})
	assert.False(t, x.Settled() && x.Answer().Kind == exchange.Refused)
}

func TestAFaultOfTheControllerEndsNoReleaseBuild(t *testing.T) {
	p, _, c := newPlanner(func([]admission.Event) []admission.Action { panic("fault") })
	x := request(50 * time.Millisecond)
	breach(t, c, "controller_panic", func() { p.step([]input{{kind: taken, x: x}}) })
	<-p.wake // the deadline's own input
	p.ctl = script{func([]admission.Event) []admission.Action { return nil }}
	p.step(p.queue)
	require.True(t, x.Settled(), "answered before its client stops waiting")
	assert.Equal(t, exchange.Failed, x.Answer().Kind)
	assert.True(t, time.Now().Before(x.Deadline().Add(time.Second)))
}

func TestALateOutcomeSettlesNothing(t *testing.T) {
	var closed []bool
	p, e, c := newPlanner(func(ev []admission.Event) (acts []admission.Action) {
		for _, ev := range ev {
			switch ev := ev.(type) {
			case admission.Request:
				acts = append(acts, admission.Send{ID: "a"})
			case admission.Gone:
				acts = append(acts, admission.Cancel{ID: "a"})
			case admission.Outcome:
				closed = append(closed, ev.Closed)
			}
		}
		return acts
	})
	x := request(time.Hour)
	p.step([]input{{kind: taken, x: x}})
	p.Leave(x)
	p.Leave(x)
	require.Len(t, p.queue, 1, "a client leaves once")
	p.step(p.queue)
	assert.Equal(t, 1, e.cancelled)
	assert.Len(t, p.open, 1, "the id is held while its attempt is out")
	p.step([]input{{kind: ended, x: x, ev: admission.Outcome{ID: "a", Status: admission.OK}}})
	assert.Equal(t, []bool{true}, closed)
	assert.Equal(t, exchange.Left, x.Answer().Kind)
	assert.EqualValues(t, 1, c.Get("served_too_late"))
	assert.Empty(t, p.open)
}
