package main

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"beechcart/internal/membudget"
)

const (
	memoryCheckInterval = 250 * time.Millisecond
	bytesPerMegabyte    = 1 << 20
)

// memoryWarningPercents are the shares of the memory limit that are logged when the process first reaches them.
var memoryWarningPercents = []int{60, 75, 90}

// memoryMonitor logs how close the process comes to its memory limit, and what holds the memory. A process over the
// limit is killed without a word, so these lines are the only trace.
type memoryMonitor struct {
	limitMB         int
	requests        *membudget.Budget
	results         *membudget.Budget
	responses       *membudget.Budget
	sessions        func() int
	log             *slog.Logger
	warningsWritten int          // of memoryWarningPercents
	peakMB          atomic.Int64 // the most resident memory that was measured
}

// run checks the memory until ctx ends.
func (m *memoryMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.check()
		}
	}
}

// check measures the memory, and logs the highest share of the limit that the process has reached since the last check.
func (m *memoryMonitor) check() {
	peak, reached := m.measurePeak(), m.warningsWritten
	for reached < len(memoryWarningPercents) && peak*100 >= m.limitMB*memoryWarningPercents[reached] {
		reached++
	}
	if reached == m.warningsWritten {
		return
	}
	m.warningsWritten = reached
	m.log.Warn("memory high", append([]any{"percent", memoryWarningPercents[reached-1]}, m.usage()...)...)
}

// usage returns the figures of memory as key-value pairs of a log line.
func (m *memoryMonitor) usage() []any {
	return []any{
		"peak_mb", m.measurePeak(), "limit_mb", m.limitMB, "request_kb", m.requests.Used() >> 10,
		"result_kb", m.results.Used() >> 10, "sessions", m.sessions(), "goroutines", runtime.NumGoroutine(),
		"response_kb", m.responses.Used() >> 10,
	}
}

// measurePeak returns the most resident memory that any call has found.
func (m *memoryMonitor) measurePeak() int {
	resident := int64(residentMemoryMB())
	for {
		peak := m.peakMB.Load()
		if resident <= peak || m.peakMB.CompareAndSwap(peak, resident) {
			return int(max(resident, peak))
		}
	}
}

// residentMemoryMB returns the resident memory of the process; 0 if the kernel does not tell. The peak that the kernel
// keeps is no use: it includes the process that started this one.
func residentMemoryMB() int {
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() / bytesPerMegabyte
}
