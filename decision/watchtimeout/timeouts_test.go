package watchtimeout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const connect = 250 * time.Millisecond

// Checks invariants 1 and 3.
func TestMaxDelayStaysWithinTheGrace(t *testing.T) {
	for grace := 150 * time.Millisecond; grace <= 5*time.Second; grace += 10 * time.Millisecond {
		timeouts := New(grace, connect)
		assert.LessOrEqual(t, timeouts.MaxDelay(), grace)
		timedOutPoll := timeouts.PollWait() + timeouts.Response()
		nextPoll := timeouts.Dial() + timeouts.Response()
		assert.Equal(t, timeouts.MaxDelay(), timedOutPoll+nextPoll, "MaxDelay is the sum of the timeouts")
		assert.Less(t, timeouts.Dial()+timeouts.RetryDelay()+nextPoll, grace, "delay after a failed dial and a retry")
	}
	assert.Equal(t, 425*time.Millisecond, New(500*time.Millisecond, connect).MaxDelay())
	assert.Equal(t, 110*time.Millisecond, New(time.Millisecond, connect).MaxDelay(), "MaxDelay may exceed a short grace")
	assert.Equal(t, New(defaultGrace, connect).MaxDelay(), New(0, connect).MaxDelay())
}

// Checks invariant 2: a log whose steps take up to the full timeout is followed without further failures after
// 2*fullTimeoutEvery attempts.
func TestSlowLogIsFollowed(t *testing.T) {
	for took := time.Millisecond; took < connect; took += time.Millisecond {
		timeouts := New(150*time.Millisecond, connect)
		failures := 0
		for attempt := range 200 {
			if timeouts.Dial() < took {
				timeouts.DialFailed()
				failures++
			} else {
				timeouts.DialSucceeded(took)
			}
			if timeouts.Response() < took {
				timeouts.ResponseTimedOut()
				failures++
			} else {
				timeouts.ResponseReceived(timeouts.PollWait() + took)
			}
			if attempt == 2*fullTimeoutEvery {
				failures = 0
			}
		}
		assert.Zero(t, failures, "took %v", took)
	}
}

// Checks invariant 2 for a log that writes its responses slowly, and that a fast log gets no more time than before.
func TestSlowlyWritingLogIsFollowed(t *testing.T) {
	timeouts := New(500*time.Millisecond, connect)
	assert.Zero(t, timeouts.Transfer())
	timeouts.TransferSucceeded(0)
	assert.Zero(t, timeouts.Transfer())
	const took = 1400 * time.Millisecond
	failures := 0
	for ; timeouts.Transfer() < took; failures++ {
		timeouts.TransferTimedOut()
	}
	assert.Equal(t, fullTimeoutEvery-1, failures)
	for range 20 {
		timeouts.TransferSucceeded(took)
		assert.GreaterOrEqual(t, timeouts.Transfer(), took)
		assert.LessOrEqual(t, timeouts.Transfer(), maxTransfer)
	}
	for range 200 {
		timeouts.TransferSucceeded(0)
	}
	assert.Less(t, timeouts.Transfer(), minResponse)
}

func TestTimeoutsShrinkOnceALogIsFast(t *testing.T) {
	timeouts := New(500*time.Millisecond, connect)
	usual := timeouts.Response()
	timeouts.ResponseReceived(timeouts.PollWait() + 200*time.Millisecond)
	assert.Equal(t, 400*time.Millisecond, timeouts.Response())
	for range 40 {
		timeouts.ResponseReceived(time.Millisecond)
	}
	assert.Equal(t, usual, timeouts.Response())
}
