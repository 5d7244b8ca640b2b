package rollout

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The search covers every order in which messages between two or three front ends and the log may be lost, repeated or
// delayed, with a budget of one, one release, one halt, one rollback, one crash and one suspicion, each at any moment.

// process is a front end's process with the behaviour of internal/fleet: it activates a permit immediately before it
// shuts down, acts only on an answer with its own incarnation, and returns only permits that it will not act on.
type process struct {
	incarnation, sequence uint64
	revision              string
	down                  bool   // the process accepts no more requests
	returned              uint64 // the greatest permit that the process has returned
	permit                uint64 // on which the process shut down
}

type messageKind byte

const (
	statusMessage     messageKind = iota + 1 // number is the status sequence
	activationMessage                        // number is the permit
	returnMessage                            // number is the permit
	shutdownAnswer                           // the answer to an activation
)

// message is a message that a process has sent, or the answer to one.
type message struct {
	kind                messageKind
	process             int
	incarnation, number uint64
	down                bool // of statusMessage
	revision            string
}

// model is the state machine, the processes, and the messages between them.
type model struct {
	machine          *StateMachine
	processes        []process
	messages         map[message]bool // each may arrive at any time, any number of times
	haltAcknowledged bool             // reported to the operator, who has not resumed or rolled back
	violation        string

	// Events that can still occur.
	haltLeft, rollbackLeft                   bool
	crashesLeft, suspicionsLeft, returnsLeft int
}

func processName(i int) string { return string(rune('a' + i)) }

func (m *model) clone() *model {
	c := *m
	c.processes, c.messages, c.machine = slices.Clone(m.processes), maps.Clone(m.messages), m.machine.clone()
	return &c
}

func (m *StateMachine) clone() *StateMachine {
	c := *m
	c.Members, c.Engines, c.Permits = map[string]*Member{}, map[string]*Engine{}, map[uint64]*Permit{}
	for name, member := range m.Members {
		copied := *member
		copied.Crashes = slices.Clone(member.Crashes)
		c.Members[name] = &copied
	}
	for name, engine := range m.Engines {
		copied := *engine
		c.Engines[name] = &copied
	}
	for number, permit := range m.Permits {
		copied := *permit
		copied.DrainedBy = maps.Clone(permit.DrainedBy)
		c.Permits[number] = &copied
	}
	if m.Release != nil {
		copied := *m.Release
		copied.Order = slices.Clone(m.Release.Order)
		c.Release = &copied
	}
	c.permitBySubject, c.Audit, c.Results = maps.Clone(m.permitBySubject), nil, nil
	return &c
}

// stateKey is the encoding of a state. States that the search need not distinguish have equal keys.
type stateKey []byte

func (k *stateKey) number(numbers ...uint64) {
	for _, n := range numbers {
		*k = binary.AppendUvarint(*k, n)
	}
}

func (k *stateKey) flag(flags ...bool) {
	for _, set := range flags {
		if set {
			*k = append(*k, '+')
		} else {
			*k = append(*k, '-')
		}
	}
}

func (k *stateKey) text(texts ...string) {
	for _, text := range texts {
		*k = append(append(*k, text...), ' ')
	}
}

func (m *model) key() string {
	k := make(stateKey, 0, 256)
	m.machine.addTo(&k)
	for _, p := range m.processes {
		k.number(p.incarnation, p.sequence, p.returned, p.permit)
		k.flag(p.down)
		k.text(p.revision)
	}
	codes := make([]uint64, 0, len(m.messages))
	for message := range m.messages {
		codes = append(codes, message.code())
	}
	slices.Sort(codes)
	k.number(codes...)
	k.flag(m.haltAcknowledged, m.haltLeft, m.rollbackLeft)
	k.number(uint64(m.crashesLeft), uint64(m.suspicionsLeft), uint64(m.returnsLeft))
	return string(k)
}

func (m *StateMachine) addTo(k *stateKey) {
	for _, name := range m.memberNames() {
		member := m.Members[name]
		k.number(member.Incarnation, member.StatusSequence)
		k.flag(member.Suspected)
		k.text(string(member.Phase), member.Revision, member.TargetRevision)
	}
	for _, number := range m.PermitNumbers() {
		permit := m.Permits[number]
		k.number(number, permit.Incarnation)
		k.text(permit.Subject, permit.Revision)
		k.flag(permit.ActivatedAt > 0)
	}
	k.number(m.LastPermit)
	if release := m.Release; release != nil {
		k.text(string(release.State))
		k.flag(release.RollingBack)
	}
}

// code returns a number that is unique to the message within the search.
func (m message) code() uint64 {
	code := uint64(m.kind)<<40 | uint64(m.process)<<36 | m.incarnation<<24 | m.number<<8
	for i, flag := range []bool{m.down, m.revision == "new"} {
		if flag {
			code |= 1 << i
		}
	}
	return code
}

// prune drops messages that can no longer change anything, whatever follows.
func (m *model) prune() {
	maps.DeleteFunc(m.messages, func(sent message, _ bool) bool {
		member, p := m.machine.Members[processName(sent.process)], m.processes[sent.process]
		switch sent.kind {
		case shutdownAnswer:
			return p.incarnation > sent.incarnation || p.down || sent.number <= p.returned
		case statusMessage:
			return sent.incarnation < member.Incarnation ||
				(sent.incarnation == member.Incarnation && sent.number <= member.StatusSequence)
		default:
			return sent.incarnation < member.Incarnation || m.machine.Permits[sent.number] == nil
		}
	})
}

func (m *model) apply(command Command) Result {
	command.At = time.Second
	result := m.machine.Apply(command)
	if release := m.machine.Release; release != nil {
		switch release.State {
		case Halted:
			m.haltAcknowledged = true
		case Running:
			m.haltAcknowledged = false
		case Halting, Done:
		}
	}
	return result
}

func (m *model) send(sent message) { m.messages[sent] = true }

func (m *model) sendStatus(i int) {
	p := m.processes[i]
	m.send(message{
		kind: statusMessage, process: i, incarnation: p.incarnation, number: p.sequence, down: p.down,
		revision: p.revision,
	})
}

// deliver passes a message to the state machine, or an answer to its process.
func (m *model) deliver(sent message) {
	p, name := &m.processes[sent.process], processName(sent.process)
	reference := &PermitReference{name, sent.incarnation, sent.number}
	switch sent.kind {
	case shutdownAnswer:
		if p.incarnation == sent.incarnation && !p.down && sent.number > p.returned {
			m.shutDown(sent.process, sent.number)
		}
	case statusMessage:
		phase := Serving
		if sent.down {
			phase = Draining
		}
		m.apply(Command{ReportStatus: &ReportStatus{
			Name: name, Zone: "z", Incarnation: sent.incarnation, StatusSequence: sent.number,
			Revision: sent.revision, Phase: phase,
		}})
	case activationMessage:
		if m.apply(Command{ActivatePermit: reference}).Shutdown {
			answer := sent
			answer.kind = shutdownAnswer
			m.send(answer)
		}
	case returnMessage:
		m.apply(Command{ReturnPermit: reference})
	}
}

// shutDown shuts a process down on a permit. It is a violation while another process is down or after a halt was
// acknowledged.
func (m *model) shutDown(i int, permit uint64) {
	for other, p := range m.processes {
		if other != i && p.down {
			m.violation = fmt.Sprintf("%s shuts down while %s is down", processName(i), processName(other))
		}
	}
	if m.haltAcknowledged {
		m.violation = processName(i) + " shuts down after a halt was acknowledged"
	}
	p := &m.processes[i]
	p.down, p.permit = true, permit
	p.sequence++
	m.sendStatus(i)
}

// start replaces a process by the next one, on the target revision of the member.
func (m *model) start(i int) {
	p := &m.processes[i]
	*p = process{
		incarnation: p.incarnation + 1, sequence: 1,
		revision: m.machine.Members[processName(i)].TargetRevision,
	}
	m.sendStatus(i)
}

// steps returns all events that can occur next.
func (m *model) steps() []func(*model) {
	var steps []func(*model)
	add := func(step func(*model)) { steps = append(steps, step) }
	for sent := range m.messages {
		add(func(next *model) { next.deliver(sent) })
	}
	for i := range m.processes {
		steps = append(steps, m.permitSteps(i)...)
		steps = append(steps, m.processSteps(i)...)
	}
	if m.haltLeft {
		add(func(next *model) {
			next.haltLeft = false
			next.apply(Command{Halt: &Halt{"operator"}})
		})
	}
	if m.rollbackLeft && !m.haltLeft {
		add(func(next *model) {
			next.rollbackLeft = false
			next.apply(Command{Rollback: &struct{}{}})
		})
	}
	return steps
}

// permitSteps returns the messages that a process may send about its permits: activations, and returns of activated or
// inactive permits.
func (m *model) permitSteps(i int) []func(*model) {
	var steps []func(*model)
	p := m.processes[i]
	for _, number := range m.machine.PermitNumbers() {
		permit := m.machine.Permits[number]
		if permit.Subject != processName(i) || permit.Incarnation != p.incarnation || p.down || number <= p.returned {
			continue
		}
		reference := message{process: i, incarnation: p.incarnation, number: number}
		steps = append(steps, func(next *model) {
			reference.kind = activationMessage
			next.send(reference)
		})
		if m.returnsLeft > 0 {
			steps = append(steps, func(next *model) {
				next.returnsLeft--
				next.processes[i].returned = number
				reference.kind = returnMessage
				next.send(reference)
			})
		}
	}
	return steps
}

// processSteps returns the events of a process: a start, a crash, a suspicion, and the report that withdraws a
// suspicion.
func (m *model) processSteps(i int) []func(*model) {
	var steps []func(*model)
	p, member := m.processes[i], m.machine.Members[processName(i)]
	if p.down {
		steps = append(steps, func(next *model) { next.start(i) })
	}
	if m.crashesLeft > 0 {
		steps = append(steps, func(next *model) {
			next.crashesLeft--
			next.start(i)
		})
	}
	if m.suspicionsLeft > 0 && !member.Suspected {
		steps = append(steps, func(next *model) {
			next.suspicionsLeft--
			next.apply(Command{Suspect: &Suspect{processName(i), member.Incarnation}})
		})
	}
	if member.Suspected && member.Incarnation == p.incarnation && member.StatusSequence == p.sequence {
		steps = append(steps, func(next *model) {
			next.processes[i].sequence++
			next.sendStatus(i)
		})
	}
	return steps
}

// newModel returns a fleet whose release has just started. The first report of each member may still be repeated.
func newModel(t *testing.T, members int) *model {
	t.Helper()
	settings := Defaults()
	settings.FrontEnds, settings.Rollback = Budget{Max: 1}, Budget{Max: 1}
	settings.CrashLoop, settings.Analyzer.MinRequests = 5, 0
	machine, err := New(settings)
	require.NoError(t, err)
	m := &model{
		machine: machine, messages: map[message]bool{}, haltLeft: true, rollbackLeft: true, returnsLeft: 1,
	}
	for i := range members {
		m.processes = append(m.processes, process{incarnation: 1, sequence: 1, revision: "old"})
		m.sendStatus(i)
		for sent := range m.messages {
			m.deliver(sent)
		}
	}
	m.apply(Command{StartRelease: &StartRelease{Revision: "new", Waves: []float64{0.3, 1}}})
	return m
}

// explore visits the reachable states breadth first, up to a limit. It returns the number of states, the first
// violation, and whether it has visited all states.
func explore(start *model, limit int) (states int, violation string, complete bool) {
	seen := map[string]bool{start.key(): true}
	queue := []*model{start}
	for len(queue) > 0 {
		now := queue[0]
		queue = queue[1:]
		for _, step := range now.steps() {
			next := now.clone()
			step(next)
			next.prune()
			if next.violation != "" {
				return len(seen), next.violation, false
			}
			if key := next.key(); !seen[key] {
				seen[key] = true
				if len(seen) >= limit {
					return len(seen), "", false
				}
				queue = append(queue, next)
			}
		}
	}
	return len(seen), "", true
}

// Every order of messages, with a crash, a suspicion, a halt and a rollback at any moment.
func TestSearchEveryOrder(t *testing.T) {
	for _, c := range []struct {
		name                        string
		members, crashes, suspicion int
		minStates                   int // fewer mean that the search did not cover the model
	}{
		{"two members", 2, 1, 1, 2000},
		{"three members without failures", 3, 0, 0, 500},
		{"three members with a crash", 3, 1, 0, 5000},
		{"three members with a crash and a suspicion", 3, 1, 1, 50_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			if raceDetector && c.minStates > 10_000 {
				t.Skip("too many states for the race detector: 'make check' has a run without it")
			}
			m := newModel(t, c.members)
			m.crashesLeft, m.suspicionsLeft = c.crashes, c.suspicion
			states, violation, complete := explore(m, 1_000_000)
			t.Logf("%d states", states)
			assert.Empty(t, violation)
			assert.True(t, complete)
			assert.GreaterOrEqual(t, states, c.minStates)
		})
	}
}
