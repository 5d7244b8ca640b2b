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

// keeping is newFleet with connections that serve again; class 0 may be repeated, class 1 may not.
func keeping(t *testing.T, most int, answer func(call string, nth int) string) (*Client, sink, string, *script) {
	f, s, addr, e := newFleet(t, most, answer)
	f.opt.Classes = []admission.Class{{Idempotency: admission.Idempotent}, {Idempotency: admission.NonIdempotent}}
	keep(t, f, reuse.Defaults().MaxIdleTime)
	return f, s, addr, e
}

// proving gives a fleet a pool that never trusts, and confirms.
func proving(t *testing.T, f *Client) {
	set := reuse.Defaults()
	set.QuietPeriod, set.ProofConnections = time.Millisecond, 1_000_000
	trust, err := reuse.New(set)
	require.NoError(t, err)
	f.pool = newPool(trust, func(name string) { f.opt.Counters.Add(name, 1) })
}

// keep gives a fleet a pool that trusts soon.
func keep(t *testing.T, f *Client, maxIdle time.Duration) {
	set := reuse.Defaults()
	set.QuietPeriod, set.ProofConnections, set.MaxIdleTime, set.ConfirmResponses = time.Millisecond, 2, maxIdle, false
	trust, err := reuse.New(set)
	require.NoError(t, err)
	f.pool = newPool(trust, func(name string) { f.opt.Counters.Add(name, 1) })
}

// query runs one request of a class to its end.
func query(t *testing.T, f *Client, s sink, class int) ending {
	x := exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d41", Class: class, Statement: []byte("SELECT 1")}, time.Now())
	f.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	end := <-s
	require.Equal(t, admission.OK, end.Status)
	return end
}

// trusted runs requests until a connection has served again.
func trusted(t *testing.T, f *Client, s sink) {
	require.Eventually(t, func() bool {
		query(t, f, s, 0)
		return f.opt.Counters.Get("conn_reused") > 0
	}, 10*time.Second, 2*time.Millisecond)
}

func idle(f *Client) (n int) {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	for _, list := range f.pool.idle {
		n += len(list)
	}
	return n
}

// A handshake for each query is the largest cost of a large fleet.
func TestConnectionsServeAgainOnceProved(t *testing.T) {
	f, s, _, e := keeping(t, 100, nil)
	trusted(t, f, s)
	before := e.conns()
	require.Eventually(t, func() bool {
		query(t, f, s, 0)
		return f.opt.Counters.Get("conn_reused") >= 20
	}, 10*time.Second, 2*time.Millisecond)
	assert.LessOrEqual(t, e.conns(), before+1)
	before = e.conns()
	reused := f.opt.Counters.Get("conn_reused")
	query(t, f, s, 1)
	assert.Equal(t, before+1, e.conns(), "what must not run twice goes out on a connection of its own")
	assert.Equal(t, reused, f.opt.Counters.Get("conn_reused"))
}

func TestAProbeLeavesItsConnectionToQueries(t *testing.T) {
	f, s, _, e := keeping(t, 100, func(call string, _ int) string {
		if call == "GET gauges" {
			return ok("X-Gauges: util:0.25\r\n", "")
		}
		return good
	})
	trusted(t, f, s)
	before := e.conns()
	require.Eventually(t, func() bool { // a connection is taken up again only after Quiet
		status, _, _ := f.peer(7).probe()
		require.Equal(t, admission.OK, status)
		return f.opt.Counters.Get("conn_reused") >= 20
	}, 10*time.Second, 2*time.Millisecond)
	assert.LessOrEqual(t, e.conns(), before+1)
}

// A second copy of an answer on a kept connection would be read as the answer to the query after.
func TestACopyThatComesLateIsNeverReadAsTheNextAnswer(t *testing.T) {
	rows := func(nth int) string { return fmt.Sprintf("%d\tb\tc\n", nth) }
	f, s, _, _ := keeping(t, 100, func(_ string, nth int) string {
		text := ok("X-Batches: 1\r\n", rows(nth))
		if nth%5 == 0 {
			text += text
		}
		return text
	})
	for n := 1; n <= 40; n++ {
		require.Equal(t, rows(n), query(t, f, s, 0).rows)
	}
	assert.Positive(t, f.opt.Counters.Get("reuse_distrust"))
	assert.Zero(t, idle(f), "once one has brought a copy, none is kept to serve again")
}

// A front end that has seen one spoilt answer opened a connection for each query for a minute: 42 of 60 on a day with spoilt answers, 0.83
// connections a query beside 0.26, which cost 0.03 of G.
func TestConnectionsNotTrustedServeWhatIsConfirmed(t *testing.T) {
	f, s, _, e := keeping(t, 100, nil)
	proving(t, f)
	query(t, f, s, 0)
	before := e.conns()
	require.Eventually(t, func() bool {
		query(t, f, s, 0)
		return f.opt.Counters.Get("conn_proving") >= 20
	}, 10*time.Second, 2*time.Millisecond)
	assert.LessOrEqual(t, e.conns(), before+2)
	assert.Zero(t, f.opt.Counters.Get("unproved_answer"))
	before, proved := e.conns(), f.opt.Counters.Get("conn_proving")
	query(t, f, s, 1)
	assert.Equal(t, before+1, e.conns(), "what must not run twice goes out on a connection of its own")
	assert.Equal(t, proved, f.opt.Counters.Get("conn_proving"))
}

// What the answer to another query left behind, whatever it is, must never be read as this one's: neither its rows, nor an end after which the
// query would be sent again while it runs.
func TestWhatWasLeftBehindIsFound(t *testing.T) {
	rows := func(nth int) string { return fmt.Sprintf("%d\tb\tc\n", nth) }
	good := func(nth int) string { return ok("X-Batches: 1\r\n", rows(nth)) }
	for name, left := range map[string]func(nth int) string{
		"a good end":     func(nth int) string { return good(nth - 1) },
		"an error":       func(int) string { return unknown },
		"full":           func(int) string { return "HTTP/1.1 503 Full\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n" },
		"given up":       func(int) string { return gone },
		"not yet over":   func(int) string { return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n" },
		"a probe's":      func(int) string { return ok("X-Gauges: util:0.25\r\n", "") },
		"two good ends":  func(nth int) string { return good(nth-1) + good(nth-1) },
		"its own, twice": func(nth int) string { return good(nth) },
	} {
		t.Run(name, func(t *testing.T) {
			posts := 0 // calls come one at a time
			f, s, _, e := keeping(t, 100, func(call string, nth int) string {
				if call == "POST" {
					posts = nth
					if nth%3 == 0 {
						return left(nth) + good(nth)
					}
					return good(nth)
				}
				if call == "DELETE" {
					return gone
				}
				return good(posts)
			})
			proving(t, f)
			for n := 1; n <= 15; n++ {
				require.Equal(t, rows(n), query(t, f, s, 0).rows, "query %d", n)
				time.Sleep(2 * time.Millisecond) // Quiet passes, and the connection serves again
			}
			assert.Equal(t, 15, e.count("POST"), "none was sent again")
			assert.Positive(t, f.opt.Counters.Get("conn_proving"))
		})
	}
}

func TestKeptConnectionsEndWithTheirEngine(t *testing.T) {
	f, s, addr, _ := keeping(t, 100, nil)
	trusted(t, f, s)
	require.Positive(t, idle(f))
	f.Update(list(addr, admission.Draining))
	assert.Zero(t, idle(f), "an engine that drains has places for others")
	f.Update(list(addr, admission.Ready))
	trusted(t, f, s)
	f.Update(endpoints.List{Complete: true})
	assert.Zero(t, idle(f))
	assert.Eventually(t, func() bool {
		f.socks.mu.Lock()
		defer f.socks.mu.Unlock()
		return f.socks.used == 0
	}, 5*time.Second, time.Millisecond, "every descriptor is given back")
}

func TestKeptConnectionsMakeRoom(t *testing.T) {
	f, s, _, _ := keeping(t, 8, nil) // one of them is the reserve
	trusted(t, f, s)
	for f.socks.take(false) { // all that is left
	}
	require.Positive(t, idle(f))
	query(t, f, s, 1)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	f, s, _, _ := keeping(t, 100, nil)
	keep(t, f, 40*time.Millisecond)
	query(t, f, s, 0)
	require.Eventually(t, func() bool { return idle(f) == 0 }, 5*time.Second, time.Millisecond)
}

// A front end said that an engine was empty while its veto was still on its way to the planner, which sent one more query.
func TestIdleOnlyOnceNothingMayStart(t *testing.T) {
	halt := make(chan struct{})
	f, s, addr, _ := newFleet(t, 100, func(string, int) string {
		<-halt
		return good
	})
	assert.False(t, f.Drained(7), "nothing is out, and anything may start")
	x := exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d41", Statement: []byte("SELECT 1")}, time.Now())
	f.Start(x, 0, 7, admission.Terms{Priority: 1}, 10*time.Second, time.Time{})
	f.Update(list(addr, admission.Draining))
	assert.False(t, f.Drained(7), "one is out")
	close(halt)
	<-s
	assert.True(t, f.Drained(7))
	assert.True(t, f.Drained(8), "not known")
	f.Start(exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d42", Statement: []byte("SELECT 1")}, time.Now()), 0, 7, admission.Terms{Priority: 1}, time.Second, time.Time{})
	assert.Equal(t, admission.NotSent, (<-s).Status, "and nothing starts")
}

// Whatever an engine sends on a connection that serves nobody is read by the library at once, so it is ended soon.
func TestAKeptConnectionThatIsFloodedEnds(t *testing.T) {
	begin, sent := make(chan struct{}), make(chan int, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, good)
		<-begin
		for n := 0; ; {
			m, err := c.Write(make([]byte, 64<<10))
			if n += m; err != nil || n > 1<<30 {
				sent <- n
				return
			}
		}
	}()
	f, s, _, _ := keeping(t, 100, nil)
	f.Update(list(l.Addr().String(), admission.Ready))
	query(t, f, s, 0)
	require.Equal(t, 1, idle(f))
	close(begin)
	n := <-sent
	t.Logf("%d KB were read of a connection that serves nobody", n>>10)
	assert.Less(t, n, 32<<20, "a third of what the shortest memory limit leaves")
	assert.Zero(t, idle(f))
}
