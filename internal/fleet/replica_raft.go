package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"beechcart/decision/rollout"
)

// Apply sets the command's time to this replica's clock, appends the command to the log and returns the state
// machine's result. After an error it is unknown whether the command was appended: the same command, under the same
// id, may be sent again.
func (r *ControlReplica) Apply(command rollout.Command) (rollout.Result, error) {
	command.At = time.Duration(r.options.now().UnixNano())
	text, err := json.Marshal(command)
	if err != nil {
		return rollout.Result{}, err
	}
	f := r.raft.Apply(text, commitTimeout)
	if err := f.Error(); err != nil {
		return rollout.Result{}, fmt.Errorf("%w: %w", errNotLeader, err)
	}
	return f.Response().(rollout.Result), nil
}

// readState calls f with the state machine under the lock. f must not change or retain the state machine.
func (r *ControlReplica) readState(f func(*rollout.StateMachine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.stateMachine)
}

// nextChange returns a channel that is closed after the next command is applied.
func (r *ControlReplica) nextChange() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// raftStateMachine implements raft.FSM on a replica.
type raftStateMachine ControlReplica

// Apply implements raft.FSM.
func (s *raftStateMachine) Apply(entry *raft.Log) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var command rollout.Command
	var result rollout.Result
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		result.Rejected = &rollout.RejectedError{Code: rollout.InvalidArgument, Text: err.Error()}
	} else {
		result = s.stateMachine.Apply(command)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return result
}

// Snapshot implements raft.FSM.
func (s *raftStateMachine) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := s.stateMachine.Snapshot()
	return stateSnapshot(text), err
}

// Restore implements raft.FSM.
func (s *raftStateMachine) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }()
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateMachine.Restore(text)
}

// stateSnapshot is the JSON of the state machine's state.
type stateSnapshot []byte

// Persist implements raft.FSMSnapshot.
func (s stateSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s stateSnapshot) Release() {}

// logWriter writes a library's log lines to a slog.Logger at debug level.
type logWriter struct {
	log    *slog.Logger
	source string
}

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debug(strings.TrimSpace(string(b)), "from", w.source)
	return len(b), nil
}
