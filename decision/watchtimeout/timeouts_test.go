package watchtimeout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const connect = 250 * time.Millisecond

// Invariants 1 and 3.
func TestMaxDelayStaysWithinTheGrace(t *testing.T) {
	for grace := 150 * time.Millisecond; grace <= 5*time.Second; grace += 10 * time.Millisecond {
		timeouts := New(grace, connect)
		assert.LessOrEqual(t, timeouts.MaxDelay(), grace)
		silent := timeouts.PollWait() + timeouts.Response()
		next := timeouts.Dial() + timeouts.Response()
		assert.Equal(t, timeouts.MaxDelay(), silent+next, "the sum of what is waited for")
		assert.Less(t, timeouts.Dial()+timeouts.RetryDelay()+next, grace, "a log that is back while it is not polled")
	}
	assert.Equal(t, 425*time.Millisecond, New(500*time.Millisecond, connect).MaxDelay())
	assert.Equal(t, 110*time.Millisecond, New(time.Millisecond, connect).MaxDelay(), "what can't be kept is told")
	assert.Equal(t, New(defaultGrace, connect).MaxDelay(), New(0, connect).MaxDelay())
}

// Invariant 2: whatever a log takes, up to the full timeout, it is followed from the eighth attempt on.
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

func TestTimeoutsFallBackOnceALogIsQuick(t *testing.T) {
	timeouts := New(500*time.Millisecond, connect)
	usual := timeouts.Response()
	timeouts.ResponseReceived(timeouts.PollWait() + 200*time.Millisecond)
	assert.Equal(t, 400*time.Millisecond, timeouts.Response())
	for range 40 {
		timeouts.ResponseReceived(time.Millisecond)
	}
	assert.Equal(t, usual, timeouts.Response())
}
