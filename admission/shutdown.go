package admission

import (
	"time"
)

const (
	stopMargin = 600 * time.Millisecond // before the gateway's end: for cancels to be proved
)

// stop caps all waits by the gateway's end: what can't be served before is refused while its client has time
// to ask another gateway (fits), and what may be repeated is called back shortly before (callBack).
func (c *Controller) stop(ev ShutdownRequested) {
	c.stopAt = c.now + ev.Timeout
	for _, r := range c.open {
		r.due = c.dueBy(r.due)
	}
}

func (c *Controller) dueBy(due time.Duration) time.Duration {
	if c.stopAt > 0 {
		due = min(due, c.stopAt)
	}
	return due
}

// ending tells that the gateway is about to end: what ends without an answer now goes to another gateway.
func (c *Controller) ending() bool { return c.stopAt > 0 && c.now >= c.stopAt-stopMargin }

// callBack ends what is out and may be repeated elsewhere, once the gateway is about to end: else its clients
// would wait out their time for an answer that never comes.
func (c *Controller) callBack() {
	if !c.ending() {
		return
	}
	for _, r := range c.open {
		if r.cls.Idempotency == Idempotent && !r.streaming {
			c.recall(r)
		}
	}
}
