package engine

import (
	"bytes"
	"fmt"
	"time"

	"beechcart/internal/exchange"
)

// A Content-Length that is too short ends a body early. If the body then ends with a whole row, the body alone does not
// show that rows are missing, but the bytes behind the body begin with the first missing row. The same place may hold a
// duplicate of the response or noise, which do not make the body wrong. A chunked body cannot end early without a
// syntax error.

var (
	// errTruncated reports a page behind whose body further rows may follow.
	errTruncated = fmt.Errorf("%w: rows may follow the body", errMalformed)
	// errPreviousTruncated reports rows in place of a response: the previous page on the connection was truncated.
	errPreviousTruncated = fmt.Errorf("%w: rows follow the previous page", errMalformed)
)

// surplusKind classifies the bytes behind a response.
type surplusKind int

const (
	noRow      surplusKind = iota // no bytes, or a first line that is not a row
	partialRow                    // an incomplete first line that may become a row
	wholeRow
)

func classifySurplus(surplus []byte) surplusKind {
	line, _, complete := bytes.Cut(surplus, []byte{'\n'})
	columns := bytes.Count(line, []byte{'\t'}) + 1
	switch {
	case len(surplus) == 0 || columns > exchange.ColumnCount:
		return noRow
	case !complete:
		return partialRow
	case columns == exchange.ColumnCount:
		return wholeRow
	}
	return noRow
}

// suspectPage is a copy of a page that may be truncated.
type suspectPage struct {
	pageCount, pageNumber int
	body                  []byte
}

func (p *suspectPage) equals(r response) bool {
	return p != nil && p.pageCount == r.pageCount && p.pageNumber == r.pageNumber && bytes.Equal(p.body, r.body)
}

// checkTruncation returns errTruncated if r is a page that may be truncated. The caller must then request the page
// again. Behind a page that arrives twice with the same body, an incomplete line is noise unless the line becomes a
// row. A whole row is always taken for a missing row: a page that is truncated in the same place each time is never
// accepted.
func (a *attempt) checkTruncation(r response) (response, error) {
	if len(r.surplus) == 0 || !r.hasLength || r.status != statusOK || classifySurplus(r.surplus) == noRow {
		return r, nil
	}
	if a.suspect.equals(r) {
		var err error
		if r, err = a.awaitSurplusLine(r); err != nil || classifySurplus(r.surplus) != wholeRow {
			return r, err
		}
	}
	a.client.options.Counters.Add("truncated_page", 1)
	a.suspect = &suspectPage{pageCount: r.pageCount, pageNumber: r.pageNumber, body: bytes.Clone(r.body)}
	return r, errTruncated
}

// awaitSurplusLine waits for the end of the incomplete line behind a response, and returns the response with all
// surplus bytes that have arrived. Like the rest of a response, the rest of the line must arrive within
// partialResponseTimeout.
func (a *attempt) awaitSurplusLine(r response) (response, error) {
	deadline := time.Now().Add(partialResponseTimeout)
	for classifySurplus(r.surplus) == partialRow {
		arrived := a.conn.awaitInput(deadline)
		var err error
		if r, err = a.conn.parse(); err != nil || !arrived {
			return r, err
		}
	}
	return r, nil
}

// awaitInput waits until the connection has received more bytes than it holds now. The result is false if there are
// none before the deadline, or if the connection holds as many bytes as a response may have. Slices of a response are
// no longer valid.
func (c *connection) awaitInput(deadline time.Time) bool {
	return c.stream.inputSize() < c.maxResponseBytes() && c.stream.fill(c.maxResponseBytes(), deadline) == nil
}

// holdsRow reports whether the bytes that no response has used yet begin with a whole row. The caller must have called
// reusable since the last response, or have got no response.
func (c *connection) holdsRow() bool { return classifySurplus(c.stream.input()) == wholeRow }
