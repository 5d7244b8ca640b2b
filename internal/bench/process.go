package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// wait returns after a duration, or with the error of ctx if that ends first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// cpuNanos returns the CPU time of all threads of a process in nanoseconds, as the scheduler accounts it.
func cpuNanos(pid int) (sum int64) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		if fields := strings.Fields(string(text)); len(fields) > 0 {
			onCPU, _ := strconv.ParseInt(fields[0], 10, 64)
			sum += onCPU
		}
	}
	return sum
}

// openFiles returns the number of open file descriptors of a process.
func openFiles(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// resident returns the resident memory of a process, now and at its peak, in MiB; 0 if it can't be read.
func resident(pid int) (now, peak float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	return statusMiB(string(text), "VmRSS"), statusMiB(string(text), "VmHWM")
}

// statusMiB reads one field of /proc/PID/status, which is in KiB there.
func statusMiB(status, field string) float64 {
	for _, line := range strings.Split(status, "\n") {
		if value, found := strings.CutPrefix(line, field+":"); found {
			kib, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kib / 1024
		}
	}
	return 0
}
