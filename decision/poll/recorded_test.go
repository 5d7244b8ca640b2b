package poll_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"beechcart/decision/poll"
	"beechcart/internal/recorded"
)

// The calls that a seeded run of results, retries and resets leads to are the recorded ones.
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
			c := p.Next()
			trace.Time(c.NotBefore, c.Wait, c.HeaderTimeout, c.ReadTimeout)
			trace.Int(c.Address)
			trace.Uint(c.Index)
			now = max(now, c.NotBefore) + time.Duration(rng.Int64N(int64(8*time.Second)))
			switch n := rng.IntN(20); n {
			case 0:
				p.RetryNow(now)
				trace.Count("renew")
			case 1:
				addresses = 1 + rng.IntN(4)
				p.Reset(now, addresses)
				trace.Count("switch")
			default:
				r := poll.Result{
					Outcome:            poll.Outcome(rng.IntN(4)),
					AwaitsConfirmation: rng.IntN(3) == 0,
					TimedOut:           rng.IntN(2) == 0,
				}
				if r.Outcome == poll.Denied && rng.IntN(3) > 0 {
					r.Outcome = poll.Failed
				}
				if rng.IntN(6) > 0 {
					r.Index = 90 + rng.Uint64N(20)
				}
				r.BusyTime = time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
				r.Latency = time.Duration(rng.Int64N(int64(4 * time.Second)))
				p.HandleResult(now, r)
				trace.Count("ending " + strconv.Itoa(int(r.Outcome)))
			}
		}
		trace.Mark()
	}
	trace.Compare(t, "run")
}
