// Package dispatch runs the event loop that owns one admission controller.
//
// Other goroutines post messages to a [Dispatcher]: new requests, client disconnects, outcomes of attempts, changes of
// the endpoint list and timers. A single goroutine, in [Dispatcher.Run], takes all queued messages as one batch,
// translates them into events, steps the controller once, and carries out the returned actions in order. The
// controller makes every scheduling decision.
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

// Engines sends attempts and health checks to engines. The Dispatcher calls it from its own goroutine.
type Engines interface {
	// Update applies a change of the endpoint list.
	Update(l endpoints.List)
	// Start begins an attempt with the given timeout. The query is not sent after notAfter; a zero notAfter sets no
	// limit.
	Start(x *exchange.Exchange, attempt int, engine uint32, terms admission.Terms, timeout time.Duration,
		notAfter time.Time)
	// Cancel cancels an attempt. The attempt stays in flight until its outcome is reported by AttemptDone.
	Cancel(id string, attempt int)
	// CheckHealth sends a health check to an engine.
	CheckHealth(engine uint32)
	// CloseIdle closes the idle connections to an engine.
	CloseIdle(engine uint32)
}

// Controller decides on admission. The gateway uses admission.Controller; tests use fakes.
type Controller interface {
	Step(now time.Duration, events []admission.Event) []admission.Action
}

// Dispatcher owns one controller. All methods except Run are safe for concurrent use.
type Dispatcher struct {
	controller Controller
	classes    []admission.Class
	engines    Engines
	counters   *invariant.Counters
	log        *slog.Logger
	start      time.Time     // carries the monotonic clock
	startUnix  time.Duration // the Unix time of start

	mu    sync.Mutex
	queue []message     // guarded by mu
	wake  chan struct{} // capacity 1; holds a token after a message was queued

	// Owned by Run.
	open             map[string]*request // by request id
	recent           *recentIDs          // requests that were accepted
	executed         *recentIDs          // requests that have ended and may have run
	shutdownDeadline time.Time           // time by which every request must be answered; zero until a shutdown begins
	batch            []admission.Event
}

// New returns a Dispatcher for a controller that was created with the same classes.
func New(controller Controller, classes []admission.Class, counters *invariant.Counters, log *slog.Logger) *Dispatcher {
	now := time.Now()
	return &Dispatcher{
		controller: controller, classes: classes, counters: counters, log: log, start: now,
		startUnix: time.Duration(now.UnixNano()), wake: make(chan struct{}, 1), open: map[string]*request{},
		recent: newRecentIDs(maxRecentIDs), executed: newRecentIDs(maxExecutedIDs),
	}
}

// Accept queues a new request. Its exchange is settled with the final answer.
func (d *Dispatcher) Accept(x *exchange.Exchange) { d.post(requestAccepted{x}) }

// ClientGone reports that the client of a request has disconnected, or has cancelled the request.
func (d *Dispatcher) ClientGone(x *exchange.Exchange) {
	if x.Settle(exchange.Answer{Kind: exchange.ClientGone}) {
		d.counters.Add("left", 1)
		d.post(clientGone{x})
	}
}

// AttemptDone reports the outcome of an attempt. If the engine served the query, rows is the complete result.
func (d *Dispatcher) AttemptDone(x *exchange.Exchange, outcome admission.Outcome, rows []byte) {
	d.post(&attemptDone{exchange: x, outcome: outcome, rows: rows})
}

// Notify passes an event to the controller unchanged, such as the progress of an attempt or the result of a health
// check.
func (d *Dispatcher) Notify(ev admission.Event) { d.post(ev) }

// EndpointsChanged reports a change of the endpoint list.
func (d *Dispatcher) EndpointsChanged(l endpoints.List) { d.post(endpointsChanged{l}) }

// Shutdown announces that the process ends after the timeout. All open requests, and all requests accepted during the
// shutdown, are answered by then.
func (d *Dispatcher) Shutdown(timeout time.Duration) { d.post(shutdownRequested{timeout}) }

// Run processes messages until stop is closed.
func (d *Dispatcher) Run(engines Engines, stop <-chan struct{}) {
	d.engines = engines
	d.step(nil)
	var spare []message
	for {
		select {
		case <-stop:
			return
		case <-d.wake:
		}
		d.mu.Lock()
		messages := d.queue
		d.queue = spare[:0]
		d.mu.Unlock()
		d.step(messages)
		clear(messages)
		spare = messages
	}
}

func (d *Dispatcher) post(m message) {
	d.mu.Lock()
	d.queue = append(d.queue, m)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// step hands one batch to the controller and carries out its actions, in order.
func (d *Dispatcher) step(messages []message) {
	d.batch = d.batch[:0]
	for _, m := range messages {
		if ev := d.event(m); ev != nil {
			d.batch = append(d.batch, ev)
		}
	}
	for _, action := range d.decide() {
		d.execute(action)
	}
}

// clock returns the controller's time: monotonic, and comparable with the Unix times in the endpoint list.
func (d *Dispatcher) clock() time.Duration { return d.startUnix + time.Since(d.start) }

// stepDelayAfterPanic is the delay from a controller panic to the timer event that steps the controller again.
const stepDelayAfterPanic = 50 * time.Millisecond

// decide steps the controller. After a controller panic, a release build goes on without the actions of that step, and
// the affected requests are answered at their deadlines. The lost actions may include the controller's next timer, so
// decide posts a timer event itself. Without that event, the controller would not examine its queued requests until
// another message arrives.
func (d *Dispatcher) decide() (actions []admission.Action) {
	completed := false
	defer func() {
		if !completed && !d.counters.Hold(false, "controller_panic") {
			d.log.Error("controller panic", "cause", recover(), "stack", string(debug.Stack()))
			time.AfterFunc(stepDelayAfterPanic, func() { d.Notify(admission.Timer{}) })
		}
	}()
	actions = d.controller.Step(d.clock(), d.batch)
	completed = true
	return actions
}
