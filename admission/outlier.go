package admission

import (
	"fmt"
	"math"
	"time"
)

const (
	overdueBy   = 4.0 // an attempt is overdue after this many times its expected time, and overdueMin
	overdueMin  = 300 * time.Millisecond
	silentCount = 2    // overdue attempts, with no answer since, that make an engine silent
	errorFade   = 0.1  // how fast an engine's share of errors falls with answers
	errorStep   = 0.25 // ... and rises with errors: few of own queries tell of them
	errorMany   = 0.5  // share from which an engine gets nothing that an error would end
	resets      = 2    // in a row eject an engine: one alone may be a lost answer
	probeMisses = 2    // failed probes in a row that eject
	lossRate    = 0.04 // how fast the share of lost answers follows
	lossy       = 0.08 // that share, from which small attempts are not waited for ...
	lossWait    = 2.5  // ... longer than this many times their expected time
	ejectFirst  = 1 * time.Second
	ejectMost   = 8 * time.Second
	fullRest    = 200 * time.Millisecond
)

// mute is what an engine makes of one class.
type mute struct {
	answered time.Duration // when it answered it last
	until    time.Duration // nothing of it goes there before
	hold     time.Duration // the rest in force; 0: none
}

// overdue counts attempts that are overdue.
type overdue struct {
	n, group int
	several  bool          // they are not all of one group of tables
	first    time.Duration // when the first of them was sent
}

func (t *overdue) add(group int, sent time.Duration) {
	t.several = t.several || group < 0 || (t.n > 0 && group != t.group)
	if t.n == 0 || sent < t.first {
		t.first = sent
	}
	t.group = group
	t.n++
}

// health counts what an outcome says of the engine: an answer clears it, failed connects and resets eject it.
// A lost connection to an engine that answers on the next one says nothing of it.
func (c *Controller) health(e *engine, a *attempt, ev Outcome) {
	if ev.Alive {
		return
	}
	switch s := ev.Status; s {
	case OK, Errored:
		// Errors come fast and leave an engine idle, so that reports draw more to it (i326ad6). Covers a bad
		// release, a full disk; may harm where requests are at fault.
		e.errs -= e.errs * errorFade
		if s == Errored {
			e.errs += (1 - e.errs) * errorStep
		}
		e.lastOK, c.all.lastOK, e.strikes = c.now, c.now, 0
		c.loss -= c.loss * lossRate
		if e.ejected && a.sent >= e.until {
			c.readmit(e)
		}
	case Reset:
		c.loss += (1 - c.loss) * lossRate
		if e.strikes++; e.strikes >= resets {
			c.eject(e)
		}
	case ConnectFailed:
		c.eject(e)
		e.lost = true
	case Overloaded:
		e.factor, e.rest = math.Max(factorLow, e.factor*0.9), c.now+fullRest
	}
}

// erring is the share of errors that counts against an engine: a single one does not.
func (e *engine) erring() float64 { return math.Max(0, e.errs-errorStep) }

// alive takes an answered probe for a sign of life.
func (c *Controller) alive(e *engine) {
	if e.misses, e.lastOK = 0, c.now; e.ejected {
		c.readmit(e)
	}
}

// miss counts a failed probe, own or told. A process that hangs answers none, while a busy one does.
func (c *Controller) miss(e *engine, refused bool) {
	if !e.ejected {
		e.heard = 0 // asked again first
	}
	if e.misses++; refused || e.misses >= probeMisses {
		c.eject(e)
		e.lost = e.lost || refused
	}
}

// eject takes an engine out of the draw, for longer each time, never more than half of the fleet.
func (c *Controller) eject(e *engine) {
	if e.ejected {
		if c.now >= e.until {
			e.strikes++
			e.until = c.now + min(ejectFirst<<min(e.strikes, 3), ejectMost)
		}
		return
	}
	if 2*(c.fleet.all-c.fleet.used+1) > c.fleet.all {
		return
	}
	c.fleet.used--
	e.ejected, e.strikes, e.until, e.trickle = true, 0, c.now+ejectFirst, 0
	c.do(Log{Text: fmt.Sprintf("engine %d ejected, %d own attempts out", e.ID, len(e.outs))})
	c.takeBackAll(e, -1)
}

// readmit takes an engine back. One that was lost may have restarted before the list says so: for a while
// it is taken for cold.
func (c *Controller) readmit(e *engine) {
	e.ejected = false
	c.fleet.used++
	if e.lost {
		c.startCold(e, c.now)
		e.guess = c.now
	}
}

// healthy lets an ejected engine have one small safe request at a time once its wait is over. One that errs
// in most of its answers gets what may be sent again, as errors cost little there and it still serves some,
// and what an error would end only where no other is near.
func (c *Controller) healthy(e *engine, r *request) bool {
	if !e.ejected {
		ends := r.cls.Idempotency != Idempotent || len(r.tries)+1 >= c.set.MaxAttempts
		return c.now >= e.rest && (e.errs <= errorMany || !ends || !c.clean)
	}
	return c.now >= e.until && e.trickle == 0 && r.cls.Idempotency == Idempotent && len(r.tries) == 0 && c.rank(r) == 0
}

// watch looks at what is out on an engine. One that answers none is told by several own attempts overdue, not
// all of one table group (a holder would explain that); lost answers by notes that stopped or small attempts.
func (c *Controller) watch(e *engine) {
	due := overdue{}
	for _, o := range e.outs {
		t, small := &o.req.tries[o.n], c.small(o.req.Class)
		out := float64(c.now - t.sent)
		if out > overdueBy*float64(max(t.expect, c.service(o.req, c.fleet.pace)))+float64(overdueMin) {
			if t.sent > e.mutes[o.req.Class].answered {
				c.classes[o.req.Class].late.add(o.req.Group, t.sent)
			}
			if t.sent > e.lastOK {
				due.add(o.req.Group, t.sent)
			} else if small && !t.overdue {
				t.overdue = true
				c.loss += (1 - c.loss) * lossRate
			}
		}
		if (c.loss > lossy && small && o.n == 0 && out > lossWait*float64(t.expect)+float64(wake)) ||
			(c.set.ProgressInterval > 0 && c.now-max(t.sent, t.noted) > 3*c.set.ProgressInterval) {
			c.takeBack(o)
		}
	}
	if due.n >= silentCount && due.several && c.now-e.lastOK > 3*(c.now-c.all.lastOK)+3*overdueMin {
		c.eject(e)
	}
	for class := range c.classes {
		c.quieten(e, class)
	}
}

// quieten rests an engine for a class of which it answers none while others do, and then lets one go at a
// time, further apart each time. Guards against a class that hangs at engines that answer the rest: they look
// idle, draw more, and hold what they get until clients leave. Never for most; may harm where one is slow.
func (c *Controller) quieten(e *engine, class int) {
	k, m := &c.classes[class], &e.mutes[class]
	late := k.late
	if k.late = (overdue{}); late.n < silentCount || !late.several || m.hold > 0 ||
		e.lastOK < late.first || c.now-late.first <= 3*(c.now-k.answered)+3*overdueMin ||
		2*(c.muted(class)+1) > c.fleet.used {
		return
	}
	m.hold, m.until = ejectFirst, c.now+ejectFirst
	c.do(Log{Text: fmt.Sprintf("engine %d answers nothing of class %d", e.ID, class)})
}

// muted is how many engines in use rest for a class.
func (c *Controller) muted(class int) (n int) {
	for _, e := range c.engines {
		if !e.gone && !e.ejected && e.mutes[class].hold > 0 {
			n++
		}
	}
	return n
}
