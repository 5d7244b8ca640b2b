package admission

import (
	"math"
	"slices"
)

// The weight of an engine is its headroom to the power of headroomExponent, or of sharedHeadroomExponent where many
// front ends see the same load reports and would otherwise all send to the engine that looks idle. The headroom is
// loadCeiling less the load of the engine, and at least minHeadroom.
const (
	loadCeiling            = 1.3
	minHeadroom            = 0.03
	headroomExponent       = 4.0
	sharedHeadroomExponent = 2.0
)

// The weight of an engine contains its speed relative to the median, at most 1, to the power of relativeSpeedExponent,
// and 1 less its error excess to the power of errorExponent.
const (
	relativeSpeedExponent = 3
	errorExponent         = 4
)

// The factors of an engine's weight if it is in the zone of the front end, and for each earlier attempt of the request
// on it.
const (
	sameZoneBias    = 1.5
	triedEngineBias = 0.01
)

// The factors of an engine's weight for the table group of the request: for the first engine in the order of the group,
// for the engine between the halves (see tableRankBias), and for each attempt on the engine whose table locks conflict
// with the request.
const (
	firstEngineBias  = 2.0
	middleEngineBias = 0.3
	lockConflictBias = 0.02
)

// minEnginesToSplit is the minimum number of candidates for requests that lock tables and requests that wait for locks
// to be kept on separate engines.
const minEnginesToSplit = 4

// errorDiscount times the error excess of an engine is the fraction of the engine's cores that does not count towards
// the size of the subset.
const errorDiscount = 3

// candidateSet holds the engines that the current request may be sent to. Its buffers are reused for each request.
type candidateSet struct {
	engines     []*engineState
	weights     []float64
	groupHashes []uint64 // rendezvous hashes of the engines for the request's table group, ascending
	anyReliable bool     // at least one engine has an error rate of at most highErrorRate
}

// collectCandidates gathers the engines that a request may be sent to, beginning with the subset of this front end.
// Engines that are draining, removed or outside the placement of the class are left out, and ejected ones unless they
// may get recovery traffic. Engines with many errors count with fewer cores, so that engines further along the ring,
// the order of Controller.engines, are added.
func (c *Controller) collectCandidates(request *requestState) {
	class, candidates := request.classSettings, &c.candidates
	c.subsetFrom(c.subset.size, func(engine *engineState) (capacity float64, ok bool) {
		ok = placementAllows(class.OnlyZones, engine.Zone) && placementAllows(class.OnlyKinds, engine.Kind) &&
			(!engine.ejected || c.admitsRecoveryTraffic(engine, request))
		return engine.cores * math.Max(0, 1-errorDiscount*engine.errorExcess()), ok
	})
	candidates.groupHashes, candidates.anyReliable = candidates.groupHashes[:0], false
	for _, engine := range candidates.engines {
		candidates.anyReliable = candidates.anyReliable || engine.errorRate <= highErrorRate
		candidates.groupHashes = append(candidates.groupHashes, rendezvousHash(request.TableGroup, engine.ID))
	}
	slices.Sort(candidates.groupHashes)
}

// pickEngine draws an engine for the request at random by weight. It returns nil if no engine may take the request now.
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
	remaining := c.random.float64() * sum
	for i, weight := range candidates.weights {
		if weight > 0 && remaining >= 0 {
			picked = candidates.engines[i]
			remaining -= weight
		}
	}
	return picked
}

// mayTake reports whether a candidate may take the request now.
func (c *Controller) mayTake(engine *engineState, request *requestState) bool {
	return c.canMeetDeadline(request, math.Max(engine.slowdown, c.fleet.medianSlowdown)) &&
		c.permits(engine, request) && c.admitsRecoveryTraffic(engine, request) && c.hasCapacity(engine, request)
}

// engineWeight returns the weight of a candidate in the draw. Load, slowness, errors and earlier attempts of the
// request lower the weight; the table group of the request and the zone of the front end may raise it.
func (c *Controller) engineWeight(engine *engineState, request *requestState) float64 {
	exponent := headroomExponent
	if c.settings.GossipAllowed && c.settings.Replicas >= subsetMinReplicas {
		exponent = sharedHeadroomExponent
	}
	headroom := math.Max(minHeadroom, loadCeiling-c.engineLoad(engine, c.fleet.averageLoad))
	weight := engine.cores * c.warmth(engine) * math.Pow(headroom, exponent)
	relativeSpeed := math.Min(1, c.fleet.medianSlowdown/engine.slowdown)
	weight *= math.Pow(relativeSpeed, relativeSpeedExponent) * c.tableGroupBias(engine, request)
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

// permits reports whether an engine may get a request by the rules other than capacity: the window and scope of the
// request's idempotency key, a rest of the engine for the class (see classRest), and the budget of the engine's slow
// start. Placement and draining are checked by collectCandidates.
func (c *Controller) permits(engine *engineState, request *requestState) bool {
	withKey := request.classSettings.Idempotency == IdempotentWithKey
	if withKey && request.mayHaveRun && !c.deduplicates(engine, request) {
		return false
	}
	return c.now >= engine.classRests[request.Class].until &&
		c.slowStartAllows(engine, c.estimates[request.Class].work)
}

// deduplicates reports whether an engine would recognize and discard the request as a repeat, in case the attempt that
// may have run did run.
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

// tableGroupBias returns the factor of an engine's weight for the request's table group: its rank for the group, and
// the attempts on it whose table locks conflict with the request.
func (c *Controller) tableGroupBias(engine *engineState, request *requestState) float64 {
	if request.TableGroup < 0 {
		return 1
	}
	bias := c.tableRankBias(engine, request)
	for _, ref := range engine.attempts {
		if ref.request.TableGroup == request.TableGroup &&
			locksConflict(ref.request.classSettings, request.classSettings) {
			bias *= lockConflictBias
		}
	}
	return bias
}

// tableRankBias returns the factor for an engine's rank among the candidates for the request's table group. All front
// ends rank engines alike, by rendezvous hashing. The first engines are preferred, since they have the tables of the
// group in memory. Where some class waits for locks, requests that lock tables go to the last half of the engines and
// requests that wait for locks to the first half. With an odd number, the middle engine takes both, at a lower weight.
func (c *Controller) tableRankBias(engine *engineState, request *requestState) float64 {
	class, hashes := request.classSettings, c.candidates.groupHashes
	index, _ := slices.BinarySearch(hashes, rendezvousHash(request.TableGroup, engine.ID))
	before := len(hashes) - 1 - index // engines that rank before this one: those with a greater hash
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
		return firstEngineBias
	case before == 1 && !class.LocksTables:
		return math.Sqrt(firstEngineBias)
	}
	return 1
}

// locksConflict reports whether two requests of a table group conflict: both lock tables, or one waits for locks of the
// other.
func locksConflict(running, next *Class) bool {
	switch {
	case running.LocksTables:
		return next.LocksTables || next.WaitsForLocks
	case running.WaitsForLocks:
		return next.LocksTables
	}
	return false
}

// rendezvousHash returns the hash by which engines are ranked for a table group. The hash is the same at all front
// ends.
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

// placementAllows reports whether a zone or kind is among the allowed ones. An empty list allows all; a negative zone
// or kind is unknown, and no list that names any allows it.
func placementAllows(allowed []int, actual int) bool {
	if len(allowed) == 0 {
		return true
	}
	return actual >= 0 && slices.Contains(allowed, actual)
}
