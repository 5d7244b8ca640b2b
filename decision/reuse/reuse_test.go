package reuse

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// proveConnections reports enough quiet connections to an engine for reuse to be permitted.
func proveConnections(p *Policy, id uint32) {
	for range Defaults().ProofConnections {
		p.StayedQuiet(id)
	}
}

// newTrustingPolicy returns a Policy without ConfirmResponses that has seen enough quiet connections to engine 1.
func newTrustingPolicy(t *testing.T) *Policy {
	t.Helper()
	settings := Defaults()
	settings.ConfirmResponses = false
	p, err := New(settings)
	require.NoError(t, err)
	proveConnections(p, 1)
	return p
}

// quietConn returns a connection that may serve again, after applying change to it. A nil change applies nothing.
func quietConn(change func(*Conn)) Conn {
	c := Conn{Queries: 3, IdleTime: 50 * ms, Clean: true}
	if change != nil {
		change(&c)
	}
	return c
}

// tableRows lists the decision on a connection after some events.
var tableRows = []struct {
	name          string
	before        func(*Policy) // events before the decision
	engine        uint32        // 0: engine 1
	change        func(*Conn)
	nonIdempotent bool
	want          Decision
}{
	{name: "trusted and quiet", want: Use},
	{name: "non-idempotent request", nonIdempotent: true, want: KeepIdle},
	{name: "quiet for less than QuietPeriod", change: func(c *Conn) { c.IdleTime = 19 * ms }, want: KeepIdle},
	{name: "idle for more than MaxIdleTime", change: func(c *Conn) { c.IdleTime = 4 * time.Second }, want: Close},
	{name: "surplus data received", change: func(c *Conn) { c.Clean = false }, want: Close},
	{name: "engine has announced to close the connection", change: func(c *Conn) { c.Closing = true }, want: Close},
	{name: "another engine without quiet connections", engine: 2, want: KeepIdle},
	{
		name:   "engine is silent for more than MaxEngineSilence",
		change: func(c *Conn) { c.EngineSilence = 2*time.Second + 1 },
		want:   KeepIdle,
	},
	{name: "another engine with one quiet connection", before: func(p *Policy) { p.StayedQuiet(2) }, engine: 2, want: Use},
	{
		name: "one quiet connection too few after a fault long ago",
		before: func(p *Policy) {
			p.Malformed(2, -2*time.Minute)
			for range Defaults().ProofConnections - 1 {
				p.StayedQuiet(1)
			}
		},
		want: KeepIdle,
	},
	{name: "recent fault of the engine", before: func(p *Policy) { p.Malformed(1, time.Second) }, want: Close},
	{name: "recent fault of another engine", before: func(p *Policy) { p.Malformed(2, time.Second) }, want: Close},
	{
		name: "fault of another engine long ago, followed by enough quiet connections",
		before: func(p *Policy) {
			p.Malformed(2, -2*time.Minute)
			proveConnections(p, 3)
		},
		want: Use,
	},
	{
		name:   "fault of the engine long ago, without quiet connections since",
		before: func(p *Policy) { p.Malformed(1, -2*time.Minute) },
		want:   KeepIdle,
	},
	{name: "engine's process was replaced", before: func(p *Policy) { p.RemoveEngine(1) }, want: KeepIdle},
	{
		name: "two faults, within the doubled distrust period",
		before: func(p *Policy) {
			p.Malformed(2, -3*time.Minute)
			p.Malformed(2, -90*time.Second)
		},
		want: Close,
	},
}

func TestDecide(t *testing.T) {
	for _, row := range tableRows {
		t.Run(row.name, func(t *testing.T) {
			p := newTrustingPolicy(t)
			if row.before != nil {
				row.before(p)
			}
			engine := max(row.engine, 1)
			assert.Equal(t, row.want, p.Decide(engine, quietConn(row.change), row.nonIdempotent, time.Second))
		})
	}
}

func TestKeepIsBounded(t *testing.T) {
	p := newTrustingPolicy(t)
	settings := Defaults()
	c := Conn{Queries: 1, Clean: true}
	for range settings.MaxIdlePerEngine {
		require.True(t, p.Keep(1, c))
	}
	assert.False(t, p.Keep(1, c), "6: more than MaxIdlePerEngine kept")
	p.Released(1)
	assert.True(t, p.Keep(1, c))
	for id := settings.MaxIdlePerEngine; id < settings.MaxIdleTotal; id++ {
		require.True(t, p.Keep(uint32(id), c))
	}
	assert.False(t, p.Keep(99, c), "6: more than MaxIdleTotal kept")
	assert.False(t, newTrustingPolicy(t).Keep(1, Conn{Queries: settings.MaxQueries, Clean: true}), "5")
	assert.False(t, newTrustingPolicy(t).Keep(1, Conn{Clean: true, Closing: true}))
	settings.Disabled = true
	disabled, err := New(settings)
	require.NoError(t, err)
	assert.False(t, disabled.Keep(1, c))
}

// history records the events so far, as far as the invariants depend on them.
type history struct {
	policy     *Policy
	settings   Settings
	now        time.Duration
	faultAt    time.Duration
	quiet      map[uint32]int // consecutive quiet connections, by engine
	quietTotal int            // consecutive quiet connections, to all engines
	kept       map[uint32]int // kept connections, by engine
}

// TestInvariants runs random sequences of events. Each failure message begins with the number of the invariant in
// doc.go.
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
			h.applyEvent(t)
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

// applyEvent draws an event, applies it to the policy and checks the result.
func (h *history) applyEvent(t *rapid.T) {
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
				t.Fatalf("2, 5: Keep accepts %+v", c)
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
			t.Fatal("1: non-idempotent request on a connection that has served before")
		}
		h.checkUse(t, id, c)
	}
}

// checkUse checks a connection that the policy uses without confirmation.
func (h *history) checkUse(t *rapid.T, id uint32, c Conn) {
	s := h.settings
	switch {
	case !c.Clean || c.Closing || c.IdleTime < s.QuietPeriod:
		t.Fatalf("2: Decide uses %+v", c)
	case h.quietTotal < s.ProofConnections || h.quiet[id] < s.ProofConnectionsPerEngine:
		t.Fatalf("3: Decide uses a connection after %d quiet ones, %d of them to the engine", h.quietTotal, h.quiet[id])
	case h.now-h.faultAt < s.DistrustPeriod:
		t.Fatalf("4: Decide uses a connection %v after a fault", h.now-h.faultAt)
	case c.IdleTime > s.MaxIdleTime || c.EngineSilence > s.MaxEngineSilence:
		t.Fatalf("5: Decide uses %+v", c)
	}
}

func (h *history) checkKept(t *rapid.T) {
	total := 0
	for id, n := range h.kept {
		total += n
		if n > h.settings.MaxIdlePerEngine {
			t.Fatalf("6: %d connections to engine %d are kept", n, id)
		}
	}
	if total > h.settings.MaxIdleTotal {
		t.Fatalf("6: %d connections are kept in all", total)
	}
}

func TestDistrustPeriodDoubles(t *testing.T) {
	p := newTrustingPolicy(t)
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
	assert.True(t, p.Trusted(1, now+settings.DistrustPeriod), "a fault older than FaultMemory must not double the period")
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
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
		invalidate(&settings)
		_, err := New(settings)
		require.ErrorContains(t, err, "reuse: "+key+":")
	}
}

// A connection that is not trusted serves idempotent requests only, and only with confirmation. Otherwise the same
// rules hold as for a trusted connection (invariant 7).
func TestUntrustedConnectionsNeedConfirmation(t *testing.T) {
	p, err := New(Defaults())
	require.NoError(t, err)
	c := Conn{Queries: 1, IdleTime: 50 * ms, Clean: true}
	assert.Equal(t, UseAndConfirm, p.Decide(1, c, false, time.Second), "no quiet connections yet")
	assert.Equal(t, KeepIdle, p.Decide(1, c, true, time.Second), "non-idempotent request")
	p.Malformed(2, time.Second)
	assert.Equal(t, UseAndConfirm, p.Decide(1, c, false, 2*time.Second), "recent fault of another engine")
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
