package admission

import (
	"math"

	"beechcart/decision/slowstart"
)

// subsetEngines is how many engines a front end sends to where it hears of them by its own answers only.
const subsetEngines = 2

// subsetMinReplicas is the number of front ends from which on they send to subsets; fewer hear enough of all engines.
const subsetMinReplicas = 10

// subsetState is the stretch of the ring of engines that this front end sends to.
type subsetState struct {
	first       int       // index of the engine at which it begins
	capacities  []float64 // cores of the engines along the ring; 0: not in use
	listChanged bool      // since the slow start shares were assigned
	size        float64   // in cores; +Inf: all engines
	equalSize   float64   // the size for a front end with an equal part of the clients
	quotaShare  float64   // this front end's part of the clients over an equal one
}

// updateSubset sizes the subset of this front end. Subsets begin evenly over the capacity of the ring and are of equal
// capacity, so that all engines get as much, each from fewer front ends. One with more clients has a longer one, and
// the same part of each engine.
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

// assignSubset finds where the subset begins and, after a change of the list, this front end's shares of the engines'
// slow starts. These are reckoned with no engine ejected and an equal part of the clients, so that all front ends come
// to the same division.
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

// subsetFrom gathers as candidates the engines from the begin of the subset on that are in use and that the function
// admits, until the capacities that it gives make up the size.
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
