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

// Further signals do not change a shutdown: requests in flight are answered, and the program exits with code 0.
func TestFurtherSignalsDoNotChangeAShutdown(t *testing.T) {
	e, release := newBlockedEngine(t)
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

// A stop signal that arrives behind many reload signals is not lost. The configuration is a pipe without data, which
// blocks the first reload.
func TestStopSignalIsNotLostBehindReloads(t *testing.T) {
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
	require.Eventually(t, func() (open bool) { // succeeds when the program has the pipe open for reading
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
	assert.Contains(t, r.log.String(), "reload failed", "the program reads an empty configuration from the pipe")
}

// startWithLogPipe starts a second process with the configuration of r, and returns when that process listens. read
// is the reading end of the pipe to which the second process logs.
func (r *testGateway) startWithLogPipe() (cmd *exec.Cmd, read *os.File, second *testGateway) {
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

// The program keeps serving after the reader of its log closes the pipe.
func TestServesAfterTheLogReaderCloses(t *testing.T) {
	e := newEngine(t, nil)
	r := start(t, e)
	cmd, read, second := r.startWithLogPipe()
	require.NoError(t, read.Close())
	r.publish(e.entry("ready", 7)) // each event makes the program log a line
	r.publish(e.entry("ready", 0))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	for range 3 {
		c := second.dial()
		c.send(0, "\x1c") // an unknown command makes the program log a line
		require.Equal(t, 1047, c.read().code)
		require.Zero(t, c.query("lookup", 2500).code)
	}
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}

// A full log pipe, with 64 KB unread, blocks nothing: drains take effect, queries are served, and a shutdown ends.
func TestUnreadLogBlocksNothing(t *testing.T) {
	e, other := newEngine(t, nil), newEngine(t, nil)
	r := start(t, e)
	cmd, _, second := r.startWithLogPipe()
	for n := range 20 { // each event makes 100 log lines of over 100 bytes
		state := []string{"draining", "ready"}[n%2]
		var list []string
		for range 100 {
			list = append(list, e.entry(state, 0))
		}
		r.publish(list...)
	}
	r.publish(e.entry("draining", 0), other.entry("ready", 0))
	for end := time.Now().Add(10 * time.Second); other.count("POST") == 0; {
		require.True(t, time.Now().Before(end), "the endpoint list is not applied")
		require.Zero(t, second.dial().query("lookup", 2500).code)
	}
	began := e.count("POST")
	for range 5 {
		require.Zero(t, second.dial().query("lookup", 2500).code)
	}
	assert.Equal(t, began, e.count("POST"), "a draining engine must receive no query")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}

// With deadlines of 300 ms the platform kills the process 1 s after SIGTERM. By then all requests must be answered,
// and no client may delay the exit.
func TestShutdownWithShortDeadlinesIsNotDelayed(t *testing.T) {
	short := strings.NewReplacer(`"deadline":25000000000`, `"deadline":300000000`, `"deadline":2500000000`,
		`"deadline":300000000`,
		`"on_time":500000000`, `"on_time":100000000`, `"on_time":3000000000`,
		`"on_time":200000000`).Replace(defaultPlatformSettings)
	delay := time.Hour
	for range 3 { // the minimum of three runs: a busy machine only adds to the delay
		e := newEngine(t, neverFinish)
		r := startWithPlatformSettings(t, short, e)
		half, c := r.dial(), r.dial()
		half.sendStart(statement("load", 20000))
		c.send(0, statement("load", 20000)) // the client's deadline is later than that of the class
		e.waitFor(t, "POST", 1)
		began := time.Now()
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
		assert.Equal(t, 1105, c.read().code)
		r.waitForLog("msg=stopped") // not the exit, which the race detector delays by 1 s
		delay = min(delay, time.Since(began))
		require.NoError(t, <-r.exit)
	}
	assert.Less(t, delay, 300*time.Millisecond+700*time.Millisecond, "the platform kills the process then")
}

// The request of a client that cancels it during a shutdown is not sent to any engine.
func TestDisconnectDuringShutdownPreventsSend(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", cancel), func(t *testing.T) {
			t.Parallel()
			for !disconnectsDuringShutdown(t, cancel) { // the machine is too busy: the shutdown ended before the cancel
			}
		})
	}
}

// disconnectsDuringShutdown runs the case once. The result is false if the shutdown may end before the client can
// cancel.
func disconnectsDuringShutdown(t *testing.T, cancel bool) bool {
	t.Helper()
	held, release := newBlockedEngine(t)
	defer close(release)
	r := startWithPlatformSettings(t, withoutHealthChecks(cancel), held)
	busy, c, idle := r.dial(), r.dial(), r.dial()
	busy.send(0, statement("load", 20000))
	held.waitFor(t, "POST", 1)
	r.publish(held.entry("draining", 0))
	r.waitForLog("state=draining")
	c.send(0, statement("load", 20000))
	r.waitForCounter("taken", 2)
	began := time.Now()
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, -1, idle.read().code, "idle sessions must be closed when the listener closes")
	if time.Since(began) > 2*time.Second {
		return false
	}
	disconnectFuncs["kill"](r, c)
	e := newEngine(t, nil)
	r.publish(e.entry("ready", 0))
	r.waitForLog("engine=" + e.name)
	require.NoError(t, <-r.exit) // the request in flight is answered by the end of the shutdown
	assert.Equal(t, 1105, busy.read().code)
	assert.Zero(t, e.count("POST"))
	return true
}

// A stop signal during the start of the program ends the program with exit code 0.
func TestSignalDuringStartupEndsCleanly(t *testing.T) {
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), platformSettings: defaultPlatformSettings,
		addr: "127.0.0.1:0"}
	feed := serve(t, r.serveChanges)
	r.publish()
	r.run(fmt.Sprintf(`{"name":"n0","listen":%q,"changelog":%q,"settings":%s}`, r.addr, feed, r.platformSettings))
	require.Eventually(t, func() bool { // the program handles the signal from here on
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
