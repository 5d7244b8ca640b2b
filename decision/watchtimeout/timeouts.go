// Package watchtimeout decides how long each step of watching a change log may last, so that a drain is received within
// the configured grace even if the connection of the watch stops responding.
//
// The caller reports to a [Timeouts] how long dials and responses took, or that they timed out. A Timeouts returns the
// timeouts of the next steps. It does no I/O, keeps no clock and starts no goroutine. A Timeouts is not safe for
// concurrent use.
//
// # Invariants
//
//  1. PollWait, twice Response and Dial add up to no more than the grace; MaxDelay returns this sum. A poll whose
//     connection stops responding right after the poll was sent times out after PollWait and Response. The next poll
//     receives the events that the log has recorded in the meantime within Dial and Response.
//  2. A log that responds more slowly than Response, accepts connections more slowly than Dial, or writes a response
//     more slowly than Transfer, is followed nevertheless: one attempt in fullTimeoutEvery has the full timeout, and
//     twice the duration of that attempt is allowed from then on.
//  3. Each timeout is long enough for a machine under load (minPollWait, minResponse). A grace under 150 ms can
//     therefore not be kept if a watch stops responding; MaxDelay returns the delay that can be kept.
//
// # Trade-offs
//
// While no connection succeeds, the one attempt that has the full timeout may last longer than the grace. The log is
// polled every PollWait, five times a second at a grace of 500 ms. Two concurrent polls would not reduce that rate: all
// open watches may stop responding at once, and each must then time out within the same time.
package watchtimeout

import "time"

// Shares of the grace for each step, in percent. PollWait, Dial and two responses take 85 % together.
const (
	pollWaitPercent   = 40
	responsePercent   = 15
	dialPercent       = 15
	retryDelayPercent = 10
)

// Bounds of the steps, independent of the grace.
const (
	minPollWait   = 20 * time.Millisecond
	maxPollWait   = time.Second
	minResponse   = 30 * time.Millisecond
	maxResponse   = 500 * time.Millisecond
	maxTransfer   = 3 * time.Second
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
)

const (
	// defaultGrace is the grace if none is configured.
	defaultGrace = time.Second
	// fullTimeoutEvery is the number of consecutive attempts of which the last has the full timeout.
	fullTimeoutEvery = 8
	// recentDecayDivisor divides a recent duration to give the decrease of that duration with each success.
	recentDecayDivisor = 8
)

// Timeouts holds the timeouts for one change log.
type Timeouts struct {
	pollWait   time.Duration
	retryDelay time.Duration
	response   adaptiveTimeout
	dial       adaptiveTimeout
	transfer   adaptiveTimeout
}

// New returns the timeouts for a grace. A grace of 0 or less means the default, one second. The argument connect is the
// full timeout for establishing a connection.
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
		transfer:   adaptiveTimeout{full: maxTransfer},
	}
}

// share returns the given percentage of the grace, limited to the range from lower to upper.
func share(grace time.Duration, percent int, lower, upper time.Duration) time.Duration {
	return min(max(grace*time.Duration(percent)/100, lower), upper)
}

// PollWait returns how long the log may hold a poll while there is no event.
func (t *Timeouts) PollWait() time.Duration { return t.pollWait }

// RetryDelay returns the delay of the next attempt after a failure that is not a timeout.
func (t *Timeouts) RetryDelay() time.Duration { return t.retryDelay }

// Response returns how long the response may take in addition to PollWait.
func (t *Timeouts) Response() time.Duration { return t.response.next() }

// Transfer returns how long the rest of a response that has begun may take, also if Response is over. It is 0 unless
// the log writes slowly.
func (t *Timeouts) Transfer() time.Duration { return t.transfer.next() }

// Dial returns the timeout for establishing the connection.
func (t *Timeouts) Dial() time.Duration { return t.dial.next() }

// MaxDelay returns the longest delay with which an event is received if one poll times out and the next poll succeeds.
// The delay is computed from the usual timeouts, without adaptation to a slow log.
func (t *Timeouts) MaxDelay() time.Duration { return t.pollWait + 2*t.response.usual + t.dial.usual }

// ResponseReceived records the time from sending a poll to its response. A response within PollWait counts as
// immediate, as the log may have held the poll.
func (t *Timeouts) ResponseReceived(took time.Duration) {
	t.response.succeeded(max(0, took-t.pollWait))
}

// ResponseTimedOut records that a response did not arrive in time.
func (t *Timeouts) ResponseTimedOut() { t.response.failures++ }

// TransferSucceeded records the time from the first byte of a response to its last one.
func (t *Timeouts) TransferSucceeded(took time.Duration) { t.transfer.succeeded(took) }

// TransferTimedOut records that a response began in time and did not arrive whole in time.
func (t *Timeouts) TransferTimedOut() { t.transfer.failures++ }

// DialSucceeded records how long it took to establish a connection.
func (t *Timeouts) DialSucceeded(took time.Duration) { t.dial.succeeded(took) }

// DialFailed records that a connection was not established in time.
func (t *Timeouts) DialFailed() { t.dial.failures++ }

// adaptiveTimeout is a timeout that grows with the recent duration of a step.
type adaptiveTimeout struct {
	usual    time.Duration // lower bound of the timeout
	full     time.Duration // upper bound unless usual is longer; the timeout of one attempt in fullTimeoutEvery
	recent   time.Duration // recent duration of the step, decays with each success
	failures int           // consecutive
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
	a.recent = max(took, a.recent-a.recent/recentDecayDivisor)
}
