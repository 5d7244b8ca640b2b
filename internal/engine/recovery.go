package engine

import (
	"errors"
	"time"

	"beechcart/admission"
)

const (
	// repollWindow is how long after the last call a lost poll is repeated. An engine ends a query that was not polled
	// for 2 s.
	repollWindow = 1600 * time.Millisecond
	redialPause  = 20 * time.Millisecond
	// withdrawDelay is the time in which an engine reads a POST that had arrived before its connection was reset.
	withdrawDelay = 100 * time.Millisecond
	// maxTimeouts bounds the calls in a row that time out. A process may hang while its kernel accepts connections, and
	// each call may be one that it receives: polling on would keep the attempt in flight until its client has gone.
	maxTimeouts = 4
	// maxPolls bounds the calls in a row that are reset or get a malformed answer, which takes no time.
	maxPolls = 10
)

// recoverQuery polls, on other connections, a query whose call was lost or got a malformed answer. The query is bound
// to no connection, so it may well be running. Any status but OK ends the attempt: the engine's process has ended,
// the engine does not know the query and never will, or the engine has ended it because it was not polled.
func (a *attempt) recoverQuery(cause error) (response, admission.Status) {
	acknowledged := a.acknowledged
	timeouts := 0
	if isTimeout(cause) {
		timeouts++
	}
	for polls := 0; polls < maxPolls && timeouts <= maxTimeouts && time.Since(a.lastCallAt) < repollWindow; {
		r, err := a.poll()
		switch {
		case errors.Is(err, errRetired):
			polls = maxPolls
		case isRefused(err):
			return r, admission.Reset // the process has ended, and the query with it
		case errors.Is(err, errUnreachable):
			time.Sleep(redialPause)
		case isTimeout(err):
			timeouts++
			polls++
		case err != nil:
			polls++
		case !acknowledged && (r.status == statusInternalError || r.status == statusNoContent):
			// The engine had not read the query when it answered, or the query failed and its answer was lost.
			if !a.withdraw() {
				polls++
				continue
			}
			return r, a.withdrawnStatus()
		default:
			return r, admission.OK
		}
	}
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

// withdraw takes back a POST that got no answer, of a query that the engine does not know. The connection of the POST
// is closed, so nothing more of it is sent; what had arrived at the engine's machine may be read after the reset, and
// withdrawDelay leaves time for that. It returns true once the engine has answered the DELETE: the query does not
// run, and won't.
func (a *attempt) withdraw() bool {
	time.Sleep(withdrawDelay)
	r, err := a.call("DELETE", queryPath(a.exchange.ID), checkPollAnswer)
	return err == nil && (r.status == statusNoContent || r.status == statusInternalError)
}

// withdrawnStatus is the status of an attempt whose POST was withdrawn: only its connection was lost, and the engine
// is alive.
func (a *attempt) withdrawnStatus() admission.Status {
	a.outcome.EngineAlive = true
	if a.isCancelled() {
		return admission.Cancelled
	}
	return admission.Reset
}
