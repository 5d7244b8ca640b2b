package admission

import (
	"math"

	"beechcart/decision/slowstart"
)

const (
	stretch     = 2  // engines to draw from, where only own answers bring reports
	stretchFrom = 10 // gateways from which on; fewer see enough of all engines each
)

// arc gives each gateway its own stretch of a ring of the engines, where it can't hear enough of all. They
// start evenly over the capacity and are of equal capacity, so that all engines get as much, each from fewer.
// With more clients a stretch is longer by as much, and the part of each engine the same.
func (c *Controller) arc() {
	c.subset, c.base, c.part = math.Inf(1), math.Inf(1), 1/float64(c.set.Replicas)
	share := stretch / math.Max(float64(c.fleet.all), 1)
	if !c.set.GossipAllowed && c.set.Replicas >= stretchFrom && share < 1 {
		c.base, c.part = c.fleet.cores*share, math.Min(1, c.part/share)
		c.subset = c.base * c.ours
	}
	c.divide()
}

// divide finds where the own stretch begins and, after a change of the list, our shares of the engines while they are
// cold, with all engines well and an equal part of the clients.
func (c *Controller) divide() {
	c.capacity = c.capacity[:0]
	for _, e := range c.engines {
		cores := e.cores
		if e.gone {
			cores = 0
		}
		c.capacity = append(c.capacity, cores)
	}
	if c.first = 0; !math.IsInf(c.base, 1) {
		c.first = slowstart.First(c.capacity, c.set.Me, c.set.Replicas)
	}
	if !c.relisted {
		return
	}
	c.relisted = false
	for i, share := range slowstart.Shares(c.capacity, c.set.Me, c.set.Replicas, c.base) {
		e := c.engines[i]
		if math.IsInf(c.base, 1) {
			e.share = slowstart.Fixed(share)
		} else {
			e.share = e.share.Change(share, c.now, c.set.FallWindow)
		}
	}
}

// along gathers in near the engines of the ring from our own place on, neither draining nor gone, that count,
// until what they come to makes up the size.
func (c *Controller) along(size float64, count func(*engine) (float64, bool)) {
	c.near = c.near[:0]
	for i, seen := 0, 0.0; i < len(c.engines) && seen < size; i++ {
		e := c.engines[(c.first+i)%len(c.engines)]
		if e.gone {
			continue
		}
		if w, ok := count(e); ok {
			seen += w
			c.near = append(c.near, e)
		}
	}
}
