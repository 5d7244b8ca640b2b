package engine

import (
	"bytes"
	"errors"
)

// errUnconfirmed reports a response that is not proved to belong to this query.
var errUnconfirmed = errors.New("engine: response on an untrusted connection not confirmed")

// confirm requests the first page again after the result has been read, and reports whether pageCount and body match
// the second response.
func (a *attempt) confirm(pageCount int, body []byte) bool {
	r, err := a.requestState()
	if err == nil && r.status == statusOK && r.pageCount == pageCount && bytes.Equal(r.body, body) {
		return true
	}
	if err == nil {
		a.client.idlePool.reportMalformed(a.instance)
	}
	return false
}

// discardUnconfirmed closes a connection whose responses are not proved to belong to this query. The attempt then
// counts as sent but not acknowledged: the engine may not have read the query yet.
func (a *attempt) discardUnconfirmed() error {
	a.client.options.Counters.Add("unproved_answer", 1)
	if a.conn != nil {
		a.conn.abort()
	}
	a.unconfirmed, a.acknowledged = nil, false
	return errUnconfirmed
}
