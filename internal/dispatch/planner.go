// Package dispatch runs the controller: one goroutine owns it, takes what has come in as one batch, and carries
// out what the controller answers. Every decision is the controller's.
package dispatch

import (
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"beechcart/admission"
	"beechcart/internal/endpoints"
	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
)

// Engines is the server side, as the planner needs it.
type Engines interface {
	Update(l endpoints.List)
	// Start sends an attempt on its way. Its query goes out by that time or not at all, where one is given.
	Start(x *exchange.Exchange, n int, engine uint32, terms admission.Terms, limit time.Duration, by time.Time)
	Cancel(id string, n int)
	CheckHealth(engine uint32)
	CloseIdle(engine uint32)
}

// Controller decides; admission.Controller is the one that serves.
type Controller interface {
	Step(now time.Duration, events []admission.Event) []admission.Action
}

// answerMargin is how long before the client stops waiting the final answer goes out at the latest.
const answerMargin = 15 * time.Millisecond

// kind says what an input is.
type kind int

const (
	told     kind = iota // an event for the controller as it is
	taken                // a request
	left                 // it was answered while it was open: its client has gone, or its time is over
	ended                // an attempt has
	listed               // the engine list has changed
	stopping             // the front end stops
)

type input struct {
	kind kind
	ev   admission.Event
	x    *exchange.Exchange
	rows []byte
	list endpoints.List
}

// entry is a request that the controller knows.
type entry struct {
	x     *exchange.Exchange
	tries int
	out   int
	terms admission.Terms // of its next attempts
	sent  time.Time       // when the last attempt was started
	doubt time.Time       // when the first that may have run was; zero: none may
	timer *time.Timer
}

// Dispatcher feeds one controller.
type Dispatcher struct {
	ctl      Controller
	classes  []admission.Class
	engines  Engines
	counters *invariant.Counters
	log      *slog.Logger
	start    time.Time     // with the monotonic clock
	base     time.Duration // the Unix time of start: the clock of since_ms

	mu    sync.Mutex
	queue []input
	wake  chan struct{}

	// Owned by Run.
	open   map[string]*entry
	seen   *memory
	stopBy time.Time // all is answered by then; zero: the front end is not stopping
	batch  []admission.Event
}

// New returns a planner for a controller with those classes.
func New(ctl Controller, classes []admission.Class, counters *invariant.Counters, log *slog.Logger) *Dispatcher {
	now := time.Now()
	return &Dispatcher{
		ctl: ctl, classes: classes, counters: counters, log: log, start: now,
		base: time.Duration(now.UnixNano()), wake: make(chan struct{}, 1), open: map[string]*entry{},
		seen: newMemory(),
	}
}

// clock is the controller's time: comparable with the change log's Unix times, and monotonic.
func (p *Dispatcher) clock() time.Duration { return p.base + time.Since(p.start) }

func (p *Dispatcher) post(in input) {
	p.mu.Lock()
	p.queue = append(p.queue, in)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Accept accepts a request; its exchange brings the final answer.
func (p *Dispatcher) Accept(x *exchange.Exchange) { p.post(input{kind: taken, x: x}) }

// expire answers a request whose client is about to stop waiting. It is the timer's own: guards against an answer that waits for
// a step that takes long.
func (p *Dispatcher) expire(x *exchange.Exchange) {
	if x.Settle(exchange.Answer{Kind: exchange.Failed, Reason: "the time given has run out"}) {
		p.counters.Add("deadline", 1)
		p.post(input{kind: left, x: x})
	}
}

// ClientGone tells that the client of a request has gone.
func (p *Dispatcher) ClientGone(x *exchange.Exchange) {
	if x.Settle(exchange.Answer{Kind: exchange.ClientGone}) {
		p.counters.Add("left", 1)
		p.post(input{kind: left, x: x})
	}
}

// AttemptDone tells how an attempt ended.
func (p *Dispatcher) AttemptDone(x *exchange.Exchange, o admission.Outcome, rows []byte) {
	p.post(input{kind: ended, x: x, ev: o, rows: rows})
}

// Notify brings notes and the results of probes.
func (p *Dispatcher) Notify(ev admission.Event) { p.post(input{kind: told, ev: ev}) }

// EndpointsChanged brings an event of the engine list.
func (p *Dispatcher) EndpointsChanged(l endpoints.List) { p.post(input{kind: listed, list: l}) }

// Shutdown tells that the front end ends after that time: all that is open, or still comes, is answered by then.
func (p *Dispatcher) Shutdown(left time.Duration) {
	p.post(input{kind: stopping, ev: admission.ShutdownRequested{Timeout: left}})
}

// Run serves until stop is closed.
func (p *Dispatcher) Run(engines Engines, stop <-chan struct{}) {
	p.engines = engines
	p.step(nil)
	var spare []input
	for {
		select {
		case <-stop:
			return
		case <-p.wake:
		}
		p.mu.Lock()
		in := p.queue
		p.queue = spare[:0]
		p.mu.Unlock()
		p.step(in)
		clear(in)
		spare = in
	}
}

// step hands one batch to the controller and carries its actions out, in order.
func (p *Dispatcher) step(in []input) {
	p.batch = p.batch[:0]
	for i := range in {
		if ev := p.event(&in[i]); ev != nil {
			p.batch = append(p.batch, ev)
		}
	}
	for _, a := range p.decide() {
		p.do(a)
	}
}

// afterFault is how long after a fault the controller is stepped again.
const afterFault = 50 * time.Millisecond

// decide steps the controller. Guards against a fault in it: a release build goes on without this step's
// actions, and what the step was about is answered at its deadline. The timer that the controller counts on may be among
// what is lost: without another it would look at what waits only when something comes in.
func (p *Dispatcher) decide() (acts []admission.Action) {
	done := false
	defer func() {
		if !done && !p.counters.Hold(false, "controller_panic") {
			p.log.Error("controller panic", "cause", recover(), "stack", string(debug.Stack()))
			time.AfterFunc(afterFault, func() { p.Notify(admission.Timer{}) })
		}
	}()
	acts = p.ctl.Step(p.clock(), p.batch)
	done = true
	return acts
}

// event turns an input into the controller's event; nil when there is nothing to tell.
func (p *Dispatcher) event(in *input) admission.Event {
	switch in.kind {
	case taken:
		return p.take(in.x)
	case left:
		return p.gone(in.x)
	case ended:
		return p.end(in)
	case stopping:
		p.stop(in.ev.(admission.ShutdownRequested).Timeout)
	case listed:
		p.engines.Update(in.list)
		return in.list.Event()
	}
	return in.ev
}

func (p *Dispatcher) take(x *exchange.Exchange) admission.Event {
	if x.Settled() {
		return nil // its client left before it was looked at
	}
	// The controller passes over an id that it holds, so a second request under it would never be answered.
	if p.open[x.ID] != nil {
		p.counters.Add("duplicate_id", 1)
		x.Settle(exchange.Answer{Kind: exchange.Failed, Reason: "a request with this id is open"})
		return nil
	}
	// An engine may know the id still, and would give its old answer, which is none to this statement.
	if !p.seen.add(x) {
		p.counters.Add("reused_id", 1)
		x.Settle(exchange.Answer{Kind: exchange.Failed, Reason: "this id was used for another statement"})
		return nil
	}
	wait := p.left(x)
	if wait <= 0 {
		p.counters.Add("no_time", 1)
		x.Settle(exchange.Answer{Kind: exchange.Rejected, Reason: "no time is left"})
		return nil
	}
	p.counters.Add("taken", 1)
	e := &entry{x: x, terms: admission.Terms{ID: x.ID, Priority: 1}}
	e.timer = time.AfterFunc(wait, func() { p.expire(x) })
	p.open[x.ID] = e
	return admission.Request{
		ID: x.ID, Class: x.Class, Tenant: x.Tenant, Timeout: wait, Work: x.WorkEstimate, MemMB: x.MemoryMB, Group: x.TableGroup,
		Retry: x.Retry,
	}
}

// left is how long there is for the final answer.
func (p *Dispatcher) left(x *exchange.Exchange) time.Duration {
	wait := time.Until(x.Deadline()) - answerMargin
	if !p.stopBy.IsZero() {
		wait = min(wait, time.Until(p.stopBy))
	}
	return wait
}

// stop sees to it that what the controller leaves open is answered before the front end ends. Guards against
// requests that are never answered, as the process is killed while they run.
func (p *Dispatcher) stop(left time.Duration) {
	p.stopBy = time.Now().Add(left)
	for _, e := range p.open {
		if !e.x.Settled() {
			e.timer.Reset(p.left(e.x))
		}
	}
}

func (p *Dispatcher) gone(x *exchange.Exchange) admission.Event {
	e := p.open[x.ID]
	if e == nil || e.x != x {
		return nil
	}
	p.forget(e)
	return admission.ClientDisconnected{ID: x.ID}
}

// end settles a request that was served, and tells the controller of the attempt's end.
func (p *Dispatcher) end(in *input) admission.Event {
	o := in.ev.(admission.Outcome)
	e := p.open[in.x.ID]
	if !p.counters.Hold(e != nil && e.x == in.x && e.out > 0, "outcome_unowed") {
		return nil
	}
	e.out--
	if e.doubt.IsZero() && !o.Status.NeverRan() {
		e.doubt = e.sent
	}
	if o.Status == admission.OK {
		if in.x.Settle(exchange.Answer{Kind: exchange.Served, Rows: in.rows}) {
			p.counters.Add("served", 1)
			if p.late(in.x, o.Work) {
				p.counters.Add("served_late", 1)
			}
		} else {
			p.counters.Add("served_too_late", 1)
		}
	}
	p.counters.Add("ended_"+statusName(o.Status), 1)
	o.Closed = in.x.Settled()
	p.forget(e)
	return o
}

// late tells an answer of which its class's aim, which grows with the work that the query took, was missed.
func (p *Dispatcher) late(x *exchange.Exchange, work time.Duration) bool {
	cl := &p.classes[x.Class]
	aim := cl.LatencyObjective + time.Duration(cl.ObjectivePerWork*float64(work)/float64(max(cl.Threads, 1)))
	return aim > 0 && time.Since(x.Arrived) > aim
}

// forget drops a request that is answered and has nothing out.
func (p *Dispatcher) forget(e *entry) {
	if e.x.Settled() && e.out == 0 {
		e.timer.Stop()
		delete(p.open, e.x.ID)
	}
}

func (p *Dispatcher) do(a admission.Action) {
	switch a := a.(type) {
	case admission.Send:
		p.send(a)
	case admission.Terms:
		if e := p.open[a.ID]; e != nil {
			e.terms = a
		}
	case admission.Reject:
		p.refuse(a)
	case admission.Fail:
		p.finish(a.ID, exchange.Answer{Kind: exchange.Failed, Reason: "the query failed and may have run"})
	case admission.Cancel:
		p.counters.Add("cancelled", 1)
		p.engines.Cancel(a.ID, a.Attempt)
	case admission.HealthCheck:
		p.counters.Add("probes", 1)
		p.engines.CheckHealth(a.Engine)
	case admission.CloseIdle:
		p.engines.CloseIdle(a.Engine)
	case admission.SetTimer:
		time.AfterFunc(a.Delay, func() { p.Notify(admission.Timer{Token: a.Token}) })
	case admission.Log:
		p.log.Info("controller", "says", a.Text)
	case admission.WatchEndpoints, admission.PollEndpoints, admission.SendGossip:
		// The change log comes by itself, and front ends can't talk to each other.
	}
}

// send starts an attempt. Guards against a repeat that engines no longer know for one: the wait for its connection may outlast the
// window in which they do.
func (p *Dispatcher) send(a admission.Send) {
	e := p.open[a.ID]
	if !p.counters.Hold(e != nil && e.out == 0, "two_attempts") {
		return
	}
	n := e.tries
	e.tries++
	e.out++
	e.sent = time.Now()
	var by time.Time
	if c := &p.classes[e.x.Class]; c.Idempotency == admission.IdempotentWithKey && !e.doubt.IsZero() {
		by = e.doubt.Add(c.DeduplicationWindow)
	}
	p.counters.Add("sent", 1)
	p.engines.Start(e.x, n, a.Engine, e.terms, a.Cap, by)
}

// refuse passes a refusal on, with the pause that the controller advises. A refusal says that a repeat is
// harmless; guards against saying so of an unsafe request that may have run.
func (p *Dispatcher) refuse(a admission.Reject) {
	e := p.open[a.ID]
	if e == nil {
		return
	}
	unsafe := p.classes[e.x.Class].Idempotency == admission.NonIdempotent && (!e.doubt.IsZero() || e.out > 0)
	if !p.counters.Hold(!unsafe, "refused_in_doubt") {
		p.finish(a.ID, exchange.Answer{Kind: exchange.Failed, Reason: "the query failed and may have run"})
		return
	}
	p.finish(a.ID, exchange.Answer{Kind: exchange.Rejected, RetryAfter: a.RetryAfter, Reason: "too busy"})
}

func (p *Dispatcher) finish(id string, answer exchange.Answer) {
	e := p.open[id]
	if e == nil {
		return
	}
	if e.x.Settle(answer) {
		if answer.Kind == exchange.Rejected {
			p.counters.Add("refused", 1)
		} else {
			p.counters.Add("failed", 1)
		}
	}
	p.forget(e)
}

func statusName(s admission.Status) string {
	return [...]string{"error", "ok", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}[s]
}
