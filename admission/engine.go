package admission

import (
	"math"
	"slices"
	"sort"
	"time"

	"beechcart/decision/slowstart"
)

// removedEngineRetention is how long engines that have left are remembered, in case they come back.
const removedEngineRetention = 2 * time.Minute

// discoveryRetryInterval is how long discovery is left alone after it failed.
const discoveryRetryInterval = 500 * time.Millisecond

// discoveryState is the subscription to the engine list, where it has to be asked for.
type discoveryState struct {
	requested bool
	retryAt   time.Duration // not requested before
}

// engineState is what the controller keeps of one engine.
type engineState struct {
	Engine
	cores            float64
	memoryMB         float64 // 0: not known
	gossipID         uint16  // its name among front ends
	unavailable      bool    // draining or removed
	unavailableSince time.Duration

	// Attempts in flight, and what they reserve.
	attempts       []*attemptRef
	threads        float64
	memory         float64 // MB
	smallMemory    float64 // MB, of small classes
	averageThreads float64 // smoothed

	// What the engine tells of its load, and what answers tell.
	loadReport     Report
	reportedAt     time.Duration // negative: never
	checkedAt      time.Duration // the last health check, own or another front end's
	threadFactor   float64       // threads per core that it carries well
	limitReducedAt time.Duration // when threadFactor was reduced last
	slowdown       float64       // of its answers against those of calm engines, smoothed

	// Slow start. A warmingSince that is negative means that the engine is warm.
	warmingSince     time.Duration
	warmingAssumedAt time.Duration // when warming was assumed without word from discovery; 0: it wasn't
	slowStartSends   []slowStartSend
	slowStartQuota   slowstart.DelayedQuota
	randomDraw       float64 // for a request heavier than its part of the budget
	randomDrawUntil  time.Duration

	// Failures.
	lastAnswerAt        time.Duration // or another sign of life
	errorRate           float64       // fraction of its answers that are errors, smoothed
	missedChecks        int           // health checks that failed in a row
	consecutiveFailures int           // resets in a row; once ejected, failures since then
	processMayBeNew     bool          // connections were refused: its process may have been replaced
	overloadedUntil     time.Duration // it rejected an attempt; nothing is sent to it before
	ejected             bool
	ejectedUntil        time.Duration // no recovery traffic before
	recoveryInFlight    int           // attempts sent since it was ejected
	classRests          []classRest   // by class
}

func (c *Controller) newEngine(endpoint Engine) *engineState {
	return &engineState{
		Engine:       endpoint,
		gossipID:     uint16(rendezvousHash(0, endpoint.ID)),
		reportedAt:   -1,
		warmingSince: -1,
		threadFactor: initialThreadFactor,
		slowdown:     1,
		lastAnswerAt: c.now,
		classRests:   make([]classRest, len(c.estimates)),
	}
}

// handleEndpointsChanged applies a list, or a change to it.
func (c *Controller) handleEndpointsChanged(event EndpointsChanged) {
	if event.Kind == ListError {
		c.discovery.requested, c.discovery.retryAt = false, c.now+discoveryRetryInterval
		return
	}
	listed := map[uint32]bool{}
	for _, endpoint := range event.Engines {
		listed[endpoint.ID] = true
		c.applyEndpoint(endpoint)
	}
	if event.Kind == Partial {
		return
	}
	for _, engine := range c.engines {
		if !listed[engine.ID] && !engine.unavailable {
			endpoint := engine.Engine
			endpoint.State = Removed
			c.applyEndpoint(endpoint)
		}
	}
}

// applyEndpoint takes in what the list says of one engine. One that started lately, or that comes back without a
// time of start, begins its slow start.
func (c *Controller) applyEndpoint(endpoint Engine) {
	c.subset.listChanged = true
	engine := c.enginesByID[endpoint.ID]
	fresh := engine == nil
	if fresh {
		engine = c.newEngine(endpoint)
		c.addEngine(engine)
	}
	restarted := endpoint.Started > 0 && (fresh || endpoint.Started != engine.Started)
	returned := engine.unavailable && endpoint.State == Ready
	engine.Engine = endpoint
	engine.cores, engine.memoryMB = c.machineOf(endpoint)
	if !engine.unavailable && endpoint.State != Ready {
		engine.unavailableSince = c.now
	}
	engine.unavailable = endpoint.State != Ready
	if restarted && c.now-endpoint.Started < c.settings.SlowStart.Duration {
		c.beginSlowStart(engine, endpoint.Started)
	} else if returned && !restarted {
		c.beginSlowStart(engine, c.now)
	}
}

// addEngine puts an engine into its place on the ring, which is by the hash of its ID.
func (c *Controller) addEngine(engine *engineState) {
	c.enginesByID[engine.ID] = engine
	c.enginesByGossipID[engine.gossipID] = engine
	at := sort.Search(len(c.engines), func(i int) bool {
		return rendezvousHash(1, c.engines[i].ID) >= rendezvousHash(1, engine.ID)
	})
	c.engines = slices.Insert(c.engines, at, engine)
}

// machineOf is the size of an engine's machine; one core where its kind is not known.
func (c *Controller) machineOf(endpoint Engine) (cores, memoryMB float64) {
	if endpoint.Kind < 0 || endpoint.Kind >= len(c.settings.Kinds) {
		return 1, 0
	}
	kind := c.settings.Kinds[endpoint.Kind]
	return math.Max(float64(kind.Cores), 1), kind.MemoryMB
}

// forgetRemovedEngines drops engines that left long ago and have no attempt in flight: each step looks at all that
// are remembered. One that drains may still come back.
func (c *Controller) forgetRemovedEngines() {
	c.engines = slices.DeleteFunc(c.engines, func(engine *engineState) bool {
		old := engine.State == Removed && len(engine.attempts) == 0 &&
			c.now-engine.unavailableSince > removedEngineRetention
		if old {
			delete(c.enginesByID, engine.ID)
			if c.enginesByGossipID[engine.gossipID] == engine {
				delete(c.enginesByGossipID, engine.gossipID)
			}
		}
		return old
	})
}

// watchEndpoints subscribes to the engine list where discovery doesn't send it unasked.
func (c *Controller) watchEndpoints() {
	if c.settings.PollDiscovery && !c.discovery.requested && c.now >= c.discovery.retryAt {
		c.discovery.requested = true
		c.emit(WatchEndpoints{On: true})
	}
}
