// Package watchtimeout decides how long each step of watching a change log may last, so that a drain is received within
// the configured grace although the connection that should bring it has gone silent.
//
// A [Timeouts] is told how long dials and responses took, or that they timed out, and answers with the next timeouts.
// It does no I/O, keeps no clock and starts no goroutine. It is not safe for concurrent use.
//
// # Invariants
//
//  1. PollWait, twice Response and Dial sum up to no more than the grace (MaxDelay): a poll that goes silent right
//     after it was sent times out after PollWait and Response, and the next one brings what the log has held meanwhile
//     within Dial and Response.
//  2. A log that responds more slowly than Response allows, or accepts connections more slowly than Dial, is followed
//     all the same: one attempt in fullTimeoutEvery has the full timeout, and twice what it took is allowed from then
//     on.
//  3. Each timeout is long enough for a machine under load (minPollWait, minResponse), so a grace under 150 ms can't be
//     kept with a watch that goes silent. MaxDelay tells it.
//
// # What it gives up
//
// While no connection succeeds, the one attempt that has the full timeout may last longer than the grace. The log is
// polled every PollWait, five times a second at a grace of 500 ms. Two polls side by side would not do with fewer: all
// open watches may go silent at once, and then each has to time out in the same time.
package watchtimeout

import "time"

// Shares of the grace that the steps may take, in percent: 85 in all with the second response.
const (
	pollWaitPercent   = 40
	responsePercent   = 15
	dialPercent       = 15
	retryDelayPercent = 10
)

// Bounds of the steps, whatever the grace.
const (
	minPollWait   = 20 * time.Millisecond
	maxPollWait   = time.Second
	minResponse   = 30 * time.Millisecond
	maxResponse   = 500 * time.Millisecond
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
)

const (
	// defaultGrace is the grace if none is configured.
	defaultGrace = time.Second
	// fullTimeoutEvery is the number of attempts in a row of which the last has the full timeout.
	fullTimeoutEvery = 8
	// recentDecay is the part of a recent duration, one in so many, that is forgotten with each success.
	recentDecay = 8
)

// Timeouts holds the timeouts for one change log.
type Timeouts struct {
	pollWait   time.Duration
	retryDelay time.Duration
	response   adaptiveTimeout
	dial       adaptiveTimeout
}

// New returns the timeouts for a grace. connect is how long a connection may take to be established.
func New(grace, connect time.Duration) *Timeouts {
	if grace <= 0 {
		grace = defaultGrace
	}
	response := share(grace, responsePercent, minResponse, maxResponse)
	dial := share(grace, dialPercent, minResponse, maxResponse)
	return &Timeouts{
		pollWait:   share(grace, pollWaitPercent, minPollWait, maxPollWait),
		retryDelay: share(grace, retryDelayPercent, minRetryDelay, maxRetryDelay),
		response:   adaptiveTimeout{usual: response, full: maxResponse},
		dial:       adaptiveTimeout{usual: min(dial, connect), full: connect},
	}
}

// share returns that percentage of the grace, within bounds.
func share(grace time.Duration, percent int, lower, upper time.Duration) time.Duration {
	return min(max(grace*time.Duration(percent)/100, lower), upper)
}

// PollWait returns how long the log may hold a poll for which it has no event.
func (t *Timeouts) PollWait() time.Duration { return t.pollWait }

// RetryDelay returns how long after a failure that took no time the log is polled again.
func (t *Timeouts) RetryDelay() time.Duration { return t.retryDelay }

// Response returns how much later than PollWait the response may come.
func (t *Timeouts) Response() time.Duration { return t.response.next() }

// Dial returns how long the connection may take to be established.
func (t *Timeouts) Dial() time.Duration { return t.dial.next() }

// MaxDelay returns the greatest age of an event if one watch goes silent and the next is answered.
func (t *Timeouts) MaxDelay() time.Duration { return t.pollWait + 2*t.response.usual + t.dial.usual }

// ResponseReceived tells that a response came so long after its poll was sent. A response within PollWait says nothing
// about delays.
func (t *Timeouts) ResponseReceived(took time.Duration) {
	t.response.succeeded(max(0, took-t.pollWait))
}

// ResponseTimedOut tells that a response did not come in time.
func (t *Timeouts) ResponseTimedOut() { t.response.failures++ }

// DialSucceeded tells how long a connection took to be established.
func (t *Timeouts) DialSucceeded(took time.Duration) { t.dial.succeeded(took) }

// DialFailed tells that a connection was not established in time.
func (t *Timeouts) DialFailed() { t.dial.failures++ }

// adaptiveTimeout is a timeout that grows with what a step took recently.
type adaptiveTimeout struct {
	usual    time.Duration // if the step is quick
	full     time.Duration // that one attempt in fullTimeoutEvery has
	recent   time.Duration // that the step took, decaying
	failures int           // in a row
}

// next returns the timeout of the next attempt.
func (a *adaptiveTimeout) next() time.Duration {
	if a.failures%fullTimeoutEvery == fullTimeoutEvery-1 {
		return a.full
	}
	return min(max(a.usual, 2*a.recent), max(a.usual, a.full))
}

func (a *adaptiveTimeout) succeeded(took time.Duration) {
	a.failures = 0
	a.recent = max(took, a.recent-a.recent/recentDecay)
}
