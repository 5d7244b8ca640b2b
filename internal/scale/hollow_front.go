package scale

import (
	"maps"
	"sync"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

// simulatedFrontEnd implements the front end of a simulated member: no request is in flight at any engine, and the
// request counts grow at a fixed rate without client traffic.
type simulatedFrontEnd struct {
	engines []rollout.Engine
	rate    float64 // requests a second
	started time.Time

	mu      sync.Mutex
	inForce map[string]time.Time // by excluded engine: when the exclusion began
}

func newSimulatedFrontEnd(engines []rollout.Engine, rate float64) *simulatedFrontEnd {
	return &simulatedFrontEnd{engines: engines, rate: rate, started: time.Now(), inForce: map[string]time.Time{}}
}

// Exclude implements fleet.FrontEnd.
func (f *simulatedFrontEnd) Exclude(engines fleet.EngineSet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for engine := range f.inForce {
		if !engines[engine] {
			delete(f.inForce, engine)
		}
	}
	for engine, excluded := range engines {
		if _, already := f.inForce[engine]; excluded && !already {
			f.inForce[engine] = time.Now()
		}
	}
}

// Drained implements fleet.FrontEnd.
func (f *simulatedFrontEnd) Drained(string) bool { return true }

// Engines implements fleet.FrontEnd.
func (f *simulatedFrontEnd) Engines() []rollout.Engine { return f.engines }

// RequestCounts implements fleet.FrontEnd.
func (f *simulatedFrontEnd) RequestCounts() rollout.RequestCounts {
	return rollout.RequestCounts{Requests: int64(f.rate * time.Since(f.started).Seconds())}
}

// excludedSince returns, for each excluded engine, the time at which the exclusion began.
func (f *simulatedFrontEnd) excludedSince() map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.inForce)
}
