package admission

import (
	"time"
)

// Event is something that happened: Members, Request, First, Outcome, Gone, Timer, Probed, Peer, Note or Stopping.
type Event interface{ event() }

type (
	// EndpointsChanged is a list of engines, or a change to it.
	EndpointsChanged struct {
		Kind    ListKind
		Engines []Engine
	}
	// Request is a client's request; exactly one final answer is now owed.
	Request struct {
		ID            string
		Class, Tenant int // Tenant is -1 when not known
		Key           string
		Timeout       time.Duration
		Work          time.Duration // estimate; 0: none
		MemMB         float64       // estimate; 0: none
		Group         int           // group of tables; -1: none
		Retry, Write  bool
	}
	// FirstByte tells that a streamed answer has begun.
	FirstByte struct {
		ID      string
		Attempt int
		Engine  uint32
	}
	// Outcome is how an attempt ended.
	Outcome struct {
		ID      string
		Attempt int
		Engine  uint32
		Status  Status
		Latency time.Duration
		Closed  bool          // the request is over
		Alive   bool          // Reset: only the connection was lost, and the engine has answered since
		Work    time.Duration // what it took, where told
		NeedMB  float64       // what it needed, where told
		Report  *Report
	}
	// ClientDisconnected tells that the client has left.
	ClientDisconnected struct{ ID string }
	// Timer is the end of a SetTimer.
	Timer struct{ Token uint64 }
	// HealthCheckResult is the result of a Probe.
	HealthCheckResult struct {
		Engine  uint32
		Status  Status
		Latency time.Duration
		Report  *Report
	}
	// GossipReceived is a message from another gateway.
	GossipReceived struct {
		From int
		Data []byte
	}
	// Progress is word of an attempt that is out.
	Progress struct {
		ID      string
		Attempt int
		Engine  uint32
		Kind    ProgressKind
		Value   float64
	}
	// ShutdownRequested tells that the gateway ends after that time, and that requests keep coming meanwhile.
	ShutdownRequested struct{ Timeout time.Duration }
)

func (EndpointsChanged) event() {}

func (Request) event() {}

func (FirstByte) event() {}

func (Outcome) event() {}

func (ClientDisconnected) event() {}

func (Timer) event() {}

func (HealthCheckResult) event() {}

func (GossipReceived) event() {}

func (Progress) event() {}

func (ShutdownRequested) event() {}

// Engine is one entry of the engine list.
type Engine struct {
	ID               uint32
	Kind, Zone, Cell int // Kind and Zone are -1 when not known
	State            State
	Units            float64
	Started          time.Duration // 0: long ago
}

// State is what discovery says of an engine.
type State int

// The states of an engine.
const (
	Ready State = iota
	Draining
	Removed
)

// String names the state as the logs do.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "gone"
}

// ListKind tells a complete list from a change.
type ListKind int

// The kinds of list.
const (
	Complete ListKind = iota
	Partial
	Persisted
	ListError
)

// Status is how an attempt or a probe ended.
type Status int

// The statuses, by their numbers on the wire.
const (
	Errored Status = iota
	OK
	Overloaded
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool { return s == Overloaded || s == ConnectFailed || s == NotSent }

// Report is an engine's load report. A field that was not reported is negative.
type Report struct {
	Held, Queue, Util, Memory, Disks float64
}

// ProgressKind is what a progress note tells.
type ProgressKind int

// The kinds of note.
const (
	ProgressFraction ProgressKind = 1
	Spills           ProgressKind = 2
	Waiting          ProgressKind = 3
)
