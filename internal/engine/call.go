package engine

import (
	"errors"
	"fmt"
	"time"
)

// callTimeout is how long a call waits for its response. An engine responds within 250 ms, plus any time for which its
// process is stopped. After a timeout the query is polled on another connection, which is harmless if the engine was
// only late. If a connection delivers nothing more, 350 ms leave a short request time for a retry.
const callTimeout = 350 * time.Millisecond

var (
	errRetired     = errors.New("engine: removed from the endpoint list or replaced by another process")
	errUnreachable = errors.New("engine: connection could not be opened")
)

// call sends a call for the query and returns the response. The call uses the current connection, or a new one if the
// current connection is not reusable. check validates the response.
func (a *attempt) call(method, path string, check func(response) error) (response, error) {
	if a.conn == nil || !a.conn.reusable() {
		if a.conn != nil && a.conn.hasSurplus() {
			a.client.idlePool.reportMalformed(a.instance)
			if a.conn.holdsRow() {
				a.closeConnection()
				return response{}, errPreviousTruncated
			}
		}
		a.closeConnection()
		conn, err := a.redial()
		if err != nil {
			return response{}, err
		}
		a.conn = conn
	}
	a.conn.writeRequestLine(method, path, a.instance.address)
	a.lastCallAt = time.Now() // the engine may receive the call even if send fails
	if err := a.conn.send(nil); err != nil {
		a.conn.close()
		a.client.options.Counters.Add("lost_call", 1)
		return response{}, err
	}
	return a.readResponse(0, check)
}

// readResponse reads the response to the call that was sent, and validates the response with check. transfer is the
// time that the engine may take to read the call.
func (a *attempt) readResponse(transfer time.Duration, check func(response) error) (response, error) {
	a.lastCallAt = time.Now()
	timer := a.responseTimer(transfer)
	r, err := a.conn.receiveTimed(&timer)
	if err != nil && isTimeout(err) && a.conn.stream.inputSize() > 0 {
		a.responsePause = min(2*a.responsePause, maxResponsePause)
	}
	if err != nil && a.conn.holdsRow() {
		err = errPreviousTruncated
	}
	if err == nil {
		err = check(r)
	}
	if err == nil {
		r, err = a.checkTruncation(r)
	}
	if err != nil {
		a.noteUnread(err)
		a.conn.abort()
	}
	// The engine may have received the call at any time until the response arrived or the connection was reset.
	a.lastCallAt = time.Now()
	if err != nil {
		if isMalformed(err) {
			a.client.options.Counters.Add("spoilt_answer", 1)
			a.client.idlePool.reportMalformed(a.instance)
		} else {
			a.client.options.Counters.Add("lost_call", 1)
		}
		return r, err
	}
	a.acknowledged, a.pollUnread = true, false
	a.instance.recordResponse()
	return r, nil
}

// noteUnread notes whether the engine's process may read the latest call later, although the call has ended without a
// valid response: its bytes lie in the kernel of the engine's host. Bytes that the host has not acknowledged do not
// arrive once the connection is reset. A process that has sent a part of a response has read the call, unless an
// earlier query was sent on the connection, whose response may have been duplicated.
func (a *attempt) noteUnread(err error) {
	hasAnswered := a.conn.stream.inputSize() > 0 && a.conn.queries == 0
	unread := !hasAnswered && !a.conn.isPartlyUndelivered(err)
	if a.conn == a.postConn && !a.acknowledged {
		a.postUnread = unread
	} else if unread {
		a.pollUnread = true
	}
}

// responseTimer returns the time limits of the response to the latest call. An engine may write a response slowly until
// the deadline of the attempt. After the deadline, calls only find out whether the query has ended.
func (a *attempt) responseTimer(transfer time.Duration) responseTimer {
	timer := responseTimer{
		deadline: a.lastCallAt.Add(a.callTimeout + transfer), pause: a.responsePause, cancelled: a.cancelled,
	}
	if a.lastCallAt.Before(a.deadline) {
		timer.end = a.deadline
	}
	if transfer > 0 && timer.deadline.After(a.deadline) {
		timer.deadline = a.deadline
	}
	return timer
}

// redial opens a new connection to the engine. redial fails with errRetired once the engine's process has ended: a new
// process at the same address does not have the query.
func (a *attempt) redial() (*connection, error) {
	if a.instance.isRetired() {
		return nil, errRetired
	}
	conn, err := a.client.dial(a.instance.address, urgentUse)
	if err == nil && a.instance.isRetired() {
		conn.close()
		return nil, errRetired
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return conn, nil
}
