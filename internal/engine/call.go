package engine

import (
	"errors"
	"fmt"
	"time"
)

// answerTimeout is how long the answer to a call is waited for: an engine answers within 250 ms, or later by as much
// as its process is stopped. Polling again on another connection does no harm then, and where a connection has gone
// silent a short request still has time for a retry.
const answerTimeout = 350 * time.Millisecond

var (
	errRetired     = errors.New("engine: gone from the list")
	errUnreachable = errors.New("engine: not reached")
)

// call makes a call for the query on the current connection, or on a new one where that can't carry another call. check
// validates the answer.
func (a *attempt) call(method, path string, check func(response) error) (response, error) {
	if a.conn == nil || !a.conn.reusable() {
		if a.conn != nil && a.conn.hasSurplus() {
			a.client.idlePool.reportMalformed(a.instance)
		}
		a.closeConnection()
		conn, err := a.redial()
		if err != nil {
			return response{}, err
		}
		a.conn = conn
	}
	a.conn.writeRequestLine(method, path, a.instance.address)
	a.lastCallAt = time.Now() // the engine may receive the call even where sending it fails
	if err := a.conn.send(nil); err != nil {
		a.conn.close()
		a.client.options.Counters.Add("lost_call", 1)
		return response{}, err
	}
	return a.readAnswer(check)
}

// readAnswer reads the answer to the call that was sent, and validates it.
func (a *attempt) readAnswer(check func(response) error) (response, error) {
	a.lastCallAt = time.Now()
	r, err := a.conn.receive(a.lastCallAt.Add(answerTimeout))
	if err == nil {
		err = check(r)
	}
	if err != nil {
		a.conn.abort()
	}
	// The engine may have received the call until it was answered, or until its connection was reset.
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
	a.acknowledged = true
	a.instance.recordAnswer()
	return r, nil
}

// redial opens a further connection to the engine. It fails with errRetired once the engine's process has ended: its
// successor at the same address knows nothing of the query.
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
