package engine

import (
	"fmt"
	"time"

	"beechcart/admission"
	"beechcart/internal/exchange"
)

// queryExpiry is the time after the last call for a query at which the query is certain to have ended: an engine ends a
// query that was not polled for 2 s.
const queryExpiry = 2100 * time.Millisecond

// poll requests the state of the query, or deletes the query if the attempt is cancelled.
func (a *attempt) poll() (response, error) {
	if a.isCancelled() {
		return a.deleteQuery()
	}
	return a.requestState()
}

// requestState requests the state of the query. After a good end, the response is the first page of the result.
func (a *attempt) requestState() (response, error) {
	return a.call("GET", pagePath(a.exchange.ID, 0), checkPollResponse)
}

// deleteQuery deletes the query.
func (a *attempt) deleteQuery() (response, error) {
	return a.call("DELETE", queryPath(a.exchange.ID), checkPollResponse)
}

// endedStatus returns the status of an attempt that has ended without a result: Cancelled if the attempt was cancelled.
func (a *attempt) endedStatus(otherwise admission.Status) admission.Status {
	if a.isCancelled() {
		return admission.Cancelled
	}
	return otherwise
}

// checkPollResponse validates a response to the POST, a poll or the DELETE of a query.
func checkPollResponse(r response) error {
	switch {
	case r.status == statusOK && (r.pageCount < 1 || r.pageCount > maxPages):
		return fmt.Errorf("%w: found page count %d, must be at least 1 and within the page limit",
			errMalformed, r.pageCount)
	case r.status == statusOK:
		return checkRows(r)
	case r.status == statusAccepted || r.status == statusNoContent || r.status >= statusFirstError:
		return nil
	}
	return fmt.Errorf("%w: found status %d, must be 200, 202, 204 or at least 400", errMalformed, r.status)
}

func checkRows(r response) error {
	if err := exchange.CheckRows(r.body); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// reportProgress passes the progress of a running query on to the sink. An unknown kind or a malformed value is
// skipped.
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

// mustAwaitExpiry reports whether the exchange is settled, so that the result is no longer needed, and the query may
// not be deleted.
func (a *attempt) mustAwaitExpiry() bool { return !a.client.options.MayDelete && a.exchange.Settled() }

// awaitExpiry stops polling the query, and returns once the engine has ended the unpolled query. Further polls would
// keep a query that never ends in flight forever, and the query would occupy its share of every limit.
func (a *attempt) awaitExpiry() admission.Status {
	a.conn.abort()
	a.client.options.Counters.Add("left_attempt", 1)
	time.Sleep(time.Until(a.lastCallAt.Add(queryExpiry)))
	return admission.Cancelled
}

// errorStatus returns the status of an attempt for a response that is neither a result nor the progress of a running
// query. Only the process that received the POST can know that the query has never run. Another connection may lead to
// a new process at the same address, so a claim on another connection proves nothing.
func (a *attempt) errorStatus(r response) admission.Status {
	provedNotRun := r.notRun && a.conn == a.postConn
	switch {
	case r.status == statusNoContent, a.isCancelled() && !provedNotRun:
		return admission.Cancelled
	case r.status == statusUnavailable && provedNotRun:
		return admission.Overloaded
	case r.status == statusGatewayTimeout && provedNotRun:
		return admission.NotSent
	case r.notRun && !provedNotRun:
		a.client.options.Counters.Add("unproved_not_run", 1)
		a.outcome.EngineAlive = true
		return admission.Reset
	}
	return admission.Errored
}
