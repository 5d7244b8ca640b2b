package main_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Further signals change nothing in a stop: what is open is answered, and the program ends well.
func TestFurtherSignalsChangeNothingInAStop(t *testing.T) {
	e, release := heldEngine(t)
	r := start(t, e)
	c := r.dial()
	c.send(0, statement("load", 20000))
	e.waitFor(t, "POST", 1)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP,
		syscall.SIGHUP, syscall.SIGTERM} {
		require.NoError(t, r.cmd.Process.Signal(s))
		r.waitForLog("msg=stopping")
	}
	late := r.dial()
	late.send(0, statement("load", 20000))
	e.waitFor(t, "POST", 2)
	close(release)
	assert.Zero(t, c.read().code)
	assert.Zero(t, late.read().code)
	require.NoError(t, <-r.exit)
	assert.Equal(t, 1, strings.Count(r.log.String(), "msg=stopping"))
}

// A stop is heard behind any number of reloads: the first of them is held by a configuration that does not come.
func TestAStopBehindManyReloadsIsHeard(t *testing.T) {
	e := newEngine(t, nil)
	r := start(t, e)
	require.NoError(t, os.Remove(r.path))
	require.NoError(t, syscall.Mkfifo(r.path, 0o600))
	signal := func(s syscall.Signal) {
		require.NoError(t, r.cmd.Process.Signal(s))
		require.Eventually(t, func() bool { return strings.Trim(r.processStatus("ShdPnd"), "0") == "" }, 10*time.Second,
			time.Millisecond)
	}
	signal(syscall.SIGHUP)
	var held *os.File
	require.Eventually(t, func() (open bool) { // once the program reads it
		var err error
		held, err = os.OpenFile(r.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	for range 50 {
		signal(syscall.SIGHUP)
	}
	signal(syscall.SIGTERM)
	require.NoError(t, os.Remove(r.path))
	r.write(r.config)
	require.NoError(t, held.Close())
	r.waitForLog("msg=stopping")
	require.NoError(t, <-r.exit)
	assert.Contains(t, r.log.String(), "reload failed", "half a configuration")
}

// withLog starts the program once more, with the configuration of a rig, and returns the end of its log that is read,
// once it listens.
func (r *testGateway) withLog() (cmd *exec.Cmd, read *os.File, second *testGateway) {
	read, write, err := os.Pipe()
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = read.Close() })
	cmd = exec.Command(program)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+r.path, "PROXY_LISTEN=127.0.0.1:0", "BEECHCART_SETTINGS=")
	cmd.Stderr = write
	require.NoError(r.t, cmd.Start())
	r.t.Cleanup(func() { _ = cmd.Process.Kill() })
	require.NoError(r.t, write.Close())
	lines := bufio.NewScanner(read)
	for lines.Scan() && !strings.Contains(lines.Text(), "msg=listening") {
	}
	_, address, found := strings.Cut(lines.Text(), "address=")
	require.True(r.t, found)
	return cmd, read, &testGateway{t: r.t, addr: address}
}

// The program outlives who reads its log.
func TestTheEndOfTheLogsReaderEndsNothing(t *testing.T) {
	e := newEngine(t, nil)
	r := start(t, e)
	cmd, read, second := r.withLog()
	require.NoError(t, read.Close())
	r.publish(e.entry("ready", 7)) // a line each
	r.publish(e.entry("ready", 0))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	for range 3 {
		c := second.dial()
		c.send(0, "\x1c") // a line as well
		require.Equal(t, 1047, c.read().code)
		require.Zero(t, c.query("lookup", 2500).code)
	}
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}

// Nobody waits for who reads the log: with 64 KB unread, a drain is heard, queries are served, and a stop ends.
func TestALogThatNobodyReadsHoldsNothing(t *testing.T) {
	e, other := newEngine(t, nil), newEngine(t, nil)
	r := start(t, e)
	cmd, _, second := r.withLog()
	for n := range 20 { // 100 lines each, of over 100 bytes
		state := []string{"draining", "ready"}[n%2]
		var list []string
		for range 100 {
			list = append(list, e.entry(state, 0))
		}
		r.publish(list...)
	}
	r.publish(e.entry("draining", 0), other.entry("ready", 0))
	for end := time.Now().Add(10 * time.Second); other.count("POST") == 0; {
		require.True(t, time.Now().Before(end), "the list is held up")
		require.Zero(t, second.dial().query("lookup", 2500).code)
	}
	began := e.count("POST")
	for range 5 {
		require.Zero(t, second.dial().query("lookup", 2500).code)
	}
	assert.Equal(t, began, e.count("POST"), "it drains")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}

// With deadlines of 300 ms the platform kills the process 1 s after SIGTERM: nobody may hold its end up, and all is
// answered before.
func TestNobodyHoldsUpAnEndWithShortDeadlines(t *testing.T) {
	short := strings.NewReplacer(`"deadline":25000000000`, `"deadline":300000000`, `"deadline":2500000000`,
		`"deadline":300000000`,
		`"on_time":500000000`, `"on_time":100000000`, `"on_time":3000000000`,
		`"on_time":200000000`).Replace(defaultPlatformSettings)
	age := time.Hour
	for range 3 { // the least of three: a busy machine only adds to it
		e := newEngine(t, slow)
		r := startAs(t, short, e)
		half, c := r.dial(), r.dial()
		half.half(statement("load", 20000))
		c.send(0, statement("load", 20000)) // waits for longer than its class does
		e.waitFor(t, "POST", 1)
		began := time.Now()
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
		assert.Equal(t, 1105, c.read().code)
		r.waitForLog("msg=stopped") // the race detector's own end takes a second more
		age = min(age, time.Since(began))
		require.NoError(t, <-r.exit)
	}
	assert.Less(t, age, 300*time.Millisecond+700*time.Millisecond, "the platform kills it then")
}

// A client that stops waiting during a stop is heard: what it waited for is sent nowhere.
func TestAClientThatLeavesDuringAStopIsNotForwarded(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", cancel), func(t *testing.T) {
			t.Parallel()
			for !disconnectsDuringShutdown(t, cancel) { // a machine too busy to leave before the stop ends
			}
		})
	}
}

// disconnectsDuringShutdown plays the case once; false when the stop had ended before the client could leave.
func disconnectsDuringShutdown(t *testing.T, cancel bool) bool {
	t.Helper()
	held, release := heldEngine(t)
	defer close(release)
	r := startAs(t, withoutHealthChecks(cancel), held)
	busy, c, idle := r.dial(), r.dial(), r.dial()
	busy.send(0, statement("load", 20000))
	held.waitFor(t, "POST", 1)
	r.publish(held.entry("draining", 0))
	r.waitForLog("state=draining")
	c.send(0, statement("load", 20000))
	r.waitForCounter("taken", 2)
	began := time.Now()
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, -1, idle.read().code, "idle sessions are closed from here on")
	if time.Since(began) > 2*time.Second {
		return false
	}
	leavings["kill"](r, c)
	e := newEngine(t, nil)
	r.publish(e.entry("ready", 0))
	r.waitForLog("engine=" + e.name)
	require.NoError(t, <-r.exit) // what is held is answered by the end of the stop
	assert.Equal(t, 1105, busy.read().code)
	assert.Zero(t, e.count("POST"))
	return true
}

// A stop while the program starts is a stop.
func TestASignalBeforeTheFirstSessionEndsWell(t *testing.T) {
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), platformSettings: defaultPlatformSettings,
		addr: "127.0.0.1:0"}
	feed := serve(t, r.changes)
	r.publish()
	r.run(fmt.Sprintf(`{"name":"n0","listen":%q,"changelog":%q,"settings":%s}`, r.addr, feed, r.platformSettings))
	require.Eventually(t, func() bool { // the program takes the signal itself from here on
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
		if err != nil {
			return false
		}
		_, rest, _ := strings.Cut(string(status), "SigCgt:\t")
		var caught uint64
		_, err = fmt.Sscanf(rest, "%x", &caught)
		return err == nil && caught&(1<<(syscall.SIGTERM-1)) != 0 && r.log.String() != ""
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-r.exit)
	assert.Contains(t, r.log.String(), "msg=stopped")
}
