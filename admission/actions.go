package admission

import (
	"time"
)

// Action is something to do: Send, Terms, Refuse, Fail, Cancel, Probe, CloseIdle, Tell, SetTimer, Watch,
// Fetch or Log.
type Action interface{ action() }

type (
	// Send starts an attempt; Cap 0 lasts until the client gives up.
	Send struct {
		ID     string
		Engine uint32
		Cap    time.Duration
	}
	// Terms sets priority and memory for the request's next sends.
	Terms struct {
		ID       string
		Priority int
		GrantMB  float64
	}
	// Reject is the final answer that a repeat is harmless; Pause says when to come back.
	Reject struct {
		ID         string
		RetryAfter time.Duration
	}
	// Fail is the final answer that promises nothing.
	Fail struct{ ID string }
	// Cancel gives up on one attempt.
	Cancel struct {
		ID      string
		Attempt int
	}
	// HealthCheck asks an engine how it is.
	HealthCheck struct{ Engine uint32 }
	// CloseIdle closes idle connections to an engine.
	CloseIdle struct{ Engine uint32 }
	// SendGossip sends a message to one gateway, or to all when To is negative.
	SendGossip struct {
		To   int
		Data []byte
	}
	// SetTimer asks for a Timer after Delay.
	SetTimer struct {
		Delay time.Duration
		Token uint64
	}
	// WatchEndpoints subscribes to the engine list.
	WatchEndpoints struct{ On bool }
	// PollEndpoints asks once for the engine list.
	PollEndpoints struct{}
	// Log is a line for people.
	Log struct{ Text string }
)

func (Send) action() {}

func (Terms) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (Cancel) action() {}

func (HealthCheck) action() {}

func (CloseIdle) action() {}

func (SendGossip) action() {}

func (SetTimer) action() {}

func (WatchEndpoints) action() {}

func (PollEndpoints) action() {}

func (Log) action() {}
