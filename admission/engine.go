package admission

import (
	"math"
	"slices"
	"sort"
	"time"

	"beechcart/decision/slowstart"
)

// removedEngineRetention is the time for which removed engines are kept, in case they return.
const removedEngineRetention = 2 * time.Minute

// discoveryRetryInterval is the delay before the engine list is requested again after discovery failed.
const discoveryRetryInterval = 500 * time.Millisecond

// discoveryState is the state of the subscription to the engine list, for discovery that has to be asked for it.
type discoveryState struct {
	requested bool
	retryAt   time.Duration // no request for the list is sent before
}

// engineState is the controller's record of one engine.
type engineState struct {
	Engine
	cores            float64
	memoryMB         float64 // 0: unknown
	gossipID         uint16  // identifies the engine in gossip between front ends
	unavailable      bool    // draining or removed
	unavailableSince time.Duration

	// Attempts in flight, and their reservations.
	attempts       []*attemptRef
	threads        float64
	memory         float64 // MB
	smallMemory    float64 // MB, reserved by small classes
	averageThreads float64 // smoothed

	// Load, from load reports and from answers.
	loadReport     Report
	reportedAt     time.Duration // negative: never
	checkedAt      time.Duration // time of the last health check by this or another front end
	threadFactor   float64       // threads per core that the engine handles without slow answers
	limitReducedAt time.Duration // when slow answers last reduced threadFactor
	slowdown       float64       // of the engine's answers relative to calm engines, smoothed

	// Slow start. A negative warmingSince means that the engine is warm.
	warmingSince     time.Duration
	warmingAssumedAt time.Duration // when warming was assumed without a report from discovery; 0: not assumed
	slowStartSends   []slowStartSend
	slowStartQuota   slowstart.DelayedQuota
	randomDraw       float64 // for requests heavier than the front end's part of the budget
	randomDrawUntil  time.Duration

	// Failures.
	lastAnswerAt        time.Duration // time of the last answer or other sign of life
	errorRate           float64       // fraction of the engine's answers that are errors, smoothed
	missedChecks        int           // consecutive failed health checks
	consecutiveFailures int           // consecutive resets; while ejected, failures since the ejection
	processMayBeNew     bool          // connections were refused, so the process may have been replaced
	overloadedUntil     time.Duration // nothing is sent before, since the engine rejected an attempt
	ejected             bool
	ejectedUntil        time.Duration // no recovery traffic is sent before
	recoveryInFlight    int           // attempts in flight that were sent since the ejection
	classRests          []classRest   // by class index
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

// handleEndpointsChanged applies a complete engine list or a change to the list. After a list error the list is
// requested again later.
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

// applyEndpoint adds or updates one engine of the list. An engine that started recently, or that returns without a
// start time, begins its slow start.
func (c *Controller) applyEndpoint(endpoint Engine) {
	c.subset.listChanged = true
	engine := c.enginesByID[endpoint.ID]
	added := engine == nil
	if added {
		engine = c.newEngine(endpoint)
		c.addEngine(engine)
	}
	restarted := endpoint.Started > 0 && (added || endpoint.Started != engine.Started)
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

// addEngine inserts an engine into the ring, which is ordered by the hash of the engine's ID.
func (c *Controller) addEngine(engine *engineState) {
	c.enginesByID[engine.ID] = engine
	c.enginesByGossipID[engine.gossipID] = engine
	at := sort.Search(len(c.engines), func(i int) bool {
		return rendezvousHash(1, c.engines[i].ID) >= rendezvousHash(1, engine.ID)
	})
	c.engines = slices.Insert(c.engines, at, engine)
}

// machineOf returns the cores and the memory of an engine's machine. A machine of unknown kind counts as one core.
func (c *Controller) machineOf(endpoint Engine) (cores, memoryMB float64) {
	if endpoint.Kind < 0 || endpoint.Kind >= len(c.settings.Kinds) {
		return 1, 0
	}
	kind := c.settings.Kinds[endpoint.Kind]
	return math.Max(float64(kind.Cores), 1), kind.MemoryMB
}

// forgetRemovedEngines drops engines that were removed long ago and have no attempt in flight, since each step iterates
// over all engines that are kept. A draining engine is kept, as it may return.
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

// watchEndpoints subscribes to the engine list, if discovery sends it only on request.
func (c *Controller) watchEndpoints() {
	if c.settings.PollDiscovery && !c.discovery.requested && c.now >= c.discovery.retryAt {
		c.discovery.requested = true
		c.emit(WatchEndpoints{On: true})
	}
}
