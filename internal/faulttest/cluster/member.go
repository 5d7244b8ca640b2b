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
	// restartDelay is how long after its end a process is started again.
	restartDelay = 200 * time.Millisecond
	// startRetryDelay is how long after a failed start.
	startRetryDelay = 300 * time.Millisecond
	// statusRetryDelay is how long after a failed request to the control replicas.
	statusRetryDelay = 200 * time.Millisecond
	statusAttempts   = 10
)

// exitDrained is the exit code of a front end that is not to be started before it is undrained.
const exitDrained = 76

// Member is one member of a cluster, through all its processes.
type Member struct {
	Name           string
	Zone           string
	Addr           string // where its clients connect
	ControlReplica bool
	Number         int

	cluster       *Cluster
	host          string // its own loopback address
	settings      string // with revisionPlaceholder
	dir           string // of the control log
	diskFaultFile string // names a fault of its disk

	mu           sync.Mutex
	frontEnd     FrontEnd // nil: none runs
	lastRevision string   // starts where no control replica answers
	processes    []Process
	pauses       []period // of SIGSTOP; the last one's end is zero while it holds
	held         bool     // nothing starts it
	stopping     bool
}

type period struct{ from, to time.Time }

// supervise starts the member again whenever it has ended, on the revision that the control log names, until ctx ends.
// It sends the result of the first start.
func (m *Member) supervise(ctx context.Context, started chan<- error) {
	first := true
	for ctx.Err() == nil {
		revision, ok := m.targetRevision(ctx)
		if !ok {
			continue
		}
		frontEnd, number, err := m.start(revision)
		if first {
			started <- err
			first = false
		}
		if err != nil {
			m.cluster.options.Logf("%s does not start on %s: %v", m.Name, revision, err)
			m.ended(number, 1, "")
			sleep(ctx, startRetryDelay)
			continue
		}
		code := frontEnd.Wait()
		m.ended(number, code, frontEnd.BrokenInvariant())
		sleep(ctx, restartDelay)
	}
	if first {
		started <- ctx.Err()
	}
}

// start starts a process, and returns it with its number among the member's processes.
func (m *Member) start(revision string) (frontEnd FrontEnd, number int, err error) {
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

// ended records the end of a process.
func (m *Member) ended(number, code int, brokenInvariant string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &m.processes[number]
	m.frontEnd = nil
	p.EndedAt, p.ExitCode, p.BrokenInvariant = time.Now(), code, brokenInvariant
}

// targetRevision asks the control replicas on which revision to start; false where nothing is to start for now. Where
// none answers, the last revision holds: an installation without a quorum serves on.
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

// drained tells whether a permit for a drain of the member holds.
func (m *Member) drained(state *rollout.State) bool {
	for _, p := range state.Permits {
		if p.Subject == m.Name && !p.Engine && p.Purpose == rollout.Drain && !p.Cancelled {
			return true
		}
	}
	return false
}

// Pid is the id of its process; 0 where there is none.
func (m *Member) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.frontEnd == nil {
		return 0
	}
	return m.frontEnd.Pid()
}

// Signal sends a signal to its process; false where there is none.
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
	default: // leaves no trace that tests ask for
	}
	return syscall.Kill(m.frontEnd.Pid(), signal) == nil
}

// LoseDisk kills the process and removes its control log before anything starts it again.
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

// FailDisk lets the member's writes of the control log fail from now on: "full", "sync" or "slow"; "" ends that.
func (m *Member) FailDisk(how string) error {
	if how == "" {
		return os.Remove(m.diskFaultFile)
	}
	return os.WriteFile(m.diskFaultFile, []byte(how), 0o600)
}

// Disk is the directory of the member's control log.
func (m *Member) Disk() string { return m.dir }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ExitCode is that of a command that has ended with err; -1 where a signal ended it.
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
