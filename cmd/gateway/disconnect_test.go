package main_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	relays "beechcart/internal/faulttest/cluster"
)

// withoutHealthChecks are settings in which engines hear of nothing but queries, and connections may take long to
// come up.
func withoutHealthChecks(cancel bool) string {
	return strings.NewReplacer(`"probes":true`, `"probes":false`, `"via":"pull"`, `"via":"silent"`,
		`"connect_timeout":250000000`, `"connect_timeout":8000000000`,
		`"cancel":true`, fmt.Sprintf(`"cancel":%t`, cancel)).Replace(defaultPlatformSettings)
}

// leavings are the ways in which a client stops waiting.
var leavings = map[string]func(r *testGateway, c *client){
	"kill": func(r *testGateway, c *client) {
		k := r.dial()
		k.send(0, fmt.Sprintf("\x03KILL QUERY %d", c.id))
		assert.Zero(r.t, k.read().code)
		assert.Equal(r.t, 1317, c.read().code)
	},
	"close": func(r *testGateway, c *client) { assert.NoError(r.t, c.c.Close()) },
	"reset": func(r *testGateway, c *client) {
		assert.NoError(r.t, c.c.(*net.TCPConn).SetLinger(0))
		assert.NoError(r.t, c.c.Close())
	},
	"half-close": func(r *testGateway, c *client) {
		require.NoError(r.t, c.c.(*net.TCPConn).CloseWrite())
		_, err := io.Copy(io.Discard, c.r)
		assert.NoError(r.t, err, "the session is over: it ends without an answer")
	},
}

// forEachDisconnect plays a case for each way of leaving, with and without leave to cancel.
func forEachDisconnect(t *testing.T, play func(t *testing.T, facts string, leave func(r *testGateway, c *client))) {
	t.Helper()
	for name, leave := range leavings {
		for _, cancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %t", name, cancel), func(t *testing.T) {
				t.Parallel()
				play(t, withoutHealthChecks(cancel), func(r *testGateway, c *client) {
					leave(r, c)
					r.waitForCounter("left", 1)
				})
			})
		}
	}
}

// control has a request served by a further engine: whatever waited for one ahead of it would have gone there first.
func control(t *testing.T, r *testGateway) {
	t.Helper()
	e := newEngine(t, nil)
	r.publish(e.entry("ready", 0))
	a := r.dial().query("load", 20000)
	assert.Zero(t, a.code, a.text)
	assert.Equal(t, 1, e.count("POST"), "the request of the client that had left was sent on")
}

func TestAClientThatLeftAQueueIsNotForwarded(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, facts string, leave func(r *testGateway, c *client)) {
		t.Helper()
		e := newEngine(t, nil)
		r := startAs(t, facts, e)
		r.publish(e.entry("draining", 0))
		r.waitForLog("state=draining")
		c := r.dial()
		c.send(0, statement("load", 20000))
		r.waitForCounter("taken", 1)
		leave(r, c)
		control(t, r)
		assert.Zero(t, e.count("POST"))
	})
}

func TestAClientThatLeftBetweenTwoAttemptsIsNotForwarded(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, facts string, leave func(r *testGateway, c *client)) {
		t.Helper()
		full := make(chan struct{})
		e := newEngine(t, func(call string, w http.ResponseWriter, q *http.Request) bool {
			select {
			case <-full:
				w.Header().Set("X-Unrun", "1")
				w.WriteHeader(503)
				return true
			default:
				return slow(call, w, q) // however long the order takes
			}
		})
		r := startAs(t, facts, e)
		c := r.dial()
		c.send(0, statement("load", 20000))
		e.waitFor(t, "POST", 1)
		r.publish(e.entry("draining", 0)) // so that nothing can go out once the attempt has ended
		r.waitForLog("state=draining")
		close(full)
		r.waitForCounter("ended_full", 1)
		leave(r, c)
		control(t, r)
		assert.Equal(t, 1, e.count("POST"))
	})
}

// The attempt is lost, and called over only 2 s after anything could have asked for it: its client leaves in that
// pause.
func TestAClientThatLeftInAPauseIsNotForwarded(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, facts string, leave func(r *testGateway, c *client)) {
		t.Helper()
		var first atomic.Pointer[engine]
		left := make(chan struct{})
		var engines [2]*engine
		for i := range engines {
			var e *engine
			e = newEngine(t, func(call string, w http.ResponseWriter, q *http.Request) bool {
				if call == "POST" { // and not a call of another test's program, whose engine had this address
					first.CompareAndSwap(nil, e)
				}
				if first.Load() != e {
					return false
				}
				if call == "DELETE" {
					<-left
				}
				select {
				case <-left:
					reset(w)
				default: // it runs, however long the order takes
					running(w, q)
				}
				return true
			})
			engines[i] = e
		}
		r := startAs(t, facts, engines[:]...)
		c := r.dial()
		c.send(0, statement("lookup", 20000))
		require.Eventually(t, func() bool { return first.Load() != nil }, 10*time.Second, time.Millisecond)
		leave(r, c)
		close(left)
		ended := func() int64 {
			return r.counter("ended_reset") + r.counter("ended_cancelled") + r.counter("ended_timeout")
		}
		for end := time.Now().Add(15 * time.Second); ended() < 1; {
			require.True(t, time.Now().Before(end), "the attempt does not end")
			time.Sleep(5 * time.Millisecond)
		}
		r.publish(engines[0].entry("draining", 0), engines[1].entry("draining", 0))
		require.Eventually(t, func() bool { return strings.Count(r.log.String(), "state=draining") == 2 }, 10*time.Second,
			time.Millisecond)
		control(t, r)
		assert.Equal(t, 1, engines[0].count("POST")+engines[1].count("POST"))
	})
}

// lateEngine is an engine whose machine takes no connection before open is called. coming tells that one is on its way.
func lateEngine(t *testing.T) (e *engine, coming func() bool, open func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "late")
	l, err := net.FileListener(f)
	require.NoError(t, err)
	_ = f.Close()
	// The queue of such a listener holds a connection or two, and what comes next is not heard until they are taken from
	// it.
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { c.Close() })
	}
	e = &engine{pages: []string{"a\tb\tc\n"}, peers: map[string]int{}}
	e.Server = httptest.NewUnstartedServer(e)
	require.NoError(t, e.Listener.Close())
	e.Listener = l
	e.URL = "http://" + l.Addr().String()
	e.name = fmt.Sprintf("s-%08x", l.Addr().(*net.TCPAddr).Port)
	t.Cleanup(func() { l.Close() })
	remote := fmt.Sprintf(" 0100007F:%04X 02 ", l.Addr().(*net.TCPAddr).Port)
	coming = func() bool {
		list, err := os.ReadFile("/proc/net/tcp")
		return err == nil && bytes.Contains(list, []byte(remote))
	}
	return e, coming, func() {
		e.URL = "" // else it would not start
		e.Start()
		t.Cleanup(e.CloseClientConnections)
	}
}

func TestAClientThatLeftWhileAConnectionComesUpIsNotForwarded(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, facts string, leave func(r *testGateway, c *client)) {
		t.Helper()
		e, coming, open := lateEngine(t)
		r := startAs(t, facts, e)
		c := r.dial()
		c.send(0, statement("load", 20000))
		require.Eventually(t, coming, 10*time.Second, time.Millisecond)
		leave(r, c)
		open()
		r.waitForCounter("ended_moot", 1)
		assert.Zero(t, e.count("POST"))
		a := r.dial().query("lookup", 20000)
		assert.Zero(t, a.code, a.text)
		assert.Equal(t, 1, e.count("POST"), "the engine serves those who wait")
	})
}

// A drain that comes while a connection comes up is obeyed as well.
func TestADrainWhileAConnectionComesUpIsObeyed(t *testing.T) {
	e, coming, open := lateEngine(t)
	r := startAs(t, withoutHealthChecks(true), e)
	c := r.dial()
	c.send(0, statement("load", 20000))
	require.Eventually(t, coming, 10*time.Second, time.Millisecond)
	r.publish(e.entry("draining", 0))
	r.waitForLog("state=draining")
	open()
	r.waitForCounter("ended_moot", 1)
	assert.Zero(t, e.count("POST"))
	leavings["kill"](r, c)
}

// What a client has sent before it went is not taken once it is known to have gone.
func TestWhatAClientSentBeforeItWentIsNotForwarded(t *testing.T) {
	for _, leave := range []string{"close", "reset", "half-close"} {
		t.Run(leave, func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, slow)
			r := start(t, e)
			c := r.dial()
			for range 5 {
				c.send(0, statement("lookup", 20000))
			}
			e.waitFor(t, "POST", 1)
			leavings[leave](r, c)
			r.waitForCounter("ended_cancelled", 1)
			assert.EqualValues(t, 1, r.counter("left"), "one was in hand")
			assert.EqualValues(t, 1, r.counter("taken"))
			assert.Equal(t, 1, e.count("POST"))
		})
	}
}

// half sends the first bytes of a query, and returns a function that sends the rest.
func (c *client) half(query string) (rest func()) {
	p := packet(0, query)
	_, err := io.WriteString(c.c, p[:20])
	require.NoError(c.t, err)
	return func() {
		_, err := io.WriteString(c.c, p[20:])
		require.NoError(c.t, err)
	}
}

func TestAKillThatOvertakesItsQueryEndsIt(t *testing.T) {
	e := newEngine(t, nil)
	r := start(t, e)
	c, k := r.dial(), r.dial()
	c.send(0, "\x0e")
	require.Zero(t, c.read().code)
	rest := c.half(statement("lookup", 2500))
	k.send(0, fmt.Sprintf("\x03KILL QUERY %d", c.id))
	require.Zero(t, k.read().code)
	rest()
	assert.Equal(t, 1317, c.read().code)
	assert.Zero(t, e.count("POST"))
	k.send(0, fmt.Sprintf("\x03KILL QUERY %d", c.id)) // too late for one that is answered, and meant for no later one
	require.Zero(t, k.read().code)
	assert.Zero(t, c.query("lookup", 2500).code)
	assert.Equal(t, 1, e.count("POST"))
}

// A session that has begun to ask does not make room for a new one, however long it was silent before.
func TestASessionThatHasBegunToAskMakesNoRoom(t *testing.T) {
	for {
		e, release := heldEngine(t)
		r := startWith(t, 50, e)
		busy := func(c *client) {
			n := r.counter("taken")
			c.send(0, statement("load", 20000))
			r.waitForCounter("taken", n+1)
		}
		for range 50*2/5 - 2 { // with the session that start pinged on, and the one that is looked at
			busy(r.dial())
		}
		connected := time.Now()
		early := r.connect()
		early.send(1, login)
		early.greeted()
		time.Sleep(1100 * time.Millisecond) // it has to be silent for so long
		rest := early.half(statement("lookup", 20000))
		busy(r.dial()) // in place of the idle one
		taken := r.counter("taken")
		for range 2 {
			p, err := r.connect().packet()
			if err == nil {
				assert.EqualValues(t, 0xff, p[0], "all are at work")
			}
		}
		rest()
		if time.Since(connected) > 2*time.Second {
			close(release)
			continue // the machine is too busy: half a query ends its session after 2.5 s
		}
		r.waitForCounter("taken", taken+1)
		close(release)
		assert.Zero(t, early.read().code)
		assert.EqualValues(t, 2, r.counter("sessions_refused"))
		return
	}
}

// A repeat of a keyed request is known for one only for a while: where its connection comes up later, it is not sent.
func TestARepeatIsNotSentAfterItsWindow(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			const window = 1200 * time.Millisecond
			settings := strings.Replace(withoutHealthChecks(true), `"name":"lookup"`,
				fmt.Sprintf(`"memory_span":%d,"name":"lookup"`,
					window), 1)
			settings = strings.Replace(settings, "read_like", "idempotency_key", 1)
			asked := make(chan struct{})
			first := newEngine(t, func(call string, w http.ResponseWriter, _ *http.Request) bool {
				switch call {
				case "POST": // it may have run
					<-asked
					reset(w)
				default:
					w.WriteHeader(500)
				}
				return true
			})
			second, coming, open := lateEngine(t)
			r := startAs(t, settings, first)
			c := r.dial()
			began := time.Now()
			c.send(0, statement("lookup", 20000))
			first.waitFor(t, "POST", 1)
			r.publish(first.entry("draining", 0), second.entry("ready", 0))
			r.waitForLog("engine=" + second.name)
			close(asked)
			require.Eventually(t, coming, 10*time.Second, time.Millisecond)
			if late {
				time.Sleep(time.Until(began.Add(window + 100*time.Millisecond)))
			}
			open()
			a := c.read()
			if late {
				assert.Equal(t, 1105, a.code, "nothing is promised: it may have run")
				assert.Zero(t, second.count("POST"), "it was sent after its window")
				return
			}
			if time.Since(began) < window {
				assert.Zero(t, a.code, a.text)
				assert.Equal(t, 1, second.count("POST"))
			}
		})
	}
}

// A connection is reset under its POST, which the engine's machine has taken and the engine reads only after it has
// said that it knows nothing of the query: Linux keeps such bytes past a reset. The query is not out on two engines.
func TestAPostThatIsReadAfterItsResetIsTakenBack(t *testing.T) {
	var first atomic.Pointer[engine]
	var runs, two atomic.Bool
	var engines [2]*engine
	for i := range engines {
		var e *engine
		e = newEngine(t, func(call string, w http.ResponseWriter, _ *http.Request) bool {
			if call == "POST" {
				first.CompareAndSwap(nil, e)
			}
			if first.Load() != e {
				two.Store(two.Load() || runs.Load())
				return false
			}
			switch call {
			case "POST":
				reset(w)
			case "DELETE":
				runs.Store(false)
				w.WriteHeader(http.StatusNoContent)
			default:
				w.WriteHeader(500)
				runs.Store(true)
			}
			return true
		})
		engines[i] = e
	}
	r := startAs(t, withoutHealthChecks(true), engines[:]...)
	a := r.dial().query("lookup", 20000)
	assert.Zero(t, a.code, a.text)
	assert.False(t, two.Load(), "it was asked of another engine while it ran")
	assert.False(t, runs.Load())
}

// The way to an engine takes 0.3 s and brings no answer back. An attempt there is over 2 s after the engine was asked
// last, which is later than it was sent.
func TestALostAttemptIsOverOnlyOnceItsLastCallIs(t *testing.T) {
	var heard atomic.Int64
	lost := newEngine(t, func(call string, _ http.ResponseWriter, q *http.Request) bool {
		heard.Store(time.Now().UnixNano())
		<-q.Context().Done()
		return true
	})
	var since atomic.Int64
	other := newEngine(t, func(call string, _ http.ResponseWriter, _ *http.Request) bool {
		if call == "POST" {
			since.Store(time.Now().UnixNano() - heard.Load())
		}
		return false
	})
	r := startAs(t, withoutHealthChecks(true))
	way := relays.NewNetwork(1)
	t.Cleanup(way.Close)
	// for a connection, and again for what it brings
	way.Link("front", "engine").Set(relays.LinkFault{Delay: 150 * time.Millisecond})
	address, err := way.Route("front", "engine", lost.Listener.Addr().String(), relays.TCPOnly)
	require.NoError(t, err)
	entry := strings.Replace(lost.entry("ready", 0), lost.Listener.Addr().String(), address, 1)
	r.publish(entry)
	r.waitForLog("engine=" + lost.name)
	c := r.dial()
	c.send(0, statement("lookup", 20000))
	lost.waitFor(t, "POST", 1)
	r.publish(strings.Replace(entry, `"ready"`, `"draining"`, 1), other.entry("ready", 0))
	assert.Zero(t, c.read().code)
	assert.GreaterOrEqual(t, time.Duration(since.Load()), 2*time.Second, "the engine may still run it")
}
