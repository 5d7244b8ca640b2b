package admission

import "time"

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
	default:
		return "gone"
	}
}

// Engine is one entry of the engine list.
type Engine struct {
	ID               uint32
	Kind, Zone, Cell int // Kind and Zone are -1 when not known
	State            State
	Units            float64
	Started          time.Duration // 0: long ago
}

// ListKind tells a complete list from a change.
type ListKind int

// The kinds of list.
const (
	Complete  ListKind = iota // engines that it doesn't name are removed
	Partial                   // a change: engines that it doesn't name stay as they are
	Persisted                 // a complete list that was kept from an earlier run
	ListError                 // discovery failed; there is no list
)

// Status is how an attempt or a health check ended.
type Status int

// The statuses, by their numbers on the wire.
const (
	Errored Status = iota
	OK
	Overloaded // the engine rejected the attempt
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
	InFlight          float64 // requests in flight
	Queued            float64 // requests that wait
	Utilization       float64 // threads in use over cores
	MemoryUtilization float64 // in use, as a fraction
	DiskUtilization   float64 // in use, as a fraction
}

// ProgressKind says what a [Progress] tells.
type ProgressKind int

// The kinds of progress.
const (
	ProgressFraction ProgressKind = 1 // Value is the fraction of the work that is done
	Spills           ProgressKind = 2
	Waiting          ProgressKind = 3
)

// Event is something that happened: [EndpointsChanged], [Request], [FirstByte], [Outcome], [ClientDisconnected],
// [Timer], [HealthCheckResult], [GossipReceived], [Progress] or [ShutdownRequested].
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
		Class, Tenant int           // indexes into the settings; Tenant is -1 when not known
		Key           string        // for Ordered classes; may be empty
		Timeout       time.Duration // after which the client gives up
		Work          time.Duration // estimate over all threads; 0: none
		MemoryMB      float64       // estimate; 0: none
		TableGroup    int           // table group; -1: none
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
		ID          string
		Attempt     int
		Engine      uint32
		Status      Status
		Latency     time.Duration
		Closed      bool          // the request has its final answer
		EngineAlive bool          // Reset: only the connection was lost, and the engine has answered since
		Work        time.Duration // that it took over all threads; 0: not told
		MemoryMB    float64       // memory that it needed; 0: not told
		Report      *Report       // nil: none
	}
	// ClientDisconnected tells that the client has left; no answer is owed any more.
	ClientDisconnected struct{ ID string }
	// Timer is the end of a [SetTimer].
	Timer struct{ Token uint64 }
	// HealthCheckResult is the result of a [HealthCheck].
	HealthCheckResult struct {
		Engine  uint32
		Status  Status
		Latency time.Duration
		Report  *Report // nil: none
	}
	// GossipReceived is a message from another front end.
	GossipReceived struct {
		From int
		Data []byte
	}
	// Progress is what an engine tells of an attempt in flight.
	Progress struct {
		ID      string
		Attempt int
		Engine  uint32
		Kind    ProgressKind
		Value   float64
	}
	// ShutdownRequested tells that the front end ends after Timeout. Requests keep coming meanwhile.
	ShutdownRequested struct{ Timeout time.Duration }
)

func (EndpointsChanged) event()   {}
func (Request) event()            {}
func (FirstByte) event()          {}
func (Outcome) event()            {}
func (ClientDisconnected) event() {}
func (Timer) event()              {}
func (HealthCheckResult) event()  {}
func (GossipReceived) event()     {}
func (Progress) event()           {}
func (ShutdownRequested) event()  {}
