package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// StateMachine holds the replicated state and applies commands to it.
type StateMachine struct {
	State
	resultIndex     map[string]int     // index in Results, by command id
	permitBySubject map[Subject]uint64 // number of the subject's permit
}

// New returns the state machine of an empty fleet, or an error that names the first setting that can't be used.
func New(settings Settings) (*StateMachine, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	m := &StateMachine{State: emptyState()}
	m.Version, m.Settings = Version, settings
	m.buildIndexes()
	return m, nil
}

func emptyState() State {
	return State{
		Members: map[string]*Member{},
		Engines: map[string]*Engine{},
		Permits: map[uint64]*Permit{},
		Removed: map[string]uint64{},
	}
}

// Snapshot returns the whole state as JSON.
func (m *StateMachine) Snapshot() ([]byte, error) { return json.Marshal(&m.State) }

// errLaterVersion reports a snapshot of a later build, whose format this build can't read.
var errLaterVersion = errors.New("rollout: unsupported snapshot version")

// Restore replaces the state by that of a snapshot. On an error the state is unchanged.
func (m *StateMachine) Restore(text []byte) error {
	var head struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return fmt.Errorf("rollout: decode snapshot: %w", err)
	}
	if head.Version > Version {
		return fmt.Errorf("%w: found %d, must be at most %d", errLaterVersion, head.Version, Version)
	}
	state := emptyState()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&state); err != nil {
		return fmt.Errorf("rollout: decode snapshot: %w", err)
	}
	if err := state.Settings.Check(); err != nil {
		return err
	}
	m.State = state
	m.buildIndexes()
	return nil
}

// Apply executes one command. Every replica must apply the commands of the log in their order.
func (m *StateMachine) Apply(command Command) Result {
	m.Applied++
	m.Now = max(m.Now, command.At)
	if index, repeated := m.resultIndex[command.ID]; repeated && command.ID != "" {
		return m.Results[index].Result
	}
	result := m.execute(&command)
	m.advance()
	if command.ReportStatus != nil {
		result.Applied = m.Applied
		result.Drained = m.enginesWithPermit()
	}
	if result.Release != 0 && m.Release != nil && m.Release.Number == result.Release {
		result.State = m.Release.State
	}
	m.rememberResult(command.ID, result)
	return result
}

func (m *StateMachine) execute(command *Command) Result {
	switch {
	case command.ReportStatus != nil:
		return m.applyStatus(command.ReportStatus)
	case command.Suspect != nil:
		return m.applySuspect(command.Suspect)
	case command.ActivatePermit != nil:
		return m.activatePermit(command.ActivatePermit)
	case command.ReturnPermit != nil:
		return m.returnPermit(command.ReturnPermit)
	case command.ReportDrained != nil:
		return m.applyReportDrained(command.ReportDrained)
	case command.Engine != nil:
		return m.applyEngine(*command.Engine)
	case command.Health != nil:
		return m.applyHealth(command.Health)
	case command.Load != nil:
		m.Load = *command.Load
		return Result{}
	}
	return m.executeOperator(command)
}

// executeOperator executes operators' commands, which the audit records, and ticks.
func (m *StateMachine) executeOperator(command *Command) Result {
	switch {
	case command.Drain != nil:
		return m.applyDrain(*command.Drain, command.RequestedBy)
	case command.Undrain != nil:
		return m.applyUndrain(*command.Undrain, command.RequestedBy)
	case command.RemoveMember != nil:
		return m.applyRemove(*command.RemoveMember, command.RequestedBy)
	case command.StartRelease != nil:
		return m.startRelease(command.StartRelease, command.RequestedBy)
	case command.Halt != nil:
		return m.haltRelease(command.RequestedBy, command.Halt.Cause)
	case command.Resume != nil:
		return m.resumeRelease(command.RequestedBy)
	case command.Rollback != nil:
		return m.rollBackRelease(command.RequestedBy)
	case command.Configure != nil:
		return m.applySettings(*command.Configure, command.RequestedBy)
	}
	return Result{} // a tick
}

func (m *StateMachine) applySettings(settings Settings, requestedBy string) Result {
	if err := settings.Check(); err != nil {
		return reject(InvalidArgument, "%v", err)
	}
	m.audit(requestedBy, "settings", m.Settings.auditText(), settings.auditText())
	m.Settings = settings
	return Result{}
}

// buildIndexes derives the indexes from the state.
func (m *StateMachine) buildIndexes() {
	m.resultIndex, m.permitBySubject = map[string]int{}, map[Subject]uint64{}
	for i, result := range m.Results {
		m.resultIndex[result.ID] = i
	}
	for number, permit := range m.Permits {
		m.permitBySubject[permit.subject()] = number
	}
}

// rememberResult keeps the result of a command to answer its repeats.
func (m *StateMachine) rememberResult(id string, result Result) {
	if id == "" {
		return
	}
	m.Results = append(m.Results, commandResult{id, result})
	// The oldest results are dropped in batches: rebuilding the index at each command would cost too much.
	if len(m.Results) > 2*m.Settings.KeepResults {
		m.Results = slices.Delete(m.Results, 0, len(m.Results)-m.Settings.KeepResults)
		m.buildIndexes()
		return
	}
	m.resultIndex[id] = len(m.Results) - 1
}

// audit appends an entry to the audit and drops the oldest beyond KeepAudit.
func (m *StateMachine) audit(actor, action, from, to string) {
	m.AuditCount++
	m.Audit = append(m.Audit, AuditEntry{
		Number: m.AuditCount, At: m.Now, Actor: actor, Action: action, From: from, To: to,
	})
	if excess := len(m.Audit) - m.Settings.KeepAudit; excess > 0 {
		m.Audit = slices.Delete(m.Audit, 0, excess)
	}
}

// PermitNumbers returns the numbers of the permits in ascending order.
func (m *StateMachine) PermitNumbers() []uint64 { return slices.Sorted(maps.Keys(m.Permits)) }

// memberNames returns the names of the members in order.
func (m *StateMachine) memberNames() []string { return slices.Sorted(maps.Keys(m.Members)) }
