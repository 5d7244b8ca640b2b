package dispatch

import (
	"context"
	"log/slog"
	"time"

	"beechcart/admission"
	"beechcart/internal/exchange"
)

// answerMargin is the minimum time between sending the final answer and the client's timeout.
const answerMargin = 15 * time.Millisecond

// request is an open request: one that was passed to the controller, and is unanswered or has an attempt in flight.
type request struct {
	exchange        *exchange.Exchange
	attempts        int // started so far
	inFlight        int
	terms           admission.Terms // of the next attempt
	sentAt          time.Time       // start of the latest attempt
	mayHaveRunSince time.Time       // start of the first attempt that may have run; zero: none
	deadline        *time.Timer
}

// accept registers a new request and returns its event. It returns nil for a request that is settled already, and for
// one that it answers itself because the controller must not see it.
func (d *Dispatcher) accept(x *exchange.Exchange) admission.Event {
	if x.Settled() {
		return nil // the client has disconnected or cancelled the request
	}
	// The controller ignores a request whose id is open, so a second request with the id would never be answered.
	if d.open[x.ID] != nil {
		d.counters.Add("duplicate_id", 1)
		x.Settle(exchange.Answer{Kind: exchange.Failed, Reason: "a request with this id is open"})
		return nil
	}
	if d.executed.contains(x.ID) {
		d.counters.Add("repeated_id", 1)
		x.Settle(exchange.Answer{Kind: exchange.Failed, Reason: "a request with this id may have run"})
		return nil
	}
	// An engine may still hold the result of the earlier statement under this id, and would return it.
	if !d.recent.add(x) {
		d.counters.Add("reused_id", 1)
		x.Settle(exchange.Answer{Kind: exchange.Failed, Reason: "this id was used for another statement"})
		return nil
	}
	timeout := d.timeLeft(x)
	if timeout <= 0 {
		d.counters.Add("no_time", 1)
		x.Settle(exchange.Answer{Kind: exchange.Rejected, Reason: "no time is left"})
		return nil
	}
	d.counters.Add("taken", 1)
	r := &request{exchange: x, terms: admission.Terms{ID: x.ID, Priority: 1}}
	r.deadline = time.AfterFunc(timeout, func() { d.expire(x) })
	x.Hold()
	d.open[x.ID] = r
	return admission.Request{
		ID: x.ID, Class: x.Class, Tenant: x.Tenant, Timeout: timeout, Work: x.WorkEstimate, MemoryMB: x.MemoryMB,
		TableGroup: x.TableGroup, Retry: x.Retry,
	}
}

// timeLeft returns the time left until the final answer is due.
func (d *Dispatcher) timeLeft(x *exchange.Exchange) time.Duration {
	left := time.Until(x.Deadline()) - answerMargin
	if !d.shutdownDeadline.IsZero() {
		left = min(left, time.Until(d.shutdownDeadline))
	}
	return left
}

// expire answers a request at its deadline. It runs on the timer's goroutine, so that a long step of the controller
// does not delay the answer. The controller then handles the request like one whose client has disconnected.
func (d *Dispatcher) expire(x *exchange.Exchange) {
	if x.Settle(exchange.Answer{Kind: exchange.Failed, Reason: "the time given has run out"}) {
		d.counters.Add("deadline", 1)
		d.post(clientGone{x})
	}
}

// beginShutdown sets shutdownDeadline and brings forward the deadline of each open request that would expire later. A
// request that the controller leaves open would otherwise never be answered.
func (d *Dispatcher) beginShutdown(timeout time.Duration) {
	d.shutdownDeadline = time.Now().Add(timeout)
	for _, r := range d.open {
		if !r.exchange.Settled() {
			r.deadline.Reset(d.timeLeft(r.exchange))
		}
	}
}

func (d *Dispatcher) clientGone(x *exchange.Exchange) admission.Event {
	r := d.open[x.ID]
	if r == nil || r.exchange != x {
		return nil
	}
	d.removeIfDone(r)
	return admission.ClientDisconnected{ID: x.ID}
}

// attemptDone answers a request that was served, and returns the outcome for the controller.
func (d *Dispatcher) attemptDone(done *attemptDone) admission.Event {
	x, outcome := done.exchange, done.outcome
	r := d.open[x.ID]
	if !d.counters.Hold(r != nil && r.exchange == x && r.inFlight > 0, "outcome_unowed") {
		return nil
	}
	r.inFlight--
	if r.mayHaveRunSince.IsZero() && !outcome.Status.NeverRan() {
		r.mayHaveRunSince = r.sentAt
	}
	if outcome.Status == admission.OK {
		d.answerServed(x, done.rows, outcome.Work)
	}
	d.counters.Add("ended_"+statusName(outcome.Status), 1)
	outcome.Closed = x.Settled()
	d.removeIfDone(r)
	return outcome
}

func (d *Dispatcher) answerServed(x *exchange.Exchange, rows []byte, work time.Duration) {
	if !x.Settle(exchange.Answer{Kind: exchange.Served, Rows: rows}) {
		d.counters.Add("served_too_late", 1)
		return
	}
	d.counters.Add("served", 1)
	if d.missedObjective(x, work) {
		d.counters.Add("served_late", 1)
	}
}

// missedObjective reports whether a request with the given work was answered after the latency objective of its class.
func (d *Dispatcher) missedObjective(x *exchange.Exchange, work time.Duration) bool {
	class := &d.classes[x.Class]
	perThread := float64(work) / float64(max(class.Threads, 1))
	objective := class.LatencyObjective + time.Duration(class.ObjectivePerWork*perThread)
	return objective > 0 && time.Since(x.Arrived) > objective
}

// removeIfDone removes a request that is settled and has no attempt in flight. If the request may have run, it must not
// run again when its ID comes again.
func (d *Dispatcher) removeIfDone(r *request) {
	if !r.exchange.Settled() || r.inFlight > 0 {
		return
	}
	if !r.mayHaveRunSince.IsZero() {
		d.executed.record(r.exchange.ID)
	}
	r.deadline.Stop()
	delete(d.open, r.exchange.ID)
	d.logEnd(r)
	r.exchange.Release()
}

// logEnd logs how a request has ended, at the level debug.
func (d *Dispatcher) logEnd(r *request) {
	if !d.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	<-r.exchange.Done()
	answer := r.exchange.Answer()
	d.log.Debug("request ended", "id", r.exchange.ID, "class", r.exchange.ClassName, "answer", answer.Kind.String(),
		"why", answer.Reason, "attempts", r.attempts, "may_have_run", !r.mayHaveRunSince.IsZero())
}

func statusName(s admission.Status) string {
	return [...]string{"error", "ok", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}[s]
}
