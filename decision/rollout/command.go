package rollout

import "time"

// Command is one entry of the log. Exactly one of the pointers below At is set. The JSON names are those of the log and
// of the replicas' HTTP interface.
type Command struct {
	// ID identifies the command: a repeat with the same ID gets the first result. A command without an ID is executed
	// each time.
	ID          string        `json:"id,omitempty"`
	RequestedBy string        `json:"by,omitempty"` // the operator, for the audit
	At          time.Duration `json:"at"`           // Unix time at the replica that appended the command

	ReportStatus   *ReportStatus    `json:"say,omitempty"`
	Suspect        *Suspect         `json:"doubt,omitempty"`
	ActivatePermit *PermitReference `json:"begin,omitempty"`
	ReturnPermit   *PermitReference `json:"return,omitempty"`
	ReportDrained  *ReportDrained   `json:"empty,omitempty"`
	Engine         *Engine          `json:"engine,omitempty"`
	Health         *Health          `json:"health,omitempty"`
	Load           *Load            `json:"load,omitempty"`
	Drain          *Subject         `json:"drain,omitempty"`
	Undrain        *Subject         `json:"undrain,omitempty"`
	RemoveMember   *Subject         `json:"forget,omitempty"`
	StartRelease   *StartRelease    `json:"start,omitempty"`
	Halt           *Halt            `json:"halt,omitempty"`
	Resume         *struct{}        `json:"resume,omitempty"`
	Rollback       *struct{}        `json:"way_back,omitempty"`
	Configure      *Settings        `json:"configure,omitempty"`
	Tick           *struct{}        `json:"tick,omitempty"` // advances the time only
}

// ReportStatus is a front end's report about itself.
type ReportStatus struct {
	Name           string  `json:"name"`
	Zone           string  `json:"room"`
	Kind           string  `json:"kind,omitempty"`
	Weight         float64 `json:"weight"` // capacity, in the unit of Load
	Incarnation    uint64  `json:"incarnation"`
	StatusSequence uint64  `json:"seq"` // grows with each report of the process
	Revision       string  `json:"revision"`
	Phase          Phase   `json:"phase"`
}

// Suspect reports that a front end's process is no longer seen alive. The leader of the log sends it.
type Suspect struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// PermitReference names a permit and the process of the front end that holds the permit. The process sends a
// PermitReference to activate the permit, immediately before it shuts down, or to return the permit, when it continues
// to serve.
type PermitReference struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Permit      uint64 `json:"permit"`
}

// ReportDrained is a front end's report that it sends no more queries to the engine of a drain, and has none there.
type ReportDrained struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Permit      uint64 `json:"permit"`
}

// Health holds the request counts of front ends on the new and on other revisions in one window, by zone.
type Health struct {
	Release uint64       `json:"release"`
	Window  uint64       `json:"window"` // number of the window; only grows
	Zones   []ZoneCounts `json:"rooms"`
}

// ZoneCounts is one zone's part of a [Health].
type ZoneCounts struct {
	Zone string        `json:"room"`
	New  RequestCounts `json:"new"` // on the revision of the release
	Old  RequestCounts `json:"old"` // on any other
}

// RequestCounts counts the requests of several front ends in a window, by outcome.
type RequestCounts struct {
	Requests int64 `json:"requests"`
	Failed   int64 `json:"failed"`
	Rejected int64 `json:"refused"`
	Slow     int64 `json:"slow"` // served later than the latency objective
}

// Load is the measured load: of front ends in the unit of their weights, of engines in cores.
type Load struct {
	FrontEnds float64 `json:"front_ends"`
	Engines   float64 `json:"engines"`
}

// Subject names a front end or an engine.
type Subject struct {
	Name   string `json:"name"`
	Engine bool   `json:"engine,omitempty"`
}

// label formats the subject as audit entries store it.
func (s Subject) label() string {
	if s.Engine {
		return "engine " + s.Name
	}
	return "front end " + s.Name
}

// StartRelease brings the fleet to a revision in waves.
type StartRelease struct {
	Revision         string        `json:"revision"`
	PreviousRevision string        `json:"from,omitempty"` // target of a rollback; empty: the most common one
	Waves            []float64     `json:"waves"`          // shares of the fleet, rising to 1
	Soak             time.Duration `json:"soak"`           // time that each complete wave serves before the next begins
}

// Halt stops a release.
type Halt struct {
	Cause string `json:"cause"`
}

// Result is the answer to a command. The kind of command determines the fields that are set.
type Result struct {
	Rejected *RejectedError `json:"refusal,omitempty"` // nil: executed
	Permit   uint64         `json:"permit,omitempty"`
	Shutdown bool           `json:"go,omitempty"` // of ActivatePermit: shut down now
	Release  uint64         `json:"release,omitempty"`
	State    ReleaseState   `json:"state,omitempty"`   // of the release, after the command
	Applied  uint64         `json:"applied,omitempty"` // of ReportStatus: the number of the command in the log
	Drained  []string       `json:"drained,omitempty"` // of ReportStatus: engines that must not get more queries
}
