package rollout

import (
	"fmt"
	"strings"
	"time"
)

// Command is one entry of the log: one of its pointers is set.
type Command struct {
	ID          string        `json:"id,omitempty"` // a repeat under the same id is answered as the first was; empty: it may repeat
	RequestedBy string        `json:"by,omitempty"` // who asked
	At          time.Duration `json:"at"`           // Unix time at the keeper that entered it

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
	Tick           *struct{}        `json:"tick,omitempty"`
}

type (
	// ReportStatus is a front end's own word of itself.
	ReportStatus struct {
		Name           string  `json:"name"`
		Zone           string  `json:"room"`
		Kind           string  `json:"kind,omitempty"`
		Weight         float64 `json:"weight"`
		Incarnation    uint64  `json:"incarnation"`
		StatusSequence uint64  `json:"seq"`
		Revision       string  `json:"revision"`
		Phase          Phase   `json:"phase"`
	}
	// Suspect tells that a process is not heard of.
	Suspect struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
	}
	// PermitReference asks, at the last moment, whether the permit still stands; as Return it hands it back: the process serves.
	PermitReference struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		Permit      uint64 `json:"permit"`
	}
	// ReportDrained tells that the process sends no more to the engine of a drain, and has nothing out there.
	ReportDrained struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		Permit      uint64 `json:"permit"`
	}
	// Health is what front ends on the new and on other revisions did in one window, by room.
	Health struct {
		Release uint64       `json:"release"`
		Window  uint64       `json:"window"` // only grows
		Zones   []ZoneCounts `json:"rooms"`
	}
	// ZoneCounts is one room's part of a Health.
	ZoneCounts struct {
		Zone string        `json:"room"`
		New  RequestCounts `json:"new"`
		Old  RequestCounts `json:"old"`
	}
	// Load is what is measured: front ends in the unit of their weights, engines in cores.
	Load struct {
		FrontEnds float64 `json:"front_ends"`
		Engines   float64 `json:"engines"`
	}
	// Subject names a front end or an engine.
	Subject struct {
		Name   string `json:"name"`
		Engine bool   `json:"engine,omitempty"`
	}
	// StartRelease begins a release.
	StartRelease struct {
		Revision         string        `json:"revision"`
		PreviousRevision string        `json:"from,omitempty"` // empty: what most serve on
		Waves            []float64     `json:"waves"`
		Soak             time.Duration `json:"soak"`
	}
	// Halt stops a release.
	Halt struct {
		Cause string `json:"cause"`
	}
)

// RejectedError says why a command was not carried out.
type RejectedError struct {
	Code        string   `json:"code"`
	Text        string   `json:"text"`
	Scope       string   `json:"scope,omitempty"` // of the budget: "all", "room room-a", "kind std-12", "capacity"
	Limit       int      `json:"limit,omitempty"`
	Unavailable []string `json:"out,omitempty"` // who holds the budget
}

// The codes of refusals.
const (
	NoBudget           = "no-budget"
	NoPermit           = "no-permit"
	NotFound           = "not-known"
	FailedPrecondition = "not-now"
	InvalidArgument    = "bad-value"
	StaleMessage       = "older-word"
	NothingToDo        = "nothing-to-do"
)

func (r *RejectedError) Error() string {
	if len(r.Unavailable) == 0 {
		return r.Text
	}
	return r.Text + ": out are " + strings.Join(r.Unavailable, ", ")
}

func reject(code, format string, args ...any) Result {
	return Result{Rejected: &RejectedError{Code: code, Text: fmt.Sprintf(format, args...)}}
}

// Result answers a command.
type Result struct {
	Rejected *RejectedError `json:"refusal,omitempty"`
	Permit   uint64         `json:"permit,omitempty"`
	Shutdown bool           `json:"go,omitempty"` // Begin: go out now
	Release  uint64         `json:"release,omitempty"`
	State    ReleaseState   `json:"state,omitempty"`   // of the release
	Applied  uint64         `json:"applied,omitempty"` // Say: the number of the command in the log
	Drained  []string       `json:"drained,omitempty"` // Say: engines that get nothing more
}

// Apply carries one command out. Commands of a log are applied in its order.
func (m *StateMachine) Apply(c Command) Result {
	m.Applied++
	m.Now = max(m.Now, c.At)
	if at, seen := m.resultIndex[c.ID]; seen && c.ID != "" && !m.skip(checkRepeat) {
		return m.Results[at].Result
	}
	r := m.execute(&c)
	m.advance()
	if c.ReportStatus != nil {
		r.Applied = m.Applied
		for _, n := range m.numbers() {
			if p := m.Permits[n]; p.Engine {
				r.Drained = append(r.Drained, p.Subject)
			}
		}
	}
	if r.Release != 0 && m.Release != nil && m.Release.Number == r.Release {
		r.State = m.Release.State // as the command left it
	}
	m.rememberResult(c.ID, r)
	return r
}

func (m *StateMachine) execute(c *Command) Result {
	switch {
	case c.ReportStatus != nil:
		return m.applyStatus(c.ReportStatus)
	case c.Suspect != nil:
		return m.applySuspect(c.Suspect)
	case c.ActivatePermit != nil:
		return m.activatePermit(c.ActivatePermit)
	case c.ReturnPermit != nil:
		return m.returnPermit(c.ReturnPermit)
	case c.ReportDrained != nil:
		return m.applyReportDrained(c.ReportDrained)
	case c.Engine != nil:
		return m.applyEngine(*c.Engine)
	case c.Health != nil:
		return m.applyHealth(c.Health)
	case c.Load != nil:
		m.Load = *c.Load
		return Result{}
	case c.Drain != nil:
		return m.applyDrain(c.Drain, c.RequestedBy)
	case c.Undrain != nil:
		return m.applyUndrain(c.Undrain, c.RequestedBy)
	case c.RemoveMember != nil:
		return m.applyRemove(c.RemoveMember, c.RequestedBy)
	case c.StartRelease != nil:
		return m.startRelease(c.StartRelease, c.RequestedBy)
	case c.Halt != nil:
		return m.haltRelease(c.RequestedBy, c.Halt.Cause)
	case c.Resume != nil:
		return m.resumeRelease(c.RequestedBy)
	case c.Rollback != nil:
		return m.rollBackRelease(c.RequestedBy)
	case c.Configure != nil:
		return m.applySettings(*c.Configure, c.RequestedBy)
	}
	return Result{} // a tick
}

func (m *StateMachine) applySettings(s Settings, by string) Result {
	if err := s.Check(); err != nil {
		return reject(InvalidArgument, "%v", err)
	}
	m.audit(by, "settings", m.Settings.auditText(), s.auditText())
	m.Settings = s
	return Result{}
}

// check names a check of the machine, so that tests can show what breaks without it.
type check int

// The checks that tests leave out, one at a time.
const (
	checkNone check = iota
	checkRepeat
	checkOlderWord
	checkGrantBudget
	checkBeginBudget
	checkRoomBudget
	checkFloor
	checkNumber
	checkProcess
	checkHaltRevokes
	checkHaltedBegin
	checkHaltSeenOut
	checkLateServing
	checkOneRelease
	checkEmptyProcess
	checkEmptyAll
	checkProtocolTime
	checkDoubtedOut
	checkEngineProof
	checkForgotten
	checkWindow
	checkBackRevokes
	checkWave
)

func (m *StateMachine) skip(c check) bool { return m.skipped == c }
