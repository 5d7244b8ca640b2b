package admission

import (
	"time"
)

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
