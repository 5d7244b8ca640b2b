package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Version is that of the state in snapshots. A later one is refused by name.
const Version = 1

// Phase is what a front end's process last said of itself.
type Phase string

// The phases of a process.
const (
	Starting   Phase = "starting"
	Serving    Phase = "serving"
	Draining   Phase = "leaving" // it takes no more requests
	Terminated Phase = "gone"    // it has answered all and ends
)

// Member is a front end.
type Member struct {
	Name            string        `json:"name"`
	Zone            string        `json:"room"`
	Kind            string        `json:"kind,omitempty"`
	Weight          float64       `json:"weight"`      // what it can carry, in the unit of Load
	Incarnation     uint64        `json:"incarnation"` // of its process; a later one is greater
	StatusSequence  uint64        `json:"seq"`         // of its last word
	Revision        string        `json:"revision"`
	TargetRevision  string        `json:"wanted"` // the revision that it is to be started on
	Phase           Phase         `json:"phase"`
	Suspected       bool          `json:"doubted,omitempty"` // not heard of since its last word
	ChangedAt       time.Duration `json:"changed"`           // when phase or doubt last did
	PreviousEndedAt time.Duration `json:"before,omitempty"`  // when an earlier process was known to be over; 0: there was none
	Crashes         []int64       `json:"crashes,omitempty"` // when processes of it ended unannounced, Unix nanoseconds, lately
}

func (m *Member) isServing() bool { return m.Phase == Serving && !m.Suspected }

// Engine is a query engine, as the lists of the front ends tell.
type Engine struct {
	Name    string  `json:"name"`
	Zone    string  `json:"room"`
	Kind    string  `json:"kind,omitempty"`
	Cores   float64 `json:"cores"`
	Process uint64  `json:"process"` // when its process started; a later one is greater
	Listed  bool    `json:"listed"`
	Ready   bool    `json:"ready"`
}

// Purpose is what a permit is for.
type Purpose string

// The purposes of a permit.
const (
	Restart Purpose = "restart" // of a front end, on Permit.Revision
	Drain   Purpose = "drain"   // until an operator's undrain; for engines, or a newer process
)

// Permit allows one front end or engine to be out.
type Permit struct {
	Number      uint64        `json:"number"`
	Subject     string        `json:"holder"`
	Engine      bool          `json:"engine,omitempty"` // the holder is an engine
	Purpose     Purpose       `json:"for"`
	Revision    string        `json:"revision,omitempty"`
	Release     uint64        `json:"release,omitempty"` // that it was given for; 0: an operator's
	RequestedBy string        `json:"by,omitempty"`
	GrantedAt   time.Duration `json:"granted"`
	ActivatedAt time.Duration `json:"begun,omitempty"` // when the holder was told to go; 0: not yet
	Incarnation uint64        `json:"incarnation"`     // of the process that it was given to

	DrainedBy map[string]uint64 `json:"empty,omitempty"`    // engines: who has nothing out there, as which process
	DrainedAt time.Duration     `json:"may_stop,omitempty"` // engines: since when nothing is out there; 0: not yet
	Cancelled bool              `json:"lifted,omitempty"`   // front ends: undrained, and not yet back
}

// ReleaseState is where a release stands.
type ReleaseState string

// The conditions of a release.
const (
	Running ReleaseState = "running"
	Halting ReleaseState = "halting" // nobody is told to go any more; some that were are not yet seen out
	Halted  ReleaseState = "halted"
	Done    ReleaseState = "done"
)

// RequestCounts is what some front ends did in a window.
type RequestCounts struct {
	Requests int64 `json:"requests"`
	Failed   int64 `json:"failed"`
	Rejected int64 `json:"refused"`
	Slow     int64 `json:"slow"` // served later than the class's aim
}

// Release brings the fleet to a revision, in waves.
type Release struct {
	Number           uint64        `json:"number"`
	Revision         string        `json:"revision"`
	PreviousRevision string        `json:"from"` // the revision of the way back
	StartedBy        string        `json:"by"`
	Waves            []float64     `json:"waves"` // shares of the fleet, rising to 1
	Soak             time.Duration `json:"soak"`
	Wave             int           `json:"wave"`
	Order            []string      `json:"order"` // members, those of the first wave first
	State            ReleaseState  `json:"state"`
	RollingBack      bool          `json:"back,omitempty"` // it is on the way back
	HaltCause        string        `json:"cause,omitempty"`
	StartedAt        time.Duration `json:"started"`
	SoakingSince     time.Duration `json:"soak_from,omitempty"` // since when all of the wave serve on it; 0: they don't
	WaveRequests     int64         `json:"sample"`              // requests on the new revision since the wave began
	Window           uint64        `json:"window"`              // the last of which counts were taken
	New              RequestCounts `json:"new"`                 // in windows and rooms that had both
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

// commandResult is the answer of a command, for its repeats.
type commandResult struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// State is all that the machine remembers. It is read only for those that hold a copy.
type State struct {
	Version      int                `json:"version"`
	Now          time.Duration      `json:"now"` // Unix time of the latest command
	Applied      uint64             `json:"applied"`
	Settings     Settings           `json:"settings"`
	Members      map[string]*Member `json:"members"`
	Engines      map[string]*Engine `json:"engines"`
	Permits      map[uint64]*Permit `json:"permits"`
	LastPermit   uint64             `json:"last"` // number of the last permit
	Release      *Release           `json:"release,omitempty"`
	LastRelease  uint64             `json:"releases"`
	Load         Load               `json:"load"`
	Removed      map[string]uint64  `json:"forgotten,omitempty"` // the incarnation that was
	RemovedOrder []string           `json:"gone,omitempty"`      // those forgotten, oldest first
	Audit        []AuditEntry       `json:"audit,omitempty"`
	AuditCount   uint64             `json:"lines"`
	Results      []commandResult    `json:"answers,omitempty"`
}

// StateMachine is the state and what may be done to it.
type StateMachine struct {
	State
	resultIndex     map[string]int // place in Answers, by id
	permitBySubject map[string]uint64
	skipped         check // tests only: a check that is left out
}

// New returns a machine of an empty fleet, or an error that names the setting that can't be used.
func New(set Settings) (*StateMachine, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	m := &StateMachine{State: State{Version: Version, Settings: set, Members: map[string]*Member{}, Engines: map[string]*Engine{},
		Permits: map[uint64]*Permit{}, Removed: map[string]uint64{}}}
	m.buildIndexes()
	return m, nil
}

// Snapshot is the whole state as JSON.
func (m *StateMachine) Snapshot() ([]byte, error) { return json.Marshal(&m.State) }

// errLaterVersion tells a state that a later program has written.
var errLaterVersion = errors.New("rollout: the state was written by a later version")

// Restore takes a snapshot's state in place of the machine's. On an error the machine is as it was.
func (m *StateMachine) Restore(text []byte) error {
	var head struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return fmt.Errorf("rollout: the state can't be read: %w", err)
	}
	if head.Version > Version {
		return fmt.Errorf("%w: %d, and this program knows %d", errLaterVersion, head.Version, Version)
	}
	s := State{Members: map[string]*Member{}, Engines: map[string]*Engine{}, Permits: map[uint64]*Permit{}, Removed: map[string]uint64{}}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return fmt.Errorf("rollout: the state can't be read: %w", err)
	}
	if err := s.Settings.Check(); err != nil {
		return err
	}
	m.State = s
	m.buildIndexes()
	return nil
}

// buildIndexes builds what is derived from the state.
func (m *StateMachine) buildIndexes() {
	m.resultIndex, m.permitBySubject = map[string]int{}, map[string]uint64{}
	for i, a := range m.Results {
		m.resultIndex[a.ID] = i
	}
	for n, p := range m.Permits {
		m.permitBySubject[p.key()] = n
	}
}

// key tells a holder among front ends and engines.
func (p *Permit) key() string { return holderKey(p.Subject, p.Engine) }

func holderKey(name string, engine bool) string {
	if engine {
		return "engine " + name
	}
	return "front end " + name
}

// permitOf is the permit that somebody holds; nil for none.
func (m *StateMachine) permitOf(name string, engine bool) *Permit {
	return m.Permits[m.permitBySubject[holderKey(name, engine)]]
}

func (m *StateMachine) endPermit(p *Permit) {
	delete(m.Permits, p.Number)
	delete(m.permitBySubject, p.key())
}

// PermitNumbers lists the permits in order.
func (m *StateMachine) PermitNumbers() []uint64 { return m.numbers() }

func (m *StateMachine) numbers() []uint64 { return slices.Sorted(maps.Keys(m.Permits)) }

// memberNames lists the members in order.
func (m *StateMachine) memberNames() []string { return slices.Sorted(maps.Keys(m.Members)) }

func (m *StateMachine) audit(by, what, from, to string) {
	m.AuditCount++
	m.Audit = append(m.Audit, AuditEntry{Number: m.AuditCount, At: m.Now, Actor: by, Action: what, From: from, To: to})
	if over := len(m.Audit) - m.Settings.KeepAudit; over > 0 {
		m.Audit = slices.Delete(m.Audit, 0, over)
	}
}

// rememberResult keeps the answer of a command for its repeats.
func (m *StateMachine) rememberResult(id string, r Result) {
	if id == "" {
		return
	}
	m.Results = append(m.Results, commandResult{id, r})
	if len(m.Results) > 2*m.Settings.KeepResults { // in halves, so that the index is not built at each command
		m.Results = slices.Delete(m.Results, 0, len(m.Results)-m.Settings.KeepResults)
		m.buildIndexes()
		return
	}
	m.resultIndex[id] = len(m.Results) - 1
}
