package watchtimeout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"beechcart/decision/watchtimeout"
	"beechcart/internal/recorded"
)

// TestRecordedRun compares the timeouts of a seeded run of responses, dials and their failures with the recorded ones.
func TestRecordedRun(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	trace := recorded.NewTrace()
	const ms = time.Millisecond
	for _, grace := range []time.Duration{-1, 0, ms, 150 * ms, 500 * ms, 2000 * ms, time.Minute} {
		for _, connect := range []time.Duration{20 * ms, 250 * ms, 3000 * ms} {
			timeouts := watchtimeout.New(grace, connect)
			for range 300 {
				took := time.Duration(rng.Int64N(int64(3 * time.Second)))
				if rng.IntN(2) == 0 {
					took /= 20
				}
				switch rng.IntN(6) {
				case 0:
					timeouts.ResponseReceived(took)
				case 1, 2:
					timeouts.ResponseTimedOut()
				case 3:
					timeouts.DialSucceeded(took)
				default:
					timeouts.DialFailed()
				}
				trace.Time(timeouts.PollWait(), timeouts.RetryDelay(), timeouts.Response(), timeouts.Dial(), timeouts.MaxDelay())
			}
			trace.Mark()
		}
	}
	trace.Compare(t, "run")
}
