package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// endWithin is how long a host may take to end after its standard input has.
const endWithin = 5 * time.Second

// HostProcessors is GOMAXPROCS of hosts that are no control replicas: with one runtime thread for each core of the
// machine, dozens of processes would spend its idle time on garbage collection, and count that as the members'.
const HostProcessors = 2

// mostReport bounds one line of a host.
const mostReport = 4 << 20

// hostProcess is a host and all that its running process has reported. It is safe for concurrent use.
type hostProcess struct {
	plan    hostPlan
	config  HostConfig
	command []string
	dir     string // for what it writes to standard error

	mu      sync.Mutex
	process *os.Process // nil: it does not run
	input   io.WriteCloser
	ended   chan struct{} // closed when the process is over
	stopped bool          // by SIGSTOP
	reports []HostReport  // of the running process, in order
}

// start starts the process and hands it its configuration.
func (h *hostProcess) start() error {
	config, err := json.Marshal(h.config)
	if err != nil {
		return fmt.Errorf("scale: %s: %w", h.plan.name, err)
	}
	errors, err := os.OpenFile(filepath.Join(h.dir, h.plan.name+".err"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("scale: %s: %w", h.plan.name, err)
	}
	defer func() { _ = errors.Close() }()
	command := exec.Command(h.command[0], h.command[1:]...)
	command.Stderr = errors
	command.Env = os.Environ()
	if !h.plan.replica {
		command.Env = append(command.Env, fmt.Sprintf("GOMAXPROCS=%d", HostProcessors))
	}
	input, err := command.StdinPipe()
	if err != nil {
		return fmt.Errorf("scale: %s: %w", h.plan.name, err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return fmt.Errorf("scale: %s: %w", h.plan.name, err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("scale: %s: %w", h.plan.name, err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.input, h.ended, h.stopped, h.reports = command.Process, input, ended, false, nil
	h.mu.Unlock()
	go func() {
		h.read(output)
		_ = command.Wait()
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(ended)
	}()
	if _, err := input.Write(append(config, '\n')); err != nil {
		return fmt.Errorf("scale: %s: %w", h.plan.name, err)
	}
	return nil
}

func (h *hostProcess) read(output io.Reader) {
	lines := bufio.NewScanner(output)
	lines.Buffer(make([]byte, 0, 64<<10), mostReport)
	for lines.Scan() {
		var report HostReport
		if json.Unmarshal(lines.Bytes(), &report) != nil {
			continue // a line that is cut off by the end of the process
		}
		h.mu.Lock()
		h.reports = append(h.reports, report)
		h.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, output)
}

// order replaces the host's orders.
func (h *hostProcess) order(o HostOrder) error {
	line, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	h.mu.Lock()
	input := h.input
	h.mu.Unlock()
	if _, err := input.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("scale: %s: %w", h.plan.name, err)
	}
	return nil
}

// runs tells whether there is a process, and it is not stopped.
func (h *hostProcess) runs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && !h.stopped
}

// latest is the last report of the running process; false where there is none yet.
func (h *hostProcess) latest() (HostReport, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || len(h.reports) == 0 {
		return HostReport{}, false
	}
	return h.reports[len(h.reports)-1], true
}

// between lists the reports of the running process that were made between two times.
func (h *hostProcess) between(from, to time.Time) []HostReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []HostReport
	for _, r := range h.reports {
		if r.UnixNanos >= from.UnixNano() && r.UnixNanos <= to.UnixNano() {
			list = append(list, r)
		}
	}
	return list
}

// signal sends a signal to the process, and remembers whether it is stopped.
func (h *hostProcess) signal(signal syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return fmt.Errorf("scale: %s does not run", h.plan.name)
	}
	switch signal {
	case syscall.SIGSTOP:
		h.stopped = true
	case syscall.SIGCONT:
		h.stopped = false
	default: // does not change whether it is stopped
	}
	return h.process.Signal(signal)
}

// kill ends the process at once and returns when it is over.
func (h *hostProcess) kill() {
	h.mu.Lock()
	process, ended := h.process, h.ended
	h.mu.Unlock()
	if process == nil {
		return
	}
	if err := process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return
	}
	<-ended
}

// stop ends the process as a host's runner does, by ending its standard input.
func (h *hostProcess) stop() {
	h.mu.Lock()
	process, input, ended := h.process, h.input, h.ended
	h.mu.Unlock()
	if process == nil {
		return
	}
	_ = h.signal(syscall.SIGCONT)
	_ = input.Close()
	select {
	case <-ended:
	case <-time.After(endWithin):
		h.kill()
	}
}

// pid is the id of the process; 0 where there is none.
func (h *hostProcess) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.Pid
}
