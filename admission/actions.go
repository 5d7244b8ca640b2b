package admission

import "time"

// Action is something that the caller has to do: [Send], [Terms], [Reject], [Fail], [Cancel], [HealthCheck],
// [CloseIdle], [SendGossip], [SetTimer], [WatchEndpoints], [PollEndpoints] or [Log].
type Action interface{ action() }

type (
	// Send starts an attempt. A Timeout of 0 lasts until the client gives up.
	Send struct {
		ID      string
		Engine  uint32
		Timeout time.Duration
	}
	// Terms sets priority (0 to 2, 1 unless set) and memory (0: no grant) for the next attempts of the request.
	Terms struct {
		ID       string
		Priority int
		GrantMB  float64
	}
	// Reject is the final answer that a repeat is harmless. RetryAfter says when to come back; 0: it doesn't say.
	Reject struct {
		ID         string
		RetryAfter time.Duration
	}
	// Fail is the final answer that leaves open whether the request has run.
	Fail struct{ ID string }
	// Cancel cancels one attempt. Its [Outcome] still comes.
	Cancel struct {
		ID      string
		Attempt int
	}
	// HealthCheck asks an engine for a sign of life and its load.
	HealthCheck struct{ Engine uint32 }
	// CloseIdle closes idle connections to an engine.
	CloseIdle struct{ Engine uint32 }
	// SendGossip sends a message to one front end, or to all others when To is negative.
	SendGossip struct {
		To   int
		Data []byte
	}
	// SetTimer asks for a [Timer] with the token after Delay.
	SetTimer struct {
		Delay time.Duration
		Token uint64
	}
	// WatchEndpoints subscribes to the engine list.
	WatchEndpoints struct{ On bool }
	// PollEndpoints asks once for the engine list.
	PollEndpoints struct{}
	// Log is a line for the log.
	Log struct{ Text string }
)

func (Send) action()           {}
func (Terms) action()          {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Cancel) action()         {}
func (HealthCheck) action()    {}
func (CloseIdle) action()      {}
func (SendGossip) action()     {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
func (PollEndpoints) action()  {}
func (Log) action()            {}
