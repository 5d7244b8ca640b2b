package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/decision/reuse"
	"beechcart/internal/exchange"
	"beechcart/internal/roster"
)

// keeping is newFleet with connections that serve again; class 0 may be repeated, class 1 may not.
func keeping(t *testing.T, most int, answer func(call string, nth int) string) (*Fleet, sink, string, *script) {
	f, s, addr, e := newFleet(t, most, answer)
	f.opt.Classes = []admission.Class{{Effect: admission.Safe}, {Effect: admission.Unsafe}}
	keep(t, f, reuse.Defaults().MaxIdle)
	return f, s, addr, e
}

// keep gives a fleet a pool that trusts soon.
func keep(t *testing.T, f *Fleet, maxIdle time.Duration) {
	set := reuse.Defaults()
	set.Quiet, set.Prove, set.MaxIdle = time.Millisecond, 2, maxIdle
	trust, err := reuse.New(set)
	require.NoError(t, err)
	f.pool = newPool(trust, func(name string) { f.opt.Counters.Add(name, 1) })
}

// query runs one request of a class to its end.
func query(t *testing.T, f *Fleet, s sink, class int) ending {
	x := exchange.New(exchange.Request{ID: "9b1f03aa5c7e2d41", Class: class, Statement: []byte("SELECT 1")}, time.Now())
	f.Start(x, 0, 7, 1, 10*time.Second)
	end := <-s
	require.Equal(t, admission.OK, end.Status)
	return end
}

// trusted runs requests until a connection has served again.
func trusted(t *testing.T, f *Fleet, s sink) {
	require.Eventually(t, func() bool {
		query(t, f, s, 0)
		return f.opt.Counters.Get("conn_reused") > 0
	}, 10*time.Second, 2*time.Millisecond)
}

func idle(f *Fleet) (n int) {
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
		status, _ := f.peer(7).probe()
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

func TestKeptConnectionsEndWithTheirEngine(t *testing.T) {
	f, s, addr, _ := keeping(t, 100, nil)
	trusted(t, f, s)
	require.Positive(t, idle(f))
	f.Update(list(addr, admission.Draining))
	assert.Zero(t, idle(f), "an engine that drains has places for others")
	f.Update(list(addr, admission.Ready))
	trusted(t, f, s)
	f.Update(roster.List{Complete: true})
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
