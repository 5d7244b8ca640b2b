package parts

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// selfCPU returns the CPU time of this process, user and system, in seconds.
func selfCPU() float64 {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

// processCPU returns the CPU time of all threads of a process in seconds, from the scheduler's schedstat files.
// Threads that have exited are not counted; the Go runtime ends none in normal operation.
func processCPU(pid int) (seconds float64) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(text)); len(fields) > 0 {
			nanos, _ := strconv.ParseInt(fields[0], 10, 64)
			seconds += float64(nanos) / 1e9
		}
	}
	return seconds
}

// residentBytes returns the resident memory of a process, or 0 if /proc has no entry for the process.
func residentBytes(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes * 1024
		}
	}
	return 0
}

// minCPUSeconds is the CPU time that cpuPerCall spends at least before it divides by the number of calls.
const minCPUSeconds = 0.05

// cpuPerCall returns the CPU seconds of one call of work. It calls work at least ten times, and until the calls have
// used minCPUSeconds in total. It stops at the first error of work.
func cpuPerCall(work func() error) (float64, error) {
	for start, n := selfCPU(), 1; ; n++ {
		if err := work(); err != nil {
			return 0, err
		}
		if n < 10 {
			continue
		}
		if spent := selfCPU() - start; spent >= minCPUSeconds {
			return spent / float64(n), nil
		}
	}
}

// byteCounter counts the bytes that connections transfer, without the headers of IP and TCP.
type byteCounter struct {
	sent, received atomic.Int64
	opened         atomic.Int64
}

func (b *byteCounter) bytes() float64 { return float64(b.sent.Load() + b.received.Load()) }

// client returns an HTTP client that keeps up to the given number of idle connections and counts their bytes in b.
func (b *byteCounter) client(connections int) *http.Client {
	dialer := net.Dialer{Timeout: 3 * time.Second}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			b.opened.Add(1)
			return &countedConn{conn, b}, nil
		},
	}}
}

type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}
