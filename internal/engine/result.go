package engine

import (
	"errors"
	"fmt"
	"time"

	"beechcart/admission"
	"beechcart/internal/copycount"
)

// Limits of one result.
const (
	maxPages       = 1024
	maxResultBytes = 1 << 20
)

// readResult reads the whole result of a query that has ended well, beginning with its first page. A page that is
// lost ends the attempt: half a result must not reach a client.
func (a *attempt) readResult(r response) (admission.Status, []byte) {
	a.outcome.Work = time.Duration(r.workMs * float64(time.Millisecond))
	a.outcome.MemoryMB = r.memoryMB
	a.outcome.Report = parseLoadReport(r.loadReport)
	pageCount := r.pageCount
	// The rows outlive the connection's buffer: this is the one copy of them on the engines' side.
	rows := make([]byte, 0, min(len(r.body)*pageCount, maxResultBytes))
	rows = append(rows, r.body...)
	copycount.Add(copycount.Pages, len(r.body))
	for page := 1; page < pageCount; page++ {
		var status admission.Status
		if r, status = a.readPage(page); status != admission.OK {
			return status, nil
		}
		copycount.Add(copycount.Pages, len(r.body))
		if rows = append(rows, r.body...); len(rows) > maxResultBytes {
			a.client.options.Counters.Add("result_too_large", 1)
			return admission.Errored, nil
		}
	}
	return admission.OK, rows
}

// readPage reads one page, again and on a new connection when it is lost or malformed.
func (a *attempt) readPage(page int) (response, admission.Status) {
	path := pagePath(a.exchange.ID, page)
	check := func(r response) error { return checkPage(r, page) }
	for polls, timeouts := 0, 0; ; polls++ {
		r, err := a.call("GET", path, check)
		switch {
		case err == nil && r.status == statusOK:
			return r, admission.OK
		case err == nil:
			a.client.options.Counters.Add("no_page", 1)
			return r, admission.Errored
		}
		a.client.options.Counters.Add("lost_page", 1)
		if isTimeout(err) {
			timeouts++
		}
		if errors.Is(err, errRetired) || isRefused(err) || polls == maxPolls || timeouts > maxTimeouts ||
			a.isCancelled() || time.Now().After(a.deadline) {
			return r, admission.Reset
		}
	}
}

// checkPage validates the answer to a call for a page. An error status is valid: the engine no longer has the page.
func checkPage(r response, page int) error {
	switch {
	case r.status >= statusFirstError:
		return nil
	case r.status != statusOK || r.pageNumber != page:
		return fmt.Errorf("%w: status %d, page %d in place of %d", errMalformed, r.status, r.pageNumber, page)
	}
	return checkRows(r)
}
