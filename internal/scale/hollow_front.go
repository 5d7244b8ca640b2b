package scale

import (
	"maps"
	"sync"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

// hollowFront is what a hollow member stands for: a front end that has nothing out at any engine, and counts requests
// that nobody sent.
type hollowFront struct {
	engines []rollout.Engine
	rate    float64 // requests a second
	started time.Time

	mu      sync.Mutex
	inForce map[string]time.Time // since when each drained engine is excluded
}

func newHollowFront(engines []rollout.Engine, rate float64) *hollowFront {
	return &hollowFront{engines: engines, rate: rate, started: time.Now(), inForce: map[string]time.Time{}}
}

// Exclude implements fleet.FrontEnd.
func (f *hollowFront) Exclude(engines fleet.EngineSet) {
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
func (f *hollowFront) Drained(string) bool { return true }

// Engines implements fleet.FrontEnd.
func (f *hollowFront) Engines() []rollout.Engine { return f.engines }

// RequestCounts implements fleet.FrontEnd.
func (f *hollowFront) RequestCounts() rollout.RequestCounts {
	return rollout.RequestCounts{Requests: int64(f.rate * time.Since(f.started).Seconds())}
}

// excludedSince tells since when each drained engine is excluded.
func (f *hollowFront) excludedSince() map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.inForce)
}
