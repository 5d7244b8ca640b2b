package dispatch

import (
	"time"

	"beechcart/admission"
	"beechcart/internal/exchange"
)

// execute carries out one action of the controller.
func (d *Dispatcher) execute(action admission.Action) {
	switch a := action.(type) {
	case admission.Send:
		d.send(a)
	case admission.Terms:
		if r := d.open[a.ID]; r != nil {
			r.terms = a
		}
	case admission.Reject:
		d.reject(a)
	case admission.Fail:
		d.answer(a.ID, failedMayHaveRun)
	case admission.Cancel:
		d.counters.Add("cancelled", 1)
		d.engines.Cancel(a.ID, a.Attempt)
	case admission.HealthCheck:
		d.counters.Add("probes", 1)
		d.engines.CheckHealth(a.Engine)
	case admission.CloseIdle:
		d.engines.CloseIdle(a.Engine)
	case admission.SetTimer:
		time.AfterFunc(a.Delay, func() { d.Notify(admission.Timer{Token: a.Token}) })
	case admission.Log:
		d.log.Info("controller", "says", a.Text)
	case admission.WatchEndpoints, admission.PollEndpoints, admission.SendGossip:
		// The endpoint list arrives unrequested, and front ends do not exchange load by gossip.
	}
}

// send begins an attempt. A retry of a request with an idempotency key is not sent after the deduplication window ends,
// since engines would no longer recognise the retry. The wait for a connection may outlast the window.
func (d *Dispatcher) send(a admission.Send) {
	r := d.open[a.ID]
	if !d.counters.Hold(r != nil && r.inFlight == 0, "two_attempts") {
		return
	}
	attempt := r.attempts
	r.attempts++
	r.inFlight++
	r.sentAt = time.Now()
	var notAfter time.Time
	class := &d.classes[r.exchange.Class]
	if class.Idempotency == admission.IdempotentWithKey && !r.mayHaveRunSince.IsZero() {
		notAfter = r.mayHaveRunSince.Add(class.DeduplicationWindow)
	}
	d.counters.Add("sent", 1)
	d.engines.Start(r.exchange, attempt, a.Engine, r.terms, a.Timeout, notAfter)
}

var failedMayHaveRun = exchange.Answer{Kind: exchange.Failed, Reason: "the query failed and may have run"}

// reject answers a request with a rejection and the controller's Retry-After. A rejection promises that a retry is
// harmless, so a non-idempotent request that may have run is answered as failed instead.
func (d *Dispatcher) reject(a admission.Reject) {
	r := d.open[a.ID]
	if r == nil {
		return
	}
	nonIdempotent := d.classes[r.exchange.Class].Idempotency == admission.NonIdempotent
	retryHarmful := nonIdempotent && (!r.mayHaveRunSince.IsZero() || r.inFlight > 0)
	if !d.counters.Hold(!retryHarmful, "refused_in_doubt") {
		d.answer(a.ID, failedMayHaveRun)
		return
	}
	d.answer(a.ID, exchange.Answer{Kind: exchange.Rejected, RetryAfter: a.RetryAfter, Reason: "too busy"})
}

// answer settles a request with the controller's answer. A request that is already settled keeps its answer.
func (d *Dispatcher) answer(id string, answer exchange.Answer) {
	r := d.open[id]
	if r == nil {
		return
	}
	if r.exchange.Settle(answer) {
		if answer.Kind == exchange.Rejected {
			d.counters.Add("refused", 1)
		} else {
			d.counters.Add("failed", 1)
		}
	}
	d.removeIfDone(r)
}
