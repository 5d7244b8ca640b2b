package poll_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"beechcart/decision/poll"
	"beechcart/internal/recorded"
)

// TestRecordedRun compares the requests of a seeded run of results, retries and resets with the recorded ones.
func TestRecordedRun(t *testing.T) {
	trace := recorded.NewTrace()
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		addresses := 1 + rng.IntN(4)
		p, err := poll.New(poll.Defaults(), addresses, rand.New(rand.NewPCG(seed, 3)))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		for range 400 {
			request := p.Next()
			trace.Time(request.NotBefore, request.Wait, request.HeaderTimeout, request.ReadTimeout)
			trace.Int(request.Address)
			trace.Uint(request.Index)
			now = max(now, request.NotBefore) + time.Duration(rng.Int64N(int64(8*time.Second)))
			switch n := rng.IntN(20); n {
			case 0:
				p.RetryNow(now)
				trace.Count("renew")
			case 1:
				addresses = 1 + rng.IntN(4)
				p.Reset(now, addresses)
				trace.Count("switch")
			default:
				result := poll.Result{
					Outcome:            poll.Outcome(rng.IntN(4)),
					AwaitsConfirmation: rng.IntN(3) == 0,
					TimedOut:           rng.IntN(2) == 0,
				}
				if result.Outcome == poll.Denied && rng.IntN(3) > 0 {
					result.Outcome = poll.Failed
				}
				if rng.IntN(6) > 0 {
					result.Index = 90 + rng.Uint64N(20)
				}
				result.BusyTime = time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
				result.Latency = time.Duration(rng.Int64N(int64(4 * time.Second)))
				p.HandleResult(now, result)
				trace.Count("ending " + strconv.Itoa(int(result.Outcome)))
			}
		}
		trace.Mark()
	}
	trace.Compare(t, "run")
}
