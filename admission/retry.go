package admission

import (
	"math"
	"slices"
	"time"
)

const (
	badBy    = 4.0 // times the expected time foretold that tell a bad plan ...
	badGain  = 2.0 // ... and expected times that another attempt must save
	vainPart = 0.7 // of the time foretold to be left: notes are rough
)

// mayRepeat: an unsafe attempt in doubt is never sent again, a keyed one only within its window.
func (c *Controller) mayRepeat(r *request) bool {
	return !r.doubt || r.cls.Idempotency == Idempotent ||
		(r.cls.Idempotency == IdempotentWithKey && c.now < r.doubtSent+r.cls.DeduplicationWindow)
}

// inBudget tells whether a further attempt of the request stays within the budget, where there is one, beside
// so many others that are promised. The last one is kept for classes worth more than the request's.
func (c *Controller) inBudget(r *request, promised int) bool {
	if !c.set.Budgeted {
		return true
	}
	c.slide(c.now - c.set.TrySpan)
	if slices.ContainsFunc(c.set.Classes, func(o Class) bool { return o.PriorityWeight > 2*r.cls.PriorityWeight }) {
		promised++
	}
	most := c.set.SpareTries + c.set.TryRatio*float64(len(c.takenAt))
	return float64(len(c.extraAt)+promised+1) <= most
}

// slide lets what is older leave the window of the budget; an arrival at its edge no longer counts.
func (c *Controller) slide(from time.Duration) {
	for len(c.takenAt) > 0 && c.takenAt[0] <= from {
		c.takenAt = c.takenAt[1:]
	}
	for len(c.extraAt) > 0 && c.extraAt[0] < from {
		c.extraAt = c.extraAt[1:]
	}
}

// settle takes the promise of a repeat off the books, once it is sent or the request is over.
func (c *Controller) settle(r *request) {
	if r.promised {
		r.promised = false
		c.promised--
	}
}

// mayMove tells whether an attempt may be withdrawn for another in its place.
func (c *Controller) mayMove(o *attemptRef) bool {
	r, t := o.req, &o.req.tries[o.n]
	return c.set.CancellationAllowed && t.open && !t.recalled &&
		r.cls.Idempotency == Idempotent && !r.streaming && !r.done &&
		len(r.tries) < c.set.MaxAttempts && c.inBudget(r, c.promised)
}

func (c *Controller) withdraw(o *attemptRef) {
	r, t := o.req, &o.req.tries[o.n]
	t.recalled, r.promised = true, true
	c.promised++
	c.do(Cancel{ID: r.ID, Attempt: o.n})
}

// takeBack withdraws an attempt out for longer than expected that may be repeated, so that it goes elsewhere.
// Where further attempts are rationed, none is withdrawn whose repeat could not follow (inBudget).
func (c *Controller) takeBack(o *attemptRef) {
	t := &o.req.tries[o.n]
	if c.mayMove(o) && c.now-t.sent > t.expect {
		c.withdraw(o)
	}
}

// takeBackAll looks at what is out on an engine, of one class or of all where that is negative.
func (c *Controller) takeBackAll(e *engine, class int) {
	for _, o := range e.outs {
		if class < 0 || o.req.Class == class {
			c.takeBack(o)
		}
	}
}

// badPlan ends an attempt whose notes foretell many times the expected time at the pace of its engine, where
// another should end well before it. The plan is drawn anew for each attempt while the cost stays: a query
// that showed as much before is costly, and left to run. Covers also an engine grown slow, and long waits for
// memory. May harm where estimates of one class scatter by more than badBy. What can't end before its client
// leaves and can't be repeated is ended too: its work is lost in any case.
func (c *Controller) badPlan(o *attemptRef, done float64) {
	r, t := o.req, &o.req.tries[o.n]
	out := float64(c.now - t.sent)
	total := out / math.Max(done, 1e-3)
	usual := float64(c.service(r, math.Max(t.eng.pace, c.fleet.pace)))
	again := float64(c.service(r, c.fleet.pace))
	bad := total >= badBy*usual && total-out >= badGain*again
	bad = bad && (r.foretold == 0 || total < float64(r.foretold)/2)
	switch vain := out+(total-out)*vainPart > float64(r.due-t.sent); {
	case bad && c.mayMove(o) && c.fits(r, c.fleet.pace):
		r.foretold = time.Duration(total)
		c.withdraw(o)
	case vain && c.set.CancellationAllowed && t.open && !t.recalled && r.cls.Idempotency == Idempotent && !r.streaming:
		t.recalled = true
		c.do(Cancel{ID: r.ID, Attempt: o.n})
	}
}
