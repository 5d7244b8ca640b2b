package watchtimeout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const connect = 250 * time.Millisecond

// Invariants 1 and 3.
func TestTheBoundStaysWithinTheGrace(t *testing.T) {
	for grace := 150 * time.Millisecond; grace <= 5*time.Second; grace += 10 * time.Millisecond {
		w := New(grace, connect)
		assert.LessOrEqual(t, w.MaxDelay(), grace)
		assert.Equal(t, w.MaxDelay(), w.PollWait()+w.Response()+w.Dial()+w.Response(), "the sum of what is waited for")
		assert.Less(t, w.Dial()+w.RetryDelay()+w.Dial()+w.Response(), grace, "a log that comes back while it is not asked")
	}
	assert.Equal(t, 425*time.Millisecond, New(500*time.Millisecond, connect).MaxDelay())
	assert.Equal(t, 110*time.Millisecond, New(time.Millisecond, connect).MaxDelay(), "what can't be kept is told")
	assert.Equal(t, New(defaultGrace, connect).MaxDelay(), New(0, connect).MaxDelay())
}

// Invariant 2: whatever a log takes, up to the whole time, it is followed from the eighth try on.
func TestASlowLogIsFollowed(t *testing.T) {
	for took := time.Millisecond; took < connect; took += time.Millisecond {
		w := New(150*time.Millisecond, connect)
		fails := 0
		for tries := range 200 {
			if w.Dial() < took {
				w.DialFailed()
				fails++
			} else {
				w.DialSucceeded(took)
			}
			if w.Response() < took {
				w.ResponseTimedOut()
				fails++
			} else {
				w.ResponseReceived(w.PollWait() + took)
			}
			if tries == 2*longestEvery {
				fails = 0
			}
		}
		assert.Zero(t, fails, "took %v", took)
	}
}

func TestTheTimesFallBackOnceALogIsQuick(t *testing.T) {
	w := New(500*time.Millisecond, connect)
	usual := w.Response()
	w.ResponseReceived(w.PollWait() + 200*time.Millisecond)
	assert.Equal(t, 400*time.Millisecond, w.Response())
	for range 40 {
		w.ResponseReceived(time.Millisecond)
	}
	assert.Equal(t, usual, w.Response())
}
