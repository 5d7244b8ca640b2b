package admission

import (
	"math"
	"time"
)

type request struct {
	Request
	cls       *Class
	ten       *tenant
	arrived   time.Duration
	due       time.Duration // the client gives up
	aim       time.Duration // full worth until here
	over      bool          // beyond its tenant's share
	late      bool
	queued    bool
	done      bool
	streaming bool
	tries     []attempt
	out       int
	promised  bool          // withdrawn, and its repeat not yet sent
	foretold  time.Duration // what the notes of an attempt that was ended for it foretold
	doubt     bool          // an attempt may have run
	doubtSent time.Duration // when the first such attempt was sent
	doubtAt   *engine
}

func (c *Controller) request(ev Request) {
	if c.reqs[ev.ID] != nil || ev.Class < 0 || ev.Class >= len(c.set.Classes) {
		return
	}
	cl, k := &c.set.Classes[ev.Class], &c.classes[ev.Class]
	r := &request{Request: ev, cls: cl, arrived: c.now, due: c.dueBy(c.now + ev.Timeout)}
	if c.set.Budgeted {
		c.takenAt = append(c.takenAt, c.now)
	}
	if ev.Tenant < 0 || ev.Tenant >= len(c.tens) {
		r.Tenant = 0
	}
	r.ten = c.tens[r.Tenant]
	r.MemMB = math.Max(r.MemMB, 0)
	if k.estN++; r.Work > 0 && k.n < fixAfter { // before answers tell, estimates do
		k.work += (r.Work.Seconds() - k.work) / k.estN
	}
	// A try with less time left than any first try is of an older request, unless its caller marks such.
	spent := max(0, cl.Deadline*3/4-ev.Timeout)
	if c.set.MarksRetry && !ev.Retry {
		spent = 0
	}
	stretch := time.Duration(cl.ObjectivePerWork * c.workOf(r) / float64(cl.Threads) * float64(time.Second))
	r.aim = min(c.now+cl.LatencyObjective+stretch-spent, r.due)
	c.arrivals(r.ten)
	r.ten.rate += 1 / rateFade.Seconds()
	r.over = c.beyondShare(r)
	c.probes = math.Min(c.probes+c.probeRate(), probeBurst)
	c.bytes = math.Min(c.bytes+tellBytes, 64*tellBytes)
	c.reqs[r.ID] = r
	c.open = append(c.open, r)
	if cl.Ordered && r.Key != "" {
		if c.keys[r.Key] == nil {
			c.keys[r.Key] = &keyLine{}
		}
		c.keys[r.Key].line = append(c.keys[r.Key].line, r)
	}
	c.enqueue(r, false)
	if !c.fits(r, 1) { // it may come with no time left at all
		c.giveUp(r)
	} else if c.queued > max(queueLeast, int(c.fleet.run*queueFactor)) {
		c.shed()
	}
}

// giveUp gives the final answer at once: refused where a repeat is harmless, failed where it may not be.
func (c *Controller) giveUp(r *request) {
	if r.done || r.out > 0 {
		return
	}
	if c.mayRepeat(r) && !r.streaming &&
		(!r.doubt || r.cls.Idempotency == Idempotent || r.cls.DeduplicationScope == ScopeAll) {
		c.do(Reject{ID: r.ID, RetryAfter: min(c.set.MaxRetryAfter, r.cls.LatencyObjective)})
	} else {
		c.do(Fail{ID: r.ID})
	}
	c.close(r)
}

// close marks the request as answered; its attempts that are still out keep their caps until they end.
func (c *Controller) close(r *request) {
	if !r.done {
		r.done = true
		c.settle(r)
		c.dequeue(r)
	}
	c.forget(r)
}

// forget drops a request that is over and has nothing out, and lets the next of its key go.
func (c *Controller) forget(r *request) {
	if r.out > 0 || c.reqs[r.ID] != r {
		return
	}
	delete(c.reqs, r.ID)
	if k := c.keys[r.Key]; k != nil && r.cls.Ordered && r.Key != "" {
		for i, o := range k.line {
			if o == r {
				k.line = append(k.line[:i], k.line[i+1:]...)
				break
			}
		}
	}
}
