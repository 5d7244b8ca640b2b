package reuse

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// proveConnections lets as many connections to an engine stay quiet as prove it.
func proveConnections(p *Policy, id uint32) {
	for range Defaults().ProofConnections {
		p.StayedQuiet(id)
	}
}

// proved returns a Policy for which the connections to engine 1 are proved, and that confirms nothing.
func proved(t *testing.T) *Policy {
	t.Helper()
	settings := Defaults()
	settings.ConfirmResponses = false
	p, err := New(settings)
	require.NoError(t, err)
	proveConnections(p, 1)
	return p
}

// quietConn returns a connection that may serve, with a change.
func quietConn(change func(*Conn)) Conn {
	c := Conn{Queries: 3, IdleTime: 50 * ms, Clean: true}
	if change != nil {
		change(&c)
	}
	return c
}

// tableRows are decisions about connections to an engine, 1 if none is named.
var tableRows = []struct {
	name          string
	before        func(*Policy)
	engine        uint32
	change        func(*Conn)
	nonIdempotent bool
	want          Decision
}{
	{name: "proved and quiet", want: Use},
	{name: "a load", nonIdempotent: true, want: KeepIdle},
	{name: "too soon", change: func(c *Conn) { c.IdleTime = 19 * ms }, want: KeepIdle},
	{name: "idle for long", change: func(c *Conn) { c.IdleTime = 4 * time.Second }, want: Close},
	{name: "something came", change: func(c *Conn) { c.Clean = false }, want: Close},
	{name: "to be closed by its engine", change: func(c *Conn) { c.Closing = true }, want: Close},
	{name: "another engine, not proved", engine: 2, want: KeepIdle},
	{
		name:   "nothing heard from it",
		change: func(c *Conn) { c.EngineSilence = 2*time.Second + 1 },
		want:   KeepIdle,
	},
	{name: "another engine's first", before: func(p *Policy) { p.StayedQuiet(2) }, engine: 2, want: Use},
	{
		name: "all proved but one, a fault long ago",
		before: func(p *Policy) {
			p.Malformed(2, -2*time.Minute)
			for range Defaults().ProofConnections - 1 {
				p.StayedQuiet(1)
			}
		},
		want: KeepIdle,
	},
	{name: "a fault of its engine", before: func(p *Policy) { p.Malformed(1, time.Second) }, want: Close},
	{name: "a fault of another engine", before: func(p *Policy) { p.Malformed(2, time.Second) }, want: Close},
	{
		name: "a fault long ago",
		before: func(p *Policy) {
			p.Malformed(2, -2*time.Minute)
			proveConnections(p, 3)
		},
		want: Use,
	},
	{
		name:   "its own fault long ago, not proved",
		before: func(p *Policy) { p.Malformed(1, -2*time.Minute) },
		want:   KeepIdle,
	},
	{name: "its process was replaced", before: func(p *Policy) { p.RemoveEngine(1) }, want: KeepIdle},
	{
		name: "two faults, within the doubled distrust",
		before: func(p *Policy) {
			p.Malformed(2, -3*time.Minute)
			p.Malformed(2, -90*time.Second)
		},
		want: Close,
	},
}

func TestTable(t *testing.T) {
	for _, row := range tableRows {
		t.Run(row.name, func(t *testing.T) {
			p := proved(t)
			if row.before != nil {
				row.before(p)
			}
			engine := max(row.engine, 1)
			assert.Equal(t, row.want, p.Decide(engine, quietConn(row.change), row.nonIdempotent, time.Second))
		})
	}
}

func TestKeepIsBounded(t *testing.T) {
	p := proved(t)
	settings := Defaults()
	c := Conn{Queries: 1, Clean: true}
	for range settings.MaxIdlePerEngine {
		require.True(t, p.Keep(1, c))
	}
	assert.False(t, p.Keep(1, c), "6: to one engine")
	p.Released(1)
	assert.True(t, p.Keep(1, c))
	for id := settings.MaxIdlePerEngine; id < settings.MaxIdleTotal; id++ {
		require.True(t, p.Keep(uint32(id), c))
	}
	assert.False(t, p.Keep(99, c), "6: of all")
	assert.False(t, proved(t).Keep(1, Conn{Queries: settings.MaxQueries, Clean: true}), "5")
	assert.False(t, proved(t).Keep(1, Conn{Clean: true, Closing: true}))
	settings.Disabled = true
	disabled, err := New(settings)
	require.NoError(t, err)
	assert.False(t, disabled.Keep(1, c))
}

// history is what the invariants need to know of the events so far.
type history struct {
	policy     *Policy
	settings   Settings
	now        time.Duration
	faultAt    time.Duration
	quiet      map[uint32]int // in a row, by engine
	quietTotal int            // in a row
	kept       map[uint32]int // by engine
}

// TestInvariants plays any history of connections and checks by number.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy, err := New(Defaults())
		if err != nil {
			t.Fatal(err)
		}
		h := &history{
			policy:   policy,
			settings: Defaults(),
			faultAt:  -24 * time.Hour,
			quiet:    map[uint32]int{},
			kept:     map[uint32]int{},
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			h.now += time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "pause"))
			h.draw(t)
			h.checkKept(t)
		}
	})
}

func drawConn(t *rapid.T) Conn {
	return Conn{
		Queries:       rapid.IntRange(1, 1100).Draw(t, "queries"),
		IdleTime:      time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "idle")),
		EngineSilence: time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "silence")),
		Clean:         rapid.IntRange(0, 4).Draw(t, "clean") > 0,
		Closing:       rapid.IntRange(0, 9).Draw(t, "closing") == 0,
	}
}

// draw lets something happen to a connection.
func (h *history) draw(t *rapid.T) {
	id := uint32(rapid.IntRange(1, 3).Draw(t, "engine"))
	c := drawConn(t)
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
			h.policy.Malformed(id, h.now)
			h.faultAt, h.quiet[id], h.quietTotal = h.now, 0, 0
		}
	case 1, 2, 3, 4:
		for range rapid.IntRange(1, 20).Draw(t, "quiet") {
			h.policy.StayedQuiet(id)
			h.quiet[id]++
			h.quietTotal++
		}
	case 5:
		if h.policy.Keep(id, c) {
			h.kept[id]++
			if !c.Clean || c.Closing || c.Queries >= h.settings.MaxQueries {
				t.Fatalf("2, 5: kept %+v", c)
			}
		}
	case 6:
		if h.kept[id] > 0 {
			h.kept[id]--
			h.policy.Released(id)
		}
	default:
		nonIdempotent := rapid.Bool().Draw(t, "non-idempotent")
		if h.policy.Decide(id, c, nonIdempotent, h.now) != Use {
			return
		}
		if nonIdempotent {
			t.Fatal("1: a load on a connection that has served before")
		}
		h.checkUse(t, id, c)
	}
}

// checkUse checks a connection that is used without confirmation.
func (h *history) checkUse(t *rapid.T, id uint32, c Conn) {
	s := h.settings
	switch {
	case !c.Clean || c.Closing || c.IdleTime < s.QuietPeriod:
		t.Fatalf("2: uses %+v", c)
	case h.quietTotal < s.ProofConnections || h.quiet[id] < s.ProofConnectionsPerEngine:
		t.Fatalf("3: uses after %d in a row, %d to its engine", h.quietTotal, h.quiet[id])
	case h.now-h.faultAt < s.DistrustPeriod:
		t.Fatalf("4: uses %v after a malformed response", h.now-h.faultAt)
	case c.IdleTime > s.MaxIdleTime || c.EngineSilence > s.MaxEngineSilence:
		t.Fatalf("5: uses %+v", c)
	}
}

func (h *history) checkKept(t *rapid.T) {
	total := 0
	for id, n := range h.kept {
		total += n
		if n > h.settings.MaxIdlePerEngine {
			t.Fatalf("6: %d to engine %d", n, id)
		}
	}
	if total > h.settings.MaxIdleTotal {
		t.Fatalf("6: %d of all", total)
	}
}

func TestDistrustDoubles(t *testing.T) {
	p := proved(t)
	settings := Defaults()
	now := time.Duration(0)
	for i := range 12 {
		p.Malformed(2, now)
		distrust := min(settings.MaxDistrustPeriod, settings.DistrustPeriod<<i)
		proveConnections(p, 1)
		assert.False(t, p.Trusted(1, now+distrust-1), i)
		assert.True(t, p.Trusted(1, now+distrust), i)
		now += distrust
	}
	now += 3 * settings.FaultMemory
	p.Malformed(2, now)
	proveConnections(p, 1)
	assert.True(t, p.Trusted(1, now+settings.DistrustPeriod), "a fault that is forgotten doubles nothing")
}

func TestSettingsAreChecked(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"quiet_period":                 func(s *Settings) { s.QuietPeriod = 0 },
		"proof_connections":            func(s *Settings) { s.ProofConnections = 0 },
		"proof_connections_per_engine": func(s *Settings) { s.ProofConnectionsPerEngine = s.ProofConnections + 1 },
		"distrust_period":              func(s *Settings) { s.DistrustPeriod = 0 },
		"max_distrust_period":          func(s *Settings) { s.MaxDistrustPeriod = 1 },
		"fault_memory":                 func(s *Settings) { s.FaultMemory = 0 },
		"max_queries":                  func(s *Settings) { s.MaxQueries = 0 },
		"max_idle_time":                func(s *Settings) { s.MaxIdleTime = 1 },
		"max_engine_silence":           func(s *Settings) { s.MaxEngineSilence = 0 },
	} {
		settings := Defaults()
		spoil(&settings)
		_, err := New(settings)
		require.ErrorContains(t, err, "reuse: "+key+":")
	}
}

// A connection that is not trusted serves what is idempotent, if the response is confirmed, and nothing else that it
// did not before (invariant 7).
func TestUntrustedConnectionsServeConfirmed(t *testing.T) {
	p, err := New(Defaults())
	require.NoError(t, err)
	c := Conn{Queries: 1, IdleTime: 50 * ms, Clean: true}
	assert.Equal(t, UseAndConfirm, p.Decide(1, c, false, time.Second), "nothing is proved yet")
	assert.Equal(t, KeepIdle, p.Decide(1, c, true, time.Second), "a load")
	p.Malformed(2, time.Second)
	assert.Equal(t, UseAndConfirm, p.Decide(1, c, false, 2*time.Second), "a fault of another engine")
	for _, row := range []struct {
		conn Conn
		want Decision
	}{
		{Conn{IdleTime: 19 * ms, Clean: true}, KeepIdle},
		{Conn{IdleTime: 50 * ms}, Close},
		{Conn{IdleTime: 50 * ms, Clean: true, Closing: true}, Close},
		{Conn{IdleTime: 4 * time.Second, Clean: true}, Close},
		{Conn{IdleTime: 50 * ms, Clean: true, EngineSilence: 2*time.Second + 1}, KeepIdle},
	} {
		assert.Equal(t, row.want, p.Decide(1, row.conn, false, 2*time.Second), "%+v", row.conn)
	}
	proveConnections(p, 1)
	assert.Equal(t, UseAndConfirm, p.Decide(1, c, false, 3*time.Second))
	assert.Equal(t, Use, p.Decide(1, c, false, time.Second+Defaults().DistrustPeriod))
}
