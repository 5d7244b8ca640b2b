package admission

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// reportLag is the age of what a load report shows: attempts sent within it before a report are not in it yet.
const reportLag = 150 * time.Millisecond

// The time constants over which reports lose their weight, slowdowns of engines not heard from go to that of all, and
// own threads are smoothed.
const (
	reportDecay         = 1500 * time.Millisecond
	slowdownDecay       = 5 * time.Second
	averageThreadsDecay = 3 * time.Second
)

// Loads, as threads in use over cores: an engine or the fleet is calm below calmLoad and under pressure above
// pressureLoad. No load counts as more than maxLoad.
const (
	calmLoad     = 0.6
	pressureLoad = 0.85
	maxLoad      = 2
)

// The thread factor of an engine, in threads per core: where it starts, its bounds, by how much it grows with an answer
// in time, to what part it is cut with a slow one or a rejection, and how often slow ones may cut it.
const (
	initialThreadFactor     = 1.4
	minThreadFactor         = 0.7
	maxThreadFactor         = 2.2
	threadFactorStep        = 0.01
	threadFactorCut         = 0.9
	threadFactorCutInterval = 400 * time.Millisecond
)

// targetSlowdown is the slowdown of answers, against calm engines, that the thread factor aims at.
const targetSlowdown = 2.4

// slowdownSmoothing is the weight of an answer in the slowdown of its engine.
const slowdownSmoothing = 0.12

// The limits on threads and memory of a front end: over its part of the fleet's by so many standard deviations of its
// own threads while the fleet is calm, and by a factor under pressure; wider by a factor for small classes, lest rare
// heavy requests starve them.
const (
	calmLimitDeviations   = 2.0
	pressureLimitFactor   = 1.2
	smallClassLimitFactor = 1.5
)

// smallClassFraction is the work of a small class over that of the heaviest, at most: one part in so many.
const smallClassFraction = 4

// The fraction of an engine's memory that grants may fill, and the part of it that is open to classes that aren't
// small: small requests would wait long for it.
const (
	memoryFillLimit     = 0.95
	heavyMemoryFraction = 0.85
)

// The freshness from which a load report decides on its own.
const (
	freshForThreads = 0.5
	freshForMemory  = 0.4
)

// ownLoadFactor times a front end's part of an engine is how far its next attempt weighs in the engine's load.
const ownLoadFactor = 3

// randomDrawLifetime is how long the draw for fractions of a request holds.
const randomDrawLifetime = 2 * time.Second

// fleetSummary is what the engines amount to.
type fleetSummary struct {
	engines        int // in the list and not draining
	usable         int // of these, not ejected
	cores          float64
	averageLoad    float64
	medianSlowdown float64

	threadLimit       float64 // on own threads of all tenants
	tenantThreadLimit float64 // on those of one tenant
	tenantMemoryLimit float64 // on its memory, in MB
}

// summarizeFleet sums the fleet up, once a step, and renews what follows from it.
func (c *Controller) summarizeFleet() {
	c.subset.quotaShare = c.fleetQuotaShare()
	fleet := c.measureFleet()
	c.addLimits(&fleet)
	c.fleet, c.summarizedAt = fleet, c.now
	c.sortClasses()
	c.updateSubset()
}

// measureFleet counts the engines and sums up their load. The initial sums stand for a load of one half before any
// engine was heard of.
func (c *Controller) measureFleet() fleetSummary {
	c.slowdowns = c.slowdowns[:0]
	fleet := fleetSummary{}
	attempts := 0.0
	weightedLoad, weights := 0.5e-3, 1e-3
	for _, engine := range c.engines {
		if engine.unavailable {
			continue
		}
		fleet.engines++
		fleet.cores += engine.cores
		if engine.ejected {
			continue
		}
		fleet.usable++
		attempts += float64(len(engine.attempts))
		engine.slowdown += (c.allEngines.slowdown - engine.slowdown) * c.sinceSummary(slowdownDecay)
		engine.averageThreads += (engine.threads - engine.averageThreads) * c.sinceSummary(averageThreadsDecay)
		c.slowdowns = append(c.slowdowns, engine.slowdown)
		if engine.reportedAt >= 0 || c.settings.LoadReporting == NoLoadReports {
			weight := engine.cores * math.Max(c.reportFreshness(engine), 1e-3)
			weightedLoad += weight * c.reportedLoad(engine)
			weights += weight
		}
	}
	if attempts > 0 {
		c.meanThreads += (c.threads/attempts - c.meanThreads) * c.sinceSummary(arrivalRateDecay)
	}
	fleet.averageLoad = math.Min(weightedLoad/weights, maxLoad)
	fleet.medianSlowdown = median(c.slowdowns, 1)
	return fleet
}

// sinceSummary is the time since the last summary over a time constant, 1 at most.
func (c *Controller) sinceSummary(decay time.Duration) float64 {
	return math.Min(float64(c.now-c.summarizedAt)/float64(decay), 1)
}

// addLimits sums up the limits on threads and memory. What is in flight on engines that are out of use adds to the
// limits what it takes from them.
func (c *Controller) addLimits(fleet *fleetSummary) {
	for _, engine := range c.engines {
		limit := c.concurrencyLimit(engine)
		if engine.unavailable || engine.ejected {
			fleet.threadLimit += engine.threads
			fleet.tenantThreadLimit += engine.threads
			fleet.tenantMemoryLimit += engine.memory
			continue
		}
		fleet.threadLimit += limit / c.engineShare / float64(c.settings.Replicas) * c.subset.quotaShare
		fleet.tenantMemoryLimit += engine.memoryMB / float64(c.settings.Replicas) * c.subset.quotaShare
		if c.isCalm(engine, 1, fleet.averageLoad) {
			limit = math.Max(limit, engine.threads+engine.cores)
		}
		fleet.tenantThreadLimit += limit
	}
}

// sortClasses orders the classes by priority weight per work.
func (c *Controller) sortClasses() {
	weightPerWork := func(class int) float64 {
		return c.settings.Classes[class].PriorityWeight / c.estimates[class].work
	}
	slices.SortStableFunc(c.classOrder, func(a, b int) int { return cmp.Compare(weightPerWork(b), weightPerWork(a)) })
}

// withinLimits reports whether a request keeps to the limits that don't depend on its engine. Small classes are
// limited among themselves: the part of a front end may be less than one heavy request.
func (c *Controller) withinLimits(request *requestState) bool {
	fleet, tenant := &c.fleet, request.tenant
	requestThreads := float64(request.classSettings.Threads)
	factor := 1 + calmLimitDeviations*math.Sqrt(requestThreads/math.Max(fleet.threadLimit, 1e-3))
	if fleet.averageLoad > pressureLoad {
		factor = pressureLimitFactor
	}
	threads, memory := c.threads, tenant.memory
	if c.isSmall(request.Class) {
		factor *= smallClassLimitFactor
		threads, memory = c.smallThreads, tenant.smallMemory
	}
	if threads+c.fractionDraw()*requestThreads > factor*fleet.threadLimit {
		return false
	}
	if tenant.threads > 0 && tenant.threads >= fleet.tenantThreadLimit {
		return false
	}
	memoryLimit := math.Min(factor, float64(c.settings.Replicas)) * fleet.tenantMemoryLimit
	return fleet.tenantMemoryLimit == 0 || memory == 0 || memory+c.expectedMemory(request) <= memoryLimit
}

// fractionDraw is a random number in [0, 1) by which a limit of a fraction of a request lets one through with as much
// probability. It holds for a while, so that asking again gains nothing.
func (c *Controller) fractionDraw() float64 {
	if c.now >= c.randomDrawUntil {
		c.randomDraw, c.randomDrawUntil = c.random.float64(), c.now+randomDrawLifetime
	}
	return c.randomDraw
}

// hasCapacity reports whether an engine takes one more request, by threads and by memory.
func (c *Controller) hasCapacity(engine *engineState, request *requestState) bool {
	return c.hasThreads(engine, request) && c.hasMemory(engine, request)
}

// hasThreads holds the request to the concurrency limit of the engine, which binds only under pressure, and where it is
// below one request, only with a fresh report of the engine.
func (c *Controller) hasThreads(engine *engineState, request *requestState) bool {
	threads := float64(request.classSettings.Threads)
	limit := c.concurrencyLimit(engine)
	if c.isSmall(request.Class) {
		limit *= smallClassLimitFactor
	}
	if limit < threads && c.reportFreshness(engine) <= freshForThreads {
		return true
	}
	return c.isCalm(engine, threads, c.fleet.averageLoad) || engine.threads+c.fractionDraw()*threads <= limit
}

// hasMemory holds the request to this front end's part of the engine's memory, or to what the engine reports as free.
func (c *Controller) hasMemory(engine *engineState, request *requestState) bool {
	fill, reserved := memoryFillLimit, engine.memory
	if c.isSmall(request.Class) {
		reserved = engine.smallMemory
	} else {
		fill *= heavyMemoryFraction
	}
	free := engine.memoryMB*fill*c.engineShare - reserved
	if engine.loadReport.MemoryUtilization >= 0 && c.reportFreshness(engine) > freshForMemory {
		_, unreported := engine.unreportedSends()
		free = math.Max(free, engine.memoryMB*(fill-engine.loadReport.MemoryUtilization)-unreported)
	}
	return engine.threads == 0 || engine.memoryMB <= 0 || c.expectedMemory(request) <= free
}

// isCalm reports whether an engine is not under pressure with so many threads more, as far as the load is ours.
func (c *Controller) isCalm(engine *engineState, threads, averageLoad float64) bool {
	load := c.engineLoad(engine, averageLoad) + threads*math.Min(1, ownLoadFactor*c.engineShare)/engine.cores
	return load <= pressureLoad*c.warmth(engine) && engine.loadReport.DiskUtilization < pressureLoad &&
		engine.loadReport.Queued <= 0 && engine.slowdown < targetSlowdown
}

// concurrencyLimit is the limit on own threads at an engine: its cores times the threads per core that it has lately
// carried well, this front end's part of that, and what its slow start leaves.
func (c *Controller) concurrencyLimit(engine *engineState) float64 {
	return engine.cores * math.Min(engine.threadFactor, c.allEngines.threadFactor) * c.warmth(engine) * c.engineShare
}

// engineLoad estimates the load of an engine: what it reported, which fades with age to the average, and own attempts
// sent since.
func (c *Controller) engineLoad(engine *engineState, averageLoad float64) float64 {
	unreported, _ := engine.unreportedSends()
	freshness := c.reportFreshness(engine)
	return freshness*c.reportedLoad(engine) + (1-freshness)*averageLoad + unreported/engine.cores
}

// reportedLoad is the load by the last report: the use, or what the requests in flight need over what the engine
// carries well, whichever is more. Where neither is reported, own threads over our part of the engine stand in.
func (c *Controller) reportedLoad(engine *engineState) float64 {
	threads := engine.averageThreads / c.engineShare
	if engine.loadReport.InFlight >= 0 {
		threads = engine.loadReport.InFlight * c.meanThreads
	} else if engine.loadReport.Utilization >= 0 {
		return engine.loadReport.Utilization
	}
	return math.Max(engine.loadReport.Utilization, threads/engine.cores/c.allEngines.threadFactor)
}

// reportFreshness is the weight of an engine's last report: 1 while it is new, and less with age.
func (c *Controller) reportFreshness(engine *engineState) float64 {
	if engine.reportedAt < 0 {
		return 0
	}
	return math.Exp(-float64(max(0, c.now-engine.reportedAt-reportLag)) / float64(reportDecay))
}

// unreportedSends sums up the threads and the memory of own attempts that the last report doesn't show yet.
func (e *engineState) unreportedSends() (threads, memory float64) {
	for _, ref := range e.attempts {
		if attempt := ref.attempt(); e.reportedAt < 0 || attempt.sentAt > e.reportedAt-reportLag {
			threads += attempt.threads
			memory += attempt.memory
		}
	}
	return threads, memory
}

// isSmall reports whether the mean work of a class is well below that of the heaviest.
func (c *Controller) isSmall(class int) bool {
	return c.estimates[class].work < c.heaviestWork()/smallClassFraction
}

// heaviestWork is the largest mean work of a class.
func (c *Controller) heaviestWork() (heaviest float64) {
	for i := range c.estimates {
		heaviest = max(heaviest, c.estimates[i].work)
	}
	return heaviest
}

// adjustThreadFactor takes in the slowdown of an answer, as a logarithm: the thread factor grows by a step while
// answers are in time and is cut when they are slow, whatever takes the capacity.
func (c *Controller) adjustThreadFactor(engine *engineState, logSlowdown float64) {
	engine.slowdown *= math.Exp((logSlowdown - math.Log(engine.slowdown)) * slowdownSmoothing)
	if engine.slowdown <= targetSlowdown {
		engine.threadFactor = math.Min(maxThreadFactor, engine.threadFactor+threadFactorStep)
	} else if c.now-engine.limitReducedAt > threadFactorCutInterval {
		engine.cutThreadFactor()
		engine.limitReducedAt = c.now
	}
}

func (e *engineState) cutThreadFactor() {
	e.threadFactor = math.Max(minThreadFactor, e.threadFactor*threadFactorCut)
}

// median is the lower median of the values, which it sorts, or fallback where there are none.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}
