package reuse

import (
	"fmt"
	"time"
)

// Conn is what has to be known of a connection that has just ended a query, or that is idle.
type Conn struct {
	Queries       int           // that it has served
	IdleTime      time.Duration // since its last response was consumed
	EngineSilence time.Duration // since anything was heard from its engine
	Clean         bool          // open, its responses consumed to the last byte, and nothing more has come
	Closing       bool          // its engine has told that it closes it
}

// Policy is what one front end decides about the connections to its engines.
type Policy struct {
	settings        Settings
	engines         map[uint32]*engineRecord
	quietInRow      int           // connections that stayed quiet, to all engines
	distrustedUntil time.Duration // no connection serves again before
	lastFaultAt     time.Duration
	recentFaults    int // within FaultMemory of each other
	idle            int // connections that are kept
}

// engineRecord is about one process of an engine.
type engineRecord struct {
	quietInRow int // connections that stayed quiet
	idle       int // connections that are kept
}

// New returns a Policy that trusts no connection yet, or an error that names the setting out of range.
func New(settings Settings) (*Policy, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("reuse: %w", err)
	}
	return &Policy{settings: settings, engines: map[uint32]*engineRecord{}}, nil
}

// engine returns the record of an engine, a new one if there is none.
func (p *Policy) engine(id uint32) *engineRecord {
	record := p.engines[id]
	if record == nil {
		record = &engineRecord{}
		p.engines[id] = record
	}
	return record
}

// RemoveEngine drops an engine whose process has gone or was replaced. Released must have been called for its kept
// connections before.
func (p *Policy) RemoveEngine(id uint32) { delete(p.engines, id) }

// maxDoublings bounds the shift of the distrust.
const maxDoublings = 30

// Malformed tells that a response of the engine could not be read or could not be right, or that more came than belongs
// to it.
func (p *Policy) Malformed(id uint32, now time.Duration) {
	p.engine(id).quietInRow, p.quietInRow = 0, 0
	if p.recentFaults > 0 && now-p.lastFaultAt > p.settings.FaultMemory {
		p.recentFaults = 0
	}
	p.lastFaultAt = now
	distrust := p.settings.MaxDistrustPeriod
	if p.recentFaults < maxDoublings {
		distrust = min(distrust, p.settings.DistrustPeriod<<p.recentFaults)
	}
	p.recentFaults++
	p.distrustedUntil = max(p.distrustedUntil, now+distrust)
}

// StayedQuiet tells that a connection to the engine brought nothing more for QuietPeriod after its last response.
func (p *Policy) StayedQuiet(id uint32) {
	p.engine(id).quietInRow++
	p.quietInRow++
}

// Keep decides whether a connection that has just ended a query is kept: to serve again, or at least to prove that it
// stays quiet. Released is to be called for each one that is kept, once it is closed or used.
func (p *Policy) Keep(id uint32, c Conn) bool {
	engine := p.engine(id)
	switch {
	case p.settings.Disabled:
		return false
	case !c.Clean || c.Closing || c.Queries >= p.settings.MaxQueries:
		return false
	case engine.idle >= p.settings.MaxIdlePerEngine || p.idle >= p.settings.MaxIdleTotal:
		return false
	}
	engine.idle++
	p.idle++
	return true
}

// Released tells that a kept connection is kept no more.
func (p *Policy) Released(id uint32) {
	if engine := p.engines[id]; engine != nil && engine.idle > 0 {
		engine.idle--
	}
	if p.idle > 0 {
		p.idle--
	}
}

// Decision is what is to be done with a kept connection.
type Decision int

// The decisions.
const (
	KeepIdle      Decision = iota // it stays kept
	Use                           // it may serve the query
	Close                         // it is to be closed
	UseAndConfirm                 // it may serve the query, and the response counts once it was confirmed
)

// Decide returns what a kept connection may do for a query, and what becomes of it otherwise.
func (p *Policy) Decide(id uint32, c Conn, nonIdempotent bool, now time.Duration) Decision {
	switch {
	case !c.Clean || c.Closing || c.IdleTime > p.settings.MaxIdleTime:
		return Close
	case now < p.distrustedUntil && !p.settings.ConfirmResponses:
		return Close // it has proved that it stays quiet, and may do no more
	case c.IdleTime < p.settings.QuietPeriod || nonIdempotent || c.EngineSilence > p.settings.MaxEngineSilence:
		return KeepIdle
	case p.Trusted(id, now):
		return Use
	case p.settings.ConfirmResponses && !p.settings.Disabled:
		return UseAndConfirm
	}
	return KeepIdle
}

// Trusted reports whether connections to the engine may serve again now without confirmation.
func (p *Policy) Trusted(id uint32, now time.Duration) bool {
	engine := p.engines[id]
	if p.settings.Disabled || engine == nil || now < p.distrustedUntil {
		return false
	}
	return p.quietInRow >= p.settings.ProofConnections && engine.quietInRow >= p.settings.ProofConnectionsPerEngine
}

// QuietPeriod returns how long a connection must have been quiet before it serves again.
func (p *Policy) QuietPeriod() time.Duration { return p.settings.QuietPeriod }

// MaxIdleTime returns how long a connection may be idle.
func (p *Policy) MaxIdleTime() time.Duration { return p.settings.MaxIdleTime }
