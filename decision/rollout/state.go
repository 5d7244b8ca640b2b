package rollout

import "time"

// Version is that of the state in snapshots. [StateMachine.Restore] rejects a later one.
const Version = 1

// Phase is what a front end's process last reported of itself.
type Phase string

// The phases of a process.
const (
	Starting   Phase = "starting"
	Serving    Phase = "serving"
	Draining   Phase = "leaving" // it accepts no more requests
	Terminated Phase = "gone"    // it has answered all requests and ends
)

// Member is a front end that is registered.
type Member struct {
	Name            string        `json:"name"`
	Zone            string        `json:"room"`
	Kind            string        `json:"kind,omitempty"`
	Weight          float64       `json:"weight"`      // what it can carry, in the unit of Load
	Incarnation     uint64        `json:"incarnation"` // of its process; a later process has a greater one
	StatusSequence  uint64        `json:"seq"`         // of its last report
	Revision        string        `json:"revision"`
	TargetRevision  string        `json:"wanted"` // the revision that its next process is to be started on
	Phase           Phase         `json:"phase"`
	Suspected       bool          `json:"doubted,omitempty"` // not seen alive since its last report
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
	Process uint64  `json:"process"` // when its process started; a later process has a greater one
	Listed  bool    `json:"listed"`
	Ready   bool    `json:"ready"`
}

func (e *Engine) subject() Subject { return Subject{Name: e.Name, Engine: true} }

// Purpose is what a permit is for.
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
	Release     uint64        `json:"release,omitempty"` // that it was granted for; 0: requested by an operator
	RequestedBy string        `json:"by,omitempty"`
	GrantedAt   time.Duration `json:"granted"`
	ActivatedAt time.Duration `json:"begun,omitempty"` // when the subject was told to shut down; 0: not yet
	Incarnation uint64        `json:"incarnation"`     // of the process that it was granted to

	DrainedBy map[string]uint64 `json:"empty,omitempty"`    // of engines: front ends without queries there, by process
	DrainedAt time.Duration     `json:"may_stop,omitempty"` // of engines: since when no query is there; 0: not yet
	Cancelled bool              `json:"lifted,omitempty"`   // of front ends: undrained, and not yet back
}

func (p *Permit) subject() Subject { return Subject{Name: p.Subject, Engine: p.Engine} }

// holdsDrain tells whether the permit is a drain that no operator has taken back.
func (p *Permit) holdsDrain() bool { return p.Purpose == Drain && !p.Cancelled }

// ReleaseState is where a release stands.
type ReleaseState string

// The states of a release.
const (
	Running ReleaseState = "running"
	Halting ReleaseState = "halting" // no member is told to shut down; some that were have not reported yet
	Halted  ReleaseState = "halted"
	Done    ReleaseState = "done"
)

// Release brings the fleet to a revision, in waves.
type Release struct {
	Number           uint64        `json:"number"`
	Revision         string        `json:"revision"`
	PreviousRevision string        `json:"from"` // that a rollback brings the fleet to
	StartedBy        string        `json:"by"`
	Waves            []float64     `json:"waves"` // shares of the fleet, rising to 1
	Soak             time.Duration `json:"soak"`
	Wave             int           `json:"wave"`  // index of the present wave
	Order            []string      `json:"order"` // members, those of the first wave first
	State            ReleaseState  `json:"state"`
	RollingBack      bool          `json:"back,omitempty"`
	HaltCause        string        `json:"cause,omitempty"`
	StartedAt        time.Duration `json:"started"`
	SoakingSince     time.Duration `json:"soak_from,omitempty"` // when the wave was complete; 0: it is not
	WaveRequests     int64         `json:"sample"`              // requests on the new revision since the wave began
	Window           uint64        `json:"window"`              // the last window whose counts were applied
	New              RequestCounts `json:"new"`                 // in windows and zones that had both revisions
	Old              RequestCounts `json:"old"`
	Evidence         evidence      `json:"evidence"`
}

// target is the revision that the release brings members to now.
func (r *Release) target() string {
	if r.RollingBack {
		return r.PreviousRevision
	}
	return r.Revision
}

// active tells whether there is a release and it is not done. The receiver may be nil.
func (r *Release) active() bool { return r != nil && r.State != Done }

// AuditEntry is one line of the audit: who changed what, when.
type AuditEntry struct {
	Number uint64        `json:"number"`
	At     time.Duration `json:"at"`
	Actor  string        `json:"by"`
	Action string        `json:"what"`
	From   string        `json:"from,omitempty"`
	To     string        `json:"to,omitempty"`
}

// commandResult is the result of a command, for its repeats.
type commandResult struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// State is all that the state machine remembers. Whoever holds a copy must only read it.
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
	Removed      map[string]uint64  `json:"forgotten,omitempty"` // last incarnation of members that were removed
	RemovedOrder []string           `json:"gone,omitempty"`      // their names, in the order of removal
	Audit        []AuditEntry       `json:"audit,omitempty"`
	AuditCount   uint64             `json:"lines"` // number of the last audit entry
	Results      []commandResult    `json:"answers,omitempty"`
}
