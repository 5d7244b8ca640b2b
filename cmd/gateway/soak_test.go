package main_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	soakPeriod  = 9 * time.Second
	soakClients = 12
	soakEngines = 4
	// soakConnectsFor is how long new connections keep coming after SIGTERM.
	soakConnectsFor = 400 * time.Millisecond
	// soakKillAfter is when the platform kills a process at the earliest after SIGTERM: the longest deadline, counted as
	// 3 s, and 0.7 s.
	soakKillAfter = 3700 * time.Millisecond
)

// soakSeeds returns the seeds to run: SOAK_SEEDS, such as 1-50, or a few.
func soakSeeds(t *testing.T) (seeds []uint64) {
	t.Helper()
	first, last, ok := strings.Cut(os.Getenv("SOAK_SEEDS"), "-")
	if !ok {
		return []uint64{1, 9, 12} // of each kind one: with a crowd and without, with the least limits and others
	}
	from, err := strconv.ParseUint(first, 10, 64)
	require.NoError(t, err)
	to, err := strconv.ParseUint(last, 10, 64)
	require.NoError(t, err)
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestSoak runs the platform's build under faults drawn from a seed: engines that reset, hang, write slowly, are full
// or are replaced at their address; clients that leave, send much at once or large requests; in every second run a
// crowd; and signals in series. Each request must get one answer in time, no load may run twice, no query on two
// engines at once, and no process may pass its memory limit or end by itself. SOAK_SEEDS=1-50 runs other seeds.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if os.Getenv("SOAK_SEEDS") != "" {
				t.Parallel()
			}
			runSoak(t, rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

// soak is one run.
type soak struct {
	t       *testing.T
	limits  platformLimits
	gateway *testGateway
	engines []*soakEngine
	stop    chan struct{}
	running sync.WaitGroup

	process                                         atomic.Int64              // the process ID of the latest process
	terminated                                      atomic.Pointer[time.Time] // when it got SIGTERM; nil: it did not
	requests, answered, served, crossed, unanswered atomic.Int64

	mu     sync.Mutex
	killed []time.Time // guarded by mu; when processes got SIGKILL
	broken []string    // guarded by mu
}

func (s *soak) breaks(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func runSoak(t *testing.T, rng *rand.Rand) {
	t.Helper()
	limits := []platformLimits{{32, 1024}, {32, 256}, {48, 384}, {96, 512}}[rng.IntN(4)]
	s := &soak{t: t, limits: limits, stop: make(chan struct{})}
	executions := &executionLog{byID: map[string][]*execution{}}
	var first []*engine
	for range soakEngines {
		e := startSoakEngine(t, rand.New(rand.NewPCG(rng.Uint64(), 1)), executions, s.breaks)
		s.engines, first = append(s.engines, e), append(first, e.current)
	}
	settings := strings.Replace(defaultPlatformSettings, `"cancel":true`, fmt.Sprintf(`"cancel":%t`, rng.IntN(2) == 0), 1)
	s.gateway = startPlatformWith(t, limits, settings, first...)
	s.process.Store(int64(s.gateway.cmd.Process.Pid))
	for range soakClients {
		source := rand.New(rand.NewPCG(rng.Uint64(), 2))
		s.running.Go(func() { s.client(source) })
	}
	var c *crowd
	if rng.IntN(2) == 0 {
		c = &crowd{r: s.gateway, stop: make(chan struct{}), mayConnect: s.mayConnect}
		kinds := []func(*crowd, net.Conn){
			stopHalfWay, writeSlowly, sendManyFields, sendLargeRequests, readSlowly, sendUnread,
		}
		c.join(limits.descriptors/3-soakClients, kinds[rng.IntN(len(kinds))])
	}
	s.running.Go(s.watchMemory)
	for end := time.Now().Add(soakPeriod); time.Now().Before(end); {
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		s.disturb(rng)
	}
	close(s.stop)
	if c != nil {
		close(c.stop)
		c.running.Wait()
	}
	s.running.Wait()
	t.Logf("%d MB, %d descriptors, crowd %t: %d requests, %d answered, %d served, %d crossed a close, %d without an "+
		"answer at a kill", limits.memoryMB, limits.descriptors, c != nil, s.requests.Load(), s.answered.Load(),
		s.served.Load(), s.crossed.Load(), s.unanswered.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Positive(t, s.served.Load())
	assert.Empty(t, s.broken)
}

// disturb replaces an engine or sends signals to the process.
func (s *soak) disturb(rng *rand.Rand) {
	switch rng.IntN(6) {
	case 0, 1:
		s.replaceEngine(rng)
	case 2:
		for range 1 + rng.IntN(4) {
			_ = s.gateway.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		}
	case 3:
		s.terminate(rng)
	case 4:
		for range 1 + rng.IntN(3) {
			s.kill()
			s.restart()
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// replaceEngine replaces the process of an engine. The change log reports the new one before or after the end of the
// old one, or both at once.
func (s *soak) replaceEngine(rng *rand.Rand) {
	gone, ready, ok := s.engines[rng.IntN(len(s.engines))].replace()
	if !ok {
		s.gateway.publish(gone)
		return
	}
	events := [][]string{{gone, ready}, {ready, gone}}[rng.IntN(2)]
	if rng.IntN(3) == 0 {
		s.gateway.publish(events...)
		return
	}
	for _, event := range events {
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
		s.gateway.publish(event)
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (s *soak) kill() {
	s.mu.Lock()
	s.killed = append(s.killed, time.Now())
	s.mu.Unlock()
	_ = s.gateway.cmd.Process.Kill()
	if err := <-s.gateway.exit; err == nil {
		s.breaks("a process ended by itself before it was killed")
	}
}

// terminate sends a series of signals, SIGTERM among them, and SIGKILL at the earliest time. The process must have
// ended by itself before, with exit code 0.
func (s *soak) terminate(rng *rand.Rand) {
	began := time.Now()
	s.terminated.Store(&began)
	for i := range 1 + rng.IntN(3) {
		signal := syscall.SIGTERM
		if i > 0 && rng.IntN(2) == 0 {
			signal = syscall.SIGHUP
		}
		_ = s.gateway.cmd.Process.Signal(signal)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
	select {
	case err := <-s.gateway.exit:
		if err != nil {
			s.breaks("exit after SIGTERM: %v", err)
		}
	case <-time.After(time.Until(began.Add(soakKillAfter))):
		s.breaks("not ended %v after SIGTERM", soakKillAfter)
		s.kill()
	}
	s.restart()
}

// restart starts a new process at the same address.
func (s *soak) restart() {
	r := s.gateway
	config := strings.Replace(r.config, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, r.addr), 1)
	r.run(config)
	s.terminated.Store(nil)
	s.process.Store(int64(r.cmd.Process.Pid))
	for range 200 {
		if c, err := net.Dial("tcp", r.addr); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.breaks("not listening after a restart")
}

// watchMemory checks the peak memory of each process.
func (s *soak) watchMemory() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.Load()))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(status), "VmHWM:")
		var kb int
		if _, err := fmt.Sscan(rest, &kb); err == nil && kb>>10 >= s.limits.memoryMB {
			s.breaks("%d MB of %d", kb>>10, s.limits.memoryMB)
			return
		}
	}
}

// client sends requests until the run stops, on connections that it keeps as long as it can.
func (s *soak) client(rng *rand.Rand) {
	var conn *client
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
		if conn == nil {
			if conn = s.dial(); conn == nil {
				continue
			}
		}
		if !s.converse(conn, rng) {
			_ = conn.c.Close()
			conn = nil
		}
	}
}

// mayConnect reports whether the platform still sends new connections to the process.
func (s *soak) mayConnect() bool {
	terminated := s.terminated.Load()
	return terminated == nil || time.Since(*terminated) < soakConnectsFor
}

func (s *soak) dial() *client {
	if !s.mayConnect() {
		return nil
	}
	c, err := net.Dial("tcp", s.gateway.addr)
	if err != nil {
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(60 * time.Second))
	if login(c) != nil {
		_ = c.Close()
		return nil
	}
	return &client{t: s.t, c: c, r: bufio.NewReader(c)}
}

// soakRequest is a request of a soak and its payload.
type soakRequest struct {
	class    string
	deadline time.Duration
	payload  string
}

func newSoakRequest(rng *rand.Rand) soakRequest {
	r := soakRequest{class: "lookup", deadline: time.Duration(500+rng.IntN(2000)) * time.Millisecond}
	if rng.IntN(5) == 0 {
		r.class, r.deadline = "load", time.Duration(1500+rng.IntN(2500))*time.Millisecond
	}
	r.payload = statement(r.class, int(r.deadline.Milliseconds()))
	if rng.IntN(20) == 0 {
		size := 1<<10 + rng.IntN(200<<10)
		r.payload += " WHERE note = '" + strings.Repeat("x", size) + "'"
	}
	return r
}

// converse sends one request, or several at once, and reads the answers. Now and then the client leaves instead. It
// returns false if the session has ended.
func (s *soak) converse(conn *client, rng *rand.Rand) bool {
	if hasEnded(conn.c) {
		return false
	}
	requests := []soakRequest{newSoakRequest(rng)}
	for rng.IntN(10) == 0 {
		requests = append(requests, newSoakRequest(rng))
	}
	var all strings.Builder
	for _, r := range requests {
		all.WriteString(packet(0, r.payload))
	}
	if _, err := io.WriteString(conn.c, all.String()); err != nil {
		return false
	}
	sent := time.Now()
	if rng.IntN(40) == 0 {
		time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
		if rng.IntN(2) == 0 {
			_ = conn.c.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
	for i, r := range requests {
		s.requests.Add(1)
		if !s.check(conn, r, sent, i == 0) {
			return false
		}
	}
	return true
}

// hasEnded reports whether the other side has closed or reset the connection, which a client sees before it sends.
func hasEnded(c net.Conn) (ended bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		ended = pollErr != nil || (n > 0 && fds[0].Revents != 0)
	})
	return ended || err != nil
}

// check reads the answer to a request. A request that crosses the close of a resting session is sent again by its
// client, so it is not lost; only the first one of a session's requests can be such a request.
func (s *soak) check(conn *client, r soakRequest, sent time.Time, first bool) bool {
	a := conn.read()
	now := time.Now()
	switch {
	case a.code != -1:
		s.answered.Add(1)
		if a.code == 0 {
			s.served.Add(1)
			if strings.Join(a.rows, "\n")+"\n" != strings.Join(soakResult, "") {
				s.breaks("wrong rows")
			}
		}
		if now.Sub(sent) > r.deadline+lateAfter {
			s.breaks("%s answered %v after it was sent, deadline %v: %d %s", r.class, now.Sub(sent), r.deadline, a.code,
				a.text)
		}
		return true
	case s.killedSince(sent):
		s.unanswered.Add(1)
	case first && now.Sub(sent) < crossedClose:
		s.crossed.Add(1)
	default:
		s.breaks("%s lost %v after it was sent (%s)", r.class, now.Sub(sent), a.text)
	}
	return false
}

// killedSince reports whether a process was killed after the time, or shortly before.
func (s *soak) killedSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, killed := range s.killed {
		if killed.After(at.Add(-20 * time.Millisecond)) {
			return true
		}
	}
	return false
}
