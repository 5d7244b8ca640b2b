package admission

import "time"

// Action is an instruction to the caller of [Controller.Step]: [Send], [Terms], [Reject], [Fail], [Cancel],
// [HealthCheck], [CloseIdle], [SendGossip], [SetTimer], [WatchEndpoints], [PollEndpoints] or [Log].
type Action interface{ action() }

type (
	// Send starts an attempt on an engine. A Timeout of 0 means no timeout other than the client's.
	Send struct {
		ID      string
		Engine  uint32
		Timeout time.Duration
	}
	// Terms sets the priority (0 to 2, default 1) and the memory grant (0: none) for the next attempts of a request.
	Terms struct {
		ID       string
		Priority int
		GrantMB  float64
	}
	// Reject is a final answer: the client may safely repeat the request. RetryAfter is how long the client should wait
	// before the repeat; 0: not stated.
	Reject struct {
		ID         string
		RetryAfter time.Duration
	}
	// Fail is a final answer: the request may or may not have run.
	Fail struct{ ID string }
	// Cancel cancels one attempt. The attempt's [Outcome] still follows.
	Cancel struct {
		ID      string
		Attempt int
	}
	// HealthCheck requests a health check of an engine, with a load report.
	HealthCheck struct{ Engine uint32 }
	// CloseIdle closes the idle connections to an engine.
	CloseIdle struct{ Engine uint32 }
	// SendGossip sends a gossip message to one front end, or to all others if To is negative.
	SendGossip struct {
		To   int
		Data []byte
	}
	// SetTimer requests a [Timer] event with the token after Delay.
	SetTimer struct {
		Delay time.Duration
		Token uint64
	}
	// WatchEndpoints subscribes to the engine list, or ends the subscription if On is false.
	WatchEndpoints struct{ On bool }
	// PollEndpoints requests the engine list once.
	PollEndpoints struct{}
	// Log writes one line to the log.
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
