package rollout

import "time"

// Version is the format version of snapshots. [StateMachine.Restore] rejects a later one.
const Version = 1

// Phase is the state of a front end's process, by its last report.
type Phase string

// The phases of a process.
const (
	Starting   Phase = "starting"
	Serving    Phase = "serving"
	Draining   Phase = "leaving" // the process accepts no more requests
	Terminated Phase = "gone"    // the process has answered all requests and ends
)

// Member is a registered front end.
type Member struct {
	Name            string        `json:"name"`
	Zone            string        `json:"room"`
	Kind            string        `json:"kind,omitempty"`
	Weight          float64       `json:"weight"`      // capacity, in the unit of Load
	Incarnation     uint64        `json:"incarnation"` // of the process; a later process has a greater one
	StatusSequence  uint64        `json:"seq"`         // of the last report
	Revision        string        `json:"revision"`
	TargetRevision  string        `json:"wanted"` // the revision that the next process is to be started on
	Phase           Phase         `json:"phase"`
	Suspected       bool          `json:"doubted,omitempty"` // not seen alive since the last report
	ChangedAt       time.Duration `json:"changed"`           // when Phase or Suspected last changed
	PreviousEndedAt time.Duration `json:"before,omitempty"`  // when an earlier process was known to have ended; 0: none
	Crashes         []int64       `json:"crashes,omitempty"` // Unix nanoseconds of recent unannounced ends, oldest first
}

func (m *Member) isServing() bool { return m.Phase == Serving && !m.Suspected }

func (m *Member) subject() Subject { return Subject{Name: m.Name} }

// Engine is a query engine, as the endpoint lists of the front ends describe it.
type Engine struct {
	Name    string  `json:"name"`
	Zone    string  `json:"room"`
	Kind    string  `json:"kind,omitempty"`
	Cores   float64 `json:"cores"`
	Process uint64  `json:"process"` // start time of the process; a later process has a greater one
	Listed  bool    `json:"listed"`
	Ready   bool    `json:"ready"`
}

func (e *Engine) subject() Subject { return Subject{Name: e.Name, Engine: true} }

// Purpose is the reason for a permit.
type Purpose string

// The purposes of a permit.
const (
	Restart Purpose = "restart" // of a front end, on Permit.Revision
	Drain   Purpose = "drain"   // until an operator's undrain or, for engines, a newer process
)

// Permit allows one front end or engine to be unavailable.
type Permit struct {
	Number      uint64        `json:"number"`
	Subject     string        `json:"holder"`
	Engine      bool          `json:"engine,omitempty"` // the subject is an engine
	Purpose     Purpose       `json:"for"`
	Revision    string        `json:"revision,omitempty"`
	Release     uint64        `json:"release,omitempty"` // that the permit was granted for; 0: requested by an operator
	RequestedBy string        `json:"by,omitempty"`
	GrantedAt   time.Duration `json:"granted"`
	ActivatedAt time.Duration `json:"begun,omitempty"` // when the subject was told to shut down; 0: not yet
	Incarnation uint64        `json:"incarnation"`     // of the process that the permit was granted to

	DrainedBy map[string]uint64 `json:"empty,omitempty"`    // of engines: incarnations of front ends without queries there
	DrainedAt time.Duration     `json:"may_stop,omitempty"` // of engines: time since which no query is there; 0: not yet
	Cancelled bool              `json:"lifted,omitempty"`   // of front ends: undrained, and not yet serving again
}

func (p *Permit) subject() Subject { return Subject{Name: p.Subject, Engine: p.Engine} }

// holdsDrain reports whether the permit is a drain that no operator has cancelled.
func (p *Permit) holdsDrain() bool { return p.Purpose == Drain && !p.Cancelled }

// ReleaseState is the state of a release.
type ReleaseState string

// The states of a release.
const (
	Running ReleaseState = "running"
	Halting ReleaseState = "halting" // no more members are told to shut down; some that were told have not reported
	Halted  ReleaseState = "halted"
	Done    ReleaseState = "done"
)

// Release brings the fleet to a revision, in waves.
type Release struct {
	Number           uint64        `json:"number"`
	Revision         string        `json:"revision"`
	PreviousRevision string        `json:"from"` // the target of a rollback
	StartedBy        string        `json:"by"`
	Waves            []float64     `json:"waves"` // shares of the fleet, rising to 1
	Soak             time.Duration `json:"soak"`
	Wave             int           `json:"wave"`  // index of the present wave
	Order            []string      `json:"order"` // members, those of the first wave first
	State            ReleaseState  `json:"state"`
	RollingBack      bool          `json:"back,omitempty"`
	HaltCause        string        `json:"cause,omitempty"`
	StartedAt        time.Duration `json:"started"`
	SoakingSince     time.Duration `json:"soak_from,omitempty"` // when the wave became complete; 0: incomplete
	WaveRequests     int64         `json:"sample"`              // requests on the new revision since the wave began
	Window           uint64        `json:"window"`              // the last window whose counts were applied
	New              RequestCounts `json:"new"`                 // counts of windows and zones with both revisions
	Old              RequestCounts `json:"old"`
	Evidence         evidence      `json:"evidence"`
}

// target returns the revision that members are to be restarted on: the previous one during a rollback.
func (r *Release) target() string {
	if r.RollingBack {
		return r.PreviousRevision
	}
	return r.Revision
}

// active reports whether a release exists and is not done. The receiver may be nil.
func (r *Release) active() bool { return r != nil && r.State != Done }

// AuditEntry records one change of the state, with its time and its actor.
type AuditEntry struct {
	Number uint64        `json:"number"`
	At     time.Duration `json:"at"`
	Actor  string        `json:"by"`
	Action string        `json:"what"`
	From   string        `json:"from,omitempty"`
	To     string        `json:"to,omitempty"`
}

// commandResult is the result of a command, kept to answer repeats of the command.
type commandResult struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// State is the replicated state. A copy of it shares maps and slices with the state machine and must only be read.
type State struct {
	Version      int                `json:"version"`
	Now          time.Duration      `json:"now"`     // Unix time of the latest command
	Applied      uint64             `json:"applied"` // number of commands
	Settings     Settings           `json:"settings"`
	Members      map[string]*Member `json:"members"`
	Engines      map[string]*Engine `json:"engines"`
	Permits      map[uint64]*Permit `json:"permits"`
	LastPermit   uint64             `json:"last"` // number of the last permit
	Release      *Release           `json:"release,omitempty"`
	LastRelease  uint64             `json:"releases"` // number of the last release
	Load         Load               `json:"load"`
	Removed      map[string]uint64  `json:"forgotten,omitempty"` // last incarnations of removed members
	RemovedOrder []string           `json:"gone,omitempty"`      // names of removed members, in the order of removal
	Audit        []AuditEntry       `json:"audit,omitempty"`
	AuditCount   uint64             `json:"lines"` // number of the last audit entry
	Results      []commandResult    `json:"answers,omitempty"`
}
