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

// exitTimeout bounds the time in which a host exits after its standard input ends.
const exitTimeout = 5 * time.Second

// HostProcessors is the GOMAXPROCS of hosts that run no control replica. With one runtime thread for each core, dozens
// of processes would use the machine's idle time for garbage collection, and the CPU time of the members would include
// it.
const HostProcessors = 2

// maxReportBytes bounds the length of one report line.
const maxReportBytes = 4 << 20

// hostProcess is a host and the reports of its running process. It is safe for concurrent use.
type hostProcess struct {
	plan    hostPlan
	config  HostConfig
	command []string
	dir     string // holds the file of the process's standard error

	mu      sync.Mutex
	process *os.Process // nil: not running
	input   io.WriteCloser
	ended   chan struct{} // closed when the process has exited
	stopped bool          // by SIGSTOP
	reports []HostReport  // of the running process, in order
}

// start starts the process and sends the configuration to it.
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
	lines.Buffer(make([]byte, 0, 64<<10), maxReportBytes)
	for lines.Scan() {
		var report HostReport
		if json.Unmarshal(lines.Bytes(), &report) != nil {
			continue // a line that the end of the process cut off
		}
		h.mu.Lock()
		h.reports = append(h.reports, report)
		h.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, output)
}

// order sends an order to the host. It replaces the previous order.
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

// runs reports whether the process runs and is not stopped.
func (h *hostProcess) runs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && !h.stopped
}

// latest returns the latest report of the running process; false if there is none.
func (h *hostProcess) latest() (HostReport, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || len(h.reports) == 0 {
		return HostReport{}, false
	}
	return h.reports[len(h.reports)-1], true
}

// between returns the reports that the running process made from one time to another, both included.
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

// signal sends a signal to the process, and tracks whether the process is stopped.
func (h *hostProcess) signal(signal syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return fmt.Errorf("scale: %s is not running", h.plan.name)
	}
	switch signal {
	case syscall.SIGSTOP:
		h.stopped = true
	case syscall.SIGCONT:
		h.stopped = false
	default: // other signals do not stop or continue a process
	}
	return h.process.Signal(signal)
}

// kill kills the process and returns when it has exited.
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

// stop ends the process by closing its standard input, and kills it after exitTimeout.
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
	case <-time.After(exitTimeout):
		h.kill()
	}
}

// pid returns the process id; 0 if no process runs.
func (h *hostProcess) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.Pid
}
