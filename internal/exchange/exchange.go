// Package exchange defines Exchange, the object that the client side and the engine side of a front end share: a
// request from its arrival to its single final answer.
package exchange

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"

	"beechcart/internal/membudget"
)

// Request is a client's request.
type Request struct {
	ID           string
	ClassName    string
	Class        int           // index in the settings; -1: unknown
	Tenant       int           // index in the settings; -1: unknown
	Timeout      time.Duration // how long after arrival the client stops waiting
	WorkEstimate time.Duration // 0: none
	MemoryMB     float64       // estimate; 0: none
	TableGroup   int           // -1: none
	Retry        bool          // the client has sent the request before
	Statement    []byte        // owned by the exchange
}

// AnswerKind classifies the final answer of a request.
type AnswerKind int

// The kinds of final answer.
const (
	Served     AnswerKind = iota
	Rejected              // the request has not run: a retry is harmless
	Failed                // the request may have run
	ClientGone            // the client has disconnected or cancelled the request: no client waits for an answer
)

// String returns the name of the kind, for log lines.
func (k AnswerKind) String() string {
	return [...]string{"served", "rejected", "failed", "client gone"}[k]
}

// Answer is the final answer of a request.
type Answer struct {
	Kind       AnswerKind
	Rows       []byte        // Served: rows as text; tabs separate columns, and a line feed ends each row
	RetryAfter time.Duration // Rejected: when to retry; 0: no advice
	Reason     string        // Rejected, Failed: text for people
}

// ColumnCount is the number of columns of every result, all of them text.
const ColumnCount = 3

// CheckRows returns an error unless rows consists of whole rows of ColumnCount columns.
func CheckRows(rows []byte) error {
	for n := 1; len(rows) > 0; n++ {
		row, rest, ok := bytes.Cut(rows, []byte{'\n'})
		if !ok || bytes.Count(row, []byte{'\t'}) != ColumnCount-1 {
			return fmt.Errorf("row %d of the result is malformed: must be three tab-separated columns and a line feed", n)
		}
		rows = rest
	}
	return nil
}

// Client is the connection that a request arrived on.
type Client interface {
	// SettleIfGone settles the exchange if the client has disconnected, and reports whether the client has disconnected.
	// It is safe for concurrent use.
	SettleIfGone(x *Exchange) (gone bool)
}

// Exchange is a request with its final answer. The first call of Settle decides the answer. All methods are safe for
// concurrent use.
type Exchange struct {
	Request
	Arrived time.Time // carries the monotonic clock
	Client  Client    // set before the exchange is shared; nil: unknown

	settled atomic.Bool
	answer  Answer        // written before done is closed, read afterwards
	done    chan struct{} // closed once answer is set

	holders atomic.Int32 // who still uses the exchange
	request reservation
	result  reservation
}

// reservation is the memory that a part of an exchange has reserved.
type reservation struct {
	budget *membudget.Budget
	bytes  int
}

func (r reservation) release() { r.budget.Release(r.bytes) }

// New returns an exchange for a request that arrived at the given time. The caller holds the exchange.
func New(request Request, arrived time.Time) *Exchange {
	x := &Exchange{Request: request, Arrived: arrived, done: make(chan struct{})}
	x.holders.Store(1)
	return x
}

// HoldRequest gives the exchange the reserved memory of its request. It must be called before the exchange is shared.
func (x *Exchange) HoldRequest(budget *membudget.Budget, bytes int) {
	x.request = reservation{budget, bytes}
}

// HoldResult gives the exchange the reserved memory of the rows that an attempt reports. The caller must be the attempt
// that ends.
func (x *Exchange) HoldResult(budget *membudget.Budget, bytes int) {
	x.result = reservation{budget, bytes}
}

// Hold adds a holder. The memory of request and result stays reserved until every holder has called Release.
func (x *Exchange) Hold() { x.holders.Add(1) }

// Release removes a holder.
func (x *Exchange) Release() {
	if x.holders.Add(-1) == 0 {
		x.request.release()
		x.result.release()
	}
}

// Settle sets the final answer. It returns false, and changes nothing, if the exchange is already settled.
func (x *Exchange) Settle(answer Answer) bool {
	if !x.settled.CompareAndSwap(false, true) {
		return false
	}
	x.answer = answer
	close(x.done)
	return true
}

// Settled reports whether the final answer is decided. Answer may be called a moment later, when Done is closed.
func (x *Exchange) Settled() bool { return x.settled.Load() }

// Abandoned reports whether no client waits for an answer any more. Unlike Settled, it checks the client's connection,
// which costs a system call: the client may have disconnected while this process was not scheduled, before its session
// has detected the disconnect.
func (x *Exchange) Abandoned() bool {
	return x.Settled() || (x.Client != nil && x.Client.SettleIfGone(x))
}

// Done returns a channel that is closed once the final answer can be read.
func (x *Exchange) Done() <-chan struct{} { return x.done }

// Answer returns the final answer. It may be called only after Done is closed.
func (x *Exchange) Answer() Answer { return x.answer }

// Deadline returns the time at which the client stops waiting.
func (x *Exchange) Deadline() time.Time { return x.Arrived.Add(x.Timeout) }
