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
	// readyBound is the time in which a process that was started again is ready.
	readyBound = 10 * time.Second
	// readyShare is the share of the processes that keep to it, in percent.
	readyShare = 90
	// mostDelay is the time for which a process may have waited for a core, in all its threads. Over it the play tells
	// nothing.
	mostDelay = readyBound / 5
)

// Front ends that end all at once and are started again all at once are ready in their time, whatever ails the change
// log meanwhile.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	for name, o := range map[string]outage{"working": working, "slow": slowly, "mute": mute, "refusing": notListening,
		"unreachable": unreachable} {
		for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
			t.Run(fmt.Sprintf("%s, %s", name, end), func(t *testing.T) {
				for !restartsInTime(t, o, end) {
					t.Log("the processes were given no core: played again")
				}
			})
		}
	}
}

// restartsInTime plays one restart of all processes. False: some of them got no core, and the play tells nothing.
func restartsInTime(t *testing.T, o outage, end syscall.Signal) bool {
	t.Helper()
	const processes = 20
	e, log := newEngine(t, nil), newChangeLog(t)
	all := make([]*testGateway, processes)
	for i := range all {
		r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), changeLogAddr: log.address}
		if i == 0 {
			log.changes = r.changes // all follow the list of the first
		}
		all[i] = r.start(1024, e)
	}
	if o != working {
		log.fail(o)
	}
	for _, r := range all {
		require.NoError(t, r.cmd.Process.Signal(end))
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
	starved := false
	for i, r := range all {
		if took[i] <= readyBound {
			ready++
		} else if r.runDelay() > mostDelay {
			starved = true
		}
	}
	t.Logf("ready: %d of %d, the last after %v", ready, processes, slices.Max(took))
	if ready*100 < processes*readyShare && starved {
		return false
	}
	assert.GreaterOrEqual(t, ready*100, processes*readyShare, "%v", took)
	for _, r := range all {
		a := r.dial().query("lookup", 2500)
		assert.Zero(t, a.code, a.text)
		_ = r.cmd.Process.Kill()
		r.t.Log("ended:", <-r.exit)
	}
	return true
}

// readyDelay is how long after that instant the program has said that it listens, and has answered a ping; over
// readyBound where it has not by then.
func (r *testGateway) readyDelay(began time.Time) time.Duration {
	for ; time.Since(began) <= readyBound; time.Sleep(5 * time.Millisecond) {
		if strings.Contains(r.log.String(), "msg=listening") && answersPing(r.addr) {
			break
		}
	}
	return time.Since(began)
}

func answersPing(address string) bool {
	const patience = 2 * time.Second
	c, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, packet(1, login)+packet(0, "\x0e")); err != nil {
		return false
	}
	client := &client{c: c, r: bufio.NewReader(c)}
	for _, first := range []byte{10, 0, 0} { // the greeting's version, and two OKs
		p, err := client.packet()
		if err != nil || len(p) == 0 || p[0] != first {
			return false
		}
	}
	return true
}

// runDelay is how long the threads of the process have waited for a core, in all.
func (r *testGateway) runDelay() (sum time.Duration) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", r.cmd.Process.Pid))
	require.NoError(r.t, err)
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		fields := strings.Fields(string(text)) // nanoseconds on a core, nanoseconds of waiting for one, turns
		if len(fields) < 2 {
			continue
		}
		delay, err := strconv.ParseInt(fields[1], 10, 64)
		require.NoError(r.t, err)
		sum += time.Duration(delay)
	}
	return sum
}
