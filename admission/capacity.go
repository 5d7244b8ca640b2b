package admission

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// reportLag is the age of the load that a report shows: a report does not include attempts sent less than reportLag
// before it.
const reportLag = 150 * time.Millisecond

// Time constants.
const (
	reportDecay         = 1500 * time.Millisecond // of the weight of a load report
	slowdownDecay       = 5 * time.Second         // of an engine's slowdown towards that of all engines
	averageThreadsDecay = 3 * time.Second         // of the smoothed own threads at an engine
)

// A load is an engine's threads in use per core, or the estimate of them that reportedLoad returns. An engine or the
// fleet is calm below calmLoad and under pressure above pressureLoad. The average load of the fleet is capped at
// maxLoad.
const (
	calmLoad     = 0.6
	pressureLoad = 0.85
	maxLoad      = 2
)

// The thread factor of an engine is the number of threads per core that the engine is allowed. An answer raises the
// thread factor by threadFactorStep while the engine's slowdown is at most targetSlowdown. A rejection, or an answer
// while the slowdown is higher, multiplies the thread factor by threadFactorCut; such answers do so at most once per
// threadFactorCutInterval.
const (
	initialThreadFactor     = 1.4
	minThreadFactor         = 0.7
	maxThreadFactor         = 2.2
	threadFactorStep        = 0.01
	threadFactorCut         = 0.9
	threadFactorCutInterval = 400 * time.Millisecond
)

// targetSlowdown is the slowdown of answers, relative to calm engines, up to which the thread factor grows.
const targetSlowdown = 2.4

// slowdownSmoothing is the weight of one answer in the smoothed slowdown of its engine.
const slowdownSmoothing = 0.12

// A front end's limits on threads and memory are larger than its share of the fleet. While the fleet is not under
// pressure, the limits are the share plus limitDeviations standard deviations of the front end's own threads; otherwise
// they are pressureLimitFactor times the share. The limits of small classes are smallClassLimitFactor times as large,
// so that rare heavy requests do not starve small classes.
const (
	limitDeviations       = 2.0
	pressureLimitFactor   = 1.2
	smallClassLimitFactor = 1.5
)

// smallClassDivisor defines small classes: those whose mean work is less than the mean work of the heaviest class
// divided by smallClassDivisor.
const smallClassDivisor = 4

// Reservations may fill memoryFillLimit of an engine's memory, as a fraction. Classes that are not small may fill only
// heavyMemoryFraction of that, as small requests would wait long for memory that heavy requests hold.
const (
	memoryFillLimit     = 0.95
	heavyMemoryFraction = 0.85
)

// The reportFreshness above which a load report is relied on.
const (
	freshForThreads = 0.5 // to apply a concurrency limit of fewer threads than the request needs
	freshForMemory  = 0.4 // to count the reported free memory
)

// ownLoadFactor times a front end's share of an engine, at most 1, is the fraction of the threads of a new attempt that
// isBelowPressure adds to the engine's load.
const ownLoadFactor = 3

// randomDrawLifetime is how long fractionDraw returns the same number.
const randomDrawLifetime = 2 * time.Second

// fleetSummary sums up the engines of the pool.
type fleetSummary struct {
	engines        int // listed and not draining
	usable         int // listed, not draining and not ejected
	cores          float64
	averageLoad    float64
	medianSlowdown float64

	threadLimit       float64 // on this front end's threads, for all tenants
	tenantThreadLimit float64 // on this front end's threads, for one tenant
	tenantMemoryLimit float64 // on the memory that this front end reserves, for one tenant, in MB
}

// summarizeFleet renews the summary of the fleet, and the order of classes and the subset, which depend on it. It runs
// once per step.
func (c *Controller) summarizeFleet() {
	c.subset.quotaShare = c.fleetQuotaShare()
	fleet := c.measureFleet()
	c.addLimits(&fleet)
	c.fleet, c.summarizedAt = fleet, c.now
	c.sortClasses()
	c.updateSubset()
}

// measureFleet counts the engines, averages their load and updates the moving averages: the threads per attempt, the
// own threads at each engine, and the slowdown of each engine, which decays towards that of all engines. The initial
// sums give an average load of one half before the first report.
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
		engine.slowdown += (c.allEngines.slowdown - engine.slowdown) * c.smoothingWeight(slowdownDecay)
		engine.averageThreads += (engine.threads - engine.averageThreads) * c.smoothingWeight(averageThreadsDecay)
		c.slowdowns = append(c.slowdowns, engine.slowdown)
		if engine.reportedAt >= 0 || c.settings.LoadReporting == NoLoadReports {
			weight := engine.cores * math.Max(c.reportFreshness(engine), 1e-3)
			weightedLoad += weight * c.reportedLoad(engine)
			weights += weight
		}
	}
	if attempts > 0 {
		c.meanThreads += (c.threads/attempts - c.meanThreads) * c.smoothingWeight(arrivalRateDecay)
	}
	fleet.averageLoad = math.Min(weightedLoad/weights, maxLoad)
	fleet.medianSlowdown = median(c.slowdowns, 1)
	return fleet
}

// smoothingWeight returns the weight of a new value in an average with the time constant: the time since the last
// summary divided by the time constant, at most 1.
func (c *Controller) smoothingWeight(decay time.Duration) float64 {
	return math.Min(float64(c.now-c.summarizedAt)/float64(decay), 1)
}

// addLimits adds up the limits on threads and memory over all engines. Attempts in flight on unavailable or ejected
// engines raise the limits by what they reserve, so that they leave the capacity of the other engines free. On an
// engine below pressure, the thread limit of a tenant is at least this front end's threads plus the engine's cores.
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
		if c.isBelowPressure(engine, 1, fleet.averageLoad) {
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

// withinLimits reports whether a request is within the limits of the front end and of the request's tenant, which do
// not depend on the engine. Of the front end's threads and the tenant's memory, only those held by small classes count
// against a request of a small class, as one heavy request may exceed the front end's share of the fleet.
func (c *Controller) withinLimits(request *requestState) bool {
	fleet, tenant := &c.fleet, request.tenant
	requestThreads := float64(request.classSettings.Threads)
	factor := 1 + limitDeviations*math.Sqrt(requestThreads/math.Max(fleet.threadLimit, 1e-3))
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

// fractionDraw returns a random number in [0, 1) for limits that cover only a fraction of the threads of one request:
// such a limit admits the request with the probability of that fraction. The number is kept for randomDrawLifetime, so
// that repeated checks do not raise the probability.
func (c *Controller) fractionDraw() float64 {
	if c.now >= c.randomDrawUntil {
		c.randomDraw, c.randomDrawUntil = c.random.float64(), c.now+randomDrawLifetime
	}
	return c.randomDraw
}

// hasCapacity reports whether an engine has threads and memory for the request.
func (c *Controller) hasCapacity(engine *engineState, request *requestState) bool {
	return c.hasThreads(engine, request) && c.hasMemory(engine, request)
}

// hasThreads reports whether the request fits the concurrency limit of the engine. The limit applies only while the
// engine is under pressure. A limit of fewer threads than the request needs applies only with a fresh load report.
func (c *Controller) hasThreads(engine *engineState, request *requestState) bool {
	threads := float64(request.classSettings.Threads)
	limit := c.concurrencyLimit(engine)
	if c.isSmall(request.Class) {
		limit *= smallClassLimitFactor
	}
	if limit < threads && c.reportFreshness(engine) <= freshForThreads {
		return true
	}
	return c.isBelowPressure(engine, threads, c.fleet.averageLoad) || engine.threads+c.fractionDraw()*threads <= limit
}

// hasMemory reports whether the request fits this front end's share of the engine's memory, or the memory that the
// engine reports as free if that is more. An engine that has no attempt of this front end in flight, or whose memory is
// not known, always has memory.
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

// isBelowPressure reports whether an engine stays below pressure with the additional threads, a fraction of which
// counts (see ownLoadFactor). A warming engine is under pressure at a lower load. A busy disk, queued requests and slow
// answers are pressure at any load.
func (c *Controller) isBelowPressure(engine *engineState, threads, averageLoad float64) bool {
	load := c.engineLoad(engine, averageLoad) + threads*math.Min(1, ownLoadFactor*c.engineShare)/engine.cores
	return load <= pressureLoad*c.warmth(engine) && engine.loadReport.DiskUtilization < pressureLoad &&
		engine.loadReport.Queued <= 0 && engine.slowdown < targetSlowdown
}

// concurrencyLimit returns the limit on this front end's threads at an engine: the cores times the lesser of the
// engine's thread factor and that of all engines, times the warmth of the engine and this front end's share of the
// engine.
func (c *Controller) concurrencyLimit(engine *engineState) float64 {
	return engine.cores * math.Min(engine.threadFactor, c.allEngines.threadFactor) * c.warmth(engine) * c.engineShare
}

// engineLoad estimates the load of an engine: the reported load, which decays towards the average with the age of the
// report, plus own attempts that the report does not show yet.
func (c *Controller) engineLoad(engine *engineState, averageLoad float64) float64 {
	unreported, _ := engine.unreportedSends()
	freshness := c.reportFreshness(engine)
	return freshness*c.reportedLoad(engine) + (1-freshness)*averageLoad + unreported/engine.cores
}

// reportedLoad returns the load by the last report: the utilization, or the threads of the requests in flight divided
// by the cores and by the thread factor of all engines, whichever is more. If the report has neither, this front end's
// threads divided by its share of the engine replace the threads of the requests in flight.
func (c *Controller) reportedLoad(engine *engineState) float64 {
	threads := engine.averageThreads / c.engineShare
	if engine.loadReport.InFlight >= 0 {
		threads = engine.loadReport.InFlight * c.meanThreads
	} else if engine.loadReport.Utilization >= 0 {
		return engine.loadReport.Utilization
	}
	return math.Max(engine.loadReport.Utilization, threads/engine.cores/c.allEngines.threadFactor)
}

// reportFreshness returns the weight of an engine's last report: 1 for a new one, falling to 0 with age; 0 without one.
func (c *Controller) reportFreshness(engine *engineState) float64 {
	if engine.reportedAt < 0 {
		return 0
	}
	return math.Exp(-float64(max(0, c.now-engine.reportedAt-reportLag)) / float64(reportDecay))
}

// unreportedSends adds up the threads and the memory, in MB, of own attempts that the last report does not show yet.
func (e *engineState) unreportedSends() (threads, memory float64) {
	for _, ref := range e.attempts {
		if attempt := ref.attempt(); e.reportedAt < 0 || attempt.sentAt > e.reportedAt-reportLag {
			threads += attempt.threads
			memory += attempt.memory
		}
	}
	return threads, memory
}

// isSmall reports whether a class is small: see smallClassDivisor.
func (c *Controller) isSmall(class int) bool {
	return c.estimates[class].work < c.heaviestWork()/smallClassDivisor
}

// heaviestWork returns the mean work of the heaviest class, in seconds over all threads.
func (c *Controller) heaviestWork() (heaviest float64) {
	for i := range c.estimates {
		heaviest = max(heaviest, c.estimates[i].work)
	}
	return heaviest
}

// adjustThreadFactor updates the smoothed slowdown of an engine with that of an answer, given as a logarithm. The
// thread factor grows by a step while the slowdown is at most targetSlowdown, and is cut while the slowdown is higher,
// whether this front end's load or any other load slows the engine down.
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

// median sorts the values and returns their lower median, or fallback if there are none.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}
