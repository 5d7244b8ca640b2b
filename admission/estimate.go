package admission

import (
	"math"
	"time"
)

const (
	fixRate    = 0.03 // how fast the correction of estimates follows
	fixAfter   = 5    // answers before it is used
	calmSlow   = 0.3  // logarithm of the slowdown assumed on calm engines before any was seen
	ownGrant   = 1.25 // grant over the estimate where the engine alone decides
	grantSpare = 1.5  // over the corrected estimate: at 1.15 over 40% spilled, at 2.0 memory ran short
)

type learned struct {
	work, mem       float64 // mean seconds of work over all threads; mean MB
	workFix, memFix float64 // truth over estimate
	n, memN         float64
	estN            float64
	fixWork, fixMem ratio
	answered        time.Duration // when any engine answered it last
	late            overdue       // of the engine that is looked at
	slow            float64       // usual slowdown on calm engines, as a logarithm
}

// ratio relates truths to their estimates.
type ratio struct{ n, truth, estimate float64 }

func (q *ratio) add(truth, estimate float64) float64 {
	q.n++
	rate := math.Max(fixRate, 1/q.n)
	q.truth += (truth - q.truth) * rate
	q.estimate += (estimate - q.estimate) * rate
	if q.n < fixAfter {
		return 1
	}
	return q.truth / math.Max(q.estimate, 1e-6)
}

// prior is the work assumed of a class before its first answers: its aim tells the scale.
func prior(cl *Class) float64 { return cl.LatencyObjective.Seconds() * float64(cl.Threads) / 3 }

// workOf is the expected work of a request, in seconds over all its threads.
func (c *Controller) workOf(r *request) float64 {
	work := c.classes[r.Class].work
	if r.Work > 0 {
		work = r.Work.Seconds() * c.classes[r.Class].workFix
	}
	return math.Max(work, 0.001)
}

// memOf is the memory that a request will hold: our grant or the engine's own; 0 when nothing tells it.
func (c *Controller) memOf(r *request) float64 {
	k := &c.classes[r.Class]
	switch {
	case r.MemMB <= 0:
		return k.mem * grantSpare
	case c.set.Grants:
		return r.MemMB * k.memFix * grantSpare
	}
	return r.MemMB * ownGrant
}

// service is the expected time from sending to answer.
func (c *Controller) service(r *request, pace float64) time.Duration {
	pace *= math.Exp(c.classes[r.Class].slow)
	return time.Duration(c.workOf(r) / float64(r.cls.Threads) * pace * float64(time.Second))
}

// learn takes the work, memory and pace from an answer.
func (c *Controller) learn(r *request, a *attempt, ev Outcome) {
	k, th := &c.classes[r.Class], float64(r.cls.Threads)
	work := ev.Work.Seconds()
	if work <= 0 && a.base {
		// Nothing tells the cost: times on calm engines stand for it.
		work = math.Min(ev.Latency.Seconds()*th, 20*k.work)
	}
	if r.Work > 0 && ev.Work > 0 { // a bad plan is not the usual work of its class
		work = math.Min(work, badBy*c.workOf(r))
		k.workFix = k.fixWork.add(work, r.Work.Seconds())
	}
	if work > 0 {
		k.n++
		k.work += (work - k.work) * math.Max(0.01, 1/(k.n+4))
	}
	if ev.NeedMB > 0 {
		k.memN++
		k.mem += (ev.NeedMB - k.mem) * math.Max(0.01, 1/k.memN)
		if r.MemMB > 0 {
			k.memFix = k.fixMem.add(ev.NeedMB, r.MemMB)
		}
	}
	if ev.Work <= 0 {
		work = k.work
	}
	if ev.Work > 0 {
		work = ev.Work.Seconds()
	}
	slow := math.Log(math.Min(math.Max(ev.Latency.Seconds()*th/math.Max(work, 1e-3), 0.2), 8))
	if a.base {
		k.slow += (slow - k.slow) * 0.03
	}
	c.steer(a.eng, slow-k.slow)
	c.steer(&c.all, slow-k.slow)
}
