package reuse

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// proved is a Trust to which engine 1 has proved itself, and that confirms nothing.
func proved(t require.TestingT) *Policy {
	set := Defaults()
	set.ConfirmResponses = false
	tr, err := New(set)
	require.NoError(t, err)
	for range Defaults().ProofConnections {
		tr.StayedQuiet(1)
	}
	return tr
}

func TestTable(t *testing.T) {
	quiet := Conn{Queries: 3, IdleTime: 50 * ms, Clean: true}
	with := func(change func(*Conn)) Conn {
		c := quiet
		change(&c)
		return c
	}
	for name, k := range map[string]struct {
		before func(*Policy)
		engine uint32
		c      Conn
		unsafe bool
		want   Decision
	}{
		"proved and quiet":           {nil, 1, quiet, false, Use},
		"a load":                     {nil, 1, quiet, true, KeepIdle},
		"too soon":                   {nil, 1, with(func(c *Conn) { c.IdleTime = 19 * ms }), false, KeepIdle},
		"idle for long":              {nil, 1, with(func(c *Conn) { c.IdleTime = 4 * time.Second }), false, Close},
		"something came":             {nil, 1, with(func(c *Conn) { c.Clean = false }), false, Close},
		"to be closed by its engine": {nil, 1, with(func(c *Conn) { c.Closing = true }), false, Close},
		"another engine, not proved": {nil, 2, quiet, false, KeepIdle},
		"nothing heard of it":        {nil, 1, with(func(c *Conn) { c.EngineSilence = 2*time.Second + 1 }), false, KeepIdle},
		"another engine's first":     {func(t *Policy) { t.StayedQuiet(2) }, 2, quiet, false, Use},
		"all proved, one spoilt it long ago": {func(t *Policy) {
			t.Malformed(2, -2*time.Minute)
			for range Defaults().ProofConnections - 1 {
				t.StayedQuiet(1)
			}
		}, 1, quiet, false, KeepIdle},
		"its engine spoilt one":     {func(t *Policy) { t.Malformed(1, time.Second) }, 1, quiet, false, Close},
		"another engine spoilt one": {func(t *Policy) { t.Malformed(2, time.Second) }, 1, quiet, false, Close},
		"one spoilt long ago": {func(t *Policy) {
			t.Malformed(2, -2*time.Minute)
			for range Defaults().ProofConnections {
				t.StayedQuiet(3)
			}
		}, 1, quiet, false, Use},
		"its own long ago, not proved": {func(t *Policy) { t.Malformed(1, -2*time.Minute) }, 1, quiet, false, KeepIdle},
		"its process was replaced":     {func(t *Policy) { t.RemoveEngine(1) }, 1, quiet, false, KeepIdle},
		"two spoilt, within the double": {func(t *Policy) {
			t.Malformed(2, -3*time.Minute)
			t.Malformed(2, -90*time.Second)
		}, 1, quiet, false, Close},
	} {
		t.Run(name, func(t *testing.T) {
			tr := proved(t)
			if k.before != nil {
				k.before(tr)
			}
			assert.Equal(t, k.want, tr.Decide(k.engine, k.c, k.unsafe, time.Second))
		})
	}
}

func TestKeepIsBounded(t *testing.T) {
	tr := proved(t)
	set := Defaults()
	c := Conn{Queries: 1, Clean: true}
	for range set.MaxIdlePerEngine {
		require.True(t, tr.Keep(1, c))
	}
	assert.False(t, tr.Keep(1, c), "6: of one engine")
	tr.Released(1)
	assert.True(t, tr.Keep(1, c))
	for n := set.MaxIdlePerEngine; n < set.MaxIdleTotal; n++ {
		require.True(t, tr.Keep(uint32(n), c))
	}
	assert.False(t, tr.Keep(99, c), "6: of all")
	assert.False(t, proved(t).Keep(1, Conn{Queries: set.MaxQueries, Clean: true}), "5")
	assert.False(t, proved(t).Keep(1, Conn{Clean: true, Closing: true}))
	set.Disabled = true
	off, err := New(set)
	require.NoError(t, err)
	assert.False(t, off.Keep(1, c))
}

// TestInvariants plays any history of connections and checks by number.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Defaults()
		tr, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		now, spoiltAt, silent, all, kept := time.Duration(0), -24*time.Hour, map[uint32]int{}, 0, map[uint32]int{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "pause"))
			e := uint32(rapid.IntRange(1, 3).Draw(t, "engine"))
			c := Conn{Queries: rapid.IntRange(1, 1100).Draw(t, "queries"), IdleTime: time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "idle")),
				EngineSilence: time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "unheard")),
				Clean:         rapid.IntRange(0, 4).Draw(t, "clean") > 0, Closing: rapid.IntRange(0, 9).Draw(t, "last") == 0}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					tr.Malformed(e, now)
					spoiltAt, silent[e], all = now, 0, 0
				}
			case 1, 2, 3, 4:
				for range rapid.IntRange(1, 20).Draw(t, "silent") {
					tr.StayedQuiet(e)
					silent[e]++
					all++
				}
			case 5:
				if tr.Keep(e, c) {
					kept[e]++
					if !c.Clean || c.Closing || c.Queries >= set.MaxQueries {
						t.Fatalf("2, 5: kept %+v", c)
					}
				}
			case 6:
				if kept[e] > 0 {
					kept[e]--
					tr.Released(e)
				}
			default:
				unsafe := rapid.Bool().Draw(t, "unsafe")
				if tr.Decide(e, c, unsafe, now) == Use {
					switch {
					case unsafe:
						t.Fatal("1: a load on a connection that served before")
					case !c.Clean || c.Closing || c.IdleTime < set.QuietPeriod:
						t.Fatalf("2: serves %+v", c)
					case all < set.ProofConnections || silent[e] < set.ProofConnectionsPerEngine:
						t.Fatalf("3: serves after %d in a row, %d of its engine", all, silent[e])
					case now-spoiltAt < set.DistrustPeriod:
						t.Fatalf("4: serves %v after a spoilt answer", now-spoiltAt)
					case c.IdleTime > set.MaxIdleTime || c.EngineSilence > set.MaxEngineSilence:
						t.Fatalf("5: serves %+v", c)
					}
				}
			}
			idle := 0
			for id, n := range kept {
				if idle += n; n > set.MaxIdlePerEngine {
					t.Fatalf("6: %d of engine %d", n, id)
				}
			}
			if idle > set.MaxIdleTotal {
				t.Fatalf("6: %d of all", idle)
			}
		}
	})
}

func TestDistrustDoubles(t *testing.T) {
	tr := proved(t)
	set := Defaults()
	now := time.Duration(0)
	for i := range 12 {
		tr.Malformed(2, now)
		hold := min(set.MaxDistrustPeriod, set.DistrustPeriod<<i)
		for range set.ProofConnections {
			tr.StayedQuiet(1)
		}
		assert.False(t, tr.Trusted(1, now+hold-1), i)
		assert.True(t, tr.Trusted(1, now+hold), i)
		now += hold
	}
	now += 3 * set.FaultMemory
	tr.Malformed(2, now)
	for range set.ProofConnections {
		tr.StayedQuiet(1)
	}
	assert.True(t, tr.Trusted(1, now+set.DistrustPeriod), "what is forgotten doubles nothing")
}

func TestSettingsAreChecked(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"quiet": func(s *Settings) { s.QuietPeriod = 0 }, "prove": func(s *Settings) { s.ProofConnections = 0 }, "distrust": func(s *Settings) { s.DistrustPeriod = 0 },
		"most_distrust": func(s *Settings) { s.MaxDistrustPeriod = 1 }, "max_idle": func(s *Settings) { s.MaxIdleTime = 1 },
		"prove_each": func(s *Settings) { s.ProofConnectionsPerEngine = s.ProofConnections + 1 }, "max_unheard": func(s *Settings) { s.MaxEngineSilence = 0 },
		"most_queries": func(s *Settings) { s.MaxQueries = 0 }, "forget": func(s *Settings) { s.FaultMemory = 0 },
	} {
		set := Defaults()
		spoil(&set)
		_, err := New(set)
		assert.ErrorContains(t, err, "reuse: "+field+":")
	}
}

// What is not trusted serves what may be repeated, where the answer is confirmed, and nothing else that it did not before.
func TestWhatIsNotTrustedServesConfirmed(t *testing.T) {
	tr, err := New(Defaults())
	require.NoError(t, err)
	c := Conn{Queries: 1, IdleTime: 50 * ms, Clean: true}
	assert.Equal(t, UseAndConfirm, tr.Decide(1, c, false, time.Second), "nothing has proved itself yet")
	assert.Equal(t, KeepIdle, tr.Decide(1, c, true, time.Second), "a load")
	tr.Malformed(2, time.Second)
	assert.Equal(t, UseAndConfirm, tr.Decide(1, c, false, 2*time.Second), "another engine spoilt one")
	for spoil, want := range map[*Conn]Decision{
		{IdleTime: 19 * ms, Clean: true}:                                   KeepIdle,
		{IdleTime: 50 * ms}:                                                Close,
		{IdleTime: 50 * ms, Clean: true, Closing: true}:                    Close,
		{IdleTime: 4 * time.Second, Clean: true}:                           Close,
		{IdleTime: 50 * ms, Clean: true, EngineSilence: 2*time.Second + 1}: KeepIdle,
	} {
		assert.Equal(t, want, tr.Decide(1, *spoil, false, 2*time.Second), "%+v", *spoil)
	}
	for range Defaults().ProofConnections {
		tr.StayedQuiet(1)
	}
	assert.Equal(t, UseAndConfirm, tr.Decide(1, c, false, 3*time.Second))
	assert.Equal(t, Use, tr.Decide(1, c, false, time.Second+Defaults().DistrustPeriod))
}
