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

// newReusingClient is newTestClient with a policy that trusts and reuses connections. Class 0 is idempotent, and class
// 1 is non-idempotent.
func newReusingClient(t *testing.T, maxSockets int, script responseFunc) (*Client, outcomes, string, *fakeEngine) {
	t.Helper()
	c, sink, addr, e := newTestClient(t, maxSockets, script)
	c.options.Classes = []admission.Class{{Idempotency: admission.Idempotent}, {Idempotency: admission.NonIdempotent}}
	usePolicyThatTrusts(t, c, reuse.Defaults().MaxIdleTime)
	return c, sink, addr, e
}

// usePolicyThatConfirms gives a client an idle pool that trusts no connection and confirms the responses on reused
// connections.
func usePolicyThatConfirms(t *testing.T, c *Client) {
	t.Helper()
	settings := reuse.Defaults()
	settings.QuietPeriod, settings.ProofConnections = time.Millisecond, 1_000_000
	policy, err := reuse.New(settings)
	require.NoError(t, err)
	c.idlePool = newIdlePool(policy, func(name string) { c.options.Counters.Add(name, 1) })
}

// usePolicyThatTrusts gives a client an idle pool that trusts an engine's connections after a short proof, and keeps
// idle connections for maxIdle.
func usePolicyThatTrusts(t *testing.T, c *Client, maxIdle time.Duration) {
	t.Helper()
	settings := reuse.Defaults()
	settings.QuietPeriod, settings.ProofConnections, settings.MaxIdleTime, settings.ConfirmResponses =
		time.Millisecond, 2, maxIdle, false
	policy, err := reuse.New(settings)
	require.NoError(t, err)
	c.idlePool = newIdlePool(policy, func(name string) { c.options.Counters.Add(name, 1) })
}

// runQuery runs one query of a class, requires that the query succeeds, and returns the outcome.
func runQuery(t *testing.T, c *Client, sink outcomes, class int) reportedOutcome {
	t.Helper()
	x := exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d41", Class: class, Statement: []byte("SELECT 1")}, time.Now())
	c.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	outcome := <-sink
	require.Equal(t, admission.OK, outcome.Status)
	return outcome
}

// runUntilReused runs queries until a connection has been reused.
func runUntilReused(t *testing.T, c *Client, sink outcomes) {
	t.Helper()
	require.Eventually(t, func() bool {
		runQuery(t, c, sink, 0)
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
	c, sink, _, e := newReusingClient(t, 100, nil)
	runUntilReused(t, c, sink)
	before := e.connectionCount()
	require.Eventually(t, func() bool {
		runQuery(t, c, sink, 0)
		return c.options.Counters.Get("conn_reused") >= 20
	}, 10*time.Second, 2*time.Millisecond)
	assert.LessOrEqual(t, e.connectionCount(), before+1)
	before = e.connectionCount()
	reused := c.options.Counters.Get("conn_reused")
	runQuery(t, c, sink, 1)
	assert.Equal(t, before+1, e.connectionCount(), "a non-idempotent query must be sent on a new connection")
	assert.Equal(t, reused, c.options.Counters.Get("conn_reused"))
}

func TestHealthCheckConnectionsAreReused(t *testing.T) {
	c, sink, _, e := newReusingClient(t, 100, func(call string, _ int) string {
		if call == "GET gauges" {
			return responseOK("X-Gauges: util:0.25\r\n", "")
		}
		return responseServed
	})
	runUntilReused(t, c, sink)
	before := e.connectionCount()
	require.Eventually(t, func() bool { // a connection is reused only after the quiet period
		status, _, _ := c.instance(7).checkHealth()
		require.Equal(t, admission.OK, status)
		return c.options.Counters.Get("conn_reused") >= 20
	}, 10*time.Second, 2*time.Millisecond)
	assert.LessOrEqual(t, e.connectionCount(), before+1)
}

// A duplicate of a response on an idle connection must not be read as the response to the next query.
func TestLateDuplicateIsNotReadAsTheNextResponse(t *testing.T) {
	rows := func(nth int) string { return fmt.Sprintf("%d\tb\tc\n", nth) }
	c, sink, _, _ := newReusingClient(t, 100, func(_ string, nth int) string {
		text := responseOK("X-Batches: 1\r\n", rows(nth))
		if nth%5 == 0 {
			text += text
		}
		return text
	})
	for n := 1; n <= 40; n++ {
		require.Equal(t, rows(n), runQuery(t, c, sink, 0).rows)
	}
	assert.Positive(t, c.options.Counters.Get("reuse_distrust"))
	assert.Zero(t, idleCount(c), "connections to an engine that has sent a duplicate must not be kept")
}

// On untrusted connections, idempotent queries still reuse connections, and each response is confirmed.
func TestResponsesOnUntrustedConnectionsAreConfirmed(t *testing.T) {
	c, sink, _, e := newReusingClient(t, 100, nil)
	usePolicyThatConfirms(t, c)
	runQuery(t, c, sink, 0)
	before := e.connectionCount()
	require.Eventually(t, func() bool {
		runQuery(t, c, sink, 0)
		return c.options.Counters.Get("conn_proving") >= 20
	}, 10*time.Second, 2*time.Millisecond)
	assert.LessOrEqual(t, e.connectionCount(), before+2)
	assert.Zero(t, c.options.Counters.Get("unproved_answer"))
	before, confirmed := e.connectionCount(), c.options.Counters.Get("conn_proving")
	runQuery(t, c, sink, 1)
	assert.Equal(t, before+1, e.connectionCount(), "a non-idempotent query must be sent on a new connection")
	assert.Equal(t, confirmed, c.options.Counters.Get("conn_proving"))
}

// A leftover response to another query must never be taken as the response to this query: neither as the result, nor as
// an error that would cause a retry of this query while this query runs.
func TestLeftoverResponsesAreDetected(t *testing.T) {
	rows := func(nth int) string { return fmt.Sprintf("%d\tb\tc\n", nth) }
	result := func(nth int) string { return responseOK("X-Batches: 1\r\n", rows(nth)) }
	for name, leftover := range map[string]func(nth int) string{
		"result":                  func(nth int) string { return result(nth - 1) },
		"query error":             func(int) string { return responseUnknown },
		"overload rejection":      func(int) string { return "HTTP/1.1 503 Full\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n" },
		"deletion":                func(int) string { return responseDeleted },
		"running state":           func(int) string { return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n" },
		"load report":             func(int) string { return responseOK("X-Gauges: util:0.25\r\n", "") },
		"two results":             func(nth int) string { return result(nth-1) + result(nth-1) },
		"duplicate of own result": func(nth int) string { return result(nth) },
	} {
		t.Run(name, func(t *testing.T) {
			posts := 0 // calls are sequential
			c, sink, _, e := newReusingClient(t, 100, func(call string, nth int) string {
				if call == "POST" {
					posts = nth
					if nth%3 == 0 {
						return leftover(nth) + result(nth)
					}
					return result(nth)
				}
				if call == "DELETE" {
					return responseDeleted
				}
				return result(posts)
			})
			usePolicyThatConfirms(t, c)
			for n := 1; n <= 15; n++ {
				require.Equal(t, rows(n), runQuery(t, c, sink, 0).rows, "query %d", n)
				time.Sleep(2 * time.Millisecond) // the quiet period passes, and the connection is reused
			}
			assert.Equal(t, 15, e.count("POST"), "no query may be sent twice")
			assert.Positive(t, c.options.Counters.Get("conn_proving"))
		})
	}
}

func TestIdleConnectionsOfUnavailableEngineAreClosed(t *testing.T) {
	c, sink, addr, _ := newReusingClient(t, 100, nil)
	runUntilReused(t, c, sink)
	require.Positive(t, idleCount(c))
	c.Update(listOf(addr, admission.Draining))
	assert.Zero(t, idleCount(c), "the idle connections to a draining engine must be closed")
	c.Update(listOf(addr, admission.Ready))
	runUntilReused(t, c, sink)
	c.Update(endpoints.List{Complete: true})
	assert.Zero(t, idleCount(c))
	assert.Eventually(t, func() bool {
		c.sockets.mu.Lock()
		defer c.sockets.mu.Unlock()
		return c.sockets.used == 0
	}, 5*time.Second, time.Millisecond, "all sockets must be released")
}

func TestIdleConnectionsAreEvicted(t *testing.T) {
	c, sink, _, _ := newReusingClient(t, 8, nil) // seven ordinary sockets and a reserve of one
	runUntilReused(t, c, sink)
	for c.sockets.acquire(ordinaryUse) { // takes all remaining ordinary sockets
	}
	require.Positive(t, idleCount(c))
	runQuery(t, c, sink, 1)
}

func TestIdleConnectionsExpire(t *testing.T) {
	c, sink, _, _ := newReusingClient(t, 100, nil)
	usePolicyThatTrusts(t, c, 40*time.Millisecond)
	runQuery(t, c, sink, 0)
	require.Eventually(t, func() bool { return idleCount(c) == 0 }, 5*time.Second, time.Millisecond)
}

// An engine that is still ready is not drained even without an attempt: the controller may not have applied the
// engine's exclusion yet, and may start another attempt.
func TestDrainedRequiresThatNoAttemptCanStart(t *testing.T) {
	release := make(chan struct{})
	c, sink, addr, _ := newTestClient(t, 100, func(string, int) string {
		<-release
		return responseServed
	})
	assert.False(t, c.Drained(7), "a ready engine may get an attempt")
	x := exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d41", Statement: []byte("SELECT 1")}, time.Now())
	c.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	c.Update(listOf(addr, admission.Draining))
	assert.False(t, c.Drained(7), "an attempt is in flight")
	close(release)
	<-sink
	assert.True(t, c.Drained(7))
	assert.True(t, c.Drained(8), "an unknown engine")
	x = exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d42", Statement: []byte("SELECT 1")}, time.Now())
	c.Start(x, 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.NotSent, (<-sink).Status, "a draining engine must not get a query")
}

// An idle connection on which an engine sends without end must be closed before the input fills the memory.
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
		_, _ = io.WriteString(c, responseServed)
		<-begin
		for n := 0; ; {
			m, err := c.Write(make([]byte, 64<<10))
			if n += m; err != nil || n > 1<<30 {
				sent <- n
				return
			}
		}
	}()
	c, sink, _, _ := newReusingClient(t, 100, nil)
	c.Update(listOf(l.Addr().String(), admission.Ready))
	runQuery(t, c, sink, 0)
	require.Equal(t, 1, idleCount(c))
	close(begin)
	n := <-sent
	t.Logf("%d KB were accepted on an idle connection", n>>10)
	assert.Less(t, n, 32<<20, "the input must stay below a third of the smallest memory limit")
	assert.Zero(t, idleCount(c))
}
