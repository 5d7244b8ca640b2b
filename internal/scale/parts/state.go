package parts

import (
	"context"
	"fmt"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/scale/record"
)

// The fleet that is put into the control log: names and numbers are as long as those of a real one.
const (
	revision      = "r-20260131"
	nextRevision  = "r-20260207"
	zones         = 3
	firstProcess  = uint64(1_770_000_000_000_000_000) // Unix nanoseconds, as processes are numbered
	drainedEngine = 0
)

func memberName(i int) string { return fmt.Sprintf("fe-%04d", i) }
func engineName(i int) string { return fmt.Sprintf("s-%08x", i+1) }
func zoneName(i int) string   { return "room-" + string(rune('a'+i%zones)) }

// reportOf is a front end's report that it serves.
func reportOf(i int, seq uint64) rollout.Command {
	return rollout.Command{ReportStatus: &rollout.ReportStatus{Name: memberName(i), Zone: zoneName(i), Kind: "std-4",
		Weight:      PlannedRate,
		Incarnation: firstProcess + uint64(i), StatusSequence: seq, Revision: revision, Phase: rollout.Serving}}
}

// fillCommands enter a fleet into an empty log.
func fillCommands(size record.Size) (commands []rollout.Command) {
	for i := range size.Members {
		commands = append(commands, reportOf(i, 1))
	}
	for i := range size.Engines {
		commands = append(commands, rollout.Command{Engine: &rollout.Engine{Name: engineName(i), Zone: zoneName(i),
			Kind: "std-4", Cores: 4,
			Process: firstProcess + uint64(i), Listed: true, Ready: true}})
	}
	return commands
}

// drainCommand asks for the drain of a database.
func drainCommand() rollout.Command {
	return rollout.Command{ID: "drain-1", RequestedBy: "operator@control-1",
		Drain: &rollout.Subject{Name: engineName(drainedEngine), Engine: true}}
}

// drainedCommand is a front end's report that nothing of its own is at the drained database.
func drainedCommand(i int, permit uint64) rollout.Command {
	return rollout.Command{ReportDrained: &rollout.ReportDrained{Name: memberName(i),
		Incarnation: firstProcess + uint64(i), Permit: permit}}
}

// releaseCommand starts a release whose only wave is the whole fleet: as many front ends hold permits as the budget
// allows.
func releaseCommand() rollout.Command {
	return rollout.Command{ID: "release-1", RequestedBy: "operator@control-1",
		StartRelease: &rollout.StartRelease{Revision: nextRevision, Waves: []float64{1}, Soak: 5 * time.Minute}}
}

// filledState is the log's state with a fleet in it.
type filledState struct {
	*rollout.StateMachine
	now time.Duration
	seq uint64
}

func newState(size record.Size) (*filledState, error) {
	machine, err := rollout.New(rollout.Defaults())
	if err != nil {
		return nil, err
	}
	s := &filledState{StateMachine: machine, now: time.Duration(firstProcess), seq: 1}
	for _, command := range fillCommands(size) {
		if _, err := s.apply(command); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// apply enters a command a millisecond after the last; a refusal is an error.
func (s *filledState) apply(command rollout.Command) (rollout.Result, error) {
	s.now += time.Millisecond
	command.At = s.now
	result := s.Apply(command)
	if result.Rejected != nil {
		return result, result.Rejected
	}
	return result, nil
}

// report enters the next report of some front end.
func (s *filledState) report(size record.Size) error {
	s.seq++
	_, err := s.apply(reportOf(int(s.seq)%size.Members, s.seq))
	return err
}

// measureState measures the state machine of the control log alone, without disk and network.
func measureState(ctx context.Context, o *Options, c *collector) error {
	c.note("state machine alone (decision/rollout), in this process: no disk, no network; CPU by getrusage, " +
		"collection of garbage included")
	c.note("busy: one database is drained and all front ends have reported it empty; a release of one wave holds all " +
		"permits of the budget (a tenth)")
	return o.each(ctx, c, record.ControlReplica, measureStateAt)
}

func measureStateAt(p sizeRun) error {
	s, err := newState(p.size)
	if err != nil {
		return err
	}
	if err := measureSnapshot(p, s, "idle"); err != nil {
		return err
	}
	idle, err := cpuEach(func() error { return s.report(p.size) })
	if err != nil {
		return err
	}
	p.add("control_log_command_idle_cpu_seconds", idle)
	if err := measureDrainState(p, s); err != nil {
		return err
	}
	if _, err := s.apply(releaseCommand()); err != nil {
		return err
	}
	if err := measureSnapshot(p, s, "busy"); err != nil {
		return err
	}
	busy, err := cpuEach(func() error { return s.report(p.size) })
	if err != nil {
		return err
	}
	p.add("control_log_command_busy_cpu_seconds", busy)
	due, err := cpuEach(func() error {
		s.NextDeadline()
		return nil
	})
	if err != nil {
		return err
	}
	p.add("control_log_due_cpu_seconds", due)
	return measureHistory(p)
}

// measureSnapshot measures the whole state as JSON: its bytes, and the CPU to write and to read it.
func measureSnapshot(p sizeRun, s *filledState, name string) error {
	var text []byte
	write, err := cpuEach(func() (err error) {
		text, err = s.Snapshot()
		return err
	})
	if err != nil {
		return err
	}
	read, err := cpuEach(func() error { return s.Restore(text) })
	if err != nil {
		return err
	}
	p.add("control_log_snapshot_"+name+"_bytes", float64(len(text)))
	p.add("control_log_snapshot_"+name+"_cpu_seconds", write)
	p.add("control_log_restore_"+name+"_cpu_seconds", read)
	return nil
}

// measureDrainState measures the reports of all front ends that a drained database is empty.
func measureDrainState(p sizeRun, s *filledState) error {
	before, err := s.Snapshot()
	if err != nil {
		return err
	}
	drained, err := s.apply(drainCommand())
	if err != nil {
		return err
	}
	began := ownCPU()
	for i := range p.size.Members {
		if _, err := s.apply(drainedCommand(i, drained.Permit)); err != nil {
			return err
		}
	}
	p.add("database_drain_state_cpu_seconds", ownCPU()-began)
	if s.Permits[drained.Permit].DrainedAt == 0 {
		return fmt.Errorf("the database may not be stopped although all have reported it empty: %v",
			s.DrainBlockers(drained.Permit))
	}
	after, err := s.Snapshot()
	if err != nil {
		return err
	}
	p.add("database_drain_state_bytes", float64(len(after)-len(before)))
	return nil
}

// measureHistory measures the audit and the remembered answers once both are full.
func measureHistory(p sizeRun) error {
	s, err := newState(p.size)
	if err != nil {
		return err
	}
	before, err := s.Snapshot()
	if err != nil {
		return err
	}
	for i := range s.Settings.KeepResults {
		holder := &rollout.Subject{Name: memberName(i % p.size.Members)}
		drain := rollout.Command{ID: fmt.Sprintf("operator-%016x-d", i), RequestedBy: "operator@control-1", Drain: holder}
		undrain := rollout.Command{ID: fmt.Sprintf("operator-%016x-u", i), RequestedBy: "operator@control-1", Undrain: holder}
		for _, command := range []rollout.Command{drain, undrain} {
			if _, err := s.apply(command); err != nil {
				return err
			}
		}
	}
	after, err := s.Snapshot()
	if err != nil {
		return err
	}
	p.add("control_log_history_bytes", float64(len(after)-len(before)))
	return nil
}
