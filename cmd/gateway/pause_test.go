package main_test

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// processStatus returns a field of the status file of the process in /proc.
func (r *testGateway) processStatus(field string) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	require.NoError(r.t, err)
	_, rest, _ := strings.Cut(string(text), field+":")
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(line)
}

// pause suspends the process with SIGSTOP, as a machine that is short of CPU time does. resume continues the process.
func (r *testGateway) pause() (resume func()) {
	require.NoError(r.t, r.cmd.Process.Signal(syscall.SIGSTOP))
	require.Eventually(r.t, func() bool { return strings.HasPrefix(r.processStatus("State"), "T") }, 10*time.Second,
		time.Millisecond)
	return func() { require.NoError(r.t, r.cmd.Process.Signal(syscall.SIGCONT)) }
}

const sessionCount = 40 // enough sessions that the program can't have handled all of them before it looks at the time

// The kernel has accepted connections or requests while the program was paused during its shutdown. The program finds
// on resumption that the draining period has passed, and must answer them nevertheless.
func TestInputReceivedDuringAPauseInShutdownIsAnswered(t *testing.T) {
	t.Run("requests on open sessions", func(t *testing.T) {
		assertAnsweredAfterPause(t, func(r *testGateway) (send func(), answers func()) {
			all := make([]*client, sessionCount)
			for i := range all {
				all[i] = r.dial()
				all[i].send(0, "\x0e")
				require.Zero(t, all[i].read().code)
			}
			return func() {
					for _, c := range all {
						c.send(0, statement("lookup", 2500))
					}
				}, func() {
					for i, c := range all {
						assert.Zero(t, c.read().code, "session %d", i)
					}
				}
		})
	})
	t.Run("connections", func(t *testing.T) {
		assertAnsweredAfterPause(t, func(r *testGateway) (send func(), answers func()) {
			all := make([]*client, 300)
			return func() {
					for i := range all {
						all[i] = r.connect()
						_, err := io.WriteString(all[i].c, packet(1, loginPayload)+packet(0, statement("lookup", 2500)))
						require.NoError(t, err)
					}
				}, func() {
					for i, c := range all {
						c.completeLogin()
						assert.Contains(t, []int{0, 1040}, c.read().code, "connection %d must be served or rejected", i)
					}
				}
		})
	})
}

// assertAnsweredAfterPause sends input while the program is paused in a shutdown, resumes the program after the
// draining period, and asserts that the input is answered.
func assertAnsweredAfterPause(t *testing.T, prepare func(r *testGateway) (send func(), answers func())) {
	t.Helper()
	for {
		r := start(t, newEngine(t, nil))
		send, answers := prepare(r)
		stopped := time.Now()
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
		r.waitForLog("msg=stopping")
		resume := r.pause()
		send()
		if time.Since(stopped) > 700*time.Millisecond { // too busy: the platform sends requests for 0.6 s
			resume()
			continue
		}
		time.Sleep(time.Until(stopped.Add(time.Second)))
		resume()
		answers()
		require.NoError(t, <-r.exit)
		assert.Contains(t, r.log.String(), "msg=stopped")
		return
	}
}

// A request that arrives before its session's timeout is answered, even if the program checks the timeout before it
// reads the request.
func TestRequestBeforeSessionTimeoutIsAnsweredAfterAPause(t *testing.T) {
	withoutCommand := func(*client) {}
	pinged := func(c *client) {
		c.send(0, "\x0e")
		require.Zero(t, c.read().code)
	}
	for name, k := range map[string]struct {
		prepare func(*client)
		timeout time.Duration
	}{
		"idle":           {pinged, 1500 * time.Millisecond},
		"no command yet": {withoutCommand, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for !requestsBeforeIdleTimeout(t, k.prepare, k.timeout) { // the machine is too busy to keep the order of events
			}
		})
	}
}

// requestsBeforeIdleTimeout prepares sessions, sends a request on each just before its timeout, and asserts the
// answers. The result is false if the machine was too busy to keep the order of events.
func requestsBeforeIdleTimeout(t *testing.T, prepare func(*client), timeout time.Duration) bool {
	t.Helper()
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), settings: t.TempDir() + "/s.json"}
	r.writeSettings(`{"schema":1,"clients":{"idle_ms":1500}}`)
	r.start(1024, newEngine(t, nil))
	began := time.Now()
	all := make([]*client, sessionCount)
	for i := range all {
		all[i] = r.dial()
		prepare(all[i])
	}
	last := time.Now()
	time.Sleep(time.Until(began.Add(timeout - 200*time.Millisecond)))
	resume := r.pause()
	for _, c := range all {
		c.send(0, statement("lookup", 2500))
	}
	sentInTime := time.Now().Before(began.Add(timeout - 20*time.Millisecond))
	time.Sleep(time.Until(last.Add(timeout + 30*time.Millisecond)))
	resume()
	if !sentInTime || time.Since(began) > timeout+150*time.Millisecond {
		return false
	}
	for i, c := range all {
		assert.Zero(t, c.read().code, "session %d", i)
	}
	return true
}

// The session of a client that sends valid packets without end is closed before its input fills the memory, whether or
// not the client reads the answers.
func TestEndlessInputOfASessionIsBounded(t *testing.T) {
	for name, unit := range map[string]string{
		"ping": packet(0, "\x0e"), "unknown command": packet(0, "\x1c"), "no query": packet(0, "\x03x"), "kill": packet(0,
			"\x03KILL QUERY 7"),
	} {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reads %t", name, reads), func(t *testing.T) {
				increase := 1 << 30
				for range 3 { // the minimum of three runs: a busy machine only adds to the increase
					r := start(t, newEngine(t, nil))
					c := r.dial()
					if reads {
						go func() { _, _ = io.Copy(io.Discard, c.c) }()
					}
					before, chunk := r.peakMemoryKB(), []byte(strings.Repeat(unit, 64<<10/len(unit)))
					for sent := 0; ; sent += len(chunk) {
						require.Less(t, sent, 1<<30, "the session is never closed")
						if _, err := c.c.Write(chunk); err != nil {
							break
						}
					}
					r.waitForCounter("sessions_flooded", 1)
					increase = min(increase, r.peakMemoryKB()-before)
				}
				t.Log("increase of peak memory in KB", increase)
				assert.Less(t, increase, 40<<10)
			})
		}
	}
}

// memoryKB returns a field of the status file of the process that is a size in KB.
func (r *testGateway) memoryKB(field string) int {
	n, err := strconv.Atoi(strings.TrimSuffix(r.processStatus(field), " kB"))
	require.NoError(r.t, err, field)
	return n
}

// peakMemoryKB returns the peak resident memory of the process in KB.
func (r *testGateway) peakMemoryKB() int { return r.memoryKB("VmHWM") }

// Guards against a rejection that is lost to a reset. A client whose session is rejected has often sent its first
// request already.
func TestSessionRejectionIsDelivered(t *testing.T) {
	e, release := newBlockedEngine(t)
	defer close(release)
	r := startWithDescriptors(t, 50, e)
	for range 50 * 2 / 5 {
		c := r.dial()
		c.send(0, statement("load", 20000))
	}
	r.waitForCounter("taken", 50*2/5)
	for range 5 {
		resume := r.pause()
		c := r.connect()
		_, err := io.WriteString(c.c,
			packet(1, loginPayload)+packet(0, statement("lookup", 2500)+strings.Repeat(" ", 200<<10)))
		require.NoError(t, err)
		resume()
		assert.Equal(t, 1040, c.read().code)
		_, err = c.packet()
		require.ErrorIs(t, err, io.EOF, "the connection was reset")
	}
	assert.EqualValues(t, 5, r.counter("sessions_refused"))
}

// limitDescriptors sets the limit on open descriptors of the process.
func (r *testGateway) limitDescriptors(most uint64) {
	require.NoError(r.t, unix.Prlimit(r.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: 1024}, nil))
}

// A front end that is out of descriptors ejects no engine for that reason: the engines serve as before once the front
// end has descriptors again.
func TestDescriptorExhaustionDoesNotEjectEngines(t *testing.T) {
	for _, healthChecks := range []bool{true, false} {
		t.Run(fmt.Sprint("health checks ", healthChecks), func(t *testing.T) {
			engines := []*engine{newEngine(t, nil), newEngine(t, nil), newEngine(t, nil), newEngine(t, nil)}
			settings := defaultPlatformSettings
			if !healthChecks {
				settings = withoutHealthChecks(true)
			}
			r := startWithPlatformSettings(t, settings, engines...)
			c := r.dial()
			require.Zero(t, c.query("lookup", 2500).code)
			r.limitDescriptors(0)
			for range 12 {
				assert.Equal(t, 1040, c.query("lookup", 1000).code, "the query did not run: the error must allow a retry")
			}
			assert.Positive(t, r.counter("no_socket"))
			r.limitDescriptors(1024)
			for range 12 {
				assert.Zero(t, c.query("lookup", 2500).code)
			}
			assert.NotContains(t, r.log.String(), "ejected")
		})
	}
}
