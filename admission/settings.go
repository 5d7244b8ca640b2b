package admission

import (
	"fmt"
	"time"
)

// Idempotency says whether a request may run more than once.
type Idempotency int

// The idempotency of a class.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // repeats are discarded in a scope of engines within a window
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

// MemoryShortage says what an engine does when the memory granted to requests exceeds the memory that the engine has.
type MemoryShortage int

// The ways in which an engine handles a shortage of memory.
const (
	WaitForMemory MemoryShortage = iota // the request waits in the engine's queue
	SpillToDisk                         // the request gets the memory that is left, and spills to disk
	Overcommit                          // the request is admitted, and all requests slow down
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
	// An answer earns PriorityWeight within LatencyObjective plus ObjectivePerWork times the work per thread, and
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
	LocksTables         bool // a request locks its table group on its engine while it runs
	WaitsForLocks       bool // a request waits while its table group is locked on its engine
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

// SlowStart describes engines that have just started. Their capacity grows linearly from InitialCapacity to 1, as a
// fraction of full capacity, within Duration. A warming engine fails if the work that it is sent within OverloadWindow
// exceeds OverloadMultiple times the work that it can do in that time. With an OverloadMultiple of 0 or less it never
// fails.
type SlowStart struct {
	Duration         time.Duration
	InitialCapacity  float64
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// Settings describe the deployment and the platform of one front end.
type Settings struct {
	Me, Replicas    int // the index of this front end, from 0, and the number of front ends
	Zone            int // -1: not known
	Zones           int
	Kinds           []Kind
	Classes         []Class
	Tenants         []Tenant // may be empty
	OverQuotaWeight float64

	// Properties of the platform, and what it allows.
	PollDiscovery       bool // discovery sends the engine list only on request
	PollInterval        time.Duration
	LoadReporting       LoadReporting
	GrantsSupported     bool // engines accept memory grants
	PrioritiesSupported bool // engines accept priorities
	CostReported        bool // engines report work and memory with the outcome
	ProgressInterval    time.Duration
	MemoryShortage      MemoryShortage
	MaxGrantFraction    float64 // the largest grant, as a fraction of an engine's memory; 0: not known
	CancellationAllowed bool
	HealthChecksAllowed bool
	HealthCheckCost     float64 // points of service that it costs to send one health check per request; 0: not known
	GossipAllowed       bool
	HedgingAllowed      bool // two attempts of a request may be in flight at once
	MaxAttempts         int
	MaxRetryAfter       time.Duration // the longest Retry-After of a rejection; 0: no Retry-After
	RetriesMarked       bool          // clients mark their retries

	DeadlineSlack time.Duration // how long after the deadline a final answer may come
	DrainGrace    time.Duration
	KeyCooldown   time.Duration // no request of an Ordered key is sent for so long after an attempt that may have run
	SlowStart     SlowStart
	RetryBudget   *RetryBudget // nil: retries are not limited
}

// SettingsError names an invalid field of the settings and the values that are allowed.
type SettingsError struct {
	Field, Allowed string
}

// Error returns the name of the field and the allowed values.
func (e *SettingsError) Error() string { return "settings: " + e.Field + ": " + e.Allowed }

// check returns a *SettingsError for the first invalid field.
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
