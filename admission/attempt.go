package admission

import (
	"math"
	"time"
)

type attempt struct {
	eng      *engine
	sent     time.Duration
	threads  float64
	mem      float64
	expect   time.Duration // expected time from sending to answer
	open     bool
	recalled bool
	noted    time.Duration // last word of it
	overdue  bool
	small    bool // of a small class when it was sent
	base     bool // sent while the engine was calm: its time serves as a base
}

type attemptRef struct {
	req *request
	n   int
}

// send starts an attempt, terms first, with no time-out short of the client's: such cut costly queries.
func (c *Controller) send(r *request, e *engine) {
	c.dequeue(r)
	a := attempt{
		eng: e, sent: c.now, threads: float64(r.cls.Threads), mem: c.memOf(r), open: true,
		small: c.small(r.Class), base: c.load(e, c.fleet.avg) < calmLevel && c.ready(e) >= 1,
		expect: c.service(r, math.Max(e.pace, c.fleet.pace)),
	}
	c.terms(r, &a)
	c.settle(r)
	if len(r.tries) > 0 && c.set.Budgeted {
		c.extraAt = append(c.extraAt, c.now)
	}
	if c.ready(e) < 1 {
		work := c.classes[r.Class].work
		_, _, heavy := c.coldBudget(e, work)
		e.spend(spend{c.now, work, heavy}, c.set.FallWindow)
	}
	r.tries = append(r.tries, a)
	e.outs = append(e.outs, &attemptRef{r, len(r.tries) - 1})
	c.hold(r, &a, 1)
	if e.ejected {
		e.trickle++
	}
	if m := &e.mutes[r.Class]; m.hold > 0 {
		m.hold = min(2*m.hold, ejectMost)
		m.until = c.now + m.hold
	}
	c.do(Send{ID: r.ID, Engine: e.ID, Cap: r.due - c.now})
}

// terms sets priority by worth per expected work, and the grant from the corrected estimate.
func (c *Controller) terms(r *request, a *attempt) {
	pri, grant := 1, 0.0
	switch {
	case !c.set.Priorities:
	case r.cls.LocksTables && c.anyWaits():
		pri = 2 // a holder that crawls would hold up all that wait behind it
	case c.rank(r) > 0:
		pri = 0
	case c.small(r.Class) || c.workOf(r)*1.5 < c.classes[r.Class].work:
		pri = 2 // not 3: small ones ran at full speed while the heavy, with less slack, took 3.4 times theirs
	}
	if c.set.Grants && a.mem > 0 {
		grant = math.Ceil(a.mem)
		if a.eng.memory > 0 && c.set.MostGrant > 0 {
			grant = math.Min(grant, math.Floor(a.eng.memory*c.set.MostGrant))
		}
		a.mem = grant
	}
	if pri != 1 || grant > 0 {
		c.do(Terms{ID: r.ID, Priority: pri, GrantMB: grant})
	}
}

// outcome releases the attempt first, then learns from it, then decides what follows: another attempt, or the
// final answer at once.
func (c *Controller) outcome(ev Outcome) {
	if e := c.byID[ev.Engine]; e != nil && ev.Report != nil {
		e.rep, e.repAt = *ev.Report, c.now
	}
	r := c.reqs[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].open {
		return
	}
	a := &r.tries[ev.Attempt]
	c.release(r, a)
	if ev.Status == OK {
		c.learn(r, a, ev)
	}
	c.health(a.eng, a, ev)
	if ev.Status == OK || ev.Status == Errored {
		c.classes[r.Class].answered, a.eng.mutes[r.Class] = c.now, mute{answered: c.now}
	}
	if !ev.Status.NeverRan() && ev.Status != OK {
		if !r.doubt {
			r.doubt, r.doubtSent, r.doubtAt = true, a.sent, a.eng
		}
		if k := c.keys[r.Key]; k != nil && ev.Status != Errored && r.cls.Ordered {
			k.rest = max(k.rest, c.now+c.set.KeyCooldown)
		}
	}
	switch {
	case ev.Closed || ev.Status == OK:
		c.close(r)
	case r.done:
		c.forget(r)
	case r.out > 0:
	case r.streaming || c.ending() || !c.fits(r, 1) || len(r.tries) >= c.set.MaxAttempts || !c.mayRepeat(r):
		c.giveUp(r)
	default:
		c.enqueue(r, true)
	}
}

// hold books what an attempt holds, with sign 1, and gives it back, with sign -1.
func (c *Controller) hold(r *request, a *attempt, sign float64) {
	r.out += int(sign)
	c.running += sign * a.threads
	a.eng.threads, a.eng.mem = a.eng.threads+sign*a.threads, a.eng.mem+sign*a.mem
	if a.small {
		a.eng.smallMem += sign * a.mem
		c.smallRun, r.ten.smallMem = c.smallRun+sign*a.threads, r.ten.smallMem+sign*a.mem
	}
	r.ten.running, r.ten.mem = r.ten.running+sign*a.threads, r.ten.mem+sign*a.mem
}

func (c *Controller) release(r *request, a *attempt) {
	e := a.eng
	a.open = false
	for i, o := range e.outs {
		if o.req == r && &r.tries[o.n] == a {
			e.outs = append(e.outs[:i], e.outs[i+1:]...)
			break
		}
	}
	c.hold(r, a, -1)
	if e.ejected && e.trickle > 0 {
		e.trickle--
	}
}

func (c *Controller) recall(r *request) {
	for n := range r.tries {
		if a := &r.tries[n]; a.open && !a.recalled && c.set.CancellationAllowed {
			a.recalled = true
			c.do(Cancel{ID: r.ID, Attempt: n})
		}
	}
}

// note takes word of an attempt that is out, and as a sign of life of its engine.
func (c *Controller) note(ev Progress) {
	if r := c.reqs[ev.ID]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.tries) {
		a := &r.tries[ev.Attempt]
		if a.noted = c.now; ev.Kind == ProgressFraction {
			a.eng.lastOK = c.now
			c.badPlan(&attemptRef{r, ev.Attempt}, ev.Value)
		}
	}
}
