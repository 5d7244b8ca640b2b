package admission

import (
	"fmt"
	"time"
)

// Idempotency says what a repeat of a request may do.
type Idempotency int

// The idempotency of a class.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // repeats are discarded within a group of engines, for a while
	NonIdempotent                        // must never run twice
)

// Scope is the group of engines that discards repeats of an [IdempotentWithKey] request.
type Scope int

// The deduplication scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// MemoryShortage says what an engine does when the memory that was granted exceeds what it has.
type MemoryShortage int

// The ways in which an engine handles a shortage of memory.
const (
	WaitForMemory MemoryShortage = iota // the request waits in the engine's queue
	SpillToDisk                         // it gets what is left, and spills to disk
	Overcommit                          // it is admitted, and all slow down
)

// LoadReporting says how load reports reach the front end.
type LoadReporting int

// The ways of reporting.
const (
	NoLoadReports      LoadReporting = iota
	InBandReports                    // with outcomes and health check results
	HealthCheckReports               // with health check results only
)

// Class describes one class of request.
type Class struct {
	// An answer earns the full weight within LatencyObjective plus ObjectivePerWork times the work per thread, and
	// PriorityWeight times LateWeight after that.
	LatencyObjective time.Duration
	ObjectivePerWork float64
	PriorityWeight   float64
	LateWeight       float64 // a fraction, 0 to 1

	Deadline            time.Duration // the longest that a client of the class waits
	Idempotency         Idempotency
	DeduplicationScope  Scope         // for IdempotentWithKey
	DeduplicationWindow time.Duration // for IdempotentWithKey: how long repeats are discarded
	Ordered             bool          // requests of one key run one at a time, in order of arrival
	OnlyZones           []int         // empty: any zone
	OnlyKinds           []int         // empty: any kind
	Stream              bool
	Threads             int  // that a request occupies on its engine; at least 1
	LocksTables         bool // locks its table group on its engine while it runs
	WaitsForLocks       bool // waits while its table group is locked there
}

// Kind describes one kind of machine.
type Kind struct {
	Cores    int
	MemoryMB float64
}

// Tenant describes one tenant.
type Tenant struct {
	Quota             float64 // a fraction of the whole
	RequestsPerSecond float64 // within its quota, over all front ends; 0: no limit is known
}

// RetryBudget limits the retries of all requests together, within a sliding window, to
// MinRetries + Ratio * requests.
type RetryBudget struct {
	MinRetries float64
	Ratio      float64 // retries per request that arrived within the window
	Window     time.Duration
}

// SlowStart describes engines that have just started. Their capacity grows evenly from InitialCapacity to 1, as a
// fraction of full capacity, within Duration. A warming engine fails if the work it is sent within OverloadWindow
// exceeds OverloadMultiple times what it can do in that time; an OverloadMultiple of 0 or less: it never fails.
type SlowStart struct {
	Duration         time.Duration
	InitialCapacity  float64
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// Settings are what a front end is told at its start.
type Settings struct {
	Me, Replicas    int // the number of this front end, from 0, and how many there are
	Zone            int // -1: not known
	Zones           int
	Kinds           []Kind
	Classes         []Class
	Tenants         []Tenant // may be empty
	OverQuotaWeight float64

	// What the platform does and allows.
	PollDiscovery       bool // the engine list is not sent unasked
	PollInterval        time.Duration
	LoadReporting       LoadReporting
	GrantsSupported     bool // engines take memory grants
	PrioritiesSupported bool // engines take priorities
	CostReported        bool // engines tell work and memory with the outcome
	ProgressInterval    time.Duration
	MemoryShortage      MemoryShortage
	MaxGrantFraction    float64 // the largest grant, as a fraction of an engine's memory; 0: not known
	CancellationAllowed bool
	HealthChecksAllowed bool
	HealthCheckCost     float64 // points of service that one health check for each request costs; 0: not known
	GossipAllowed       bool
	HedgingAllowed      bool // two attempts of a request may be in flight at once
	MaxAttempts         int
	MaxRetryAfter       time.Duration // 0: clients are not told when to come back
	RetriesMarked       bool          // clients mark a request that they have tried before

	DeadlineSlack time.Duration // how late a final answer may be
	DrainGrace    time.Duration
	KeyCooldown   time.Duration // how long a key of an Ordered class rests after an attempt that may have run
	SlowStart     SlowStart
	RetryBudget   *RetryBudget // nil: retries are not limited
}

// SettingsError says which field of the settings is not valid.
type SettingsError struct {
	Field, Allowed string
}

// Error names the field and what is allowed.
func (e *SettingsError) Error() string { return "settings: " + e.Field + ": " + e.Allowed }

// check returns a *SettingsError for the first field that is not valid.
func (s *Settings) check() error {
	if s.Replicas < 1 {
		return &SettingsError{"Replicas", "must be at least 1"}
	}
	if len(s.Classes) == 0 {
		return &SettingsError{"Classes", "must not be empty"}
	}
	if s.RetryBudget != nil && s.RetryBudget.Window <= 0 {
		return &SettingsError{"RetryBudget.Window", "must be positive"}
	}
	for i, kind := range s.Kinds {
		if kind.Cores < 0 || kind.MemoryMB < 0 {
			return &SettingsError{fmt.Sprintf("Kinds[%d]", i), "cores and memory must not be negative"}
		}
	}
	for i := range s.Classes {
		if s.Classes[i].Deadline <= 0 {
			return &SettingsError{fmt.Sprintf("Classes[%d].Deadline", i), "must be positive"}
		}
	}
	for i, tenant := range s.Tenants {
		if tenant.RequestsPerSecond < 0 {
			return &SettingsError{fmt.Sprintf("Tenants[%d].RequestsPerSecond", i), "must not be negative"}
		}
	}
	return nil
}
