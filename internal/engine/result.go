package engine

import (
	"errors"
	"fmt"
	"time"

	"beechcart/admission"
)

// Size limits of one result.
const (
	maxPages       = 1024
	maxResultBytes = 1 << 20
)

// maxRereads bounds how often one attempt reads its result again from the first page.
const maxRereads = 10

// readResult reads the complete result of a query that has succeeded. r is the response with the first page. If a page
// cannot be read, the attempt ends without rows: a partial result must not reach a client. An error means that a page
// that had been read was truncated: the result must be read again from its first page.
func (a *attempt) readResult(r response) (admission.Status, []byte, error) {
	a.outcome.Work = time.Duration(r.workMs * float64(time.Millisecond))
	a.outcome.MemoryMB = r.memoryMB
	a.outcome.Report = parseLoadReport(r.loadReport)
	pageCount := r.pageCount
	// The rows outlive the connection's buffer. This copy is the only copy of the rows in this package.
	rows := rowBuffer{attempt: a}
	if !rows.append(r.body, min(len(r.body)*pageCount, maxResultBytes)) {
		return admission.Errored, nil, nil
	}
	if pageCount > 1 {
		a.conn.limitReceiveBuffer(pagedReceiveBuffer)
	}
	for page := 1; page < pageCount; page++ {
		var status admission.Status
		var err error
		if r, status, err = a.readPage(page); err != nil || status != admission.OK {
			rows.discard()
			return status, nil, err
		}
		if len(rows.b)+len(r.body) > maxResultBytes {
			a.client.options.Counters.Add("result_too_large", 1)
			rows.discard()
			return admission.Errored, nil, nil
		}
		if !rows.append(r.body, maxResultBytes) {
			return admission.Errored, nil, nil
		}
	}
	a.reservedRows = rows.reserved
	return admission.OK, rows.b, nil
}

// readPage reads one page. A lost or malformed response is requested again on a new connection. The error is
// errPreviousTruncated or nil.
func (a *attempt) readPage(page int) (response, admission.Status, error) {
	path := pagePath(a.exchange.ID, page)
	check := func(r response) error { return checkPage(r, page) }
	for polls, timeouts := 0, 0; ; polls++ {
		r, err := a.call("GET", path, check)
		switch {
		case err == nil && r.status == statusOK:
			return r, admission.OK, nil
		case err == nil:
			a.client.options.Counters.Add("no_page", 1)
			return r, admission.Errored, nil
		case errors.Is(err, errPreviousTruncated):
			status, err := a.startReread(err)
			return r, status, err
		}
		a.client.options.Counters.Add("lost_page", 1)
		if isTimeout(err) {
			timeouts++
		}
		if errors.Is(err, errRetired) || isRefused(err) || polls == maxFailedPolls || timeouts > maxTimeouts ||
			a.isCancelled() || time.Now().After(a.deadline) {
			return r, admission.Reset, nil
		}
	}
}

// startReread counts a further read of the result from its first page, and returns cause as the error that starts it.
// Once maxRereads is reached, it returns the status that ends the attempt instead.
func (a *attempt) startReread(cause error) (admission.Status, error) {
	if a.rereads == maxRereads {
		a.client.options.Counters.Add("lost_page", 1)
		return admission.Reset, nil
	}
	a.rereads++
	a.client.options.Counters.Add("truncated_page", 1)
	return admission.OK, cause
}

// checkPage validates the response to a call for a page. An error status is valid: the engine no longer has the page.
func checkPage(r response, page int) error {
	switch {
	case r.status >= statusFirstError:
		return nil
	case r.status != statusOK || r.pageNumber != page:
		return fmt.Errorf("%w: found status %d and page %d, must be 200 and page %d",
			errMalformed, r.status, r.pageNumber, page)
	}
	return checkRows(r)
}
