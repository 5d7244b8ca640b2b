package main_test

import (
	"bytes"
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

// program is the binary under test: a debug build, so that a broken invariant ends it.
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

// testGateway is one front end process with the change log that it follows.
type testGateway struct {
	t    *testing.T
	addr string
	cmd  *exec.Cmd
	log  *lockedBuffer
	exit chan error

	config, path     string // as written last, and where
	settings         string // the file of the operators' settings; empty: none
	platformSettings string // the platform's settings; empty: defaultPlatformSettings
	changeLogAddr    string // the change log's address; empty: the test serves it

	mu              sync.Mutex
	events          []string
	polls           int
	pollsToCut      int                                          // so many polls of the change log are cut off
	waitingPolls    int                                          // polls that wait for news
	lastUnheardPoll int                                          // the polls up to this one hear nothing of the news
	replacement     func(w http.ResponseWriter, q *http.Request) // what they get in its place

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

// start runs the program with those engines in its list, and waits until it answers a ping.
func start(t *testing.T, engines ...*engine) *testGateway {
	t.Helper()
	return startWith(t, 1024, engines...)
}

// startAs is start with other settings of the platform.
func startAs(t *testing.T, facts string, engines ...*engine) *testGateway {
	t.Helper()
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), platformSettings: facts}
	return r.start(1024, engines...)
}

// startWith is start with that many descriptors.
func startWith(t *testing.T, sockets int, engines ...*engine) *testGateway {
	t.Helper()
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1)}
	return r.start(sockets, engines...)
}

// start runs the program.
func (r *testGateway) start(sockets int, engines ...*engine) *testGateway {
	t := r.t
	feed := r.changeLogAddr
	if feed == "" {
		feed = serve(t, r.changes)
	}
	r.addr = "127.0.0.1:0" // the machine chooses a port that nobody has; the log tells which
	var list []string
	for _, e := range engines {
		list = append(list, e.entry("ready", 0))
	}
	r.publish(list...)
	if r.platformSettings == "" {
		r.platformSettings = defaultPlatformSettings
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
		"sockets":%d},"changelog":%q,"known":{"seq":1,"results":[%s]},"settings":%s}`,
		r.addr, sockets, feed, r.events[0], r.platformSettings)
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
			continue // a machine that stood still: a session without a command is closed after 2.5 s
		}
		require.Zero(t, code)
		return r
	}
}

// serve answers HTTP at the address that it returns.
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
	r.cmd = exec.Command(program)
	r.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+r.path, "PROXY_LISTEN="+r.addr, "BEECHCART_SETTINGS="+r.settings)
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(r.t, err)
	theirs := os.NewFile(uintptr(pair[1]), "door")
	defer func() { _ = theirs.Close() }()
	r.stats = processstats.NewClient(os.NewFile(uintptr(pair[0]), "door"))
	r.t.Cleanup(r.stats.Close)
	r.cmd.ExtraFiles, r.cmd.Env = []*os.File{theirs}, append(r.cmd.Env, processstats.DescriptorEnv+"=3")
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

func (r *testGateway) changes(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(q.URL.Query().Get("timeout"))
	r.mu.Lock()
	r.polls++
	nth, held := r.polls, false
	r.mu.Unlock()
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(2 * time.Millisecond) {
		r.mu.Lock()
		events, cut, deaf, spoil := r.events, r.pollsToCut > 0, nth <= r.lastUnheardPoll, r.replacement
		over := len(events) > since || time.Now().After(end) || q.Context().Err() != nil
		switch wasHeld := held; {
		case cut || deaf || over:
			held = false
			if wasHeld {
				r.waitingPolls--
			}
		case !held:
			held = true
			r.waitingPolls++
		}
		if cut {
			r.pollsToCut--
		}
		r.mu.Unlock()
		switch {
		case deaf:
			spoil(w, q)
			return
		case cut:
			reset(w)
			return
		case over:
			fmt.Fprintf(w, `{"seq":%d,"results":[%s]}`, len(events), strings.Join(events[min(since, len(events)):], ","))
			return
		}
	}
}

// publishUnheard adds an event while a poll waits for news, and lets that poll, and all before it, get something else
// in its place. It returns when the event stood in the change log.
func (r *testGateway) publishUnheard(spoil func(w http.ResponseWriter, q *http.Request), entries ...string) time.Time {
	require.Eventually(r.t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.waitingPolls != 1 {
			return false
		}
		r.lastUnheardPoll, r.replacement = r.polls, spoil
		r.append(entries...)
		return true
	}, 10*time.Second, time.Millisecond)
	return time.Now()
}

// waitForCounter waits until a counter of the program has come to n.
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

// call runs the program with those arguments to its end, and returns its exit code and all that it printed.
func call(args ...string) (int, string) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG=", "BEECHCART_SETTINGS=")
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}
