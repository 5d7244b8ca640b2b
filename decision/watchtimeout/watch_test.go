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
		assert.LessOrEqual(t, w.Bound(), grace)
		assert.Equal(t, w.Bound(), w.Wait()+w.Slack()+w.Dial()+w.Slack(), "the sum of what is waited for")
		assert.Less(t, w.Dial()+w.Pause()+w.Dial()+w.Slack(), grace, "a log that comes back while it is not asked")
	}
	assert.Equal(t, 425*time.Millisecond, New(500*time.Millisecond, connect).Bound())
	assert.Equal(t, 110*time.Millisecond, New(time.Millisecond, connect).Bound(), "what can't be kept is told")
	assert.Equal(t, New(noGrace, connect).Bound(), New(0, connect).Bound())
}

// Invariant 2: whatever a log takes, up to the whole time, it is followed from the eighth try on.
func TestASlowLogIsFollowed(t *testing.T) {
	for took := time.Millisecond; took < connect; took += time.Millisecond {
		w := New(150*time.Millisecond, connect)
		fails := 0
		for tries := range 200 {
			if w.Dial() < took {
				w.Unreached()
				fails++
			} else {
				w.Reached(took)
			}
			if w.Slack() < took {
				w.Silent()
				fails++
			} else {
				w.Answered(w.Wait() + took)
			}
			if tries == 2*wholeEvery {
				fails = 0
			}
		}
		assert.Zero(t, fails, "took %v", took)
	}
}

func TestTheTimesFallBackOnceALogIsQuick(t *testing.T) {
	w := New(500*time.Millisecond, connect)
	usual := w.Slack()
	w.Answered(w.Wait() + 200*time.Millisecond)
	assert.Equal(t, 400*time.Millisecond, w.Slack())
	for range 40 {
		w.Answered(time.Millisecond)
	}
	assert.Equal(t, usual, w.Slack())
}
