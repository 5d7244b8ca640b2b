package engine

import (
	"fmt"
	"time"

	"beechcart/admission"
	"beechcart/internal/exchange"
)

// queryExpiry is how long after its last call a query has ended for certain: an engine ends a query that was not
// polled for 2 s.
const queryExpiry = 2100 * time.Millisecond

// poll asks how the query stands, or deletes it when the attempt is cancelled.
func (a *attempt) poll() (response, error) {
	if a.isCancelled() {
		return a.call("DELETE", queryPath(a.exchange.ID), checkPollAnswer)
	}
	return a.call("GET", pagePath(a.exchange.ID, 0), checkPollAnswer)
}

// checkPollAnswer validates an answer that tells how a query stands.
func checkPollAnswer(r response) error {
	switch {
	case r.status == statusOK && (r.pageCount < 1 || r.pageCount > maxPages):
		return fmt.Errorf("%w: %d pages", errMalformed, r.pageCount)
	case r.status == statusOK:
		return checkRows(r)
	case r.status == statusAccepted || r.status == statusNoContent || r.status >= statusFirstError:
		return nil
	}
	return fmt.Errorf("%w: status %d", errMalformed, r.status)
}

func checkRows(r response) error {
	if err := exchange.CheckRows(r.body); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// reportProgress passes on what the engine reports of a running query.
func (a *attempt) reportProgress(r response) {
	progress := admission.Progress{ID: a.exchange.ID, Attempt: a.number, Engine: a.engine}
	switch string(r.progressKind) {
	case progressDone:
		progress.Kind = admission.ProgressFraction
	case progressSpills:
		progress.Kind = admission.Spills
	case progressWaits:
		progress.Kind = admission.Waiting
	default:
		return
	}
	var ok bool
	if progress.Value, ok = parseNumber(r.progressValue); ok {
		a.client.sink.Notify(progress)
	}
}

// mustAwaitExpiry reports whether nobody waits for the query any more and it may not be deleted.
func (a *attempt) mustAwaitExpiry() bool { return !a.client.options.MayDelete && a.exchange.Settled() }

// awaitExpiry stops polling the query, and returns once its engine has ended it for that. Polling on would keep a
// query that never ends in flight forever, and with it its part of every limit.
func (a *attempt) awaitExpiry() admission.Status {
	a.conn.abort()
	a.client.options.Counters.Add("left_attempt", 1)
	time.Sleep(time.Until(a.lastCallAt.Add(queryExpiry)))
	return admission.Cancelled
}

// errorStatus is what an answer proves that is neither a result nor the progress of a running query.
func (a *attempt) errorStatus(r response) admission.Status {
	switch {
	case r.status == statusNoContent, a.isCancelled() && !r.notRun:
		return admission.Cancelled
	case r.status == statusUnavailable && r.notRun:
		return admission.Overloaded
	case r.status == statusGatewayTimeout && r.notRun:
		return admission.NotSent
	}
	return admission.Errored
}
