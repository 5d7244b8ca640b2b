// Package exchange holds the one object that the clients' side and the engines' side share: a request, from its
// arrival to its one final answer.
package exchange

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"
)

// Request is what a client asks for.
type Request struct {
	ID           string
	ClassName    string
	Class        int           // index in the settings; -1: not known
	Tenant       int           // index in the settings; -1: not known
	Timeout      time.Duration // from the arrival on; the client stops waiting then
	WorkEstimate time.Duration // 0: none
	MemoryMB     float64       // estimate; 0: none
	TableGroup   int           // -1: none
	Retry        bool          // its client has sent it before
	Statement    []byte        // owned by the exchange
}

// AnswerKind is how a request ended.
type AnswerKind int

// The kinds of final answer.
const (
	Served     AnswerKind = iota
	Rejected              // it has not run: a retry is harmless
	Failed                // it may have run
	ClientGone            // the client has disconnected or cancelled it: nobody waits for an answer
)

// Answer is the final answer of a request.
type Answer struct {
	Kind       AnswerKind
	Rows       []byte        // Served: rows as text; tabs separate columns, and a line feed ends each row
	RetryAfter time.Duration // Rejected: when to retry; 0: no advice
	Reason     string        // Rejected, Failed: for people
}

// ColumnCount is the number of columns of every result, all of them text.
const ColumnCount = 3

// CheckRows returns an error unless rows consists of whole rows of ColumnCount columns.
func CheckRows(rows []byte) error {
	for n := 1; len(rows) > 0; n++ {
		row, rest, ok := bytes.Cut(rows, []byte{'\n'})
		if !ok || bytes.Count(row, []byte{'\t'}) != ColumnCount-1 {
			return fmt.Errorf("row %d of the result is malformed", n)
		}
		rows = rest
	}
	return nil
}

// Client is where a request came from.
type Client interface {
	// SettleIfGone settles the exchange where its client has disconnected, and reports whether it has. It is safe for
	// concurrent use.
	SettleIfGone(x *Exchange) (gone bool)
}

// Exchange is a request with its final answer. Whoever settles it first decides the answer. Its methods are safe for
// concurrent use.
type Exchange struct {
	Request
	Arrived time.Time // carries the monotonic clock
	Client  Client    // set before the exchange is handed on; nil: not known

	settled atomic.Bool
	answer  Answer        // written before done is closed, read after
	done    chan struct{} // closed once answer is set
}

// New returns an exchange for a request that arrived at that time.
func New(request Request, arrived time.Time) *Exchange {
	return &Exchange{Request: request, Arrived: arrived, done: make(chan struct{})}
}

// Settle sets the final answer; false where there was one before.
func (x *Exchange) Settle(answer Answer) bool {
	if !x.settled.CompareAndSwap(false, true) {
		return false
	}
	x.answer = answer
	close(x.done)
	return true
}

// Settled reports whether there is a final answer. Answer may still have to wait for it: see Done.
func (x *Exchange) Settled() bool { return x.settled.Load() }

// Abandoned reports whether nobody waits for an answer any more. Unlike Settled it checks the client's connection,
// which costs a system call: the client may have disconnected while this process had no processor, and its session
// not know it yet.
func (x *Exchange) Abandoned() bool {
	return x.Settled() || (x.Client != nil && x.Client.SettleIfGone(x))
}

// Done is closed once the final answer can be read.
func (x *Exchange) Done() <-chan struct{} { return x.done }

// Answer returns the final answer. It may be called only once Done is closed.
func (x *Exchange) Answer() Answer { return x.answer }

// Deadline is when the client stops waiting.
func (x *Exchange) Deadline() time.Time { return x.Arrived.Add(x.Timeout) }
