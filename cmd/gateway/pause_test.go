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

// processStatus is a field of what the machine tells of the process.
func (r *testGateway) processStatus(field string) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	require.NoError(r.t, err)
	_, rest, _ := strings.Cut(string(text), field+":")
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(line)
}

// pause stops the process, as a machine that is short of time does; the function that it returns lets it go on.
func (r *testGateway) pause() (goOn func()) {
	require.NoError(r.t, r.cmd.Process.Signal(syscall.SIGSTOP))
	require.Eventually(r.t, func() bool { return strings.HasPrefix(r.processStatus("State"), "T") }, 10*time.Second,
		time.Millisecond)
	return func() { require.NoError(r.t, r.cmd.Process.Signal(syscall.SIGCONT)) }
}

const several = 40 // sessions at once, so that what is looked at first can't be all of them

// The machine has taken these connections, or what was written to them; the program stood still, and finds the time
// of its stop over.
func TestWhatTheMachineHoldsAtAStopIsAnswered(t *testing.T) {
	t.Run("requests on open sessions", func(t *testing.T) {
		answeredAfterStop(t, func(r *testGateway) (send func(), answers func()) {
			all := make([]*client, several)
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
		answeredAfterStop(t, func(r *testGateway) (send func(), answers func()) {
			all := make([]*client, 300)
			return func() {
					for i := range all {
						all[i] = r.connect()
						_, err := io.WriteString(all[i].c, packet(1, login)+packet(0, statement("lookup", 2500)))
						require.NoError(t, err)
					}
				}, func() {
					for i, c := range all {
						c.greeted()
						assert.Contains(t, []int{0, 1040}, c.read().code, "connection %d: so many at once may be refused", i)
					}
				}
		})
	})
}

// answeredAfterStop sends while the program stands still in a stop, and lets it go on once the time of the stop is
// over.
func answeredAfterStop(t *testing.T, prepare func(r *testGateway) (send func(), answers func())) {
	t.Helper()
	for {
		r := start(t, newEngine(t, nil))
		send, answers := prepare(r)
		term := time.Now()
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
		r.waitForLog("msg=stopping")
		goOn := r.pause()
		send()
		if time.Since(term) > 700*time.Millisecond { // the machine is too busy: requests come for 0.6 s
			goOn()
			continue
		}
		time.Sleep(time.Until(term.Add(time.Second)))
		goOn()
		answers()
		require.NoError(t, <-r.exit)
		assert.Contains(t, r.log.String(), "msg=stopped")
		return
	}
}

// A request that has come before its session's time was over is answered, though the program looks at the time first.
func TestARequestThatCameBeforeItsSessionEndsIsAnswered(t *testing.T) {
	untouched := func(*client) {}
	asked := func(c *client) {
		c.send(0, "\x0e")
		require.Zero(t, c.read().code)
	}
	for name, k := range map[string]struct {
		prepare func(*client)
		lasts   time.Duration
	}{
		"idle":       {asked, 1500 * time.Millisecond},
		"just there": {untouched, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for !requestsBeforeIdleTimeout(t, k.prepare, k.lasts) { // a machine too busy for the order
			}
		})
	}
}

// requestsBeforeIdleTimeout lets requests come just before idle sessions end, each session prepared first.
func requestsBeforeIdleTimeout(t *testing.T, prepare func(*client), lasts time.Duration) bool {
	t.Helper()
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), settings: t.TempDir() + "/s.json"}
	r.writeSettings(`{"schema":1,"clients":{"idle_ms":1500}}`)
	r.start(1024, newEngine(t, nil))
	began := time.Now()
	all := make([]*client, several)
	for i := range all {
		all[i] = r.dial()
		prepare(all[i])
	}
	last := time.Now()
	time.Sleep(time.Until(began.Add(lasts - 200*time.Millisecond)))
	goOn := r.pause()
	for _, c := range all {
		c.send(0, statement("lookup", 2500))
	}
	inTime := time.Now().Before(began.Add(lasts - 20*time.Millisecond))
	time.Sleep(time.Until(last.Add(lasts + 30*time.Millisecond)))
	goOn()
	if !inTime || time.Since(began) > lasts+150*time.Millisecond {
		return false
	}
	for i, c := range all {
		assert.Zero(t, c.read().code, "session %d", i)
	}
	return true
}

// A client that sends on and on, each packet as it should be, is closed before it fills the memory, whether or not it
// reads.
func TestASessionThatSendsOnAndOnIsBounded(t *testing.T) {
	for name, unit := range map[string]string{
		"ping": packet(0, "\x0e"), "unknown command": packet(0, "\x1c"), "no query": packet(0, "\x03x"), "kill": packet(0,
			"\x03KILL QUERY 7"),
	} {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reads %t", name, reads), func(t *testing.T) {
				most := 1 << 30
				for range 3 { // the least of three: a busy machine only adds to it
					r := start(t, newEngine(t, nil))
					c := r.dial()
					if reads {
						go func() { _, _ = io.Copy(io.Discard, c.c) }()
					}
					before, chunk := r.peakMemoryKB(), []byte(strings.Repeat(unit, 64<<10/len(unit)))
					for sent := 0; ; sent += len(chunk) {
						require.Less(t, sent, 1<<30, "it is never closed")
						if _, err := c.c.Write(chunk); err != nil {
							break
						}
					}
					r.waitForCounter("sessions_flooded", 1)
					most = min(most, r.peakMemoryKB()-before)
				}
				t.Log("memory in KB", most)
				assert.Less(t, most, 40<<10)
			})
		}
	}
}

// peakMemoryKB is the most memory that the process has had, in KB.
func (r *testGateway) peakMemoryKB() int {
	n, err := strconv.Atoi(strings.TrimSuffix(r.processStatus("VmHWM"), " kB"))
	require.NoError(r.t, err)
	return n
}

// A client that is refused has often sent its first request by then: the refusal is not lost to a reset.
func TestARejectionIsNotLost(t *testing.T) {
	e, release := heldEngine(t)
	defer close(release)
	r := startWith(t, 50, e)
	for range 50 * 2 / 5 {
		c := r.dial()
		c.send(0, statement("load", 20000))
	}
	r.waitForCounter("taken", 50*2/5)
	for range 5 {
		goOn := r.pause()
		c := r.connect()
		_, err := io.WriteString(c.c, packet(1, login)+packet(0, statement("lookup", 2500)+strings.Repeat(" ", 200<<10)))
		require.NoError(t, err)
		goOn()
		assert.Equal(t, 1040, c.read().code)
		_, err = c.packet()
		require.ErrorIs(t, err, io.EOF, "the connection was reset")
	}
	assert.EqualValues(t, 5, r.counter("sessions_refused"))
}

// limitDescriptors lets the process open none numbered as high.
func (r *testGateway) limitDescriptors(most uint64) {
	require.NoError(r.t, unix.Prlimit(r.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: 1024}, nil))
}

// That the front end is out of descriptors says nothing of its engines: they serve as before once it has some.
func TestWantOfDescriptorsIsNoFaultOfTheEngines(t *testing.T) {
	for _, probes := range []bool{true, false} {
		t.Run(fmt.Sprint("probes ", probes), func(t *testing.T) {
			engines := []*engine{newEngine(t, nil), newEngine(t, nil), newEngine(t, nil), newEngine(t, nil)}
			settings := defaultPlatformSettings
			if !probes {
				settings = withoutHealthChecks(true)
			}
			r := startAs(t, settings, engines...)
			c := r.dial()
			require.Zero(t, c.query("lookup", 2500).code)
			r.limitDescriptors(0)
			for range 12 {
				assert.Equal(t, 1040, c.query("lookup", 1000).code, "it never ran")
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
