package watchtimeout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"beechcart/decision/watchtimeout"
	"beechcart/internal/recorded"
)

// The bounds that a seeded run of answers, silences and dials leads to are the recorded ones.
func TestRecordedRun(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	trace := recorded.NewTrace()
	for _, grace := range []time.Duration{-1, 0, time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, time.Minute} {
		for _, connect := range []time.Duration{20 * time.Millisecond, 250 * time.Millisecond, 3 * time.Second} {
			w := watchtimeout.New(grace, connect)
			for range 300 {
				took := time.Duration(rng.Int64N(int64(3 * time.Second)))
				if rng.IntN(2) == 0 {
					took /= 20
				}
				switch rng.IntN(6) {
				case 0:
					w.ResponseReceived(took)
				case 1, 2:
					w.ResponseTimedOut()
				case 3:
					w.DialSucceeded(took)
				default:
					w.DialFailed()
				}
				trace.Time(w.PollWait(), w.RetryDelay(), w.Response(), w.Dial(), w.MaxDelay())
			}
			trace.Mark()
		}
	}
	trace.Compare(t, "run")
}
