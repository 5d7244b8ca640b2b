package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// randomFleet applies random messages and operators' commands, of correct and of incorrect front ends, to a state
// machine and checks the invariants after each step (oracle_test.go).
type randomFleet struct {
	machine      *StateMachine
	rng          *rand.Rand
	now          time.Duration
	size         int
	sent         []Command // the last commands, for repeats
	incarnations map[string]uint64
	sequences    map[string]uint64
	commandIDs   int
	effectCounts map[string]int // number of steps with an effect, by effect
}

var testZones = []string{"room-a", "room-b", "room-c"}

func newRandomFleet(t require.TestingT, rng *rand.Rand, size int) *randomFleet {
	settings := Defaults()
	settings.FrontEnds = Budget{MaxShare: 0.2, ZoneMaxShare: 0.25, Headroom: 0.1}
	settings.Engines = Budget{Max: 2, ZoneMax: 1}
	settings.KeepResults, settings.KeepAudit, settings.KeepRemoved = 20, 30, 500
	settings.Analyzer.MinRequests = 0
	machine, err := New(settings)
	require.NoError(t, err)
	f := &randomFleet{
		machine: machine, rng: rng, now: time.Hour, size: size,
		incarnations: map[string]uint64{}, sequences: map[string]uint64{}, effectCounts: map[string]int{},
	}
	for i := range size {
		f.step(f.report(f.member(i), 1, 1, Serving))
	}
	for i := range 6 {
		f.step(Command{Engine: &Engine{
			Name: fmt.Sprint("e", i), Zone: testZones[i%3], Cores: 12, Process: 1, Listed: true, Ready: true,
		}})
	}
	return f
}

func (f *randomFleet) member(i int) string { return fmt.Sprint("n", i) }

func (f *randomFleet) anyMember() string { return f.member(f.rng.IntN(f.size)) }

func (f *randomFleet) anyEngine() string { return fmt.Sprint("e", f.rng.IntN(6)) }

// report returns a front end's report, with the revision that its process was started on.
func (f *randomFleet) report(name string, incarnation, sequence uint64, phase Phase) Command {
	f.incarnations[name], f.sequences[name] = max(f.incarnations[name], incarnation), sequence
	zone := testZones[int(name[len(name)-1])%3]
	revision := "old"
	if member := f.machine.Members[name]; member != nil {
		if revision = member.Revision; incarnation > member.Incarnation {
			revision = member.TargetRevision
		}
	}
	return Command{ReportStatus: &ReportStatus{
		Name: name, Zone: zone, Weight: 10, Incarnation: incarnation, StatusSequence: sequence, Revision: revision,
		Phase: phase,
	}}
}

// staleReport returns a report that is mostly older than the last one, of an earlier process or of this one.
func (f *randomFleet) staleReport(name string) Command {
	return Command{ReportStatus: &ReportStatus{
		Name: name, Zone: "room-z", Incarnation: uint64(f.rng.IntN(int(f.incarnations[name]) + 1)),
		StatusSequence: uint64(f.rng.IntN(3)), Revision: "odd", Phase: Serving,
	}}
}

func tick() Command { return Command{Tick: &struct{}{}} }

// draw returns the next command.
func (f *randomFleet) draw() Command {
	name := f.anyMember()
	kind := f.rng.IntN(30)
	if kind < 5 && f.rng.IntN(3) > 0 { // most reports make an unavailable member available again
		for range 20 {
			if name = f.anyMember(); f.machine.Members[name] == nil || !f.machine.Members[name].isServing() {
				break
			}
		}
		kind = 2
	}
	switch {
	case kind <= 6:
		return f.drawReport(kind, name)
	case kind <= 18:
		return f.drawPermitMessage(kind, name)
	case kind == 19:
		return f.drawEngine()
	case kind <= 25:
		return f.drawOperator(kind, name)
	case kind == 26:
		return f.drawHealth()
	case kind == 27 && len(f.sent) > 0: // a late repeat
		return f.sent[f.rng.IntN(len(f.sent))]
	}
	return tick()
}

// drawReport returns a message about a member.
func (f *randomFleet) drawReport(kind int, name string) Command {
	incarnation, sequence := f.incarnations[name], f.sequences[name]+1
	switch kind {
	case 0: // the process crashes, and the next one serves
		return f.report(name, incarnation+1, 1, Serving)
	case 1:
		return f.report(name, incarnation+1, 1, Starting)
	case 2, 3, 4:
		return f.report(name, incarnation, sequence, Serving)
	case 5:
		return f.staleReport(name)
	}
	if member := f.machine.Members[name]; member != nil {
		return Command{Suspect: &Suspect{name, member.Incarnation}}
	}
	return tick()
}

// drawPermitMessage returns a message about a permit.
func (f *randomFleet) drawPermitMessage(kind int, name string) Command {
	if kind == 11 { // an old permit, or that of another member
		number := uint64(f.rng.IntN(int(f.machine.LastPermit) + 2))
		return Command{ActivatePermit: &PermitReference{name, f.incarnations[name], number}}
	}
	permit := f.anyPermit()
	if permit == nil {
		return tick()
	}
	if permit.Engine {
		if kind >= 17 {
			incarnation := f.incarnations[name] - uint64(f.rng.IntN(8)/7)
			return Command{ReportDrained: &ReportDrained{name, incarnation, permit.Number}}
		}
		return tick()
	}
	member, incarnation := permit.Subject, f.incarnations[permit.Subject]
	switch kind {
	case 7, 8, 9, 10:
		return Command{ActivatePermit: &PermitReference{member, incarnation, permit.Number}}
	case 12: // from the previous process
		return Command{ActivatePermit: &PermitReference{member, incarnation - 1, permit.Number}}
	case 13:
		return Command{ReturnPermit: &PermitReference{member, incarnation, permit.Number}}
	case 14, 15, 16: // a member that was told to shut down drains, or serves as a new process
		if permit.ActivatedAt == 0 {
			return tick()
		}
		if f.rng.IntN(2) == 0 {
			return f.report(member, incarnation, f.sequences[member]+1, Draining)
		}
		return f.report(member, incarnation+1, 1, Serving)
	}
	return tick()
}

func (f *randomFleet) drawEngine() Command {
	name := f.anyEngine()
	known := f.machine.Engines[name]
	if known == nil {
		zone := testZones[int(name[1])%3]
		return Command{Engine: &Engine{Name: name, Zone: zone, Cores: 12, Process: 1, Listed: true, Ready: true}}
	}
	engine := *known
	engine.Process += uint64(f.rng.IntN(3)) - 1
	engine.Listed, engine.Ready = f.rng.IntN(4) > 0, f.rng.IntN(4) > 0
	return Command{Engine: &engine}
}

// drawOperator returns an operator's command, or a change of the load.
func (f *randomFleet) drawOperator(kind int, name string) Command {
	switch kind {
	case 20:
		return f.operator(Command{Drain: &Subject{f.anyEngine(), true}})
	case 21:
		if f.rng.IntN(4) == 0 {
			return f.operator(Command{Undrain: &Subject{f.anyEngine(), true}})
		}
		return f.operator(Command{Drain: &Subject{Name: name}})
	case 22:
		if permit := f.anyPermit(); permit != nil {
			return f.operator(Command{Undrain: &Subject{permit.Subject, permit.Engine}})
		}
	case 23:
		if f.rng.IntN(10) == 0 {
			return f.operator(Command{RemoveMember: &Subject{name, false}})
		}
		return Command{Load: &Load{FrontEnds: float64(f.rng.IntN(10 * f.size)), Engines: 0}}
	case 24:
		return f.operator(Command{StartRelease: &StartRelease{
			Revision: fmt.Sprint("r", f.rng.IntN(100)), Waves: []float64{0.1, 0.5, 1}, Soak: time.Second,
		}})
	case 25:
		switch f.rng.IntN(6) {
		case 0:
			return f.operator(Command{Halt: &Halt{"a test"}})
		case 1:
			return f.operator(Command{Rollback: &struct{}{}})
		}
		return f.operator(Command{Resume: &struct{}{}})
	}
	return tick()
}

func (f *randomFleet) drawHealth() Command {
	release := f.machine.Release
	if release == nil {
		return tick()
	}
	counts := RequestCounts{Requests: 50}
	return Command{Health: &Health{
		Release: release.Number, Window: release.Window + uint64(f.rng.IntN(2)),
		Zones: []ZoneCounts{{"room-a", counts, counts}},
	}}
}

// operator gives a command a new id and the name of an operator.
func (f *randomFleet) operator(command Command) Command {
	f.commandIDs++
	command.ID, command.RequestedBy = fmt.Sprint("op", f.commandIDs), "a test"
	return command
}

// anyPermit returns a random permit; nil where there is none.
func (f *randomFleet) anyPermit() *Permit {
	numbers := f.machine.PermitNumbers()
	if len(numbers) == 0 {
		return nil
	}
	return f.machine.Permits[numbers[f.rng.IntN(len(numbers))]]
}

// run applies random commands and describes the first invariant that is violated; empty for none.
func (f *randomFleet) run(t *testing.T, steps int) string {
	t.Helper()
	for i := range steps {
		if violation := f.step(f.draw()); violation != "" {
			return fmt.Sprintf("step %d: %s", i, violation)
		}
	}
	return ""
}
