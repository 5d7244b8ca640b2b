package dispatch

import (
	"time"

	"beechcart/admission"
	"beechcart/internal/exchange"
)

// answerMargin is how long before the client stops waiting the final answer is sent at the latest.
const answerMargin = 15 * time.Millisecond

// request is an open request: the controller knows it, and it is not answered or has an attempt in flight.
type request struct {
	exchange   *exchange.Exchange
	attempts   int // begun so far
	inFlight   int
	terms      admission.Terms // of the next attempt
	sentAt     time.Time       // when the last attempt was begun
	mayHaveRun time.Time       // when the first attempt was begun that may have run; zero: none may have
	deadline   *time.Timer
}

// accept registers a new request. It returns nil, and answers the request itself, where the controller must not hear
// of it.
func (d *Dispatcher) accept(x *exchange.Exchange) admission.Event {
	if x.Settled() {
		return nil // its client has gone already
	}
	// The controller ignores an id that it knows, so a second request with this id would never be answered.
	if d.open[x.ID] != nil {
		d.counters.Add("duplicate_id", 1)
		x.Settle(exchange.Answer{Kind: exchange.Failed, Reason: "a request with this id is open"})
		return nil
	}
	// An engine may still know the id, and would return its old result, which belongs to another statement.
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
	d.open[x.ID] = r
	return admission.Request{
		ID: x.ID, Class: x.Class, Tenant: x.Tenant, Timeout: timeout, Work: x.WorkEstimate, MemoryMB: x.MemoryMB,
		TableGroup: x.TableGroup, Retry: x.Retry,
	}
}

// timeLeft is how long there is for the final answer.
func (d *Dispatcher) timeLeft(x *exchange.Exchange) time.Duration {
	left := time.Until(x.Deadline()) - answerMargin
	if !d.shutdownAt.IsZero() {
		left = min(left, time.Until(d.shutdownAt))
	}
	return left
}

// expire answers a request at its deadline. It runs on the timer's goroutine, so that the answer does not wait for a
// step of the controller that takes long.
func (d *Dispatcher) expire(x *exchange.Exchange) {
	if x.Settle(exchange.Answer{Kind: exchange.Failed, Reason: "the time given has run out"}) {
		d.counters.Add("deadline", 1)
		d.post(clientGone{x})
	}
}

// beginShutdown brings the deadlines of all open requests forward to the end of the process. Requests that the
// controller leaves open would never be answered otherwise.
func (d *Dispatcher) beginShutdown(timeout time.Duration) {
	d.shutdownAt = time.Now().Add(timeout)
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

// attemptDone answers a request that was served, and tells the controller of the outcome.
func (d *Dispatcher) attemptDone(done *attemptDone) admission.Event {
	x, outcome := done.exchange, done.outcome
	r := d.open[x.ID]
	if !d.counters.Hold(r != nil && r.exchange == x && r.inFlight > 0, "outcome_unowed") {
		return nil
	}
	r.inFlight--
	if r.mayHaveRun.IsZero() && !outcome.Status.NeverRan() {
		r.mayHaveRun = r.sentAt
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

// missedObjective reports whether a request that took so much work was answered after its class's latency objective.
func (d *Dispatcher) missedObjective(x *exchange.Exchange, work time.Duration) bool {
	class := &d.classes[x.Class]
	perThread := float64(work) / float64(max(class.Threads, 1))
	objective := class.LatencyObjective + time.Duration(class.ObjectivePerWork*perThread)
	return objective > 0 && time.Since(x.Arrived) > objective
}

// removeIfDone removes a request that is answered and has no attempt in flight.
func (d *Dispatcher) removeIfDone(r *request) {
	if r.exchange.Settled() && r.inFlight == 0 {
		r.deadline.Stop()
		delete(d.open, r.exchange.ID)
	}
}

func statusName(s admission.Status) string {
	return [...]string{"error", "ok", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}[s]
}
