package main_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// retrySafeCodes are the error codes that tell a client that a retry is safe.
var retrySafeCodes = []int{1040, 1203, 1226}

func TestServesAllPagesUnchanged(t *testing.T) {
	e := newEngine(t, nil)
	e.pages = []string{"a\tb\tc\n\t\t\n", "d\t\u00e9\tf\n", strings.Repeat("x", 200) + "\t1\t2\n"}
	c := start(t, e).connect()
	// The login and the first query are sent in two parts, cut inside the login, before the greeting is read.
	all := packet(1, loginPayload) + packet(0, statement("lookup", 2500))
	for _, part := range []string{all[:50], all[50:]} {
		_, err := io.WriteString(c.c, part)
		require.NoError(t, err)
	}
	c.completeLogin()
	want := answer{rows: []string{"a\tb\tc", "\t\t", "d\t\u00e9\tf", strings.Repeat("x", 200) + "\t1\t2"}}
	assert.Equal(t, want, c.read())
	assert.Equal(t, want, c.query("lookup", 2500), "the session must serve a second query")
	assert.Equal(t, "SELECT a FROM sales_17.orders", e.body)
	h := e.headers[0]
	assert.Equal(t, "lookup", h.Get("X-Lane"))
	assert.Len(t, h.Get("X-Txn"), 16)
	assert.Regexp(t, `^[0-3]$`, h.Get("X-Weight-Class"))
	assert.Regexp(t, `^[12]\d\d\d$`, h.Get("X-Limit-Ms"))
}

// Guards against a query that is sent without its memory reservation where the platform takes one: the engine would
// then reserve an amount of its own choice, which differs from the one that the controller counts.
func TestMemoryReservationIsSentToTheEngine(t *testing.T) {
	for grants, want := range map[bool]string{true: "24", false: ""} {
		e := newEngine(t, nil)
		r := startWithPlatformSettings(t, strings.Replace(defaultPlatformSettings, `"lanes_count":true`,
			fmt.Sprintf(`"lanes_count":true,"takes_grants":%t,"most_grant":0.25`, grants), 1), e)
		require.Zero(t, r.dial().query("lookup", 2500).code)
		assert.Equal(t, want, e.headers[0].Get("X-Reserve"),
			"must be 1.5 times the estimate of 16 MB with takes_grants, and absent without")
	}
}

func TestRetryAfterEngineFailure(t *testing.T) {
	fail := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
	}
	for name, k := range map[string]struct {
		class string
		first func(w http.ResponseWriter, q *http.Request) // answers the first POST
		posts int
		code  int // 0: served
	}{
		"idempotent request is retried after an error":         {"lookup", fail(500), 2, 0},
		"non-idempotent request is not retried after an error": {"load", fail(500), 1, 1105},
		"non-idempotent request is not retried after a reset": {"load",
			func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }, 1, 1105},
		"non-idempotent request that did not run is retried": {"load", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Unrun", "1")
			w.WriteHeader(503)
		}, 2, 0},
		"non-idempotent request is not retried after a 503 without X-Unrun": {"load", fail(503), 1, 1105},
	} {
		t.Run(name, func(t *testing.T) {
			var posts atomic.Int32
			e := newEngine(t, func(call string, w http.ResponseWriter, q *http.Request) bool {
				switch {
				case call == "POST" && posts.Add(1) == 1:
					k.first(w, q)
				case call == "GET 0":
					w.WriteHeader(500) // the engine does not know the query
				default:
					return false
				}
				return true
			})
			a := start(t, e).dial().query(k.class, 20000)
			assert.Equal(t, k.code, a.code, a.text)
			assert.Equal(t, k.posts, e.count("POST"))
			if k.code != 0 {
				assert.NotContains(t, retrySafeCodes, a.code)
			}
		})
	}
}

func TestLostResultPollIsRetried(t *testing.T) {
	var gets atomic.Int32
	var lost, retried atomic.Int64
	e := newEngine(t, func(call string, w http.ResponseWriter, q *http.Request) bool {
		switch {
		case call == "POST":
			respondRunning(w, q)
		case call == "GET 0" && gets.Add(1) == 1:
			lost.Store(time.Now().UnixNano())
			<-q.Context().Done() // no answer, as on a connection whose packets are lost
		case call == "GET 0":
			retried.CompareAndSwap(0, time.Now().UnixNano())
			return false
		default:
			return false
		}
		return true
	})
	a := start(t, e).dial().query("load", 20000)
	assert.Zero(t, a.code, a.text)
	assert.Equal(t, 1, e.count("POST"))
	assert.Less(t, time.Duration(retried.Load()-lost.Load()), 2*time.Second,
		"the engine abandons a query that is not polled for 2 s")
}

func TestUnresponsiveEngineIsReplacedOnlyOnceItsQueryIsOver(t *testing.T) {
	t.Parallel()
	var lastCall, sentElsewhere atomic.Int64
	silent := func(q *http.Request) bool {
		lastCall.Store(time.Now().UnixNano())
		<-q.Context().Done()
		return true
	}
	var first atomic.Pointer[engine]
	var engines [2]*engine
	for i := range engines {
		var e *engine
		e = newEngine(t, func(call string, w http.ResponseWriter, q *http.Request) bool {
			if first.CompareAndSwap(nil, e) || first.Load() == e {
				return silent(q)
			}
			sentElsewhere.CompareAndSwap(0, time.Now().UnixNano())
			return false
		})
		engines[i] = e
	}
	a := start(t, engines[:]...).dial().query("lookup", 20000)
	assert.Zero(t, a.code, a.text)
	assert.Greater(t, time.Duration(sentElsewhere.Load()-lastCall.Load()), 2*time.Second,
		"two attempts were in flight at once")
}

func TestWrongPageFailsTheRequest(t *testing.T) {
	e := newEngine(t, func(call string, w http.ResponseWriter, q *http.Request) bool {
		if call == "GET 1" {
			w.Header().Set("X-Batch", "2")
			fmt.Fprint(w, "x\ty\tz\n")
		}
		return call == "GET 1"
	})
	e.pages = []string{"a\tb\tc\n", "d\te\tf\n"}
	a := start(t, e).dial().query("load", 20000)
	assert.Equal(t, 1105, a.code)
	assert.Empty(t, a.rows, "rows were sent before the result was complete")
}

func TestAnswersAtTheDeadline(t *testing.T) {
	e := newEngine(t, neverFinish)
	a := start(t, e).dial().query("load", 1000)
	assert.Equal(t, 1105, a.code)
	assert.Contains(t, a.text, "time")
	e.waitFor(t, "DELETE", 1)
}

// Guards against queries that stay in flight forever where the platform does not permit cancellation. When the
// queries of one class hung at two engines, such queries filled every limit, and six in ten requests were rejected
// while the engines idled.
func TestPollingEndsAtTheDeadlineWithoutCancelPermission(t *testing.T) {
	var lastCall atomic.Int64
	e := newEngine(t, func(call string, w http.ResponseWriter, q *http.Request) bool {
		lastCall.Store(time.Now().UnixNano())
		return neverFinish(call, w, q)
	})
	r := startWithPlatformSettings(t, strings.Replace(defaultPlatformSettings, `"cancel":true`, `"cancel":false`, 1), e)
	assert.Equal(t, 1105, r.dial().query("lookup", 1000).code)
	assert.Eventually(t, func() bool { return time.Now().UnixNano()-lastCall.Load() > int64(time.Second) }, 10*time.Second,
		10*time.Millisecond)
	assert.Zero(t, e.count("DELETE"))
}

func TestSessionsWithoutQueryAreClosed(t *testing.T) {
	r := start(t, newEngine(t, nil))
	for name, in := range map[string]string{
		"silent": "", "half a login": packet(1, loginPayload)[:30], "no query": packet(1, loginPayload),
		"half a query": packet(1, loginPayload) + packet(0, statement("lookup", 2500))[:40],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := r.connect()
			_, err := io.WriteString(c.c, in)
			require.NoError(t, err)
			began := time.Now()
			_, err = io.Copy(io.Discard, c.r)
			require.NoError(t, err)
			assert.Less(t, time.Since(began), 4*time.Second, "the session must be closed within 3 s")
		})
	}
}

// At the session limit, a new session evicts a session that has sent nothing, or else the session that has been idle
// for longest. A session with a request in flight is not evicted.
func TestIdleSessionsAreEvictedAtTheSessionLimit(t *testing.T) {
	e, release := newBlockedEngine(t)
	r := startWithDescriptors(t, 50, e)
	pinged := func() *client {
		c := r.dial()
		c.send(0, "\x0e")
		require.Zero(t, c.read().code)
		return c
	}
	busy, early, late := r.dial(), pinged(), pinged()
	busy.send(0, statement("load", 20000))
	e.waitFor(t, "POST", 1)
	silent := r.connect()
	time.Sleep(1100 * time.Millisecond) // a session without a command may be evicted after 1 s
	for range 50*2/5 - 5 {              // the session of the ping in start counts as well
		pinged()
	}
	ended := func(c *client) bool {
		require.NoError(t, c.c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err := io.Copy(io.Discard, c.r)
		return err == nil
	}
	pinged()
	require.Eventually(t, func() bool { return ended(silent) }, 10*time.Second, time.Millisecond)
	assert.False(t, ended(early))
	pinged() // evicts the session of the ping in start
	pinged()
	require.Eventually(t, func() bool { return ended(early) }, 10*time.Second, time.Millisecond)
	assert.False(t, ended(late))
	fresh := r.connect() // has not sent anything yet
	pinged()
	assert.True(t, ended(late))
	fresh.send(1, loginPayload)
	fresh.completeLogin()
	close(release)
	assert.Zero(t, busy.read().code)
}

func TestInputDuringARequestIsBounded(t *testing.T) {
	e := newEngine(t, neverFinish)
	r := start(t, e)
	c := r.dial()
	c.send(0, statement("load", 20000))
	e.waitFor(t, "POST", 1)
	for {
		if _, err := c.c.Write(make([]byte, 64<<10)); err != nil {
			break // the front end has closed the session; the deadline of the connection ends the loop otherwise
		}
	}
	e.waitFor(t, "DELETE", 1)
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	r.waitForLog("sessions_flooded=1")
}

// Guards against an error that is lost because the front end closes the connection with unread input: the close then
// resets the connection, and the client may not receive the error.
func TestErrorIsDeliveredBeforeClose(t *testing.T) {
	r := start(t, newEngine(t, nil))
	for range 20 {
		c := r.dial()
		_, err := io.WriteString(c.c, "\xff\xff\xff\x00"+strings.Repeat("x", 256<<10))
		require.NoError(t, err)
		assert.Equal(t, 1153, c.read().code)
		_, err = c.packet()
		assert.ErrorIs(t, err, io.EOF)
	}
}

func TestDisconnectCancelsTheQuery(t *testing.T) {
	for name, leave := range map[string]func(t *testing.T, r *testGateway, c *client){
		"kill": func(t *testing.T, r *testGateway, c *client) {
			t.Helper()
			k := r.dial()
			k.send(0, fmt.Sprintf("\x03KILL QUERY %d", c.id))
			assert.Zero(t, k.read().code)
			assert.Equal(t, 1317, c.read().code)
			k.send(0, "\x03KILL QUERY 4000000000")
			assert.Equal(t, 1094, k.read().code)
		},
		"close": func(_ *testing.T, _ *testGateway, c *client) { c.c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, neverFinish)
			r := start(t, e)
			c := r.dial()
			c.send(0, statement("load", 20000))
			e.waitFor(t, "GET 0", 1)
			leave(t, r, c)
			e.waitFor(t, "DELETE", 1)
			assert.Equal(t, 1, e.count("POST"))
		})
	}
}

func TestDuplicateRequestIDInFlightIsRejected(t *testing.T) {
	e, release := newBlockedEngine(t)
	r := start(t, e)
	first, second, q := r.dial(), r.dial(), statement("lookup", 2500)
	first.send(0, q)
	e.waitFor(t, "POST", 1)
	second.send(0, q)
	assert.Equal(t, 1105, second.read().code)
	close(release)
	assert.Zero(t, first.read().code)
}

func TestDrainStopsSendsAndRejectionCarriesRetryAfter(t *testing.T) {
	e := newEngine(t, nil)
	r := start(t, e)
	c := r.dial()
	require.Zero(t, c.query("lookup", 2500).code)
	r.mu.Lock()
	r.pollsToCut = 2 // the reads must recover from polls that are reset
	r.mu.Unlock()
	r.publish(e.entry("draining", 0))
	r.waitForLog("state=draining")
	a := c.query("lookup", 2500)
	assert.Contains(t, retrySafeCodes, a.code, a.text)
	assert.Regexp(t, `; w=[1-9]\d*$`, a.text, "clients read the retry delay from the end of the text")
	assert.Equal(t, 1, e.count("POST"))
	r.waitForLog("change log back")
}

func TestReloadSwitchesTheChangeLogAtOnce(t *testing.T) {
	e := newEngine(t, nil)
	r := start(t, e)
	var old, next, firstSince atomic.Int64
	var pollCancelled atomic.Bool
	silent := serve(t, func(w http.ResponseWriter, q *http.Request) { // a change log that never answers
		old.Add(1)
		<-q.Context().Done()
		pollCancelled.Store(true)
	})
	newAddress := serve(t, func(w http.ResponseWriter, q *http.Request) {
		if next.Add(1) == 1 {
			n, _ := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64)
			firstSince.Store(n)
		}
		r.serveChanges(w, q)
	})
	reload := func(config, want string) {
		r.write(config)
		require.NoError(t, r.cmd.Process.Signal(syscall.SIGHUP))
		r.waitForLog(want)
	}
	valid := r.config
	reload(valid[:len(valid)/2], "reload failed")
	reload(regexp.MustCompile(`"changelog":"[^"]*"`).ReplaceAllString(valid, `"changelog":"`+silent+`"`),
		"changelog="+silent)
	require.Eventually(t, func() bool { return old.Load() == 1 }, 10*time.Second, time.Millisecond)
	reload(strings.Replace(r.config, silent, newAddress, 1), "changelog="+newAddress)
	require.Eventually(t, func() bool { return pollCancelled.Load() && next.Load() > 0 }, 10*time.Second, time.Millisecond)
	assert.EqualValues(t, 1, firstSince.Load(), "the first poll must resume after the last event")
	assert.EqualValues(t, 1, old.Load())
	assert.NotContains(t, r.log.String(), "change log lost", "a poll that the reload cancels must not be logged as a loss")
	r.publish(e.entry("draining", 0))
	r.waitForLog("state=draining")
	assert.Contains(t, retrySafeCodes, r.dial().query("lookup", 2500).code)
}

func TestShutdownAnswersAllRequests(t *testing.T) {
	e, release := newBlockedEngine(t)
	r := start(t, e)
	early, idle := r.dial(), r.dial()
	early.send(0, statement("load", 20000))
	e.waitFor(t, "POST", 1)
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	r.waitForLog("stopping")
	late := r.dial() // the listener stays open for a while
	late.send(0, statement("load", 20000))
	e.waitFor(t, "POST", 2)
	assert.Equal(t, -1, idle.read().code, "an idle session must be closed")
	select {
	case err := <-r.exit:
		t.Fatalf("the program ended with requests in flight: %v", err)
	default:
	}
	close(release)
	assert.Zero(t, early.read().code)
	assert.Zero(t, late.read().code)
	require.NoError(t, <-r.exit)
	assert.Contains(t, r.log.String(), "msg=stopped")
}

func TestShutdownEndsBeforeThePlatformKills(t *testing.T) {
	t.Parallel()
	e := newEngine(t, neverFinish)
	r := start(t, e)
	load, lookup := r.dial(), r.dial()
	load.send(0, statement("load", 20000))
	lookup.send(0, statement("lookup", 20000))
	e.waitFor(t, "POST", 2)
	began := time.Now()
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	assert.Contains(t, retrySafeCodes, lookup.read().code, "a retry at another front end must be allowed")
	assert.Equal(t, 1105, load.read().code)
	r.waitForLog("msg=stopped")
	assert.Less(t, time.Since(began), 3700*time.Millisecond, "the platform kills the process after 3.7 s")
}

func TestMalformedInputAffectsOnlyItsSession(t *testing.T) {
	r := start(t, newEngine(t, nil))
	prefix := packet(1, loginPayload)
	for name, k := range map[string]struct {
		in   string
		code int
	}{
		"not a login":          {packet(1, "hello"), 1043},
		"empty packet":         {"\x00\x00\x00\x01", 1153},
		"oversized packet":     {"\xff\xff\xff\x01", 1153},
		"other user":           {packet(1, strings.Replace(loginPayload, "app", "eve", 1)), 1045},
		"unknown command":      {prefix + packet(0, "\x1fx"), 1047},
		"no fields":            {prefix + packet(0, "\x03SELECT 1"), 1064},
		"unterminated comment": {prefix + packet(0, "\x03/* c=lookup"), 1064},
		"unknown class":        {prefix + packet(0, "\x03/* c=x,i=0000000000000001,d=1 */ SELECT 1"), 1064},
		"malformed id":         {prefix + packet(0, "\x03/* c=lookup,i=zz,d=1 */ SELECT 1"), 1064},
		"no time left":         {prefix + packet(0, "\x03/* c=lookup,i=0000000000000001,d=1 */ SELECT 1"), 1040},
		"unknown tenant":       {prefix + packet(0, "\x03/* c=lookup,i=0000000000000001,d=900,t=nobody */ SELECT 1"), 1064},
		"class twice":          {prefix + packet(0, "\x03/* c=load,c=lookup,i=0000000000000001,d=900 */ SELECT 1"), 1064},
		"signed duration":      {prefix + packet(0, "\x03/* c=lookup,i=0000000000000001,d=+900 */ SELECT 1"), 1064},
		"infinite duration":    {prefix + packet(0, "\x03/* c=lookup,i=0000000000000001,d=Inf */ SELECT 1"), 1064},
		"duration is NaN":      {prefix + packet(0, "\x03/* c=lookup,i=0000000000000001,d=NaN */ SELECT 1"), 1064},
	} {
		t.Run(name, func(t *testing.T) {
			c := r.connect()
			_, err := io.WriteString(c.c, k.in)
			require.NoError(t, err)
			if strings.HasPrefix(k.in, prefix) {
				c.completeLogin()
			} else {
				_, err = c.packet() // the greeting
				require.NoError(t, err)
			}
			a := c.read()
			assert.Equal(t, k.code, a.code, a.text)
		})
	}
	assert.Zero(t, r.dial().query("lookup", 2500).code, "other sessions must still be served")
}
