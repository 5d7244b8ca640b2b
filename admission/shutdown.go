package admission

import "time"

// shutdownMargin is how long before the end of the front end its attempts are cancelled, so that their outcomes come.
const shutdownMargin = 600 * time.Millisecond

// handleShutdownRequested caps all deadlines by the end of the front end. What can't be served before it is rejected
// while clients have time to ask another front end, and what may be repeated is cancelled shortly before it.
func (c *Controller) handleShutdownRequested(event ShutdownRequested) {
	c.shutdownAt = c.now + event.Timeout
	for _, request := range c.unanswered {
		request.deadline = c.capDeadline(request.deadline)
	}
}

// capDeadline is the deadline, or the end of the front end if that is earlier.
func (c *Controller) capDeadline(deadline time.Duration) time.Duration {
	if c.shutdownAt > 0 {
		deadline = min(deadline, c.shutdownAt)
	}
	return deadline
}

// aboutToEnd reports whether the front end ends so soon that nothing is retried here.
func (c *Controller) aboutToEnd() bool {
	return c.shutdownAt > 0 && c.now >= c.shutdownAt-shutdownMargin
}

// cancelBeforeShutdown cancels the idempotent attempts in flight once the front end is about to end, so that their
// clients are rejected and ask another one.
func (c *Controller) cancelBeforeShutdown() {
	if !c.aboutToEnd() {
		return
	}
	for _, request := range c.unanswered {
		if request.classSettings.Idempotency == Idempotent && !request.streaming {
			c.cancelAttempts(request)
		}
	}
}
