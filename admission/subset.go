package admission

import (
	"math"

	"beechcart/decision/slowstart"
)

// subsetEngines is the number of engines that a front end sends to if it learns about engines only from its own
// traffic.
const subsetEngines = 2

// subsetMinReplicas is the smallest number of front ends that use subsets. With fewer, each front end gets enough
// answers from all engines.
const subsetMinReplicas = 10

// subsetState is the section of the engine ring that this front end sends to.
type subsetState struct {
	first       int       // index of the first engine
	capacities  []float64 // cores of the engines in ring order; 0: unavailable
	listChanged bool      // the engine list has changed since the slow start quotas were assigned
	size        float64   // in cores; +Inf: all engines
	equalSize   float64   // in cores, for a front end with an equal share of the clients
	quotaShare  float64   // this front end's share of the clients, relative to an equal share
}

// updateSubset sets the size of this front end's subset. The first engines of the subsets are spread evenly over the
// capacity of the ring, and all subsets have equal capacity, so that engines get equal traffic per core, each from
// fewer front ends. A front end with more clients has a larger subset, and the same fraction of each engine in it.
func (c *Controller) updateSubset() {
	subset := &c.subset
	subset.size, subset.equalSize = math.Inf(1), math.Inf(1)
	c.engineShare = 1 / float64(c.settings.Replicas)
	fraction := subsetEngines / math.Max(float64(c.fleet.engines), 1)
	if !c.settings.GossipAllowed && c.settings.Replicas >= subsetMinReplicas && fraction < 1 {
		subset.equalSize = c.fleet.cores * fraction
		subset.size = subset.equalSize * subset.quotaShare
		c.engineShare = math.Min(1, c.engineShare/fraction)
	}
	c.assignSubset()
}

// assignSubset determines the first engine of the subset and, after a change of the engine list, this front end's slow
// start quotas. The quotas ignore ejections and assume an equal share of the clients, so that all front ends compute
// the same division.
func (c *Controller) assignSubset() {
	subset, me, replicas := &c.subset, c.settings.Me, c.settings.Replicas
	subset.capacities = subset.capacities[:0]
	for _, engine := range c.engines {
		cores := engine.cores
		if engine.unavailable {
			cores = 0
		}
		subset.capacities = append(subset.capacities, cores)
	}
	all := math.IsInf(subset.equalSize, 1)
	subset.first = 0
	if !all {
		subset.first = slowstart.FirstEngine(subset.capacities, me, replicas)
	}
	if !subset.listChanged {
		return
	}
	subset.listChanged = false
	for i, share := range slowstart.Quotas(subset.capacities, me, replicas, subset.equalSize) {
		engine := c.engines[i]
		if all {
			engine.slowStartQuota = slowstart.FixedQuota(share)
		} else {
			engine.slowStartQuota = engine.slowStartQuota.Update(share, c.now, c.settings.SlowStart.OverloadWindow)
		}
	}
}

// subsetFrom collects the candidates: from the first engine of the subset on, the available engines that admit accepts,
// until the capacities that admit returns add up to size.
func (c *Controller) subsetFrom(size float64, admit func(*engineState) (capacity float64, ok bool)) {
	c.candidates.engines = c.candidates.engines[:0]
	gathered := 0.0
	for i := 0; i < len(c.engines) && gathered < size; i++ {
		engine := c.engines[(c.subset.first+i)%len(c.engines)]
		if engine.unavailable {
			continue
		}
		if capacity, ok := admit(engine); ok {
			gathered += capacity
			c.candidates.engines = append(c.candidates.engines, engine)
		}
	}
}
