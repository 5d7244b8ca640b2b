// Package exchange holds the one object in which client side and server side meet: a request, from the moment
// it is taken to its one final answer.
package exchange

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"
)

// Request is what a client asked for, in the terms of the settings.
type Request struct {
	ID           string
	ClassName    string
	Class        int // place in the settings
	Tenant       int // -1: not known
	Timeout      time.Duration
	WorkEstimate time.Duration // estimate; 0: none
	MemoryMB     float64       // estimate; 0: none
	TableGroup   int           // group of tables; -1: none
	Retry        bool          // its client has tried before
	Statement    []byte        // owned by the exchange
}

// AnswerKind is how a request ended.
type AnswerKind int

// The kinds of final answer.
const (
	Served     AnswerKind = iota
	Rejected              // a repeat is harmless
	Failed                // nothing is promised
	ClientGone            // the client went first: nothing is owed
)

// Answer is the final answer of a request.
type Answer struct {
	Kind       AnswerKind
	Rows       []byte        // Served: rows as text, columns parted by tabs, each row ended by a line feed
	RetryAfter time.Duration // Rejected: when to come back; 0: no advice
	Reason     string        // Rejected, Failed: for people
}

// ColumnCount is how many text columns every result has.
const ColumnCount = 3

// CheckRows tells whether rows are whole rows of a result.
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
	// SettleIfGone looks whether the client has gone, and settles its exchange where it has. It may be called from any goroutine.
	SettleIfGone(x *Exchange) (gone bool)
}

// Exchange carries one request to its one final answer, whoever settles it first.
type Exchange struct {
	Request
	Arrived time.Time // carries the monotonic clock
	Client  Client    // set before the exchange is handed on; nil: nobody can tell

	settled atomic.Bool
	answer  Answer
	done    chan struct{}
}

// New takes a request that arrived at that time.
func New(r Request, arrived time.Time) *Exchange {
	return &Exchange{Request: r, Arrived: arrived, done: make(chan struct{})}
}

// Settle gives the final answer; false when there was one before.
func (x *Exchange) Settle(a Answer) bool {
	if !x.settled.CompareAndSwap(false, true) {
		return false
	}
	x.answer = a
	close(x.done)
	return true
}

// Settled tells whether the final answer was given.
func (x *Exchange) Settled() bool { return x.settled.Load() }

// Abandoned tells whether nobody waits for an answer any more. Unlike Settled it looks at the client itself, which costs a system call:
// the client may have gone while this process had no core, and its session not yet have heard of it.
func (x *Exchange) Abandoned() bool {
	return x.Settled() || (x.Client != nil && x.Client.SettleIfGone(x))
}

// Done is closed once the final answer is there.
func (x *Exchange) Done() <-chan struct{} { return x.done }

// Answer returns the final answer; only after Done.
func (x *Exchange) Answer() Answer { return x.answer }

// Deadline is when the client stops waiting.
func (x *Exchange) Deadline() time.Time { return x.Arrived.Add(x.Timeout) }
