// Package reuse decides whether a connection to an engine may serve a further query.
//
// Nothing in an engine's answer tells which query it belongs to. On a connection that serves many queries, a second copy
// of an answer that comes late would be read as the answer to the query after, and rows that no engine made for a
// request would be served. So a connection serves again only where that is proved safe as far as anything seen can
// prove it, and trust is lost at once and regained slowly.
//
// A [Trust] is told how connections behaved and answers whether one may be kept, and whether one may serve. It does no
// I/O, keeps no clock and starts no goroutine; it is not safe for concurrent use.
//
// # Invariants
//
//  1. A request that must not run twice never goes out on a connection that served before.
//  2. A connection serves again only after its last answer was consumed to the last byte and nothing more came for Quiet.
//  3. Connections serve again only after Prove connections in a row, of whichever engines, stayed silent for Quiet after
//     their last answer, ProveEach of them of the engine's present process. Anything spoilt or surplus starts both rows
//     anew.
//  4. After anything spoilt or surplus, from whichever engine, no connection is trusted for Distrust: what spoils
//     answers is more often the network than one engine. Each further time within Forget doubles the time, up to
//     MostDistrust.
//  5. A connection serves at most MostQueries times and is idle for at most MaxIdle before it serves again.
//     It does not serve while nothing was heard of its engine for MaxUnheard: a machine that has vanished says nothing
//     on an open connection, while a new one shows it at once and proves that nothing ran.
//  6. At most MostIdle connections of an engine are kept, and at most MostIdleAll of all.
//  7. A connection that is not trusted serves, where Confirm is set, only what may be repeated, and its answer counts only once it
//     was asked for again behind it, on the same connection, and came the same: what another query's answer had left behind stands before
//     the true one, so the row of answers is shifted by one, and the second is another than the first.
//
// # What it gives up
//
// A copy that comes later than Quiet, from an engine that was clean until then, while the next query is out, would be
// read as its answer. No rule on the client's side of a protocol without ids can exclude that; Quiet, Prove and the
// row that starts anew make it need a first fault of exactly this kind, in a window of milliseconds, on a deployment that
// showed no other. Where that is too much, Off keeps one connection for each query, as it was.
package reuse

import (
	"fmt"
	"time"
)

// Settings are the bounds of the decisions. [Defaults] gives each with its reason.
type Settings struct {
	Disabled                  bool
	QuietPeriod               time.Duration
	ProofConnections          int
	ProofConnectionsPerEngine int
	DistrustPeriod            time.Duration
	MaxDistrustPeriod         time.Duration
	FaultMemory               time.Duration
	MaxQueries                int
	MaxIdleTime               time.Duration
	MaxEngineSilence          time.Duration
	MaxIdlePerEngine          int
	MaxIdleTotal              int
	ConfirmResponses          bool
}

// Defaults are the bounds in force where nothing else is set.
func Defaults() Settings {
	return Settings{
		// Many times a round trip within a site (2.6 ms at most here): a copy that was sent with the answer is there by then.
		QuietPeriod: 20 * time.Millisecond,
		// Answers are spoilt on the way or by a release, so by all engines alike: one row for all proves it within a second or
		// two at a few queries a second, where a row for each engine would take a front end of a large fleet most of a
		// minute. What one process alone does its own first connection shows.
		ProofConnections: 12, ProofConnectionsPerEngine: 1,
		// A day that spoils answers spoils one every few seconds: the second one already doubles the time.
		DistrustPeriod: time.Minute, MaxDistrustPeriod: time.Hour, FaultMemory: 2 * time.Hour,
		// A connection that is opened anew now and then costs nothing and bounds what one fault can do.
		MaxQueries: 1000,
		// Far under the idle time-outs of engines (30 s here) and of what stands between.
		MaxIdleTime: 3 * time.Second,
		// A front end of a large fleet hears of each engine that it draws from several times in this.
		MaxEngineSilence: 2 * time.Second,
		MaxIdlePerEngine: 16, MaxIdleTotal: 64,
		// One more call on a connection that is there costs less than a handshake, and proves more than silence does.
		ConfirmResponses: true,
	}
}

// Check names the first bound that can't be used.
func (s Settings) Check() error {
	switch {
	case s.QuietPeriod <= 0:
		return fmt.Errorf("quiet: %v is not more than 0", s.QuietPeriod)
	case s.ProofConnections < 1:
		return fmt.Errorf("prove: %d is not at least 1", s.ProofConnections)
	case s.ProofConnectionsPerEngine < 0 || s.ProofConnectionsPerEngine > s.ProofConnections:
		return fmt.Errorf("prove_each: %d is not from 0 to prove (%d)", s.ProofConnectionsPerEngine, s.ProofConnections)
	case s.DistrustPeriod <= 0:
		return fmt.Errorf("distrust: %v is not more than 0", s.DistrustPeriod)
	case s.MaxDistrustPeriod < s.DistrustPeriod:
		return fmt.Errorf("most_distrust: %v is less than distrust (%v)", s.MaxDistrustPeriod, s.DistrustPeriod)
	case s.FaultMemory <= 0:
		return fmt.Errorf("forget: %v is not more than 0", s.FaultMemory)
	case s.MaxQueries < 1:
		return fmt.Errorf("most_queries: %d is not at least 1", s.MaxQueries)
	case s.MaxIdleTime <= s.QuietPeriod:
		return fmt.Errorf("max_idle: %v is not more than quiet (%v)", s.MaxIdleTime, s.QuietPeriod)
	case s.MaxEngineSilence <= 0:
		return fmt.Errorf("max_unheard: %v is not more than 0", s.MaxEngineSilence)
	case s.MaxIdlePerEngine < 0 || s.MaxIdleTotal < 0:
		return fmt.Errorf("most_idle: it is negative")
	}
	return nil
}

// Conn is what has to be known of a connection that has just ended a query, or that is idle.
type Conn struct {
	Queries       int           // that it has served
	IdleTime      time.Duration // since its last answer was consumed
	EngineSilence time.Duration // since anything was heard of its engine
	Clean         bool          // open, its answers consumed to the last byte, and nothing more has come
	Closing       bool          // its engine has told that it closes it
}

// Policy is what one front end makes of its engines' connections.
type Policy struct {
	settings        Settings
	engines         map[uint32]*engineRecord
	quietInRow      int           // connections in a row that stayed silent, of all engines
	distrustedUntil time.Duration // no connection serves again before
	lastFaultAt     time.Duration // when distrust began last
	recentFaults    int           // that it began within Forget
	idle            int           // connections that are kept
}

// engineRecord is the record of one process of an engine.
type engineRecord struct {
	quietInRow int // connections in a row that stayed silent
	idle       int // connections that are kept
}

// New returns a Trust that trusts nobody yet, or an error that names the bound that can't be used.
func New(set Settings) (*Policy, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("reuse: %w", err)
	}
	return &Policy{settings: set, engines: map[uint32]*engineRecord{}}, nil
}

func (t *Policy) engine(engine uint32) *engineRecord {
	r := t.engines[engine]
	if r == nil {
		r = &engineRecord{}
		t.engines[engine] = r
	}
	return r
}

// RemoveEngine drops an engine whose process has gone or was replaced; its kept connections must have been told by Dropped
// before.
func (t *Policy) RemoveEngine(engine uint32) { delete(t.engines, engine) }

// Malformed tells that an answer of the engine could not be read or could not be right, or that more came than belonged
// to it.
func (t *Policy) Malformed(engine uint32, now time.Duration) {
	t.engine(engine).quietInRow, t.quietInRow = 0, 0
	if t.recentFaults > 0 && now-t.lastFaultAt > t.settings.FaultMemory {
		t.recentFaults = 0
	}
	t.lastFaultAt = now
	hold := t.settings.MaxDistrustPeriod
	if t.recentFaults < 30 {
		hold = min(hold, t.settings.DistrustPeriod<<t.recentFaults)
	}
	t.recentFaults++
	t.distrustedUntil = max(t.distrustedUntil, now+hold)
}

// StayedQuiet tells that a connection of the engine brought nothing more for Quiet after its last answer.
func (t *Policy) StayedQuiet(engine uint32) {
	t.engine(engine).quietInRow++
	t.quietInRow++
}

// Keep decides whether a connection that has just ended a query is kept: to serve again, or at least to prove itself
// silent. Each one that is kept is told by Dropped or Taken later.
func (t *Policy) Keep(engine uint32, c Conn) bool {
	r := t.engine(engine)
	if t.settings.Disabled || !c.Clean || c.Closing || c.Queries >= t.settings.MaxQueries || r.idle >= t.settings.MaxIdlePerEngine || t.idle >= t.settings.MaxIdleTotal {
		return false
	}
	r.idle++
	t.idle++
	return true
}

// Released tells that a kept connection is kept no more.
func (t *Policy) Released(engine uint32) {
	if r := t.engines[engine]; r != nil && r.idle > 0 {
		r.idle--
	}
	if t.idle > 0 {
		t.idle--
	}
}

// Decision is what is to be done with a kept connection.
type Decision int

// The verdicts.
const (
	KeepIdle      Decision = iota // it stays kept
	Use                           // it may take the query
	Close                         // it is to be closed
	UseAndConfirm                 // it may take the query, and the answer counts once it was confirmed
)

// Decide decides what a kept connection may do for a query, and what becomes of it otherwise. unsafe tells a request that
// must not run twice.
func (t *Policy) Decide(engine uint32, c Conn, unsafe bool, now time.Duration) Decision {
	switch {
	case !c.Clean || c.Closing || c.IdleTime > t.settings.MaxIdleTime:
		return Close
	case now < t.distrustedUntil && !t.settings.ConfirmResponses:
		return Close // it has proved itself silent, and may do no more
	case c.IdleTime < t.settings.QuietPeriod || unsafe || c.EngineSilence > t.settings.MaxEngineSilence:
		return KeepIdle
	case t.Trusted(engine, now):
		return Use
	case t.settings.ConfirmResponses && !t.settings.Disabled:
		return UseAndConfirm
	}
	return KeepIdle
}

// Trusted tells whether connections of the engine may serve again at this time.
func (t *Policy) Trusted(engine uint32, now time.Duration) bool {
	r := t.engines[engine]
	return !t.settings.Disabled && r != nil && t.quietInRow >= t.settings.ProofConnections && r.quietInRow >= t.settings.ProofConnectionsPerEngine && now >= t.distrustedUntil
}

// QuietPeriod is how long a connection must have been silent before it serves again.
func (t *Policy) QuietPeriod() time.Duration { return t.settings.QuietPeriod }

// MaxIdleTime is how long a connection may be idle.
func (t *Policy) MaxIdleTime() time.Duration { return t.settings.MaxIdleTime }
