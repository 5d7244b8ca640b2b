package main_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

const facts = `{"discovery":"push","family_info":{"holds_tables":[false,true],"kind_memory_mb":[24576],"lanes_count":true,
"overbooked":"overcommit","says_cost":true,"size_cores":[12],"tells_every":1000000000,"threads_by_class":[1,2],
"waits_for_loads":[true,false]},"locality":"room-a","me":0,"replicas_of_me":1,"permissions":{"attempts_cap":3,
"cancel":true,"conn_idle":30000000000,"connect_timeout":250000000,"max_retry_after":1000000000,"probes":true},
"reporting":{"columns":["utilization"],"via":"pull"},"rules":{"answer_slack":20000000,"cold":14000000000,
"cold_from":0.3,"drain_grace":500000000,"fall_multiple":4,"overload_for":1000000000},"services":[
{"deadline":2500000000,"late_worth":0.1,"name":"lookup","on_time":500000000,"points":1,"semantics":"read_like"},
{"deadline":25000000000,"late_worth":0.6,"name":"load","on_time":3000000000,"points":12,"semantics":"non_idempotent"}],
"skus":["std-12"],"tenants":[{"allowance_per_s":1000,"fraction":1,"name":"south-grain"}],"zones":["room-a"]}`

// rig is one front end with the change log that it follows.
type rig struct {
	t    *testing.T
	addr string
	cmd  *exec.Cmd
	log  *lockedBuffer
	exit chan error

	config, path string // as written last, and where
	settings     string // the file of the operators' settings; empty: none
	facts        string // the platform's settings; empty: facts
	feed         string // the change log's address; empty: the rig serves it

	mu     sync.Mutex
	events []string
	polls  int
	cut    int                                          // so many polls of the change log are cut off
	held   int                                          // polls that wait for news
	deaf   int                                          // the polls up to this one hear nothing of the news
	spoil  func(w http.ResponseWriter, q *http.Request) // what they get in its place

	door *processstats.Client
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
func start(t *testing.T, engines ...*engine) *rig { return startWith(t, 1024, engines...) }

// startAs is start with other settings of the platform.
func startAs(t *testing.T, facts string, engines ...*engine) *rig {
	r := &rig{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), facts: facts}
	return r.start(1024, engines...)
}

// startWith is start with that many descriptors.
func startWith(t *testing.T, sockets int, engines ...*engine) *rig {
	r := &rig{t: t, log: &lockedBuffer{}, exit: make(chan error, 1)}
	return r.start(sockets, engines...)
}

// start runs the program of the rig.
func (r *rig) start(sockets int, engines ...*engine) *rig {
	t := r.t
	feed := r.feed
	if feed == "" {
		feed = serve(t, r.changes)
	}
	r.addr = "127.0.0.1:0" // the machine chooses a port that nobody has; the log tells which
	var list []string
	for _, e := range engines {
		list = append(list, e.entry("ready", 0))
	}
	r.tell(list...)
	if r.facts == "" {
		r.facts = facts
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
		"sockets":%d},"changelog":%q,"known":{"seq":1,"results":[%s]},"settings":%s}`,
		r.addr, sockets, feed, r.events[0], r.facts)
	r.run(config)
	t.Cleanup(func() {
		_ = r.cmd.Process.Kill()
		if t.Failed() {
			t.Log(r.log.String())
		}
	})
	r.says("msg=listening")
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
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func (r *rig) write(config string) {
	r.config = config
	require.NoError(r.t, os.WriteFile(r.path, []byte(config), 0o600))
}

func (r *rig) run(config string) {
	r.path = filepath.Join(r.t.TempDir(), "config.json")
	r.write(config)
	r.cmd = exec.Command(program)
	r.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+r.path, "PROXY_LISTEN="+r.addr, "BEECHCART_SETTINGS="+r.settings)
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(r.t, err)
	theirs := os.NewFile(uintptr(pair[1]), "door")
	defer theirs.Close()
	r.door = processstats.NewClient(os.NewFile(uintptr(pair[0]), "door"))
	r.t.Cleanup(r.door.Close)
	r.cmd.ExtraFiles, r.cmd.Env = []*os.File{theirs}, append(r.cmd.Env, processstats.Env+"=3")
	require.NoError(r.t, r.cmd.Start())
	go func() { r.exit <- r.cmd.Wait() }()
}

// tell adds an event to the change log.
func (r *rig) tell(entries ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.append(entries...)
}

func (r *rig) append(entries ...string) {
	r.events = append(r.events, fmt.Sprintf(`{"seq":%d,"fleet":{"index":1,"snapshot":false,"endpoints":[%s]}}`,
		len(r.events)+1, strings.Join(entries, ",")))
}

func (r *rig) changes(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(q.URL.Query().Get("timeout"))
	r.mu.Lock()
	r.polls++
	nth, held := r.polls, false
	r.mu.Unlock()
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(2 * time.Millisecond) {
		r.mu.Lock()
		events, cut, deaf, spoil := r.events, r.cut > 0, nth <= r.deaf, r.spoil
		over := len(events) > since || time.Now().After(end) || q.Context().Err() != nil
		switch wasHeld := held; {
		case cut || deaf || over:
			held = false
			if wasHeld {
				r.held--
			}
		case !held:
			held = true
			r.held++
		}
		if cut {
			r.cut--
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

// tellDeaf adds an event while a poll waits for news, and lets that poll, and all before it, get something else in its place.
// It returns when the event stood in the change log.
func (r *rig) tellDeaf(spoil func(w http.ResponseWriter, q *http.Request), entries ...string) time.Time {
	require.Eventually(r.t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.held != 1 {
			return false
		}
		r.deaf, r.spoil = r.polls, spoil
		r.append(entries...)
		return true
	}, 10*time.Second, time.Millisecond)
	return time.Now()
}

// counts waits until a counter of the program has come to n.
func (r *rig) counts(name string, n int64) {
	end := time.Now().Add(15 * time.Second)
	for r.counter(name) < n {
		require.True(r.t, time.Now().Before(end), "%s is %d", name, r.counter(name))
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *rig) counter(name string) int64 {
	f, err := r.door.Ask()
	require.NoError(r.t, err)
	return f.Counters[name]
}

// says waits until the program has logged the text.
func (r *rig) says(text string) {
	require.Eventually(r.t, func() bool { return strings.Contains(r.log.String(), text) },
		10*time.Second, 5*time.Millisecond, text)
}

// engine is a server as the program sees one. handle may answer a call itself.
type engine struct {
	*httptest.Server
	name   string
	pages  []string
	handle func(call string, w http.ResponseWriter, q *http.Request) bool

	probes atomic.Int64 // that were answered

	mu    sync.Mutex
	calls []string // such as "POST 9b1f03aa5c7e2d41", "GET 0", "DELETE"
	heads []http.Header
	body  string
	peers map[string]int // calls by connection
}

func newEngine(t *testing.T, handle func(call string, w http.ResponseWriter, q *http.Request) bool) *engine {
	e := &engine{pages: []string{"a\tb\tc\n"}, handle: handle, peers: map[string]int{}}
	e.Server = httptest.NewServer(e)
	e.name = fmt.Sprintf("s-%08x", e.Listener.Addr().(*net.TCPAddr).Port)
	t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	return e
}

func (e *engine) entry(state string, since int64) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"room-a","type":"std-12","group":0,"status":%q,"weight":1,"since_ms":%d}`,
		e.name, strings.TrimPrefix(e.URL, "http://"), state, since)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/-/gauges" {
		w.Header().Set("X-Gauges", "util:0.10")
		e.probes.Add(1)
		return
	}
	call := q.Method
	if q.Method == "GET" {
		call += " " + q.URL.Path[strings.LastIndex(q.URL.Path, "/")+1:]
	}
	body, _ := io.ReadAll(q.Body)
	e.mu.Lock()
	e.calls = append(e.calls, call)
	e.peers[q.RemoteAddr]++
	if call == "POST" {
		e.heads, e.body = append(e.heads, q.Header), string(body)
	}
	e.mu.Unlock()
	if e.handle != nil && e.handle(call, w, q) {
		return
	}
	switch {
	case call == "DELETE":
		w.WriteHeader(http.StatusNoContent)
	case call == "POST" || call == "GET 0":
		e.page(w, 0)
	default:
		n, _ := strconv.Atoi(strings.TrimPrefix(call, "GET "))
		e.page(w, n)
	}
}

func (e *engine) page(w http.ResponseWriter, n int) {
	if n == 0 {
		w.Header().Set("X-Batches", strconv.Itoa(len(e.pages)))
		w.Header().Set("X-Spent", "12.5")
		w.Header().Set("X-Wanted", "96")
	} else {
		w.Header().Set("X-Batch", strconv.Itoa(n))
	}
	fmt.Fprint(w, e.pages[n])
}

// count tells how many calls of a kind came.
func (e *engine) count(call string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		if c == call {
			n++
		}
	}
	return n
}

func (e *engine) waitFor(t *testing.T, call string, n int) {
	require.Eventually(t, func() bool { return e.count(call) >= n }, 10*time.Second, 2*time.Millisecond, call)
}

// reset ends a connection without an answer, as a process that dies does.
func reset(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// running answers that the query is not yet over.
func running(w http.ResponseWriter, q *http.Request) {
	select {
	case <-time.After(20 * time.Millisecond):
	case <-q.Context().Done():
	}
	w.Header().Set("X-How", "done")
	w.Header().Set("X-Num", "0.5")
	w.WriteHeader(http.StatusAccepted)
}

// slow answers every call but DELETE that the query is not yet over.
func slow(call string, w http.ResponseWriter, q *http.Request) bool {
	if call != "DELETE" {
		running(w, q)
	}
	return call != "DELETE"
}

// heldEngine ends no query before release is closed.
func heldEngine(t *testing.T) (e *engine, release chan struct{}) {
	release = make(chan struct{})
	return newEngine(t, func(call string, w http.ResponseWriter, q *http.Request) bool {
		select {
		case <-release:
			return false
		default:
			return slow(call, w, q)
		}
	}), release
}

// client is a session of the MySQL protocol.
type client struct {
	t  *testing.T
	c  net.Conn
	r  *bufio.Reader
	id uint32
}

type answer struct {
	rows []string
	code int
	text string
}

const login = "\x08\x82\x08\x00" + "\x00\x00\x00\x01" + "\x2d" + "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
	"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" + "app\x00" + "\x00" + "bi\x00" + "mysql_native_password\x00"

func packet(seq byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}) + payload
}

func (r *rig) raw() *client {
	c, err := net.Dial("tcp", r.addr)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { c.Close() })
	require.NoError(r.t, c.SetDeadline(time.Now().Add(30*time.Second)))
	return &client{t: r.t, c: c, r: bufio.NewReader(c)}
}

// dial opens a session and logs in.
func (r *rig) dial() *client {
	c := r.raw()
	c.send(1, login)
	c.greeted()
	return c
}

func (c *client) greeted() {
	p, err := c.packet()
	require.NoError(c.t, err)
	_, rest, _ := bytes.Cut(p, []byte{0})
	c.id = binary.LittleEndian.Uint32(rest)
	require.Zero(c.t, c.read().code, "login")
}

func (c *client) send(seq byte, payload string) {
	_, err := io.WriteString(c.c, packet(seq, payload))
	require.NoError(c.t, err)
}

func (c *client) packet() ([]byte, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(c.r, head); err != nil {
		return nil, err
	}
	p := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(c.r, p)
	return p, err
}

// read reads one whole answer; a connection that ends first is code -1.
func (c *client) read() answer {
	var a answer
	for eofs := 0; eofs < 2; {
		p, err := c.packet()
		switch {
		case err != nil:
			return answer{code: -1, text: err.Error(), rows: a.rows}
		case p[0] == 0xff:
			return answer{code: int(binary.LittleEndian.Uint16(p[1:])), text: string(p[9:]), rows: a.rows}
		case p[0] == 0 && eofs == 0:
			return a // OK
		case p[0] == 0xfe && len(p) < 9:
			eofs++
		case eofs == 1:
			var cells []string
			for len(p) > 0 {
				n := int(p[0])
				cells, p = append(cells, string(p[1:1+n])), p[1+n:]
			}
			a.rows = append(a.rows, strings.Join(cells, "\t"))
		}
	}
	return a
}

// statement is a query of a class that is waited for so many milliseconds.
func statement(class string, left int) string {
	return fmt.Sprintf("\x03/* c=%s,i=%016x,d=%d,t=south-grain,h=20.0,need_mb=16 */ SELECT a FROM sales_17.orders",
		class, rand.Uint64(), left)
}

func (c *client) query(class string, left int) answer {
	c.send(0, statement(class, left))
	return c.read()
}

// call runs the program with those arguments to its end, and returns its exit code and all that it printed.
func call(args ...string) (int, string) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG=", "BEECHCART_SETTINGS=")
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}
