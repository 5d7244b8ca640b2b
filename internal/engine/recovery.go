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
	// withdrawDelay is the time within which an engine that responds reads a POST that arrived before its connection was
	// reset.
	withdrawDelay = 100 * time.Millisecond
	// stalledWithdrawDelay is withdrawDelay of a POST that timed out: the process may have been stopped until just now,
	// and be busy with all that has arrived meanwhile.
	stalledWithdrawDelay = 400 * time.Millisecond
	// maxTimeouts is the number of calls that may time out in one recovery, or while one page is read; one more timeout
	// ends the recovery or the read. The timeout that caused a recovery counts. A process may hang while its kernel
	// accepts connections, and each call may still reach the process, so unlimited polls would keep the attempt in flight
	// until the client disconnects.
	maxTimeouts = 4
	// maxFailedPolls bounds the calls that fail in one recovery, or while one page is read. A reset or a malformed
	// response takes almost no time, so a time limit alone would not bound their number. A recovery does not count
	// failures to open a connection, which repollWindow bounds.
	maxFailedPolls = 10
	// maxCallTimeout bounds the timeout of the polls of an engine that hangs, which grows with each of them.
	maxCallTimeout = 2 * time.Second
	// maxRedialPause bounds the pause between two polls of an engine that hangs.
	maxRedialPause = 500 * time.Millisecond
)

// errNotWithdrawn reports that an engine has not confirmed that a POST is withdrawn.
var errNotWithdrawn = errors.New("engine: the withdrawal of a query was not confirmed")

// recovery polls a query on new connections after a call was lost or got a malformed response, until the state of the
// query is known. A query is not bound to a connection, so the query may still be running.
//
// An engine expires a query that is not polled for 2 s, but counts that time itself. While its process hangs, its
// kernel accepts connections and calls, and the process reads them as soon as it goes on: a POST then begins its query,
// and a poll keeps a query alive for another 2 s. So the time on this host's clock proves the end of a query only if
// the process has responded since, or if no call can lie unread.
type recovery struct {
	*attempt
	cause        error
	acknowledged bool // the engine has responded to a call before the recovery
	timeouts     int  // calls that timed out, including the cause of the recovery
	failed       int  // polls without a usable response
	silentPolls  int  // polls that timed out: the process may hang
	reached      bool // the engine's host has accepted a connection since the call was lost, or may have
}

// recoverQuery recovers the query after err. A status other than OK ends the attempt, for one of three reasons: the
// engine's process has ended, the engine does not have the query and never will, or the engine has ended the query
// because it was not polled.
func (a *attempt) recoverQuery(cause error) (response, admission.Status) {
	r := &recovery{attempt: a, cause: cause, acknowledged: a.acknowledged}
	if isTimeout(cause) {
		r.timeouts++
	}
	for r.failed < maxFailedPolls && r.timeouts <= maxTimeouts && time.Since(a.lastCallAt) < repollWindow {
		answer, status, err := r.evaluate(a.poll())
		if err == nil {
			return answer, status
		}
		if errors.Is(err, errUnreachable) {
			time.Sleep(redialPause)
		}
	}
	if answer, status, ok := r.awaitProcess(); ok {
		return answer, status
	}
	// Whether the query still runs is unknown, so the attempt ends only once the engine has ended the unpolled query.
	r.deleteUnneeded()
	time.Sleep(time.Until(a.lastCallAt.Add(queryExpiry)))
	return response{}, r.lostStatus()
}

// evaluate evaluates the result of a poll. If the error is nil, the recovery is over.
func (r *recovery) evaluate(answer response, err error) (response, admission.Status, error) {
	if errors.Is(err, errNoSocket) || !errors.Is(err, errUnreachable) {
		r.reached = true
	}
	switch {
	case errors.Is(err, errRetired):
		r.failed = maxFailedPolls
	case isRefused(err):
		return answer, admission.Reset, nil // the process has ended, and with it the query
	case errors.Is(err, errUnreachable):
	case isTimeout(err):
		r.timeouts++
		r.silentPolls++
		r.failed++
	case err != nil:
		r.failed++
	case !r.acknowledged && isQueryGone(answer):
		if known, ok := r.pollAfterHang(); ok {
			return known, admission.OK, nil
		}
		// Either the engine has not read the POST yet, or the query failed and the response to the POST was lost.
		if !r.withdraw() {
			r.failed++
			return answer, admission.OK, errNotWithdrawn
		}
		return answer, r.withdrawnStatus(), nil
	}
	return answer, admission.OK, err
}

// pollAfterHang polls once more a query that the engine does not know, if the process has hung since the POST: it may
// have responded to the poll before it has read the POST. ok reports that the engine knows the query now.
func (r *recovery) pollAfterHang() (answer response, ok bool) {
	if r.silentPolls == 0 || r.isCancelled() {
		return response{}, false
	}
	time.Sleep(withdrawDelay)
	answer, err := r.requestState()
	return answer, err == nil && !isQueryGone(answer)
}

// awaitProcess waits while the engine's process may hang with a call unread. ok reports that a poll has ended the
// recovery. Otherwise nothing more can be learned from polls: the process responds, but not to polls; or nobody waits
// for the result; or no call can lie unread.
func (r *recovery) awaitProcess() (answer response, status admission.Status, ok bool) {
	wasHung := false
	if r.mayRunLater() {
		r.client.options.Counters.Add("hung_engine", 1)
	}
	pause := redialPause
	defer func() { r.callTimeout = callTimeout }()
	for r.mayRunLater() {
		if r.isResponsive() {
			// Calls that lay unread may have been read until now.
			r.lastCallAt = time.Now()
			if !wasHung {
				break
			}
			wasHung = false
		} else {
			wasHung = true
		}
		answer, status, err := r.pollPatiently()
		if err == nil {
			return answer, status, true
		}
		if !isTimeout(err) {
			time.Sleep(pause)
			pause = min(2*pause, maxRedialPause)
		}
	}
	return response{}, admission.OK, false
}

// isResponsive reports whether the process responds to a health check, where health checks are allowed.
func (r *recovery) isResponsive() bool {
	if !r.client.options.MayCheckHealth {
		return false
	}
	r.client.options.Counters.Add("probes", 1)
	return r.instance.isResponsive(r.callTimeout)
}

// pollPatiently polls the query once, with a timeout that is doubled for the next such poll. While its engine hung, the
// attempt may have been cancelled in favour of another engine, but the result may be there now.
func (r *recovery) pollPatiently() (response, admission.Status, error) {
	defer func() { r.callTimeout = min(2*r.callTimeout, maxCallTimeout) }()
	return r.evaluate(r.requestState())
}

// mayRunLater reports whether the query may run although it was not polled for 2 s, because the engine's process may
// hang, and read a call later that lies in the kernel of its host. Once the exchange is settled, no further attempt
// depends on the end of this one.
func (r *recovery) mayRunLater() bool {
	switch {
	case r.exchange.Settled() || r.instance.isRetired():
		return false
	case !r.acknowledged:
		return r.postUnread
	}
	// A host that accepts no connection since is cut off from this one, and its process goes on without polls.
	return r.pollUnread && r.reached
}

// deleteUnneeded deletes a query whose result is no longer needed, where queries may be deleted. An engine that hangs
// reads the DELETE once it goes on.
func (r *recovery) deleteUnneeded() {
	if r.client.options.MayDelete && r.exchange.Settled() && !r.instance.isRetired() {
		_, _ = r.deleteQuery()
	}
}

// lostStatus returns the status of an attempt whose query was given up.
func (r *recovery) lostStatus() admission.Status {
	r.client.options.Counters.Add("lost_attempt", 1)
	if isTimeout(r.cause) {
		return r.endedStatus(admission.TimedOut)
	}
	return r.endedStatus(admission.Reset)
}

// withdraw deletes a query that the engine does not have and whose POST got no response. The connection of the POST is
// closed, so no more bytes of the POST are sent. The engine may still read bytes that arrived at its host before the
// reset, and a delay leaves time for that. If the process has hung since the POST, it may read its connections in any
// order when it goes on, and withdraw also waits until a query that begins now has expired. withdraw returns true if
// the engine has confirmed the DELETE: the query does not run and will not run.
func (r *recovery) withdraw() bool {
	delay := withdrawDelay
	if isTimeout(r.cause) {
		delay = stalledWithdrawDelay
	}
	time.Sleep(delay)
	answer, err := r.deleteQuery()
	if err != nil || !isQueryGone(answer) {
		return false
	}
	if r.silentPolls > 0 {
		time.Sleep(queryExpiry)
	}
	return true
}

// isQueryGone reports whether a response to a poll or a DELETE says that the engine does not have the query.
func isQueryGone(r response) bool {
	return r.status == statusNoContent || r.status == statusInternalError
}

// withdrawnStatus returns the status of an attempt whose POST was withdrawn, and marks the engine as alive: only the
// connection was lost.
func (a *attempt) withdrawnStatus() admission.Status {
	a.outcome.EngineAlive = true
	return a.endedStatus(admission.Reset)
}
