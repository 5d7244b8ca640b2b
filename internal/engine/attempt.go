package engine

import (
	"errors"
	"strconv"
	"time"

	"beechcart/admission"
	"beechcart/internal/exchange"
)

const (
	// minTimeLeft is the time below which a query is no longer sent.
	minTimeLeft = time.Millisecond
	// singleWriteBytes is what any socket accepts in one write: a smaller write that fails at once has sent nothing.
	singleWriteBytes = 8 << 10
)

// attempt is one query on one engine, from its POST until it is proved that the query no longer runs. Its methods are
// for one goroutine.
//
// An answer does not say which query it belongs to, so what is left of another query's answer, however late it
// arrives, must not be read as this query's answer. A connection that has carried another query is used only where
// decision/reuse allows it.
type attempt struct {
	client    *Client
	exchange  *exchange.Exchange
	number    int
	instance  *instance // nil: the engine is not known
	engine    uint32
	terms     admission.Terms
	startedAt time.Time
	deadline  time.Time
	notAfter  time.Time // the query is not sent later; zero: no such bound

	cancelled       chan struct{} // closed when the attempt is given up
	cancelRequested bool          // guarded by the client's lock; cancelled is closed

	outcome    admission.Outcome
	conn       *connection // nil or closed: the next call opens one
	lastCallAt time.Time   // the last time at which the engine may have received a call for the query
	// acknowledged reports that the engine has answered for the query, so the query exists there unless its end was
	// reported. Otherwise the POST got no answer, and the engine may not have read it yet.
	acknowledged bool
	// unconfirmed is a connection that has carried another query and is not trusted. What it brings may be the other
	// query's answer, and counts only once it has been confirmed.
	unconfirmed *connection
}

func (a *attempt) isCancelled() bool {
	select {
	case <-a.cancelled:
		return true
	default:
		return false
	}
}

// run carries the attempt out and returns its status, and the whole result when it was served.
func (a *attempt) run() (admission.Status, []byte) {
	if a.instance == nil || a.exchange.Settled() {
		return admission.NotSent, nil
	}
	defer a.releaseConnection()
	r, status, err := a.post()
	if status != admission.OK {
		return status, nil
	}
	for {
		if err != nil {
			if r, status = a.recoverQuery(err); status != admission.OK {
				return status, nil
			}
		}
		unconfirmed := a.unconfirmed != nil && a.conn == a.unconfirmed
		switch {
		case r.status == statusAccepted && a.mustAwaitExpiry():
			return a.awaitExpiry(), nil
		case r.status == statusAccepted:
			a.reportProgress(r)
			r, err = a.poll()
		case r.status == statusOK:
			firstPages, firstSize := r.pageCount, len(r.body)
			status, rows := a.readResult(r)
			if !unconfirmed || (status == admission.OK && a.confirm(firstPages, rows[:firstSize])) {
				return status, rows
			}
			err = a.discardUnconfirmed()
		case unconfirmed:
			// Another query's error would let this query be sent again while it runs.
			err = a.discardUnconfirmed()
		default:
			return a.errorStatus(r), nil
		}
	}
}

// post sends the query. Any status but OK ends the attempt, and the query has not run.
func (a *attempt) post() (r response, status admission.Status, err error) {
	for posts := 1; ; posts++ {
		if status := a.connect(); status != admission.OK {
			return r, status, nil
		}
		a.writePostHeaders()
		a.lastCallAt = time.Now()
		if err = a.conn.send(a.exchange.Statement); err == nil {
			break
		}
		if isTimeout(err) || len(a.conn.request) > singleWriteBytes {
			break // a part of it may have been sent
		}
		// The kernel knew already that the connection was closed, and has sent nothing.
		a.conn.close()
		a.client.options.Counters.Add("unwritten", 1)
		if posts == maxDials {
			return r, admission.ConnectFailed, nil
		}
	}
	if err == nil {
		r, err = a.readAnswer(checkPollAnswer)
	}
	return r, admission.OK, err
}

func (a *attempt) writePostHeaders() {
	a.conn.writeRequestLine("POST", queriesPath, a.instance.address)
	a.conn.writeHeader(headerRequestID, a.exchange.ID)
	a.conn.writeHeader(headerClass, a.exchange.ClassName)
	a.conn.writeHeader(headerTimeout, strconv.FormatInt(time.Until(a.deadline).Milliseconds(), 10))
	a.conn.writeHeader(headerPriority, strconv.Itoa(a.terms.Priority))
	if a.terms.GrantMB > 0 {
		a.conn.writeHeader(headerReservedMemory, strconv.FormatFloat(a.terms.GrantMB, 'f', -1, 64))
	}
}

// connect opens the connection for the POST. Any status but OK ends the attempt.
func (a *attempt) connect() admission.Status {
	var err error
	var needsConfirmation bool
	a.conn, needsConfirmation, err = a.instance.acquire(a.client.nonIdempotent(a.exchange), ordinaryUse)
	if errors.Is(err, errNoSocket) {
		a.client.options.Counters.Add("no_socket", 1)
		return admission.Overloaded
	} else if err != nil {
		return admission.ConnectFailed
	}
	if a.unconfirmed = nil; needsConfirmation {
		a.unconfirmed = a.conn
	}
	// While the connection came up, the engine may have begun to drain, the client may have gone, or the deadline or the
	// deduplication window may have passed. The exchange is asked whether its client has gone: where queries may not be
	// cancelled, nobody cancels the attempt.
	late := time.Until(a.deadline) < minTimeLeft || (!a.notAfter.IsZero() && time.Now().After(a.notAfter))
	if late || a.isCancelled() || !a.instance.isReady() || a.exchange.Abandoned() {
		a.client.options.Counters.Add("unsent", 1)
		return admission.NotSent
	}
	return admission.OK
}

// closeConnection closes the current connection, if there is one.
func (a *attempt) closeConnection() {
	if a.conn != nil {
		a.conn.close()
	}
}

// releaseConnection hands the connection to the idle pool, which keeps it or closes it. No answer is due on it: a
// call that was not answered, or whose answer was malformed, has closed its connection.
func (a *attempt) releaseConnection() {
	if a.conn != nil {
		a.client.idlePool.put(a.instance, a.conn)
	}
}
