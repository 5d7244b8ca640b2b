package admission

import (
	"math"
	"slices"
	"time"
)

const (
	lookAhead   = 8  // requests of one list looked at behind one that has no room
	queueFactor = 12 // queue depth per own thread, of at least queueLeast
	queueLeast  = 32
)

type keyLine struct {
	line []*request
	rest time.Duration
}

// admit runs the deficit round robin, rank by rank: within the share and in time first.
func (c *Controller) admit() {
	for rank := range 2 {
		for idle, pass := 0, 0; idle < len(c.tens) && pass < 400*len(c.tens); pass++ {
			idle++
			if c.serve(c.tens[c.turn%len(c.tens)], rank) {
				idle = 0
			}
			c.turn++
		}
	}
}

// serve gives one tenant its quantum and sends what it covers; false when the tenant has nothing to send.
func (c *Controller) serve(t *tenant, rank int) bool {
	r, e := c.candidate(t, rank)
	if r == nil {
		if t.idle() {
			t.deficit = 0 // credit is kept for want of room, not for want of requests
		}
		return false
	}
	most := 4 * c.heaviest() * t.weight // no query is larger than any deficit can grow to
	t.deficit = math.Min(t.deficit+most/32, most)
	for cost := 0.0; r != nil; r, e = c.candidate(t, rank) {
		if cost = math.Min(c.workOf(r), most); cost > t.deficit {
			break
		}
		t.deficit -= cost
		c.send(r, e)
	}
	return true
}

// candidate is the tenant's next request that may go, and its engine: by worth per work, then oldest first.
func (c *Controller) candidate(t *tenant, rank int) (*request, *engine) {
	for _, class := range c.order {
		list := t.lists[class][rank]
		if rank > 0 && c.waiting(class) {
			continue
		}
		looked := 0
		for _, r := range list {
			if !c.inTurn(r) {
				continue
			}
			if looked++; looked > lookAhead {
				break
			}
			if c.mayGo(r) {
				if e := c.draw(r); e != nil {
					return r, e
				}
			}
		}
	}
	return nil, nil
}

// waiting tells whether a request of rank 0 and in turn waits in the class.
func (c *Controller) waiting(class int) bool {
	for _, t := range c.tens {
		if slices.ContainsFunc(t.lists[class][0], c.inTurn) {
			return true
		}
	}
	return false
}

// inTurn holds the order by key, and the budget of further attempts. What is not in turn holds back nothing:
// else a late head of a key would wait for its own successors, and eight behind a key at rest hold up all.
func (c *Controller) inTurn(r *request) bool {
	if k := c.keys[r.Key]; r.cls.Ordered && r.Key != "" && (k == nil || k.line[0] != r || c.now < k.rest) {
		return false
	}
	return len(r.tries) == 0 || c.inBudget(r, 0)
}

func (c *Controller) enqueue(r *request, front bool) {
	list := &r.ten.lists[r.Class][c.rank(r)]
	if front {
		*list = append([]*request{r}, *list...)
	} else {
		*list = append(*list, r)
	}
	r.queued = true
	c.queued++
}

func (c *Controller) dequeue(r *request) {
	if !r.queued {
		return
	}
	list := &r.ten.lists[r.Class][c.rank(r)]
	for i, q := range *list {
		if q == r {
			*list = append((*list)[:i], (*list)[i+1:]...)
			break
		}
	}
	r.queued = false
	c.queued--
}

// rank is 1 for what is served only when nothing of rank 0 waits in its class.
func (c *Controller) rank(r *request) int {
	if !r.over && !r.late {
		return 0
	}
	return 1
}

// holdsUp tells whether a request in time waits behind this one for their key.
func (c *Controller) holdsUp(r *request) bool {
	k := c.keys[r.Key]
	if !r.cls.Ordered || r.Key == "" || k == nil {
		return false
	}
	at := slices.Index(k.line, r)
	return at >= 0 && slices.ContainsFunc(k.line[at+1:], func(o *request) bool { return !o.late && !o.done })
}

// shed refuses one request when the queue is full: over-share and late first, then least worth per work,
// then the youngest of the longest list.
func (c *Controller) shed() {
	var worst *request
	low, long := math.Inf(1), 0
	for _, t := range c.tens {
		for i := range t.lists {
			for rank, list := range t.lists[i] {
				if len(list) == 0 {
					continue
				}
				r := list[len(list)-1]
				d := r.cls.PriorityWeight/c.workOf(r) - float64(rank)*1e9
				if d < low || (d == low && len(list) > long) {
					low, long, worst = d, len(list), r
				}
			}
		}
	}
	c.giveUp(worst)
}
