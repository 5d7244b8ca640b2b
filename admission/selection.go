package admission

import (
	"math"
	"slices"
)

// The weight of an engine is the load that it lacks to loadCeiling, or minHeadroom, to the power of headroomExponent;
// of sharedHeadroomExponent where many front ends hear the same reports, and would all send to what looks idle.
const (
	loadCeiling            = 1.3
	minHeadroom            = 0.03
	headroomExponent       = 4.0
	sharedHeadroomExponent = 2.0
)

// The powers of an engine's slowdown and of its rate of errors in its weight.
const (
	slowdownExponent = 3
	errorExponent    = 4
)

// The factors of an engine's weight for the zone of the front end, and for an engine that has had the request.
const (
	sameZoneBias    = 1.5
	triedEngineBias = 0.01
)

// The factors of an engine's weight for the table group of the request: at the home of the group, at the engine between
// the halves for those that lock and those that wait, and for each attempt that would lock out the request or be
// locked out by it.
const (
	homeEngineBias   = 2.0
	middleEngineBias = 0.3
	lockConflictBias = 0.02
)

// minEnginesToSplit is how many engines it takes to keep those that lock tables apart from those that wait.
const minEnginesToSplit = 4

// errorDiscount times the error rate is the part of an engine's capacity that the subset doesn't count.
const errorDiscount = 3

// candidateSet is the engines that the current request may be sent to. Its buffers are used again for each request.
type candidateSet struct {
	engines      []*engineState
	weights      []float64
	groupHashes  []uint64 // of the engines for the table group of the request, ascending
	someReliable bool     // one of them answers not too often with an error
}

// collectCandidates gathers the engines that a request may be sent to: from the own subset on, not draining or removed,
// and where its class is placed. What engines with many errors lack is made up by those behind them on the ring.
func (c *Controller) collectCandidates(request *requestState) {
	class, candidates := request.classSettings, &c.candidates
	c.subsetFrom(c.subset.size, func(engine *engineState) (capacity float64, ok bool) {
		ok = placementAllows(class.OnlyZones, engine.Zone) && placementAllows(class.OnlyKinds, engine.Kind) &&
			(!engine.ejected || c.admitsRecoveryTraffic(engine, request))
		return engine.cores * math.Max(0, 1-errorDiscount*engine.errorExcess()), ok
	})
	candidates.groupHashes, candidates.someReliable = candidates.groupHashes[:0], false
	for _, engine := range candidates.engines {
		candidates.someReliable = candidates.someReliable || engine.errorRate <= highErrorRate
		candidates.groupHashes = append(candidates.groupHashes, rendezvousHash(request.TableGroup, engine.ID))
	}
	slices.Sort(candidates.groupHashes)
}

// pickEngine draws an engine for the request at random by weight; nil where none may take it now.
func (c *Controller) pickEngine(request *requestState) (picked *engineState) {
	c.collectCandidates(request)
	candidates := &c.candidates
	candidates.weights = candidates.weights[:0]
	sum := 0.0
	for _, engine := range candidates.engines {
		weight := 0.0
		if c.mayTake(engine, request) {
			weight = c.engineWeight(engine, request)
		}
		candidates.weights = append(candidates.weights, weight)
		sum += weight
	}
	rest := c.random.float64() * sum
	for i, weight := range candidates.weights {
		if weight > 0 && rest >= 0 {
			picked = candidates.engines[i]
			rest -= weight
		}
	}
	return picked
}

// mayTake reports whether a candidate may take the request now.
func (c *Controller) mayTake(engine *engineState, request *requestState) bool {
	return c.canMeetDeadline(request, math.Max(engine.slowdown, c.fleet.medianSlowdown)) &&
		c.permits(engine, request) && c.admitsRecoveryTraffic(engine, request) && c.hasCapacity(engine, request)
}

// engineWeight is the weight of a candidate in the draw: against load, slowness and errors, for the home of the tables
// and for the own zone.
func (c *Controller) engineWeight(engine *engineState, request *requestState) float64 {
	exponent := headroomExponent
	if c.settings.GossipAllowed && c.settings.Replicas >= subsetMinReplicas {
		exponent = sharedHeadroomExponent
	}
	headroom := math.Max(minHeadroom, loadCeiling-c.engineLoad(engine, c.fleet.averageLoad))
	weight := engine.cores * c.warmth(engine) * math.Pow(headroom, exponent)
	relativeSpeed := math.Min(1, c.fleet.medianSlowdown/engine.slowdown)
	weight *= math.Pow(relativeSpeed, slowdownExponent) * c.tableGroupBias(engine, request)
	weight *= math.Pow(1-engine.errorExcess(), errorExponent)
	if c.settings.Zone >= 0 && engine.Zone == c.settings.Zone {
		weight *= sameZoneBias
	}
	for i := range request.attempts {
		if request.attempts[i].engine == engine {
			weight *= triedEngineBias
		}
	}
	return weight
}

// permits holds the rules that bind a request to engines: the window and the scope of its idempotency key, the rest of
// an engine for a class, and the budget of an engine's slow start. Placement and drains are kept by collectCandidates.
func (c *Controller) permits(engine *engineState, request *requestState) bool {
	withKey := request.classSettings.Idempotency == IdempotentWithKey
	if withKey && request.mayHaveRun && !c.deduplicates(engine, request) {
		return false
	}
	return c.now >= engine.classRests[request.Class].until &&
		c.slowStartAllows(engine, c.estimates[request.Class].work)
}

// deduplicates reports whether an engine discards the request if the attempt that may have run has run.
func (c *Controller) deduplicates(engine *engineState, request *requestState) bool {
	if c.now >= request.mayHaveRunSince+request.classSettings.DeduplicationWindow {
		return false
	}
	switch request.classSettings.DeduplicationScope {
	case ScopeZone:
		return engine.Zone == request.mayHaveRunOn.Zone
	case ScopeCell:
		return engine.Cell == request.mayHaveRunOn.Cell
	default:
		return true
	}
}

// tableGroupBias is the factor of an engine's weight for the request's table group. All front ends rank the engines
// for a group alike, by rendezvous hashing.
func (c *Controller) tableGroupBias(engine *engineState, request *requestState) float64 {
	if request.TableGroup < 0 {
		return 1
	}
	bias := c.tableRankBias(engine, request)
	for _, ref := range engine.attempts {
		if ref.request.TableGroup == request.TableGroup && locksOut(ref.request.classSettings, request.classSettings) {
			bias *= lockConflictBias
		}
	}
	return bias
}

// tableRankBias bends requests to the first engines in the order of their group, which have its tables in memory. Those
// that lock tables go to the last half of the engines and those that wait for locks to the first; the middle one of an
// odd number is open to both, at less weight.
func (c *Controller) tableRankBias(engine *engineState, request *requestState) float64 {
	class, hashes := request.classSettings, c.candidates.groupHashes
	at, _ := slices.BinarySearch(hashes, rendezvousHash(request.TableGroup, engine.ID))
	before := len(hashes) - 1 - at // engines that come first
	if c.anyClassWaitsForLocks() && (class.LocksTables || class.WaitsForLocks) && len(hashes) >= minEnginesToSplit {
		if 2*before == len(hashes)-1 {
			return middleEngineBias
		}
		if inLastHalf := 2*before >= len(hashes); inLastHalf != class.LocksTables {
			return 0
		}
	}
	switch {
	case before == 0 && !class.LocksTables:
		return homeEngineBias
	case before == 1 && !class.LocksTables:
		return math.Sqrt(homeEngineBias)
	}
	return 1
}

// locksOut reports whether one of two requests of a table group would wait for a lock of the other, or both lock.
func locksOut(running, next *Class) bool {
	switch {
	case running.LocksTables:
		return next.LocksTables || next.WaitsForLocks
	case running.WaitsForLocks:
		return next.LocksTables
	}
	return false
}

// rendezvousHash ranks engines for a table group, alike at all front ends.
func rendezvousHash(group int, id uint32) uint64 {
	state := splitMix64(uint64(group)<<32 | uint64(id))
	return state.next()
}

func (c *Controller) anyClassWaitsForLocks() bool {
	for i := range c.settings.Classes {
		if c.settings.Classes[i].WaitsForLocks {
			return true
		}
	}
	return false
}

// placementAllows reports whether a zone or kind is among those allowed; all are where none is named.
func placementAllows(allowed []int, actual int) bool {
	if len(allowed) == 0 {
		return true
	}
	return actual >= 0 && slices.Contains(allowed, actual)
}
