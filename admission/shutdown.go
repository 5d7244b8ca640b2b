package admission

import "time"

// shutdownMargin is how long before the end of the front end its attempts are cancelled, so that their outcomes arrive
// in time.
const shutdownMargin = 600 * time.Millisecond

// handleShutdownRequested caps all deadlines at the end of the front end. Requests that cannot be answered before the
// end are rejected early, while clients have time to ask another front end. Idempotent attempts still in flight are
// cancelled shortly before the end.
func (c *Controller) handleShutdownRequested(event ShutdownRequested) {
	c.shutdownAt = c.now + event.Timeout
	for _, request := range c.unanswered {
		request.deadline = c.capDeadline(request.deadline)
	}
}

// capDeadline returns the deadline, or the end of the front end if that is earlier.
func (c *Controller) capDeadline(deadline time.Duration) time.Duration {
	if c.shutdownAt > 0 {
		deadline = min(deadline, c.shutdownAt)
	}
	return deadline
}

// shutdownImminent reports whether the front end ends within shutdownMargin. From then on it sends no retries.
func (c *Controller) shutdownImminent() bool {
	return c.shutdownAt > 0 && c.now >= c.shutdownAt-shutdownMargin
}

// cancelBeforeShutdown cancels the idempotent attempts in flight once the front end is about to end, so that their
// requests are rejected and the clients can ask another front end.
func (c *Controller) cancelBeforeShutdown() {
	if !c.shutdownImminent() {
		return
	}
	for _, request := range c.unanswered {
		if request.classSettings.Idempotency == Idempotent && !request.streaming {
			c.cancelAttempts(request)
		}
	}
}
