package cluster

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"beechcart/decision/rollout"
)

const (
	// restartDelay is the time from the end of a process to its restart.
	restartDelay = 200 * time.Millisecond
	// startRetryDelay is the time from a failed start to the next attempt.
	startRetryDelay = 300 * time.Millisecond
	// statusRetryDelay is the time from a failed status request to the control replicas to the next attempt.
	statusRetryDelay = 200 * time.Millisecond
	statusAttempts   = 10
)

// exitDrained is the exit code of a drained front end, which must not be restarted before it is undrained.
const exitDrained = 76

// Member is one member of a cluster, which runs one process after another.
type Member struct {
	Name           string
	Zone           string
	Addr           string // address for clients
	ControlReplica bool
	Number         int

	cluster       *Cluster
	host          string // loopback address
	settings      string // fleet settings as JSON, with revisionPlaceholder
	dir           string // directory of the control log
	diskFaultFile string // file that names the disk fault in force

	mu           sync.Mutex
	frontEnd     FrontEnd // nil while no process runs
	lastRevision string   // used for a start if no control replica answers
	processes    []Process
	pauses       []period // from SIGSTOP to SIGCONT; the end of the last is zero while the process is stopped
	held         bool     // the supervisor must not start a process
	stopping     bool     // the cluster is being stopped
}

type period struct{ from, to time.Time }

// supervise starts a process of the member, and another whenever a process has ended, until ctx ends. The control log
// names the revision to start on. The result of the first start is sent to started.
func (m *Member) supervise(ctx context.Context, started chan<- error) {
	first := true
	for ctx.Err() == nil {
		revision, ok := m.targetRevision(ctx)
		if !ok {
			continue
		}
		frontEnd, index, err := m.start(revision)
		if first {
			started <- err
			first = false
		}
		if err != nil {
			m.cluster.options.Logf("%s failed to start on revision %s: %v", m.Name, revision, err)
			m.ended(index, 1, "")
			sleep(ctx, startRetryDelay)
			continue
		}
		code := frontEnd.Wait()
		m.ended(index, code, frontEnd.BrokenInvariant())
		sleep(ctx, restartDelay)
	}
	if first {
		started <- ctx.Err()
	}
}

// start starts a process, and returns the process and its index in processes.
func (m *Member) start(revision string) (frontEnd FrontEnd, index int, err error) {
	p := Process{Member: m.Name, Revision: revision, StartedAt: time.Now()}
	frontEnd, err = m.cluster.options.Start(m, revision, strings.ReplaceAll(m.settings, revisionPlaceholder, revision))
	if err == nil {
		p.ListeningAt = time.Now()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastRevision, m.frontEnd = revision, frontEnd
	m.processes = append(m.processes, p)
	if m.stopping && frontEnd != nil {
		_ = syscall.Kill(frontEnd.Pid(), syscall.SIGTERM)
	}
	return frontEnd, len(m.processes) - 1, err
}

// ended records the end of the process with an index.
func (m *Member) ended(index, code int, brokenInvariant string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &m.processes[index]
	m.frontEnd = nil
	p.EndedAt, p.ExitCode, p.BrokenInvariant = time.Now(), code, brokenInvariant
}

// targetRevision returns the revision to start on, from the control replicas. It returns false if no process may be
// started for now. If no control replica answers, the last revision is used, because an installation without a quorum
// continues to serve.
func (m *Member) targetRevision(ctx context.Context) (string, bool) {
	m.mu.Lock()
	lastRevision, held, code, first := m.lastRevision, m.held, 0, len(m.processes) == 0
	if !first {
		code = m.processes[len(m.processes)-1].ExitCode
	}
	m.mu.Unlock()
	if held {
		sleep(ctx, 50*time.Millisecond)
		return "", false
	}
	if first {
		return lastRevision, true
	}
	for range statusAttempts {
		status, err := m.cluster.Client.Status()
		if err == nil && status.LeaderAddress != "" && status.State.Members[m.Name] != nil {
			if code == exitDrained && m.drained(&status.State) {
				sleep(ctx, statusRetryDelay)
				return "", false
			}
			return status.State.Members[m.Name].TargetRevision, true
		}
		sleep(ctx, statusRetryDelay)
	}
	return lastRevision, ctx.Err() == nil
}

// drained reports whether the member has a permit for a drain that was not cancelled.
func (m *Member) drained(state *rollout.State) bool {
	for _, p := range state.Permits {
		if p.Subject == m.Name && !p.Engine && p.Purpose == rollout.Drain && !p.Cancelled {
			return true
		}
	}
	return false
}

// Pid returns the id of the member's process, or 0 if none runs.
func (m *Member) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.frontEnd == nil {
		return 0
	}
	return m.frontEnd.Pid()
}

// Signal sends a signal to the member's process, and reports whether the signal was sent.
func (m *Member) Signal(signal syscall.Signal) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.frontEnd == nil {
		return false
	}
	switch signal {
	case syscall.SIGKILL:
		m.processes[len(m.processes)-1].Killed = true
	case syscall.SIGSTOP:
		m.pauses = append(m.pauses, period{from: time.Now()})
	case syscall.SIGCONT:
		if n := len(m.pauses); n > 0 && m.pauses[n-1].to.IsZero() {
			m.pauses[n-1].to = time.Now()
		}
	default: // checks need no record of other signals
	}
	return syscall.Kill(m.frontEnd.Pid(), signal) == nil
}

// LoseDisk kills the process and removes its control log before the supervisor restarts the member.
func (m *Member) LoseDisk() error {
	m.mu.Lock()
	m.held = true
	m.mu.Unlock()
	m.Signal(syscall.SIGKILL)
	for m.Listening() {
		time.Sleep(5 * time.Millisecond)
	}
	err := os.RemoveAll(m.dir)
	m.mu.Lock()
	m.held = false
	m.mu.Unlock()
	return err
}

// FailDisk injects a fault into the member's writes to the control log: "full", "sync" or "slow". "" ends the fault.
func (m *Member) FailDisk(kind string) error {
	if kind == "" {
		return os.Remove(m.diskFaultFile)
	}
	return os.WriteFile(m.diskFaultFile, []byte(kind), 0o600)
}

// Disk returns the directory of the member's control log.
func (m *Member) Disk() string { return m.dir }

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ExitCode returns the exit code of a command whose Wait returned err; -1 if a signal ended the command.
func ExitCode(err error) int {
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.ExitCode()
	}
	return -1
}
