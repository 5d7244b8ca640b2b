package reuse

import (
	"fmt"
	"time"
)

// Conn describes a connection that has completed a query or is idle.
type Conn struct {
	Queries       int           // queries that the connection has served
	IdleTime      time.Duration // since the last response was consumed
	EngineSilence time.Duration // since the engine's last response on any connection
	Clean         bool          // open, all responses consumed to the last byte, and no surplus data received
	Closing       bool          // the engine has announced that it closes the connection
}

// Policy decides which connections of one front end to its engines are reused.
type Policy struct {
	settings        Settings
	engines         map[uint32]*engineRecord
	quietInRow      int           // consecutive connections, to any engine, that stayed quiet
	distrustedUntil time.Duration // until then, no connection is trusted
	lastFaultAt     time.Duration
	recentFaults    int // consecutive faults, each within FaultMemory after the one before
	idle            int // kept connections
}

// engineRecord is the state of one process of an engine.
type engineRecord struct {
	quietInRow int // consecutive connections that stayed quiet
	idle       int // kept connections
}

// New returns a Policy that trusts no connection yet. The error names a setting that is out of range.
func New(settings Settings) (*Policy, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("reuse: %w", err)
	}
	return &Policy{settings: settings, engines: map[uint32]*engineRecord{}}, nil
}

// engine returns the record of an engine, and creates the record if there is none.
func (p *Policy) engine(id uint32) *engineRecord {
	record := p.engines[id]
	if record == nil {
		record = &engineRecord{}
		p.engines[id] = record
	}
	return record
}

// RemoveEngine discards the record of an engine whose process has ended or was replaced. The caller must first call
// Released for each kept connection to the engine.
func (p *Policy) RemoveEngine(id uint32) { delete(p.engines, id) }

// maxDoublings limits the doublings of the distrust period, so that the shift does not overflow.
const maxDoublings = 30

// Malformed records a fault: a response of the engine was malformed or implausible, or surplus data followed it.
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

// StayedQuiet records that a connection to the engine received no further byte for QuietPeriod after its last response.
func (p *Policy) StayedQuiet(id uint32) {
	p.engine(id).quietInRow++
	p.quietInRow++
}

// Keep reports whether to keep a connection that has just completed a query. Decide decides whether a kept connection
// may serve again. A kept connection that may not serve still counts as proof for reuse if the connection stays quiet.
// The caller must call Released for each kept connection once the connection is closed or used.
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

// Released records that a kept connection to the engine was closed or used.
func (p *Policy) Released(id uint32) {
	if engine := p.engines[id]; engine != nil && engine.idle > 0 {
		engine.idle--
	}
	if p.idle > 0 {
		p.idle--
	}
}

// Decision tells what to do with a kept connection when a query is about to be sent to its engine.
type Decision int

// The decisions.
const (
	KeepIdle      Decision = iota // the connection stays idle and does not serve the query
	Use                           // the connection may serve the query
	Close                         // the connection must be closed
	UseAndConfirm                 // the connection may serve the query, but the response must be confirmed
)

// Decide returns the decision on a kept connection for a query to the engine.
func (p *Policy) Decide(id uint32, c Conn, nonIdempotent bool, now time.Duration) Decision {
	switch {
	case !c.Clean || c.Closing || c.IdleTime > p.settings.MaxIdleTime:
		return Close
	case now < p.distrustedUntil && !p.settings.ConfirmResponses:
		return Close // during distrust, a kept connection serves no query and is only watched for surplus data
	case c.IdleTime < p.settings.QuietPeriod || nonIdempotent || c.EngineSilence > p.settings.MaxEngineSilence:
		return KeepIdle
	case p.Trusted(id, now):
		return Use
	case p.settings.ConfirmResponses && !p.settings.Disabled:
		return UseAndConfirm
	}
	return KeepIdle
}

// Trusted reports whether connections to the engine may currently serve again without confirmation.
func (p *Policy) Trusted(id uint32, now time.Duration) bool {
	engine := p.engines[id]
	if p.settings.Disabled || engine == nil || now < p.distrustedUntil {
		return false
	}
	return p.quietInRow >= p.settings.ProofConnections && engine.quietInRow >= p.settings.ProofConnectionsPerEngine
}

// QuietPeriod returns the time for which a connection must stay quiet before it serves again.
func (p *Policy) QuietPeriod() time.Duration { return p.settings.QuietPeriod }

// MaxIdleTime returns the longest time for which a connection may be idle before it serves again.
func (p *Policy) MaxIdleTime() time.Duration { return p.settings.MaxIdleTime }
