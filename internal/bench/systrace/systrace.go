//go:build linux

// Package systrace counts the system calls of a running process by name, with ptrace(2). Every call is counted; nothing
// is sampled. The traced process runs slower, so counts are valid and times are not.
package systrace

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Counter counts the system calls of one process. Its methods are safe for concurrent use.
type Counter struct {
	pid     int
	stop    atomic.Bool
	stopped chan struct{} // closed once the tracer has ended

	mu     sync.Mutex
	counts map[uint64]int64 // by number of the system call
	err    error            // of the tracer; valid once stopped is closed
}

const getSyscallInfo = 0x420e // PTRACE_GET_SYSCALL_INFO, Linux 5.3

// syscallInfo is struct ptrace_syscall_info up to the number of the call.
type syscallInfo struct {
	op   uint8
	_    [3]uint8
	arch uint32
	ip   uint64
	sp   uint64
	nr   uint64
	args [6]uint64
}

const opEntry = 1 // PTRACE_SYSCALL_INFO_ENTRY

// Attach starts to count the system calls of all current and future threads of a process. The caller must call Detach.
func Attach(pid int) (*Counter, error) {
	c := &Counter{pid: pid, stopped: make(chan struct{}), counts: map[uint64]int64{}}
	ready := make(chan error, 1)
	go c.run(ready)
	if err := <-ready; err != nil {
		return nil, fmt.Errorf("systrace: %w", err)
	}
	return c, nil
}

// Counts returns the number of system calls so far, by name.
func (c *Counter) Counts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.counts))
	for nr, n := range c.counts {
		out[name(nr)] += n
	}
	return out
}

// Detach ends the tracing and lets the process continue. It returns the error that ended the tracer early, if any.
func (c *Counter) Detach() error {
	c.stop.Store(true)
	// Wakes the tracer. SIGURG is harmless to a Go program, whose runtime uses that signal for preemption.
	_ = unix.Kill(c.pid, unix.SIGURG)
	<-c.stopped
	return c.err
}

func threads(pid int) ([]int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return nil, err
	}
	var out []int
	for _, e := range list {
		if tid, err := strconv.Atoi(e.Name()); err == nil {
			out = append(out, tid)
		}
	}
	return out, nil
}

// seize attaches to all threads of the process. It lists the threads again until a list contains no new one.
func (c *Counter) seize() (map[int]bool, error) {
	const options = unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE
	attached := map[int]bool{}
	for {
		list, err := threads(c.pid)
		if err != nil {
			return nil, err
		}
		found := false
		for _, tid := range list {
			if attached[tid] {
				continue
			}
			found = true
			attached[tid] = true
			// EPERM means that a traced thread has started this one, which is therefore attached already. ESRCH means that
			// the thread has ended.
			if err := ptrace(unix.PTRACE_SEIZE, tid, options); err != nil && !errors.Is(err, unix.EPERM) && !errors.Is(err,
				unix.ESRCH) {
				return nil, fmt.Errorf("seize thread %d: %w", tid, err)
			}
			_ = ptrace(unix.PTRACE_INTERRUPT, tid, 0)
		}
		if !found {
			return attached, nil
		}
	}
}

// ptrace makes a ptrace request that takes no address argument.
func ptrace(request, tid int, data uintptr) error {
	if _, _, errno := unix.Syscall6(unix.SYS_PTRACE, uintptr(request), uintptr(tid), 0, data, 0, 0); errno != 0 {
		return errno
	}
	return nil
}

// run is the tracer. All ptrace requests must come from one thread, so run locks its thread, which ends with run.
func (c *Counter) run(ready chan<- error) {
	runtime.LockOSThread()
	if unix.Gettid() == unix.Getpid() {
		// The main thread does not end with its goroutine, and would remain the tracer: another thread is used.
		go c.run(ready)
		<-c.stopped
		runtime.UnlockOSThread()
		return
	}
	defer close(c.stopped)
	attached, err := c.seize()
	if ready <- err; err != nil {
		return
	}
	for len(attached) > 0 {
		var ws unix.WaitStatus
		tid, err := unix.Wait4(-1, &ws, unix.WALL|unix.WNOTHREAD, nil)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			if !errors.Is(err, unix.ECHILD) {
				c.err = err
			}
			return
		case c.stop.Load():
			if !ws.Exited() && !ws.Signaled() {
				c.detach(tid, ws)
			}
			delete(attached, tid)
			c.detachAll(attached)
			return
		case ws.Exited() || ws.Signaled():
			delete(attached, tid)
			continue
		}
		attached[tid] = true
		c.handleStop(tid, ws)
	}
}

// detachAll detaches all threads. Its time is bounded, since a thread that is ending may not stop any more; the kernel
// detaches such a thread when the tracer's thread ends.
func (c *Counter) detachAll(attached map[int]bool) {
	for tid := range attached {
		_ = ptrace(unix.PTRACE_INTERRUPT, tid, 0)
	}
	for end := time.Now().Add(time.Second); len(attached) > 0 && time.Now().Before(end); {
		var ws unix.WaitStatus
		tid, err := unix.Wait4(-1, &ws, unix.WALL|unix.WNOTHREAD|unix.WNOHANG, nil)
		switch {
		case errors.Is(err, unix.ECHILD):
			return
		case err != nil || tid == 0:
			time.Sleep(time.Millisecond)
			continue
		case !ws.Exited() && !ws.Signaled():
			c.detach(tid, ws)
		}
		delete(attached, tid)
	}
}

// detach detaches a stopped thread. If the thread has stopped for a signal, the signal is delivered.
func (c *Counter) detach(tid int, ws unix.WaitStatus) {
	signal := uintptr(0)
	if sig := ws.StopSignal(); sig != unix.SIGTRAP|0x80 && uint32(ws)>>16 == 0 {
		signal = uintptr(sig)
	}
	_ = ptrace(unix.PTRACE_DETACH, tid, signal)
}

// handleStop handles one stop of a thread and resumes the thread.
func (c *Counter) handleStop(tid int, ws unix.WaitStatus) {
	signal := uintptr(0)
	switch sig := ws.StopSignal(); {
	case sig == unix.SIGTRAP|0x80:
		c.count(tid)
	case uint32(ws)>>16 != 0: // a ptrace event: a thread was started, or PTRACE_INTERRUPT stopped this one
	default:
		signal = uintptr(sig)
	}
	_ = ptrace(unix.PTRACE_SYSCALL, tid, signal)
}

func (c *Counter) count(tid int) {
	var info syscallInfo
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, getSyscallInfo, uintptr(tid), unsafe.Sizeof(info),
		uintptr(unsafe.Pointer(&info)), 0, 0)
	if errno != 0 || info.op != opEntry {
		return
	}
	c.mu.Lock()
	c.counts[info.nr]++
	c.mu.Unlock()
}

// names are the names of the system calls that a Go network program makes.
var names = map[uint64]string{
	unix.SYS_READ: "read", unix.SYS_WRITE: "write", unix.SYS_READV: "readv", unix.SYS_WRITEV: "writev",
	unix.SYS_CLOSE:  "close",
	unix.SYS_SOCKET: "socket", unix.SYS_CONNECT: "connect", unix.SYS_ACCEPT: "accept", unix.SYS_ACCEPT4: "accept4",
	unix.SYS_SENDTO: "sendto", unix.SYS_RECVFROM: "recvfrom", unix.SYS_SENDMSG: "sendmsg", unix.SYS_RECVMSG: "recvmsg",
	unix.SYS_SHUTDOWN: "shutdown", unix.SYS_BIND: "bind", unix.SYS_LISTEN: "listen", unix.SYS_GETSOCKNAME: "getsockname",
	unix.SYS_GETPEERNAME: "getpeername", unix.SYS_SETSOCKOPT: "setsockopt", unix.SYS_GETSOCKOPT: "getsockopt",
	unix.SYS_EPOLL_CTL: "epoll_ctl", unix.SYS_EPOLL_PWAIT: "epoll_pwait", unix.SYS_EPOLL_CREATE1: "epoll_create1",
	unix.SYS_EPOLL_PWAIT2: "epoll_pwait2",
	unix.SYS_FUTEX:        "futex", unix.SYS_NANOSLEEP: "nanosleep", unix.SYS_SCHED_YIELD: "sched_yield",
	unix.SYS_MADVISE: "madvise",
	unix.SYS_MMAP:    "mmap", unix.SYS_MUNMAP: "munmap", unix.SYS_FCNTL: "fcntl", unix.SYS_TGKILL: "tgkill",
	unix.SYS_GETPID: "getpid",
	unix.SYS_CLONE:  "clone", unix.SYS_RT_SIGRETURN: "rt_sigreturn", unix.SYS_RT_SIGPROCMASK: "rt_sigprocmask",
	unix.SYS_SIGALTSTACK: "sigaltstack", unix.SYS_EVENTFD2: "eventfd2", unix.SYS_RESTART_SYSCALL: "restart_syscall",
}

// name returns the name of a system call, or "call_" and its number if the name is not known.
func name(nr uint64) string {
	if n, ok := names[nr]; ok {
		return n
	}
	if n, ok := archNames[nr]; ok {
		return n
	}
	return "call_" + strconv.FormatUint(nr, 10)
}
