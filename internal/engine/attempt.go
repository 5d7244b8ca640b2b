package engine

import (
	"errors"
	"strconv"
	"time"

	"beechcart/admission"
	"beechcart/internal/exchange"
)

const (
	// minTimeLeft is the shortest time before the deadline at which a query is still sent.
	minTimeLeft = time.Millisecond
	// singleWriteBytes is the request size up to which every socket accepts a request in one write. If such a write fails
	// without a timeout, no byte has been sent. Larger requests are written without a copy.
	singleWriteBytes = 8 << 10
	// maxPostHeaderBytes is the size that the headers of a POST do not exceed.
	maxPostHeaderBytes = 1 << 10
	// minRequestRate is the least rate at which an engine reads a large request, in bytes a second.
	minRequestRate = 16 << 10
)

// attempt is one query on one engine, from the POST until there is proof that the query no longer runs. The methods of
// an attempt must be called from one goroutine.
//
// A response does not identify the query that it belongs to, so a leftover response to another query, however late,
// must not be read as the response to this query. A connection that has carried another query is reused only where
// decision/reuse allows it.
type attempt struct {
	client    *Client
	exchange  *exchange.Exchange
	number    int
	instance  *instance // nil: the endpoint list does not contain the engine
	engine    uint32
	terms     admission.Terms
	startedAt time.Time
	deadline  time.Time
	notAfter  time.Time // the query is not sent after this time; zero: no limit

	cancelled       chan struct{} // closed when the attempt is cancelled
	cancelRequested bool          // guarded by client.mu; true once cancelled is closed

	outcome    admission.Outcome
	conn       *connection // nil or closed: the next call opens a connection
	postConn   *connection // the connection that the query was posted on
	lastCallAt time.Time   // the latest time at which the engine may have received a call for the query
	// acknowledged reports that the engine has responded to a call for the query. The engine then has the query, unless
	// the response reported the end of the query. If acknowledged is false, the POST got no response, and the engine may
	// not have read the POST yet.
	acknowledged bool
	postUnread   bool          // the engine's host has received the POST, and the process may read it at any later time
	pollUnread   bool          // the same, of another call
	callTimeout  time.Duration // how long a call waits for its response
	// unconfirmed is a connection that has carried another query and is not trusted. A response on this connection may
	// belong to the other query, and counts only once confirm has succeeded.
	unconfirmed   *connection
	responsePause time.Duration // how long a response that has begun may pause; grows with each timeout
	reservedRows  int           // memory of the rows of the latest complete result
	memoryWait    time.Duration // time spent waiting for memory for rows
	suspect       *suspectPage  // the latest page that may be truncated; nil: none
	rereads       int           // how often the result was read again because an earlier page was truncated
}

func (a *attempt) isCancelled() bool {
	select {
	case <-a.cancelled:
		return true
	default:
		return false
	}
}

// run executes the attempt. run returns the status, and the complete result if the status is OK.
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
			var rows []byte
			a.releaseRows()
			if status, rows, err = a.readResult(r); err != nil {
				continue
			}
			if !unconfirmed || (status == admission.OK && a.confirm(firstPages, rows[:firstSize])) {
				return status, rows
			}
			err = a.discardUnconfirmed()
		case unconfirmed:
			// If this is the error of another query, returning it would cause a retry of this query while this query
			// runs.
			err = a.discardUnconfirmed()
		default:
			return a.errorStatus(r), nil
		}
	}
}

// post sends the query and reads the response. A status other than OK ends the attempt and guarantees that the query
// has not run. If the status is OK, a non-nil err means that the response was lost or malformed: the query may be
// running.
func (a *attempt) post() (r response, status admission.Status, err error) {
	transfer := a.transferTime()
	for posts := 1; ; posts++ {
		if status := a.connect(); status != admission.OK {
			return r, status, nil
		}
		if transfer > 0 {
			defer a.abortOnCancel()()
		}
		a.postConn = a.conn
		a.writePostHeaders()
		a.lastCallAt = time.Now()
		if err = a.sendStatement(transfer); err == nil {
			break
		}
		if isTimeout(err) || transfer > 0 {
			// A part of the request may have been sent. The engine would read another call as the rest of the statement.
			a.conn.abort()
			a.lastCallAt = time.Now()
			if isTimeout(err) {
				return r, a.endedStatus(admission.TimedOut), nil // the rest never arrives, and the query never begins
			}
			break
		}
		// The connection was closed or reset before the write, so the kernel has sent nothing.
		a.conn.close()
		a.client.options.Counters.Add("unwritten", 1)
		if posts == maxDials {
			return r, admission.ConnectFailed, nil
		}
	}
	if err == nil {
		r, err = a.readResponse(transfer, checkPollResponse)
	}
	return r, admission.OK, err
}

// transferTime returns how long an engine may take to read a POST that does not fit into one write; 0 if it fits. After
// the write, the bytes may still lie in the buffers of both kernels.
func (a *attempt) transferTime() time.Duration {
	size := len(a.exchange.Statement) + maxPostHeaderBytes
	if size <= singleWriteBytes {
		return 0
	}
	return time.Duration(size) * time.Second / minRequestRate
}

// sendStatement sends the POST, for at most the time that a large one may take.
func (a *attempt) sendStatement(transfer time.Duration) error {
	if transfer > 0 {
		left := max(time.Until(a.deadline), minTimeLeft)
		a.conn.writeTimeout = min(writeTimeout+transfer, left)
	}
	return a.conn.send(a.exchange.Statement)
}

// abortOnCancel closes the connection when the attempt is cancelled, until stop is called. Otherwise a cancellation
// would wait until the engine has read a large POST.
func (a *attempt) abortOnCancel() (stop func()) {
	conn, stopped := a.conn, make(chan struct{})
	go func() {
		select {
		case <-a.cancelled:
			conn.abort()
		case <-stopped:
		}
	}()
	return func() { close(stopped) }
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

// connect acquires the connection for the POST. A status other than OK ends the attempt.
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
	if a.client.options.AwaitInput != nil {
		a.client.options.AwaitInput(a.startedAt)
	}
	// While the connection was opened, the engine may have begun to drain, the client may have disconnected, or the
	// deadline or notAfter (the end of the deduplication window) may have passed. Where queries may not be deleted, the
	// disconnect of a client does not cancel the attempt, so Abandoned is checked in addition to isCancelled.
	tooLate := time.Until(a.deadline) < minTimeLeft || (!a.notAfter.IsZero() && time.Now().After(a.notAfter))
	if tooLate || a.isCancelled() || !a.instance.isReady() || a.exchange.Abandoned() {
		a.client.options.Counters.Add("unsent", 1)
		return admission.NotSent
	}
	return admission.OK
}

// closeConnection closes the current connection, if any.
func (a *attempt) closeConnection() {
	if a.conn != nil {
		a.conn.close()
	}
}

// releaseConnection passes the connection to the idle pool, which keeps or closes the connection. No response is
// outstanding on the connection: a call that gets no response or a malformed one closes its connection.
func (a *attempt) releaseConnection() {
	if a.conn != nil {
		a.client.idlePool.put(a.instance, a.conn)
	}
}
