package main_test

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"beechcart/internal/processstats"
	"beechcart/internal/testbinary"
)

// program is the path of the binary under test. The binary is a debug build, in which a violated invariant ends the
// process.
var program string

func TestMain(m *testing.M) { testbinary.Main(m, &program, "-race", "-tags", "debug") }

const defaultPlatformSettings = `{"discovery":"push","family_info":{"holds_tables":[false,true],
"kind_memory_mb":[24576],"lanes_count":true,"overbooked":"overcommit","says_cost":true,"size_cores":[12],
"tells_every":1000000000,"threads_by_class":[1,2],
"waits_for_loads":[true,false]},"locality":"room-a","me":0,"replicas_of_me":1,"permissions":{"attempts_cap":3,
"cancel":true,"conn_idle":30000000000,"connect_timeout":250000000,"max_retry_after":1000000000,"probes":true},
"reporting":{"columns":["utilization"],"via":"pull"},"rules":{"answer_slack":20000000,"cold":14000000000,
"cold_from":0.3,"drain_grace":500000000,"fall_multiple":4,"overload_for":1000000000},"services":[
{"deadline":2500000000,"late_worth":0.1,"name":"lookup","on_time":500000000,"points":1,"semantics":"read_like"},
{"deadline":25000000000,"late_worth":0.6,"name":"load","on_time":3000000000,"points":12,"semantics":"non_idempotent"}],
"skus":["std-12"],"tenants":[{"allowance_per_s":1000,"fraction":1,"name":"south-grain"}],"zones":["room-a"]}`

// testGateway is one front end process and, unless changeLogAddr is set, the change log that the process reads.
type testGateway struct {
	t    *testing.T
	addr string
	cmd  *exec.Cmd
	log  *lockedBuffer
	exit chan error

	program          string // the binary to run; empty: the debug build
	memoryMB         int    // the limit on memory; 0: memoryLimitMB
	config, path     string // the content written last, and its path
	settings         string // the path of the operators' settings; empty: none
	platformSettings string // the platform's settings; empty: defaultPlatformSettings
	changeLogAddr    string // the change log's address; empty: testGateway serves the change log

	mu               sync.Mutex
	events           []string
	polls            int
	pollsToCut       int                                          // the number of further polls to reset
	waitingPolls     int                                          // polls in flight that wait for an event
	lastReplacedPoll int                                          // the last poll that replacement answers
	replacement      func(w http.ResponseWriter, q *http.Request) // answers polls in place of the change log

	stats *processstats.Client
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start runs the program with the engines in its endpoint list, and waits until the program answers a ping.
func start(t *testing.T, engines ...*engine) *testGateway {
	t.Helper()
	return startWithDescriptors(t, 1024, engines...)
}

// startWithPlatformSettings is start with the given platform settings.
func startWithPlatformSettings(t *testing.T, settings string, engines ...*engine) *testGateway {
	t.Helper()
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), platformSettings: settings}
	return r.start(1024, engines...)
}

// startWithDescriptors is start with the given limit on descriptors.
func startWithDescriptors(t *testing.T, sockets int, engines ...*engine) *testGateway {
	t.Helper()
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1)}
	return r.start(sockets, engines...)
}

// start runs the program with the engines in its endpoint list, and waits until the program answers a ping.
func (r *testGateway) start(sockets int, engines ...*engine) *testGateway {
	t := r.t
	logAddr := r.changeLogAddr
	if logAddr == "" {
		logAddr = serve(t, r.serveChanges)
	}
	r.addr = "127.0.0.1:0" // the kernel chooses a free port; the log contains the port
	var list []string
	for _, e := range engines {
		list = append(list, e.entry("ready", 0))
	}
	r.publish(list...)
	if r.platformSettings == "" {
		r.platformSettings = defaultPlatformSettings
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,
		"sockets":%d},"changelog":%q,"known":{"seq":1,"results":[%s]},"settings":%s}`,
		r.addr, cmp.Or(r.memoryMB, memoryLimitMB), sockets, logAddr, r.events[0], r.platformSettings)
	r.run(config)
	t.Cleanup(func() {
		_ = r.cmd.Process.Kill()
		if t.Failed() {
			t.Log(r.log.String())
		}
	})
	r.waitForLog("msg=listening")
	_, rest, _ := strings.Cut(r.log.String(), "msg=listening node=n0 address=")
	r.addr, _, _ = strings.Cut(rest, "\n")
	for {
		began := time.Now()
		c := r.dial()
		c.send(0, "\x0e")
		code := c.read().code
		if code == -1 && time.Since(began) > 2*time.Second {
			continue // the machine stalled: a session without a command is closed after 2.5 s
		}
		require.Zero(t, code)
		return r
	}
}

// serve starts an HTTP server and returns its address.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func (r *testGateway) write(config string) {
	r.config = config
	require.NoError(r.t, os.WriteFile(r.path, []byte(config), 0o600))
}

func (r *testGateway) run(config string) {
	r.path = filepath.Join(r.t.TempDir(), "config.json")
	r.write(config)
	r.cmd = exec.Command(cmp.Or(r.program, program))
	r.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+r.path, "PROXY_LISTEN="+r.addr, "BEECHCART_SETTINGS="+r.settings)
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(r.t, err)
	inherited := os.NewFile(uintptr(pair[1]), "door")
	defer func() { _ = inherited.Close() }()
	r.stats = processstats.NewClient(os.NewFile(uintptr(pair[0]), "door"))
	r.t.Cleanup(r.stats.Close)
	r.cmd.ExtraFiles, r.cmd.Env = []*os.File{inherited}, append(r.cmd.Env, processstats.DescriptorEnv+"=3")
	require.NoError(r.t, r.cmd.Start())
	go func() { r.exit <- r.cmd.Wait() }()
}

// publish adds an event to the change log.
func (r *testGateway) publish(entries ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.append(entries...)
}

func (r *testGateway) append(entries ...string) {
	r.events = append(r.events, fmt.Sprintf(`{"seq":%d,"fleet":{"index":1,"snapshot":false,"endpoints":[%s]}}`,
		len(r.events)+1, strings.Join(entries, ",")))
}

func (r *testGateway) serveChanges(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(q.URL.Query().Get("timeout"))
	r.mu.Lock()
	r.polls++
	poll, waiting := r.polls, false
	r.mu.Unlock()
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(2 * time.Millisecond) {
		r.mu.Lock()
		events, cut, replaced, respond := r.events, r.pollsToCut > 0, poll <= r.lastReplacedPoll, r.replacement
		complete := len(events) > since || time.Now().After(end) || q.Context().Err() != nil
		switch wasWaiting := waiting; {
		case cut || replaced || complete:
			waiting = false
			if wasWaiting {
				r.waitingPolls--
			}
		case !waiting:
			waiting = true
			r.waitingPolls++
		}
		if cut {
			r.pollsToCut--
		}
		r.mu.Unlock()
		switch {
		case replaced:
			respond(w, q)
			return
		case cut:
			resetConnection(w)
			return
		case complete:
			fmt.Fprintf(w, `{"seq":%d,"results":[%s]}`, len(events), strings.Join(events[min(since, len(events)):], ","))
			return
		}
	}
}

// publishWithReplacedPolls adds an event while exactly one poll waits for an event. That poll and all polls before it
// are answered by respond instead. The result is the time just after the event was added.
func (r *testGateway) publishWithReplacedPolls(respond func(w http.ResponseWriter, q *http.Request),
	entries ...string) time.Time {
	require.Eventually(r.t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.waitingPolls != 1 {
			return false
		}
		r.lastReplacedPoll, r.replacement = r.polls, respond
		r.append(entries...)
		return true
	}, 10*time.Second, time.Millisecond)
	return time.Now()
}

// waitForCounter waits until a counter of the program is at least n.
func (r *testGateway) waitForCounter(name string, n int64) {
	end := time.Now().Add(15 * time.Second)
	for r.counter(name) < n {
		require.True(r.t, time.Now().Before(end), "%s is %d", name, r.counter(name))
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *testGateway) counter(name string) int64 {
	f, err := r.stats.Stats()
	require.NoError(r.t, err)
	return f.Counters[name]
}

// waitForLog waits until the program has logged the text.
func (r *testGateway) waitForLog(text string) {
	require.Eventually(r.t, func() bool { return strings.Contains(r.log.String(), text) },
		10*time.Second, 5*time.Millisecond, text)
}

// runProgram runs the program with args until it exits, and returns the exit code and the combined output.
func runProgram(args ...string) (int, string) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG=", "BEECHCART_SETTINGS=")
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}
