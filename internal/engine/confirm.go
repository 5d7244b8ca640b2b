package engine

import (
	"bytes"
	"errors"
)

// errUnconfirmed reports that an answer is not proved to be this query's.
var errUnconfirmed = errors.New("engine: an answer that was not confirmed")

// confirm asks for the first page once more, behind the answer that was read, and reports whether it is the same.
func (a *attempt) confirm(pageCount int, body []byte) bool {
	r, err := a.call("GET", pagePath(a.exchange.ID, 0), checkPollAnswer)
	if err == nil && r.status == statusOK && r.pageCount == pageCount && bytes.Equal(r.body, body) {
		return true
	}
	if err == nil {
		a.client.idlePool.reportMalformed(a.instance)
	}
	return false
}

// discardUnconfirmed closes a connection whose answers are not proved to be this query's. All that is known then is
// that the query was sent: the engine may not have read it yet.
func (a *attempt) discardUnconfirmed() error {
	a.client.options.Counters.Add("unproved_answer", 1)
	if a.conn != nil {
		a.conn.abort()
	}
	a.unconfirmed, a.acknowledged = nil, false
	return errUnconfirmed
}
