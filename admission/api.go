// Package admission decides, for one gateway, which query goes to which engine of a pool, and when.
//
// A Controller is told what happened as events and answers with actions. It does no I/O, keeps no clock
// and starts no goroutine: the caller passes the time and carries the actions out in the order given.
// This file holds the types of that conversation; every decision is in controller.go.
package admission

import "time"

// Idempotency says what a repeat of a request may do.
type Idempotency int

// The effects of a class.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // repeats are discarded within a group of engines, for a while
	NonIdempotent                        // must never run twice
)

// Scope is the group of engines that discards repeats of a keyed request.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Shortage says what an engine does when the memory granted passes what it has.
type Shortage int

// The ways an engine handles a shortage of memory.
const (
	LineUp     Shortage = iota // the query waits in the engine's line
	Cut                        // it gets what is left, and spills
	Overcommit                 // it is let in, and all slow down
)

// LoadReporting says how load reports reach the gateway.
type LoadReporting int

// The ways of reporting.
const (
	NoLoadReports      LoadReporting = iota // there are no reports
	InBandReports                           // with outcomes and probe results
	HealthCheckReports                      // with probe results only
)

// Class describes one class of request.
type Class struct {
	LatencyObjective    time.Duration // full worth when answered within this ...
	ObjectivePerWork    float64       // ... plus this times the work divided by its threads
	Deadline            time.Duration
	PriorityWeight      float64
	LateWeight          float64 // share of the worth still earned after the aim
	Idempotency         Idempotency
	DeduplicationScope  Scope         // for Keyed
	DeduplicationWindow time.Duration // for Keyed: how long repeats are discarded
	Ordered             bool          // requests of one key run one at a time, in turn
	OnlyZones           []int         // empty: any zone
	OnlyKinds           []int         // empty: any kind
	Stream              bool
	Threads             int
	LocksTables         bool // holds its group of tables on its engine while it runs
	WaitsForLocks       bool // stands still while a holder has its group there
}

// Kind describes one kind of machine.
type Kind struct {
	Cores    int
	MemoryMB float64
}

// Tenant describes one tenant.
type Tenant struct {
	Quota             float64
	RequestsPerSecond float64 // requests a second within its share, over all gateways; 0: no limit is known
}

// Settings are what a gateway is told at its start.
type Settings struct {
	Me, Replicas    int
	Zone            int // -1: not known
	Zones           int
	Kinds           []Kind
	Classes         []Class
	Tenants         []Tenant // may be empty
	OverQuotaWeight float64

	PollDiscovery       bool // discovery has to be asked
	PollInterval        time.Duration
	LoadReporting       LoadReporting
	Grants              bool
	Priorities          bool
	TellsCost           bool
	ProgressInterval    time.Duration
	Shortage            Shortage
	MostGrant           float64 // the share of an engine's memory one query gets at most; 0: not known
	CancellationAllowed bool
	HealthChecksAllowed bool
	HealthCheckCost     float64 // points of service for one probe for each request; 0: none is known
	GossipAllowed       bool
	HedgingAllowed      bool // two attempts of a request may be out at once
	MaxAttempts         int
	MaxRetryAfter       time.Duration // 0: clients are not told when to come back
	MarksRetry          bool          // clients mark a request that they have tried before

	DeadlineSlack time.Duration // how late a final answer may be
	DrainGrace    time.Duration
	ColdFrom      float64
	Cold          time.Duration
	FallMultiple  float64
	FallWindow    time.Duration
	KeyCooldown   time.Duration // how long a key rests after an attempt in doubt
	Budgeted      bool
	SpareTries    float64
	TryRatio      float64
	TrySpan       time.Duration
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
