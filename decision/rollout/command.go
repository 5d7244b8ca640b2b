package rollout

import (
	"fmt"
	"strings"
	"time"
)

// Command is one entry of the log: one of its pointers is set.
type Command struct {
	ID string        `json:"id,omitempty"` // a repeat under the same id is answered as the first was; empty: it may repeat
	By string        `json:"by,omitempty"` // who asked
	At time.Duration `json:"at"`           // Unix time at the keeper that entered it

	Say       *Say      `json:"say,omitempty"`
	Doubt     *Doubt    `json:"doubt,omitempty"`
	Begin     *Begin    `json:"begin,omitempty"`
	Return    *Begin    `json:"return,omitempty"`
	Empty     *Empty    `json:"empty,omitempty"`
	Engine    *Engine   `json:"engine,omitempty"`
	Health    *Health   `json:"health,omitempty"`
	Load      *Load     `json:"load,omitempty"`
	Drain     *Holder   `json:"drain,omitempty"`
	Undrain   *Holder   `json:"undrain,omitempty"`
	Forget    *Holder   `json:"forget,omitempty"`
	Start     *Start    `json:"start,omitempty"`
	Halt      *Halt     `json:"halt,omitempty"`
	Resume    *struct{} `json:"resume,omitempty"`
	WayBack   *struct{} `json:"way_back,omitempty"`
	Configure *Settings `json:"configure,omitempty"`
	Tick      *struct{} `json:"tick,omitempty"`
}

type (
	// Say is a front end's own word of itself.
	Say struct {
		Name        string  `json:"name"`
		Room        string  `json:"room"`
		Kind        string  `json:"kind,omitempty"`
		Weight      float64 `json:"weight"`
		Incarnation uint64  `json:"incarnation"`
		Seq         uint64  `json:"seq"`
		Revision    string  `json:"revision"`
		Phase       Phase   `json:"phase"`
	}
	// Doubt tells that a process is not heard of.
	Doubt struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
	}
	// Begin asks, at the last moment, whether the permit still stands; as Return it hands it back: the process serves.
	Begin struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		Permit      uint64 `json:"permit"`
	}
	// Empty tells that the process sends no more to the engine of a drain, and has nothing out there.
	Empty struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		Permit      uint64 `json:"permit"`
	}
	// Health is what front ends on the new and on other revisions did in one window, by room.
	Health struct {
		Release uint64 `json:"release"`
		Window  uint64 `json:"window"` // only grows
		Rooms   []Room `json:"rooms"`
	}
	// Room is one room's part of a Health.
	Room struct {
		Room string `json:"room"`
		New  Count  `json:"new"`
		Old  Count  `json:"old"`
	}
	// Load is what is measured: front ends in the unit of their weights, engines in cores.
	Load struct {
		FrontEnds float64 `json:"front_ends"`
		Engines   float64 `json:"engines"`
	}
	// Holder names a front end or an engine.
	Holder struct {
		Name   string `json:"name"`
		Engine bool   `json:"engine,omitempty"`
	}
	// Start begins a release.
	Start struct {
		Revision string        `json:"revision"`
		From     string        `json:"from,omitempty"` // empty: what most serve on
		Waves    []float64     `json:"waves"`
		Soak     time.Duration `json:"soak"`
	}
	// Halt stops a release.
	Halt struct {
		Cause string `json:"cause"`
	}
)

// Refusal says why a command was not carried out.
type Refusal struct {
	Code  string   `json:"code"`
	Text  string   `json:"text"`
	Scope string   `json:"scope,omitempty"` // of the budget: "all", "room room-a", "kind std-12", "capacity"
	Limit int      `json:"limit,omitempty"`
	Out   []string `json:"out,omitempty"` // who holds the budget
}

// The codes of refusals.
const (
	NoBudget    = "no-budget"
	NoPermit    = "no-permit"
	NotKnown    = "not-known"
	NotNow      = "not-now"
	BadValue    = "bad-value"
	OlderWord   = "older-word"
	NothingToDo = "nothing-to-do"
)

func (r *Refusal) Error() string {
	if len(r.Out) == 0 {
		return r.Text
	}
	return r.Text + ": out are " + strings.Join(r.Out, ", ")
}

func refuse(code, format string, args ...any) Result {
	return Result{Refusal: &Refusal{Code: code, Text: fmt.Sprintf(format, args...)}}
}

// Result answers a command.
type Result struct {
	Refusal *Refusal  `json:"refusal,omitempty"`
	Permit  uint64    `json:"permit,omitempty"`
	Go      bool      `json:"go,omitempty"` // Begin: go out now
	Release uint64    `json:"release,omitempty"`
	State   Condition `json:"state,omitempty"`   // of the release
	Applied uint64    `json:"applied,omitempty"` // Say: the number of the command in the log
	Drained []string  `json:"drained,omitempty"` // Say: engines that get nothing more
}

// Apply carries one command out. Commands of a log are applied in its order.
func (m *Machine) Apply(c Command) Result {
	m.Applied++
	m.Now = max(m.Now, c.At)
	if at, seen := m.ids[c.ID]; seen && c.ID != "" && !m.skip(checkRepeat) {
		return m.Answers[at].Result
	}
	r := m.carryOut(&c)
	m.advance()
	if c.Say != nil {
		r.Applied = m.Applied
		for _, n := range m.numbers() {
			if p := m.Permits[n]; p.Engine {
				r.Drained = append(r.Drained, p.Holder)
			}
		}
	}
	if r.Release != 0 && m.Release != nil && m.Release.Number == r.Release {
		r.State = m.Release.State // as the command left it
	}
	m.remember(c.ID, r)
	return r
}

func (m *Machine) carryOut(c *Command) Result {
	switch {
	case c.Say != nil:
		return m.say(c.Say)
	case c.Doubt != nil:
		return m.doubt(c.Doubt)
	case c.Begin != nil:
		return m.begin(c.Begin)
	case c.Return != nil:
		return m.handBack(c.Return)
	case c.Empty != nil:
		return m.empty(c.Empty)
	case c.Engine != nil:
		return m.engine(*c.Engine)
	case c.Health != nil:
		return m.health(c.Health)
	case c.Load != nil:
		m.Load = *c.Load
		return Result{}
	case c.Drain != nil:
		return m.drain(c.Drain, c.By)
	case c.Undrain != nil:
		return m.undrain(c.Undrain, c.By)
	case c.Forget != nil:
		return m.forget(c.Forget, c.By)
	case c.Start != nil:
		return m.start(c.Start, c.By)
	case c.Halt != nil:
		return m.halt(c.By, c.Halt.Cause)
	case c.Resume != nil:
		return m.resume(c.By)
	case c.WayBack != nil:
		return m.wayBack(c.By)
	case c.Configure != nil:
		return m.configure(*c.Configure, c.By)
	}
	return Result{} // a tick
}

func (m *Machine) configure(s Settings, by string) Result {
	if err := s.Check(); err != nil {
		return refuse(BadValue, "%v", err)
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

func (m *Machine) skip(c check) bool { return m.skipped == c }
