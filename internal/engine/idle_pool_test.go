package engine

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/decision/reuse"
	"beechcart/internal/endpoints"
	"beechcart/internal/exchange"
)

// newReusingClient is newTestClient with connections that are reused; class 0 is idempotent, class 1 is not.
func newReusingClient(t *testing.T, most int, script answerFunc) (*Client, outcomes, string, *fakeEngine) {
	t.Helper()
	c, s, addr, e := newTestClient(t, most, script)
	c.options.Classes = []admission.Class{{Idempotency: admission.Idempotent}, {Idempotency: admission.NonIdempotent}}
	usePolicyThatTrusts(t, c, reuse.Defaults().MaxIdleTime)
	return c, s, addr, e
}

// usePolicyThatConfirms gives a client a pool that trusts no connection, and confirms its answers.
func usePolicyThatConfirms(t *testing.T, c *Client) {
	t.Helper()
	set := reuse.Defaults()
	set.QuietPeriod, set.ProofConnections = time.Millisecond, 1_000_000
	trust, err := reuse.New(set)
	require.NoError(t, err)
	c.idlePool = newIdlePool(trust, func(name string) { c.options.Counters.Add(name, 1) })
}

// usePolicyThatTrusts gives a client a pool that trusts connections soon, and keeps them for maxIdle.
func usePolicyThatTrusts(t *testing.T, c *Client, maxIdle time.Duration) {
	t.Helper()
	set := reuse.Defaults()
	set.QuietPeriod, set.ProofConnections, set.MaxIdleTime, set.ConfirmResponses = time.Millisecond, 2, maxIdle, false
	trust, err := reuse.New(set)
	require.NoError(t, err)
	c.idlePool = newIdlePool(trust, func(name string) { c.options.Counters.Add(name, 1) })
}

// runQuery runs one request of a class to its end.
func runQuery(t *testing.T, c *Client, s outcomes, class int) reportedOutcome {
	t.Helper()
	x := exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d41", Class: class, Statement: []byte("SELECT 1")}, time.Now())
	c.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	require.Equal(t, admission.OK, end.Status)
	return end
}

// runUntilReused runs requests until a connection has been reused.
func runUntilReused(t *testing.T, c *Client, s outcomes) {
	t.Helper()
	require.Eventually(t, func() bool {
		runQuery(t, c, s, 0)
		return c.options.Counters.Get("conn_reused") > 0
	}, 10*time.Second, 2*time.Millisecond)
}

func idleCount(c *Client) (n int) {
	c.idlePool.mu.Lock()
	defer c.idlePool.mu.Unlock()
	for _, list := range c.idlePool.byInstance {
		n += len(list)
	}
	return n
}

func TestConnectionsAreReusedOnceTrusted(t *testing.T) {
	c, s, _, e := newReusingClient(t, 100, nil)
	runUntilReused(t, c, s)
	before := e.connectionCount()
	require.Eventually(t, func() bool {
		runQuery(t, c, s, 0)
		return c.options.Counters.Get("conn_reused") >= 20
	}, 10*time.Second, 2*time.Millisecond)
	assert.LessOrEqual(t, e.connectionCount(), before+1)
	before = e.connectionCount()
	reused := c.options.Counters.Get("conn_reused")
	runQuery(t, c, s, 1)
	assert.Equal(t, before+1, e.connectionCount(), "a non-idempotent query is sent on a new connection")
	assert.Equal(t, reused, c.options.Counters.Get("conn_reused"))
}

func TestHealthCheckConnectionsAreReused(t *testing.T) {
	c, s, _, e := newReusingClient(t, 100, func(call string, _ int) string {
		if call == "GET gauges" {
			return answerOK("X-Gauges: util:0.25\r\n", "")
		}
		return answerServed
	})
	runUntilReused(t, c, s)
	before := e.connectionCount()
	require.Eventually(t, func() bool { // a connection is reused only after the quiet period
		status, _, _ := c.instance(7).checkHealth()
		require.Equal(t, admission.OK, status)
		return c.options.Counters.Get("conn_reused") >= 20
	}, 10*time.Second, 2*time.Millisecond)
	assert.LessOrEqual(t, e.connectionCount(), before+1)
}

// A duplicate of an answer on an idle connection would be read as the answer to the next query.
func TestLateDuplicateIsNotReadAsTheNextAnswer(t *testing.T) {
	rows := func(nth int) string { return fmt.Sprintf("%d\tb\tc\n", nth) }
	c, s, _, _ := newReusingClient(t, 100, func(_ string, nth int) string {
		text := answerOK("X-Batches: 1\r\n", rows(nth))
		if nth%5 == 0 {
			text += text
		}
		return text
	})
	for n := 1; n <= 40; n++ {
		require.Equal(t, rows(n), runQuery(t, c, s, 0).rows)
	}
	assert.Positive(t, c.options.Counters.Get("reuse_distrust"))
	assert.Zero(t, idleCount(c), "connections of an engine that has sent a duplicate are not kept")
}

// After a malformed answer, idempotent queries go on reusing connections, with a confirmation of each answer.
func TestUntrustedConnectionsServeConfirmedAnswers(t *testing.T) {
	c, s, _, e := newReusingClient(t, 100, nil)
	usePolicyThatConfirms(t, c)
	runQuery(t, c, s, 0)
	before := e.connectionCount()
	require.Eventually(t, func() bool {
		runQuery(t, c, s, 0)
		return c.options.Counters.Get("conn_proving") >= 20
	}, 10*time.Second, 2*time.Millisecond)
	assert.LessOrEqual(t, e.connectionCount(), before+2)
	assert.Zero(t, c.options.Counters.Get("unproved_answer"))
	before, proved := e.connectionCount(), c.options.Counters.Get("conn_proving")
	runQuery(t, c, s, 1)
	assert.Equal(t, before+1, e.connectionCount(), "a non-idempotent query is sent on a new connection")
	assert.Equal(t, proved, c.options.Counters.Get("conn_proving"))
}

// What is left of another query's answer must never be read as this query's answer: neither as its result, nor as an
// error after which the query would be sent again while it runs.
func TestLeftoverAnswersAreDetected(t *testing.T) {
	rows := func(nth int) string { return fmt.Sprintf("%d\tb\tc\n", nth) }
	good := func(nth int) string { return answerOK("X-Batches: 1\r\n", rows(nth)) }
	for name, left := range map[string]func(nth int) string{
		"a good end":     func(nth int) string { return good(nth - 1) },
		"an error":       func(int) string { return answerUnknown },
		"full":           func(int) string { return "HTTP/1.1 503 Full\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n" },
		"given up":       func(int) string { return answerDeleted },
		"not yet over":   func(int) string { return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n" },
		"a probe's":      func(int) string { return answerOK("X-Gauges: util:0.25\r\n", "") },
		"two good ends":  func(nth int) string { return good(nth-1) + good(nth-1) },
		"its own, twice": func(nth int) string { return good(nth) },
	} {
		t.Run(name, func(t *testing.T) {
			posts := 0 // calls are sequential
			c, s, _, e := newReusingClient(t, 100, func(call string, nth int) string {
				if call == "POST" {
					posts = nth
					if nth%3 == 0 {
						return left(nth) + good(nth)
					}
					return good(nth)
				}
				if call == "DELETE" {
					return answerDeleted
				}
				return good(posts)
			})
			usePolicyThatConfirms(t, c)
			for n := 1; n <= 15; n++ {
				require.Equal(t, rows(n), runQuery(t, c, s, 0).rows, "query %d", n)
				time.Sleep(2 * time.Millisecond) // the quiet period passes, and the connection is reused
			}
			assert.Equal(t, 15, e.count("POST"), "no query was sent again")
			assert.Positive(t, c.options.Counters.Get("conn_proving"))
		})
	}
}

func TestIdleConnectionsEndWithTheirEngine(t *testing.T) {
	c, s, addr, _ := newReusingClient(t, 100, nil)
	runUntilReused(t, c, s)
	require.Positive(t, idleCount(c))
	c.Update(listOf(addr, admission.Draining))
	assert.Zero(t, idleCount(c), "the sockets of a draining engine are free for others")
	c.Update(listOf(addr, admission.Ready))
	runUntilReused(t, c, s)
	c.Update(endpoints.List{Complete: true})
	assert.Zero(t, idleCount(c))
	assert.Eventually(t, func() bool {
		c.sockets.mu.Lock()
		defer c.sockets.mu.Unlock()
		return c.sockets.used == 0
	}, 5*time.Second, time.Millisecond, "every socket is released")
}

func TestIdleConnectionsAreEvicted(t *testing.T) {
	c, s, _, _ := newReusingClient(t, 8, nil) // the reserve is one of them
	runUntilReused(t, c, s)
	for c.sockets.acquire(ordinaryUse) { // the remaining ones
	}
	require.Positive(t, idleCount(c))
	runQuery(t, c, s, 1)
}

func TestIdleConnectionsExpire(t *testing.T) {
	c, s, _, _ := newReusingClient(t, 100, nil)
	usePolicyThatTrusts(t, c, 40*time.Millisecond)
	runQuery(t, c, s, 0)
	require.Eventually(t, func() bool { return idleCount(c) == 0 }, 5*time.Second, time.Millisecond)
}

// The exclusion of an engine may still be on its way to the controller, which would send one more query.
func TestDrainedOnceNoAttemptMayStart(t *testing.T) {
	halt := make(chan struct{})
	c, s, addr, _ := newTestClient(t, 100, func(string, int) string {
		<-halt
		return answerServed
	})
	assert.False(t, c.Drained(7), "no attempt is in flight, and one may begin")
	x := exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d41", Statement: []byte("SELECT 1")}, time.Now())
	c.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	c.Update(listOf(addr, admission.Draining))
	assert.False(t, c.Drained(7), "an attempt is in flight")
	close(halt)
	<-s
	assert.True(t, c.Drained(7))
	assert.True(t, c.Drained(8), "an unknown engine")
	x = exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d42", Statement: []byte("SELECT 1")}, time.Now())
	c.Start(x, 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.NotSent, (<-s).Status, "no attempt begins")
}

// netpoll reads into memory whatever an engine sends on an idle connection, so such a connection is closed soon.
func TestFloodedIdleConnectionIsClosed(t *testing.T) {
	begin, sent := make(chan struct{}), make(chan int, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, answerServed)
		<-begin
		for n := 0; ; {
			m, err := c.Write(make([]byte, 64<<10))
			if n += m; err != nil || n > 1<<30 {
				sent <- n
				return
			}
		}
	}()
	c, s, _, _ := newReusingClient(t, 100, nil)
	c.Update(listOf(l.Addr().String(), admission.Ready))
	runQuery(t, c, s, 0)
	require.Equal(t, 1, idleCount(c))
	close(begin)
	n := <-sent
	t.Logf("%d KB were read of a connection that serves nobody", n>>10)
	assert.Less(t, n, 32<<20, "a third of the smallest memory limit")
	assert.Zero(t, idleCount(c))
}
