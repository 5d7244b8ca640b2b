package parts

import (
	"context"
	"fmt"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/scale/record"
)

// The fleet that is entered into the control log. Its names and numbers are as long as those of a real fleet.
const (
	revision         = "r-20260131"
	nextRevision     = "r-20260207"
	zones            = 3
	firstIncarnation = uint64(1_770_000_000_000_000_000) // Unix nanoseconds, the unit of incarnation numbers
	drainedEngine    = 0
)

func memberName(i int) string { return fmt.Sprintf("fe-%04d", i) }
func engineName(i int) string { return fmt.Sprintf("s-%08x", i+1) }
func zoneName(i int) string   { return "room-" + string(rune('a'+i%zones)) }

// statusReport returns the status report of a serving front end.
func statusReport(i int, seq uint64) rollout.Command {
	return rollout.Command{ReportStatus: &rollout.ReportStatus{Name: memberName(i), Zone: zoneName(i), Kind: "std-4",
		Weight:      PlannedRate,
		Incarnation: firstIncarnation + uint64(i), StatusSequence: seq, Revision: revision, Phase: rollout.Serving}}
}

// fillCommands returns the commands that enter a fleet into an empty control log.
func fillCommands(size record.Size) (commands []rollout.Command) {
	for i := range size.Members {
		commands = append(commands, statusReport(i, 1))
	}
	for i := range size.Engines {
		commands = append(commands, rollout.Command{Engine: &rollout.Engine{Name: engineName(i), Zone: zoneName(i),
			Kind: "std-4", Cores: 4,
			Process: firstIncarnation + uint64(i), Listed: true, Ready: true}})
	}
	return commands
}

// drainCommand returns the command that requests the drain of a database.
func drainCommand() rollout.Command {
	return rollout.Command{ID: "drain-1", RequestedBy: "operator@control-1",
		Drain: &rollout.Subject{Name: engineName(drainedEngine), Engine: true}}
}

// drainedCommand returns a front end's report that it has no work at the drained database.
func drainedCommand(i int, permit uint64) rollout.Command {
	return rollout.Command{ReportDrained: &rollout.ReportDrained{Name: memberName(i),
		Incarnation: firstIncarnation + uint64(i), Permit: permit}}
}

// releaseCommand returns the command that starts a release with the whole fleet in one wave, so that the largest
// number of front ends that the budget allows hold permits.
func releaseCommand() rollout.Command {
	return rollout.Command{ID: "release-1", RequestedBy: "operator@control-1",
		StartRelease: &rollout.StartRelease{Revision: nextRevision, Waves: []float64{1}, Soak: 5 * time.Minute}}
}

// filledState is the state machine of the control log with a fleet entered.
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
	s := &filledState{StateMachine: machine, now: time.Duration(firstIncarnation), seq: 1}
	for _, command := range fillCommands(size) {
		if _, err := s.apply(command); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// apply applies a command one millisecond after the previous one. A rejected command is an error.
func (s *filledState) apply(command rollout.Command) (rollout.Result, error) {
	s.now += time.Millisecond
	command.At = s.now
	result := s.Apply(command)
	if result.Rejected != nil {
		return result, result.Rejected
	}
	return result, nil
}

// report applies the next status report, of the front ends in turn.
func (s *filledState) report(size record.Size) error {
	s.seq++
	_, err := s.apply(statusReport(int(s.seq)%size.Members, s.seq))
	return err
}

// measureState measures the state machine of the control log without disk and network.
func measureState(ctx context.Context, o *Options, c *collector) error {
	c.note("state machine alone (decision/rollout), in this process: no disk, no network; CPU by getrusage, " +
		"collection of garbage included")
	c.note("busy: one database is drained and all front ends have reported it empty; a release of one wave holds all " +
		"permits of the budget (a tenth)")
	return o.forEachSize(ctx, c, record.ControlReplica, measureStateAt)
}

func measureStateAt(p sizeRun) error {
	s, err := newState(p.size)
	if err != nil {
		return err
	}
	if err := measureSnapshot(p, s, "idle"); err != nil {
		return err
	}
	idleCPU, err := cpuPerCall(func() error { return s.report(p.size) })
	if err != nil {
		return err
	}
	p.add("control_log_command_idle_cpu_seconds", idleCPU)
	if err := measureDrainState(p, s); err != nil {
		return err
	}
	if _, err := s.apply(releaseCommand()); err != nil {
		return err
	}
	if err := measureSnapshot(p, s, "busy"); err != nil {
		return err
	}
	busyCPU, err := cpuPerCall(func() error { return s.report(p.size) })
	if err != nil {
		return err
	}
	p.add("control_log_command_busy_cpu_seconds", busyCPU)
	deadlineCPU, err := cpuPerCall(func() error {
		s.NextDeadline()
		return nil
	})
	if err != nil {
		return err
	}
	p.add("control_log_due_cpu_seconds", deadlineCPU)
	return measureHistory(p)
}

// measureSnapshot measures a snapshot of the whole state: its bytes as JSON, and the CPU of writing and of restoring
// it.
func measureSnapshot(p sizeRun, s *filledState, name string) error {
	var text []byte
	snapshotCPU, err := cpuPerCall(func() (err error) {
		text, err = s.Snapshot()
		return err
	})
	if err != nil {
		return err
	}
	restoreCPU, err := cpuPerCall(func() error { return s.Restore(text) })
	if err != nil {
		return err
	}
	p.add("control_log_snapshot_"+name+"_bytes", float64(len(text)))
	p.add("control_log_snapshot_"+name+"_cpu_seconds", snapshotCPU)
	p.add("control_log_restore_"+name+"_cpu_seconds", restoreCPU)
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
	startCPU := selfCPU()
	for i := range p.size.Members {
		if _, err := s.apply(drainedCommand(i, drained.Permit)); err != nil {
			return err
		}
	}
	p.add("database_drain_state_cpu_seconds", selfCPU()-startCPU)
	if s.Permits[drained.Permit].DrainedAt == 0 {
		return fmt.Errorf("drain: found blockers %v, expected none after all front ends have reported the database empty",
			s.DrainBlockers(drained.Permit))
	}
	after, err := s.Snapshot()
	if err != nil {
		return err
	}
	p.add("database_drain_state_bytes", float64(len(after)-len(before)))
	return nil
}

// measureHistory measures the bytes of the audit and of the stored command results once both are full.
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
