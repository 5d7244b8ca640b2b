package main_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// departureBound is the time after its client left within which an attempt may still begin.
	departureBound = 100 * time.Millisecond
	// witnessBound is the time within which the program answers a ping while its machine gives it a core.
	witnessBound = departureBound / 2
)

// postLog records when each request's POSTs arrived at any engine.
type postLog struct {
	mu       sync.Mutex
	arrivals map[string][]time.Time // by request id
}

func newPostLog() *postLog { return &postLog{arrivals: map[string][]time.Time{}} }

// wrap records the POSTs that an engine gets, and passes all calls on.
func (l *postLog) wrap(handle func(call string, w http.ResponseWriter, q *http.Request) bool) func(string,
	http.ResponseWriter, *http.Request) bool {
	return func(call string, w http.ResponseWriter, q *http.Request) bool {
		if call == "POST" {
			l.mu.Lock()
			id := q.Header.Get("X-Txn")
			l.arrivals[id] = append(l.arrivals[id], time.Now())
			l.mu.Unlock()
		}
		return handle != nil && handle(call, w, q)
	}
}

// after lists the requests that were posted after that time, but for the one with that id.
func (l *postLog) after(bound time.Time, except string) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, times := range l.arrivals {
		if id != except && times[len(times)-1].After(bound) {
			ids = append(ids, id)
		}
	}
	return ids
}

// disconnect is a client that waits for a request and is about to leave.
type disconnect struct {
	way   string
	ids   []string // of all requests that it sent
	leave func()
	heard func() // checks that the program took it, long after; nil: there is nobody to tell
}

// ping shows that the session serves, after which it may stay idle.
func (c *client) ping() {
	c.send(0, "\x0e")
	require.Zero(c.t, c.read().code)
}

func requestID(statement string) string {
	_, rest, _ := strings.Cut(statement, "i=")
	return rest[:16]
}

// sendAndDisconnect sends requests over a session that is to leave in that way.
func sendAndDisconnect(r *testGateway, way string, c *client, leave func(), payloads ...string) *disconnect {
	d := &disconnect{way: way, leave: leave}
	var packets []string
	for _, p := range payloads {
		if strings.Contains(p, "i=") {
			d.ids = append(d.ids, requestID(p))
		}
		packets = append(packets, packet(0, p))
	}
	out := strings.Join(packets, "")
	if way == "close during the login" || way == "half-close during the login" {
		out = packet(1, login) + out
	}
	if way == "close, half a packet behind" {
		out = out[:len(out)-30]
	}
	_, err := io.WriteString(c.c, out)
	require.NoError(r.t, err)
	return d
}

// disconnects open a session for each way to leave, and send one request or several. One request of each is taken.
func disconnects(r *testGateway, class string) (all []*disconnect) {
	add := func(way string, c *client, leave func(), payloads ...string) {
		all = append(all, sendAndDisconnect(r, way, c, leave, payloads...))
	}
	ask := func() string { return statement(class, 20000) }
	closes := func(c *client) func() { return func() { assert.NoError(r.t, c.c.Close()) } }
	halfCloses := func(c *client) func() {
		return func() { assert.NoError(r.t, c.c.(*net.TCPConn).CloseWrite()) }
	}

	killed, killer := r.dial(), r.dial()
	killer.ping()
	add("kill", killed, func() { killer.send(0, fmt.Sprintf("\x03KILL QUERY %d", killed.id)) }, ask())
	all[0].heard = func() {
		assert.Zero(r.t, killer.read().code)
		assert.Equal(r.t, 1317, killed.read().code)
	}
	c := r.dial()
	add("close", c, closes(c), ask())
	c = r.dial()
	add("half-close", c, halfCloses(c), ask())
	reset := r.dial()
	add("reset", reset, func() {
		assert.NoError(r.t, reset.c.(*net.TCPConn).SetLinger(0))
		assert.NoError(r.t, reset.c.Close())
	}, ask())
	c = r.dial()
	add("close, an answer unread", c, closes(c), "\x0e", ask())
	c = r.dial()
	add("close, requests behind", c, closes(c), ask(), ask(), ask())
	c = r.dial()
	add("close, half a packet behind", c, closes(c), ask(), ask())
	c = r.dial()
	add("close, 200 KB behind", c, closes(c), ask(), ask()+strings.Repeat(" ", 200<<10))
	c = r.connect()
	add("close during the login", c, closes(c), ask())
	c = r.connect()
	add("half-close during the login", c, halfCloses(c), ask())
	return all
}

// obstacle keeps requests waiting until it is removed; then an attempt for each could begin at once.
type obstacle struct {
	class   string // of the requests
	engines []*engine
	start   func(r *testGateway)               // before the requests are sent
	waiting func(r *testGateway, requests int) // returns once so many wait
	latest  func() time.Time                   // when they leave; nil: at once
	remove  func(r *testGateway)
	over    func(r *testGateway, requests int) // returns once what was out has ended; nil: nothing was
}

// drained keeps requests in the queue: no engine is ready.
func drained(t *testing.T, posts *postLog) *obstacle {
	t.Helper()
	old, ready := newEngine(t, posts.wrap(nil)), newEngine(t, posts.wrap(nil))
	return &obstacle{
		class: "load", engines: []*engine{old},
		start: func(r *testGateway) {
			r.publish(old.entry("draining", 0))
			r.waitForLog("state=draining")
		},
		waiting: func(r *testGateway, requests int) { r.waitForCounter("taken", int64(requests)) },
		remove:  func(r *testGateway) { r.publish(ready.entry("ready", 0)) },
	}
}

// unconnected keeps requests in a dial that their engine's machine does not answer.
func unconnected(t *testing.T, posts *postLog) *obstacle {
	t.Helper()
	e, _, open := lateEngine(t)
	e.handle = posts.wrap(nil)
	remote := fmt.Appendf(nil, " 0100007F:%04X 02 ", e.Listener.Addr().(*net.TCPAddr).Port)
	return &obstacle{
		class: "lookup", engines: []*engine{e},
		waiting: func(r *testGateway, requests int) {
			require.Eventually(t, func() bool {
				list, err := os.ReadFile("/proc/net/tcp")
				return err == nil && bytes.Count(list, remote) == requests
			}, 10*time.Second, time.Millisecond)
		},
		remove: func(*testGateway) { open() },
		over: func(r *testGateway, requests int) {
			require.Eventually(t, func() bool {
				return r.counter("ended_moot")+int64(e.count("POST")) >= int64(requests)
			}, 15*time.Second, 5*time.Millisecond)
		},
	}
}

// openHandler answers a call of an engine whose obstacle is removed once open is closed.
type openHandler func(open <-chan struct{}, call string, w http.ResponseWriter, q *http.Request) bool

// attempted is an engine on which all attempts are out, with another that is ready to take what it gives back.
func attempted(t *testing.T, posts *postLog, call string, handle openHandler) *obstacle {
	t.Helper()
	open := make(chan struct{})
	first := newEngine(t, posts.wrap(func(call string, w http.ResponseWriter, q *http.Request) bool {
		return handle(open, call, w, q)
	}))
	other := newEngine(t, posts.wrap(nil))
	return &obstacle{
		class: "lookup", engines: []*engine{first},
		waiting: func(r *testGateway, requests int) {
			first.waitFor(t, "POST", requests)
			r.publish(first.entry("draining", 0), other.entry("ready", 0))
			r.waitForLog("engine=" + other.name)
			first.waitFor(t, call, requests)
		},
		remove: func(*testGateway) { close(open) },
		over: func(r *testGateway, requests int) {
			require.Eventually(t, func() bool {
				n := int64(0)
				for _, status := range []string{"full", "timeout", "reset", "cancelled", "moot", "error"} {
					n += r.counter("ended_" + status)
				}
				return n >= int64(requests)
			}, 15*time.Second, 5*time.Millisecond)
		},
	}
}

// refusing is an engine that gives its queries back unrun.
func refusing(t *testing.T, posts *postLog) *obstacle {
	t.Helper()
	return attempted(t, posts, "POST", func(open <-chan struct{}, call string, w http.ResponseWriter,
		q *http.Request) bool {
		if call == "DELETE" {
			select {
			case <-open:
			case <-q.Context().Done():
			}
		}
		select {
		case <-open:
			w.Header().Set("X-Unrun", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			running(w, q)
		}
		return true
	})
}

// forgetful is an engine that resets each POST, and knows nothing of the query.
func forgetful(t *testing.T, posts *postLog) *obstacle {
	t.Helper()
	return attempted(t, posts, "GET 0", func(open <-chan struct{}, call string, w http.ResponseWriter,
		q *http.Request) bool {
		if call == "POST" {
			reset(w)
			return true
		}
		select {
		case <-open:
			w.WriteHeader(http.StatusInternalServerError)
		case <-q.Context().Done():
		}
		return true
	})
}

// silent is an engine that answers nothing: an attempt is over 2.1 s after the last call.
func silent(t *testing.T, posts *postLog) *obstacle {
	t.Helper()
	var mu sync.Mutex
	var last time.Time
	o := attempted(t, posts, "POST", func(_ <-chan struct{}, _ string, _ http.ResponseWriter, q *http.Request) bool {
		mu.Lock()
		last = time.Now()
		mu.Unlock()
		<-q.Context().Done()
		return true
	})
	o.latest = func() time.Time {
		const callTime, overAfter = 350 * time.Millisecond, 2100 * time.Millisecond
		for {
			mu.Lock()
			at := last
			mu.Unlock()
			if time.Since(at) > 2*callTime {
				return at.Add(callTime + overAfter - departureBound - 30*time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return o
}

var obstacles = map[string]func(t *testing.T, posts *postLog) *obstacle{
	"in the queue":               drained,
	"in a dial":                  unconnected,
	"between two attempts":       refusing,
	"while a POST is taken back": forgetful,
	"in a pause":                 silent,
}

// No attempt begins more than 0.1 s after its client has left, whether or not the program has been seen to notice:
// what kept the request waiting goes away at that instant.
func TestNoAttemptBeginsAfterItsClientLeft(t *testing.T) {
	for name, obstacle := range obstacles {
		for _, cancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %t", name, cancel), func(t *testing.T) {
				t.Parallel()
				for !disconnectsAreHeard(t, obstacle, cancel, none) {
					t.Log("the program was given no core: played again")
				}
			})
		}
	}
}

// A program that stood still over the leave and over the event that lets attempts begin looks at the leave first,
// whichever came first.
func TestNoAttemptBeginsAfterAStandstillOverTheLeave(t *testing.T) {
	for _, name := range []string{"in the queue", "in a dial", "between two attempts", "while a POST is taken back"} {
		for _, cancel := range []bool{true, false} {
			for order, stop := range map[string]pausePoint{"left first": leaveFirst, "free first": removalFirst} {
				t.Run(fmt.Sprintf("%s, cancel %t, %s", name, cancel, order), func(t *testing.T) {
					t.Parallel()
					disconnectsAreHeard(t, obstacles[name], cancel, stop)
				})
			}
		}
	}
}

// pausePoint says whether the program has no core while its clients leave, and in which order it then finds what has
// happened.
type pausePoint int

const (
	none pausePoint = iota
	leaveFirst
	removalFirst // of the obstacle
)

// disconnectsAreHeard lets clients wait behind an obstacle and leave, and removes it once the bound is over. False:
// the program had no core between the two, and the play tells nothing.
func disconnectsAreHeard(t *testing.T, build func(*testing.T, *postLog) *obstacle, cancel bool, stop pausePoint) bool {
	t.Helper()
	posts := newPostLog()
	o := build(t, posts)
	r := &testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1), platformSettings: withoutHealthChecks(cancel),
		settings: t.TempDir() + "/s.json"}
	r.writeSettings(`{"schema":1,"clients":{"idle_ms":60000}}`)
	r.start(1024, o.engines...)
	if o.start != nil {
		o.start(r)
	}
	clients := disconnects(r, o.class)
	witness := r.dial()
	witness.ping()
	o.waiting(r, len(clients))
	if o.latest != nil {
		time.Sleep(time.Until(o.latest()))
	}
	goOn := func() {}
	if stop != none {
		goOn = r.pause()
	}
	if stop == removalFirst {
		o.remove(r)
		time.Sleep(departureBound) // for the news to reach the machine
	}
	for _, d := range clients {
		d.leave()
	}
	left := time.Now()
	starved := false
	if stop == none {
		witness.ping()
		starved = time.Since(left) > witnessBound
	}
	time.Sleep(time.Until(left.Add(departureBound)))
	if stop != removalFirst {
		o.remove(r)
	}
	if stop == leaveFirst {
		time.Sleep(departureBound)
	}
	goOn()
	if o.over != nil {
		o.over(r, len(clients))
	}
	last := statement(o.class, 20000) // served where theirs would have been
	witness.send(0, last)
	a := witness.read()
	assert.Zero(t, a.code, a.text)
	if starved {
		return false
	}
	assertHeard(t, clients, posts.after(left.Add(departureBound), requestID(last)))
	return true
}

// assertHeard asserts that no request of a client that has left was sent late, and names the way it left.
func assertHeard(t *testing.T, clients []*disconnect, late []string) {
	t.Helper()
	for _, d := range clients {
		if d.heard != nil {
			d.heard()
		}
		for _, id := range d.ids {
			assert.NotContains(t, late, id, d.way)
		}
	}
	assert.Empty(t, late)
}
