package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// readyBound is the time within which a restarted process is ready.
	readyBound = 10 * time.Second
	// readyPercent is the least share of processes that are ready within readyBound.
	readyPercent = 90
	// maxRunDelay is the time that all threads of a process together may have waited for a core. A failure in which a
	// late process has waited for longer is void.
	maxRunDelay = readyBound / 5
)

// Front ends that all end and restart at the same time are ready within readyBound, whichever fault the change log has
// meanwhile.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	for name, o := range map[string]outage{"working": working, "slow": slow, "mute": hanging, "refusing": notListening,
		"unreachable": unreachable} {
		for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
			t.Run(fmt.Sprintf("%s, %s", name, signal), func(t *testing.T) {
				for !restartsInTime(t, o, signal) {
					t.Log("the processes were short of CPU time: repeated")
				}
			})
		}
	}
}

// restartsInTime restarts all processes once. The result is false if too few processes were ready in time and a late
// one was short of CPU time, so that the run is void.
func restartsInTime(t *testing.T, o outage, signal syscall.Signal) bool {
	t.Helper()
	const processes = 20
	e, log := newEngine(t, nil), newChangeLog(t)
	all := make([]*testGateway, processes)
	for i := range all {
		r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), changeLogAddr: log.address}
		if i == 0 {
			log.serveChanges = r.serveChanges // all processes read the change log of the first
		}
		all[i] = r.start(1024, e)
	}
	if o != working {
		log.fail(o)
	}
	for _, r := range all {
		require.NoError(t, r.cmd.Process.Signal(signal))
	}
	for _, r := range all {
		r.t.Log("ended:", <-r.exit)
	}
	took := make([]time.Duration, processes)
	var started sync.WaitGroup
	began := time.Now()
	for _, r := range all {
		r.log, r.exit = &lockedBuffer{}, make(chan error, 1)
		r.run(strings.Replace(r.config, "127.0.0.1:0", r.addr, 1))
	}
	for i, r := range all {
		started.Go(func() { took[i] = r.readyDelay(began) })
	}
	started.Wait()
	ready := 0
	delayed := false
	for i, r := range all {
		if took[i] <= readyBound {
			ready++
		} else if r.runDelay() > maxRunDelay {
			delayed = true
		}
	}
	t.Logf("ready: %d of %d, the slowest after %v", ready, processes, slices.Max(took))
	if ready*100 < processes*readyPercent && delayed {
		return false
	}
	assert.GreaterOrEqual(t, ready*100, processes*readyPercent, "%v", took)
	for _, r := range all {
		a := r.dial().query("lookup", 2500)
		assert.Zero(t, a.code, a.text)
		_ = r.cmd.Process.Kill()
		r.t.Log("ended:", <-r.exit)
	}
	return true
}

// readyDelay returns the time from began until the program has logged that it listens and has answered a ping. The
// result exceeds readyBound if the program is not ready by then.
func (r *testGateway) readyDelay(began time.Time) time.Duration {
	for ; time.Since(began) <= readyBound; time.Sleep(5 * time.Millisecond) {
		if strings.Contains(r.log.String(), "msg=listening") && answersPing(r.addr) {
			break
		}
	}
	return time.Since(began)
}

func answersPing(address string) bool {
	const timeout = 2 * time.Second
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, packet(1, loginPayload)+packet(0, "\x0e")); err != nil {
		return false
	}
	client := &client{c: c, r: bufio.NewReader(c)}
	for _, first := range []byte{10, 0, 0} { // the protocol version of the greeting, and two OK packets
		p, err := client.packet()
		if err != nil || len(p) == 0 || p[0] != first {
			return false
		}
	}
	return true
}

// runDelay returns the time for which all threads of the process together have waited for a core.
func (r *testGateway) runDelay() (sum time.Duration) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", r.cmd.Process.Pid))
	require.NoError(r.t, err)
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		fields := strings.Fields(string(text)) // nanoseconds on a core, nanoseconds of waiting for a core, time slices
		if len(fields) < 2 {
			continue
		}
		delay, err := strconv.ParseInt(fields[1], 10, 64)
		require.NoError(r.t, err)
		sum += time.Duration(delay)
	}
	return sum
}
