package admission

import "time"

// State is the state of an engine as reported by discovery.
type State int

// The states of an engine.
const (
	Ready State = iota
	Draining
	Removed
)

// String returns the name of the state used in logs.
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
	Kind, Zone, Cell int // Kind and Zone are -1 if not known
	State            State
	Units            float64
	Started          time.Duration // start of the engine's process; 0: long ago
}

// ListKind distinguishes complete engine lists from changes.
type ListKind int

// The kinds of engine list.
const (
	Complete  ListKind = iota // engines not in the list are removed
	Partial                   // a change; engines not in the list keep their state
	Persisted                 // a complete list saved by an earlier run
	ListError                 // discovery failed; the event carries no list
)

// Status is the result of an attempt or a health check.
type Status int

// The statuses. Their values are those on the wire.
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

// NeverRan reports whether the status proves that the attempt did not run on the engine.
func (s Status) NeverRan() bool { return s == Overloaded || s == ConnectFailed || s == NotSent }

// Report is an engine's load report. A field that the engine did not report is negative.
type Report struct {
	InFlight          float64 // requests in flight
	Queued            float64 // requests waiting
	Utilization       float64 // threads in use per core
	MemoryUtilization float64 // fraction in use
	DiskUtilization   float64 // fraction in use
}

// ProgressKind is the kind of a [Progress] message.
type ProgressKind int

// The kinds of progress. Their values are those on the wire.
const (
	ProgressFraction ProgressKind = 1 // Value is the fraction of the work done
	Spills           ProgressKind = 2 // the request spills to disk
	Waiting          ProgressKind = 3 // the request waits on the engine
)

// Event is an input of [Controller.Step]: [EndpointsChanged], [Request], [FirstByte], [Outcome], [ClientDisconnected],
// [Timer], [HealthCheckResult], [GossipReceived], [Progress] or [ShutdownRequested].
type Event interface{ event() }

type (
	// EndpointsChanged carries the list of engines or a change to it.
	EndpointsChanged struct {
		Kind    ListKind
		Engines []Engine
	}
	// Request is a new request of a client. It must get exactly one final answer.
	Request struct {
		ID            string
		Class, Tenant int           // indexes into the settings; Tenant is -1 if not known
		Key           string        // ordering key, for Ordered classes; may be empty
		Timeout       time.Duration // time until the client gives up
		Work          time.Duration // estimated work, summed over all threads; 0: no estimate
		MemoryMB      float64       // estimated memory; 0: no estimate
		TableGroup    int           // -1: none
		Retry, Write  bool
	}
	// FirstByte reports that a streamed answer has begun.
	FirstByte struct {
		ID      string
		Attempt int
		Engine  uint32
	}
	// Outcome reports the end of an attempt.
	Outcome struct {
		ID          string
		Attempt     int
		Engine      uint32
		Status      Status
		Latency     time.Duration
		Closed      bool          // the request has its final answer
		EngineAlive bool          // the outcome is no evidence on the engine: only a connection or memory was lacking
		Work        time.Duration // work done, summed over all threads; 0: not reported
		MemoryMB    float64       // memory used; 0: not reported
		Report      *Report       // load report; nil: none
	}
	// ClientDisconnected reports that the client has disconnected. The request needs no answer any more.
	ClientDisconnected struct{ ID string }
	// Timer reports that the timer of a [SetTimer] has fired.
	Timer struct{ Token uint64 }
	// HealthCheckResult is the result of a [HealthCheck].
	HealthCheckResult struct {
		Engine  uint32
		Status  Status
		Latency time.Duration
		Report  *Report // load report; nil: none
	}
	// GossipReceived is a message from another front end.
	GossipReceived struct {
		From int
		Data []byte
	}
	// Progress is an engine's progress report on an attempt in flight.
	Progress struct {
		ID      string
		Attempt int
		Engine  uint32
		Kind    ProgressKind
		Value   float64
	}
	// ShutdownRequested reports that the front end stops after Timeout. New requests may arrive until then.
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
