package admission

import (
	"math"
	"time"
)

const (
	lateKeep   = 0.25 // late worth from which a late request stays in the queue
	lateMargin = 2.5  // a waiting request is late once so many times its service no longer fits
	fitMargin  = 1.5  // times the expected time that must fit before the client leaves ...
	fitCalm    = 0.5  // ... and while the fleet is calm: an idle engine may as well try
)

// fits guards against work that nobody waits for: what is not expected with some margin, at that pace, before
// its client leaves holds an engine in vain, the more so where none stops it (L9eba4f). It covers callers of
// little patience, waits near their end, engines grown slow. May harm where expected times are far too high.
func (c *Controller) fits(r *request, pace float64) bool {
	margin := fitMargin
	if c.fleet.avg < calmLevel {
		margin = fitCalm
	}
	return c.now+max(2*wake, time.Duration(margin*float64(c.service(r, pace)))) <= r.due
}

// expire refuses a waiting request as soon as it cannot be served in time; where late answers still earn well
// it stays, behind those in time, unless it is ahead of one in the order of a key: all of that would be late.
func (c *Controller) expire(r *request) {
	if !r.queued {
		return
	}
	need := c.service(r, math.Min(c.fleet.pace, 2))
	late := !r.late && c.now+time.Duration(lateMargin*float64(need)) > r.aim
	drop := (late && (r.cls.LateWeight < lateKeep || r.over)) || ((late || r.late) && c.holdsUp(r))
	switch {
	case drop || !c.fits(r, math.Min(c.fleet.pace, 2)) || !c.mayRepeat(r):
		c.giveUp(r)
	case late:
		c.dequeue(r)
		r.late = true
		c.enqueue(r, false)
	}
}
