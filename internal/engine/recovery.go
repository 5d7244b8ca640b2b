package engine

import (
	"errors"
	"time"

	"beechcart/admission"
)

const (
	// repollWindow is the time after the last call during which a lost poll is repeated. An engine ends a query that was
	// not polled for 2 s.
	repollWindow = 1600 * time.Millisecond
	redialPause  = 20 * time.Millisecond
	// withdrawDelay is the time within which an engine reads a POST that arrived before its connection was reset.
	withdrawDelay = 100 * time.Millisecond
	// maxTimeouts is the number of calls that may time out in one recovery, or while one page is read; one more timeout
	// ends the recovery or the read. The timeout that caused a recovery counts. A process may hang while its kernel
	// accepts connections, and each call may still reach the process, so unlimited polls would keep the attempt in flight
	// until the client disconnects.
	maxTimeouts = 4
	// maxFailedPolls bounds the calls that fail in one recovery, or while one page is read. A reset or a malformed
	// response takes almost no time, so a time limit alone would not bound their number. A recovery does not count
	// failures to open a connection, which repollWindow bounds.
	maxFailedPolls = 10
)

// recoverQuery polls a query on new connections after a call was lost or got a malformed response. A query is not bound
// to a connection, so the query may still be running. A status other than OK ends the attempt, for one of three
// reasons: the engine's process has ended, the engine does not have the query and never will, or the engine has ended
// the query because it was not polled.
func (a *attempt) recoverQuery(cause error) (response, admission.Status) {
	acknowledged := a.acknowledged
	timeouts := 0
	if isTimeout(cause) {
		timeouts++
	}
	for failed := 0; failed < maxFailedPolls && timeouts <= maxTimeouts && time.Since(a.lastCallAt) < repollWindow; {
		r, err := a.poll()
		switch {
		case errors.Is(err, errRetired):
			failed = maxFailedPolls
		case isRefused(err):
			return r, admission.Reset // the process has ended, and with it the query
		case errors.Is(err, errUnreachable):
			time.Sleep(redialPause)
		case isTimeout(err):
			timeouts++
			failed++
		case err != nil:
			failed++
		case !acknowledged && (r.status == statusInternalError || r.status == statusNoContent):
			// Either the engine has not read the POST yet, or the query failed and the response to the POST was lost.
			if !a.withdraw() {
				failed++
				continue
			}
			return r, a.withdrawnStatus()
		default:
			return r, admission.OK
		}
	}
	// Whether the query still runs is unknown, so the attempt ends only once the engine has ended the unpolled query.
	time.Sleep(time.Until(a.lastCallAt.Add(queryExpiry)))
	a.client.options.Counters.Add("lost_attempt", 1)
	switch {
	case a.isCancelled():
		return response{}, admission.Cancelled
	case isTimeout(cause):
		return response{}, admission.TimedOut
	}
	return response{}, admission.Reset
}

// withdraw deletes a query that the engine does not have and whose POST got no response. The connection of the POST is
// closed, so no more bytes of the POST are sent. The engine may still read bytes that arrived at its host before the
// reset, and withdrawDelay leaves time for that. withdraw returns true if the engine has confirmed the DELETE: the
// query does not run and will not run.
func (a *attempt) withdraw() bool {
	time.Sleep(withdrawDelay)
	r, err := a.call("DELETE", queryPath(a.exchange.ID), checkPollResponse)
	return err == nil && (r.status == statusNoContent || r.status == statusInternalError)
}

// withdrawnStatus returns the status of an attempt whose POST was withdrawn, and marks the engine as alive: only the
// connection was lost.
func (a *attempt) withdrawnStatus() admission.Status {
	a.outcome.EngineAlive = true
	if a.isCancelled() {
		return admission.Cancelled
	}
	return admission.Reset
}
