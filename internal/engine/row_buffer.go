package engine

import (
	"time"

	"beechcart/internal/copycount"
)

const (
	// rowAllowance is the size of a result, in bytes, for which no memory needs to be reserved. Small results must not
	// wait for clients that hardly read large ones. Each session has one such result at most.
	rowAllowance = 4 << 10
	// resultMemoryTimeout is how long a result waits for memory.
	resultMemoryTimeout = time.Second
	// resultMemoryInterval is the time between two tries.
	resultMemoryInterval = 5 * time.Millisecond
)

// rowBuffer collects the rows of a result. Memory over rowAllowance is reserved from the client's budget.
type rowBuffer struct {
	attempt  *attempt
	b        []byte
	reserved int
}

// append appends the rows of a page. If the buffer is too small, it grows by a quarter, or as needed, to at most size
// bytes; the first page sets its capacity to size. append returns false, and frees the buffer, if there is no memory.
func (r *rowBuffer) append(page []byte, size int) bool {
	if need := len(r.b) + len(page); need > cap(r.b) {
		if len(r.b) > 0 {
			size = min(size, cap(r.b)+cap(r.b)/4)
		}
		size = max(need, size)
		if more := size - rowAllowance - r.reserved; more > 0 {
			if !r.attempt.reserveRows(more) {
				r.discard()
				return false
			}
			r.reserved += more
		}
		grown := make([]byte, len(r.b), size)
		copy(grown, r.b)
		r.b = grown
	}
	r.b = append(r.b, page...)
	copycount.Add(copycount.Pages, len(page))
	return true
}

// discard frees the buffer.
func (r *rowBuffer) discard() {
	r.attempt.client.options.Results.Release(r.reserved)
	r.b, r.reserved = nil, 0
}

// reserveRows reserves memory for rows. If there is none, it waits until others have freed some, for at most
// resultMemoryTimeout and until the deadline. The lack of memory is no evidence on the engine: the wait does not count
// as the engine's latency, nor its result as the engine's error.
func (a *attempt) reserveRows(n int) bool {
	options := &a.client.options
	if options.Results.TryReserve(n) {
		return true
	}
	options.Counters.Add("result_waited", 1)
	began := time.Now()
	defer func() { a.memoryWait += time.Since(began) }()
	end := began.Add(resultMemoryTimeout)
	if a.deadline.Before(end) {
		end = a.deadline
	}
	for time.Now().Before(end) && !a.isCancelled() {
		if options.FreeResults != nil {
			options.FreeResults()
		}
		time.Sleep(resultMemoryInterval)
		if options.Results.TryReserve(n) {
			return true
		}
	}
	options.Counters.Add("result_refused", 1)
	a.outcome.EngineAlive = true
	return false
}

// releaseRows frees the memory of rows that the attempt does not report.
func (a *attempt) releaseRows() {
	a.client.options.Results.Release(a.reservedRows)
	a.reservedRows = 0
}
