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

// ownCPU is the CPU time of this process, user and system, in seconds.
func ownCPU() float64 {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}

// processCPU is the CPU time of all threads of a process in seconds, by the scheduler's own count. Threads that have
// ended are missing; the Go run time ends none in ordinary work.
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

// residentBytes is the resident memory of a process.
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

// leastCPU is for how long something is repeated at least before its CPU time is divided by the count.
const leastCPU = 0.05

// cpuEach is the CPU seconds of one call of work, which is called until it has cost leastCPU in all, and ten times at
// least.
func cpuEach(work func() error) (float64, error) {
	for began, n := ownCPU(), 1; ; n++ {
		if err := work(); err != nil {
			return 0, err
		}
		if n < 10 {
			continue
		}
		if spent := ownCPU() - began; spent >= leastCPU {
			return spent / float64(n), nil
		}
	}
}

// byteCounter counts the bytes of connections, without the headers of IP and TCP.
type byteCounter struct {
	sent, received atomic.Int64
	opened         atomic.Int64
}

func (w *byteCounter) bytes() float64 { return float64(w.sent.Load() + w.received.Load()) }

// client is an HTTP client with so many kept connections whose bytes w counts.
func (w *byteCounter) client(connections int) *http.Client {
	dialer := net.Dialer{Timeout: 3 * time.Second}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			w.opened.Add(1)
			return &countedConn{conn, w}, nil
		},
	}}
}

type countedConn struct {
	net.Conn
	wire *byteCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wire.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wire.sent.Add(int64(n))
	return n, err
}
