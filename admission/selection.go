package admission

import (
	"math"
	"slices"
)

const (
	leanFew    = 4.0  // power of the room in the draw: homes outweighed the square
	leanMany   = 2.0  // ... where many hear the same reports, and jam what looks idle
	metBias    = 0.02 // for an engine where the request would stand behind a holder of its group
	middleBias = 0.3  // for the engine between those of holders and of those that wait for them
	homeBias   = 2.0  // how far a table group bends the draw to its home engine: 4 cost more
)

// nearby gathers the engines the request may be drawn from: along the own stretch, neither draining nor gone,
// and where its class is placed.
func (c *Controller) nearby(r *request) {
	c.along(c.subset, func(e *engine) (float64, bool) {
		ok := within(r.cls.OnlyZones, e.Zone) && within(r.cls.OnlyKinds, e.Kind)
		ok = ok && (!e.ejected || c.healthy(e, r))
		return e.cores * math.Max(0, 1-3*e.erring()), ok // the own stretch goes on behind one of errors
	})
	c.homes, c.clean = c.homes[:0], false
	for _, e := range c.near {
		c.clean = c.clean || e.errs <= errorMany
		c.homes = append(c.homes, homeHash(r.Group, e.ID))
	}
	slices.Sort(c.homes)
}

// draw picks an engine at random among those with room, weighted against load.
func (c *Controller) draw(r *request) (picked *engine) {
	c.nearby(r)
	c.weights = c.weights[:0]
	avg, sum, lean := c.fleet.avg, 0.0, leanFew
	if c.set.GossipAllowed && c.set.Replicas >= stretchFrom {
		lean = leanMany
	}
	for _, e := range c.near {
		w := 0.0
		fits := c.fits(r, math.Max(e.pace, c.fleet.pace))
		if fits && c.allowed(e, r) && c.healthy(e, r) && c.room(e, r, avg) {
			w = e.cores * c.ready(e) * math.Pow(math.Max(0.03, 1.3-c.load(e, avg)), lean)
			w *= math.Pow(math.Min(1, c.fleet.pace/e.pace), 3) * c.tablesBias(e, r)
			w *= math.Pow(1-e.erring(), 4)
			if c.set.Zone >= 0 && e.Zone == c.set.Zone {
				w *= 1.5
			}
			for n := range r.tries {
				if r.tries[n].eng == e {
					w *= 0.01
				}
			}
		}
		c.weights = append(c.weights, w)
		sum += w
	}
	x := c.rand() * sum
	for i, w := range c.weights {
		if w > 0 && x >= 0 {
			picked = c.near[i]
			x -= w
		}
	}
	return picked
}

// allowed holds the rules that bind a request to engines: keyed groups and windows, and the cold budget;
// drains and placement are kept by nearby. It also keeps the rest of an engine for a class (quieten).
func (c *Controller) allowed(e *engine, r *request) bool {
	if r.doubt && r.cls.Idempotency == IdempotentWithKey && (c.now >= r.doubtSent+r.cls.DeduplicationWindow ||
		(r.cls.DeduplicationScope == ScopeZone && e.Zone != r.doubtAt.Zone) ||
		(r.cls.DeduplicationScope == ScopeCell && e.Cell != r.doubtAt.Cell)) {
		return false
	}
	return c.now >= e.mutes[r.Class].until && c.coldRoom(e, c.classes[r.Class].work)
}

// tablesBias ranks the engines for each table group, alike at all gateways: readers bend to the first, and
// holders and those that wait for them part.
func (c *Controller) tablesBias(e *engine, r *request) float64 {
	if r.Group < 0 {
		return 1
	}
	at, _ := slices.BinarySearch(c.homes, homeHash(r.Group, e.ID))
	bias, before := 1.0, len(c.homes)-1-at
	apart := c.anyWaits() && (r.cls.LocksTables || r.cls.WaitsForLocks) && len(c.homes) >= 4
	switch far := 2*before >= len(c.homes); {
	case apart && 2*before == len(c.homes)-1: // the middle one of an odd number is open to both
		bias = middleBias
	case apart && far != r.cls.LocksTables:
		return 0 // on a hot group a holder follows on the last, and waiters would fill the engine
	case before == 0 && !r.cls.LocksTables:
		bias = homeBias
	case before == 1 && !r.cls.LocksTables:
		bias = math.Sqrt(homeBias)
	}
	for _, a := range e.outs {
		o := a.req.cls
		if a.req.Group == r.Group && ((o.LocksTables && (r.cls.WaitsForLocks || r.cls.LocksTables)) ||
			(o.WaitsForLocks && r.cls.LocksTables)) {
			bias *= metBias
		}
	}
	return bias
}

// homeHash ranks engines for a table group, alike at every gateway.
func homeHash(group int, id uint32) uint64 {
	h := &Controller{rng: uint64(group)<<32 | uint64(id)}
	return h.next()
}

func (c *Controller) anyWaits() bool {
	for i := range c.set.Classes {
		if c.set.Classes[i].WaitsForLocks {
			return true
		}
	}
	return false
}

func within(only []int, v int) bool {
	for _, o := range only {
		if o == v && v >= 0 {
			return true
		}
	}
	return len(only) == 0
}
