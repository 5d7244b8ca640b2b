package mysql

import (
	"fmt"
	"sync"
	"time"

	"beechcart/internal/copycount"
	"beechcart/internal/exchange"
)

// write writes b whole, for at most writeTimeout.
func (s *session) write(b []byte) error {
	copycount.Add(copycount.Output, len(b))
	return s.conn.write(b, time.Now().Add(writeTimeout))
}

// ok writes an OK packet. The caller must end the session if ok returns false.
func (s *session) ok() bool { return s.write(appendOK(nil, &s.sequence)) == nil }

// fail writes an error packet. The caller must end the session if fail returns false.
func (s *session) fail(code errorCode, message string) bool {
	return s.write(appendError(nil, &s.sequence, code, message)) == nil
}

// failAndDrain writes a final error and returns false, so that the caller ends the session. A connection that is closed
// with unread input is reset, and the client may then not receive the error. The input is therefore read and discarded
// until the client closes the connection, for at most drainTimeout and maxDrainBytes.
func (s *session) failAndDrain(code errorCode, message string) bool {
	if !s.fail(code, message) {
		return false
	}
	s.server.mu.Lock()
	s.draining = true
	s.server.mu.Unlock()
	s.enter(closing)
	return false
}

// answer writes the final answer to a request. The caller must end the session if answer returns false.
func (s *session) answer(a exchange.Answer) bool {
	switch a.Kind {
	case exchange.Served:
		// An incomplete row must not reach a client. The engine client passes on complete rows only; this is checked.
		size, whole := resultSize(a.Rows)
		if !s.server.options.Counters.Hold(whole, "whole_rows") {
			return s.fail(errUnknown, "the result was malformed")
		}
		return s.writeResult(a.Rows, size)
	case exchange.Rejected:
		if a.RetryAfter > 0 {
			// Client programs parse w=; the rest of the text is for human readers.
			a.Reason += fmt.Sprintf("; retry after %d ms; w=%[1]d", a.RetryAfter.Milliseconds())
		}
		return s.fail(errTooManyConnections, a.Reason)
	case exchange.Failed:
		return s.fail(errUnknown, a.Reason)
	default: // exchange.ClientGone
		return s.fail(errQueryInterrupted, "Query execution was interrupted")
	}
}

// resultChunkBytes is the size of the pieces in which a result is encoded and written.
const resultChunkBytes = 16 << 10

// resultChunk is memory for a piece of a result.
type resultChunk struct{ b []byte }

var resultChunks = sync.Pool{New: func() any { return &resultChunk{make([]byte, 0, resultChunkBytes)} }}

// writeResult encodes and writes rows, of which the result takes size bytes. A slow client keeps the rows, and a piece
// of the result, in memory until it has read them.
func (s *session) writeResult(rows []byte, size int) bool {
	copycount.Add(copycount.Encode, len(rows))
	deadline := time.Now().Add(writeTimeout)
	chunk := resultChunks.Get().(*resultChunk)
	defer resultChunks.Put(chunk)
	written := 0
	b := appendResultHead(chunk.b, &s.sequence)
	for len(rows) > 0 {
		if b, rows = appendRows(b, &s.sequence, rows, resultChunkBytes); len(rows) == 0 {
			break
		}
		if s.conn.write(b, deadline) != nil {
			return false
		}
		written += len(b)
		b = chunk.b
	}
	b = appendEOF(b, &s.sequence)
	s.server.options.Counters.Hold(written+len(b) == size, "result_size")
	return s.conn.write(b, deadline) == nil
}
