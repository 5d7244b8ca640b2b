package mysql

import (
	"fmt"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"beechcart/internal/copycount"
	"beechcart/internal/exchange"
)

// copiedWriteBytes is the size in bytes below which netpoll's writer copies a buffer. netpoll links larger buffers
// without a copy.
const copiedWriteBytes = 4 << 10

func (s *session) write(b []byte) error {
	if len(b) < copiedWriteBytes {
		copycount.Add(copycount.Output, len(b))
	}
	if _, err := s.conn.Writer().WriteBinary(b); err != nil {
		return err
	}
	return s.conn.Writer().Flush()
}

// ok writes an OK packet. The caller must end the session if ok returns false.
func (s *session) ok() bool { return s.write(appendOK(nil, &s.sequence)) == nil }

// fail writes an error packet. The caller must end the session if fail returns false.
func (s *session) fail(code errorCode, message string) bool {
	return s.write(appendError(nil, &s.sequence, code, message)) == nil
}

// failAndDrain writes a final error and returns false, so that the caller ends the session. A connection that is closed
// with unread input is reset, and the client may then not receive the error. failAndDrain therefore reads and discards
// input until the client closes the connection, for at most drainTimeout and maxDrainBytes.
func (s *session) failAndDrain(code errorCode, message string) bool {
	if !s.fail(code, message) {
		return false
	}
	s.enter(closing)
	// The descriptor is valid: it is not reused for another connection while this callback runs.
	if c, ok := s.conn.(netpoll.Conn); ok {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_WR)
	}
	r, end := s.conn.Reader(), time.Now().Add(drainTimeout)
	for drained := 0; drained < maxDrainBytes; {
		left := time.Until(end)
		if left <= 0 || s.conn.SetReadTimeout(left) != nil {
			break
		}
		if _, err := r.Peek(1); err != nil {
			break
		}
		n := r.Len()
		if r.Skip(n) != nil || r.Release() != nil {
			break
		}
		drained += n
	}
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

// writeResult encodes rows directly into the connection's output buffer, of which the result takes size bytes, and
// flushes the buffer.
func (s *session) writeResult(rows []byte, size int) bool {
	out, err := s.conn.Writer().Malloc(size)
	if err != nil {
		return false
	}
	copycount.Add(copycount.Encode, len(rows))
	b := appendResult(out[:0], &s.sequence, rows)
	s.server.options.Counters.Hold(len(b) == size, "result_size")
	return s.conn.Writer().Flush() == nil
}
