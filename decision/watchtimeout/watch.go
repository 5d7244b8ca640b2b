// Package watchtimeout decides how long each step of following a change log may last, so that a drain is heard within the
// settings' grace although the connection that should bring it has gone silent.
//
// A [Watch] is told how long dials and answers took, or that they did not come, and answers with the next bounds. It does
// no I/O, keeps no clock and starts no goroutine. It is not safe for concurrent use.
//
// # Invariants
//
//  1. Wait, twice Slack and Dial sum up to no more than the grace (Bound): a poll that falls silent right after it was sent is
//     found out after Wait and Slack, and the next one brings what the log has held meanwhile within Dial and Slack.
//  2. A log that answers more slowly than Slack allows, or that comes up more slowly than Dial, is followed all the same: one try in
//     eight has the whole time, and what it took is allowed, twice, from then on.
//  3. Each bound is at least so long that a machine under load keeps to it (leastWait, leastSlack), so a grace under 150 ms
//     can't be kept with a watch that falls silent; Bound tells it.
//
// # What it gives up
//
// While nothing comes up, the one try in eight that has the whole time may last longer than the grace. The log is asked
// every Wait, five times a second at a grace of 500 ms. Two polls side by side would not do with fewer: all open watches may
// fall silent at once, and then each has to be found out in the same time.
package watchtimeout

import "time"

// The parts of the grace, in hundredths, that the steps may take; 85 in all with the second answer.
const (
	pollWaitPercent   = 40
	responsePercent   = 15
	dialPercent       = 15
	retryDelayPercent = 10
)

// The bounds of the steps, whatever the grace.
const (
	minPollWait, maxPollWait     = 20 * time.Millisecond, time.Second
	minResponse, maxResponse     = 30 * time.Millisecond, 500 * time.Millisecond
	minRetryDelay, maxRetryDelay = 10 * time.Millisecond, 100 * time.Millisecond
	defaultGrace                 = time.Second // where the settings name no grace
	longestEvery                 = 8           // one try in so many has the whole time
)

// Timeouts holds the bounds for one change log.
type Timeouts struct {
	pollWait, retryDelay time.Duration
	response, dial       adaptiveTimeout
}

// adaptiveTimeout is how long something is waited for.
type adaptiveTimeout struct {
	usual, longest time.Duration
	recent         time.Duration // what it took lately, fading
	failures       int           // in a row
}

// New returns the bounds for a grace; connect is how long a connection may take to come up.
func New(grace, connect time.Duration) *Timeouts {
	if grace <= 0 {
		grace = defaultGrace
	}
	part := func(n int, least, most time.Duration) time.Duration {
		return min(max(grace*time.Duration(n)/100, least), most)
	}
	slack := part(responsePercent, minResponse, maxResponse)
	return &Timeouts{
		pollWait: part(pollWaitPercent, minPollWait, maxPollWait), retryDelay: part(retryDelayPercent, minRetryDelay, maxRetryDelay),
		response: adaptiveTimeout{usual: slack, longest: maxResponse},
		dial:     adaptiveTimeout{usual: min(part(dialPercent, minResponse, maxResponse), connect), longest: connect},
	}
}

// PollWait is how long the log may hold a poll for which it has nothing to tell.
func (w *Timeouts) PollWait() time.Duration { return w.pollWait }

// RetryDelay is how long after a failure that took no time the log is asked again.
func (w *Timeouts) RetryDelay() time.Duration { return w.retryDelay }

// Response is how much later than Wait the answer may come.
func (w *Timeouts) Response() time.Duration { return w.response.current() }

// Dial is how long the connection may take to come up.
func (w *Timeouts) Dial() time.Duration { return w.dial.current() }

// MaxDelay is the greatest age of news where one watch falls silent and the next is answered.
func (w *Timeouts) MaxDelay() time.Duration { return w.pollWait + 2*w.response.usual + w.dial.usual }

// ResponseReceived tells that an answer came so long after its poll was sent. What came before the wait was over tells nothing.
func (w *Timeouts) ResponseReceived(took time.Duration) {
	w.response.succeeded(max(0, took-w.pollWait))
}

// ResponseTimedOut tells that an answer did not come in its time.
func (w *Timeouts) ResponseTimedOut() { w.response.failures++ }

// DialSucceeded tells that a connection came up.
func (w *Timeouts) DialSucceeded(took time.Duration) { w.dial.succeeded(took) }

// DialFailed tells that a connection did not come up in its time.
func (w *Timeouts) DialFailed() { w.dial.failures++ }

func (p *adaptiveTimeout) current() time.Duration {
	if p.failures%longestEvery == longestEvery-1 {
		return p.longest
	}
	return min(max(p.usual, 2*p.recent), max(p.usual, p.longest))
}

func (p *adaptiveTimeout) succeeded(took time.Duration) {
	p.failures = 0
	p.recent = max(took, p.recent-p.recent/8)
}
