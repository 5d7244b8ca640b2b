package reuse_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"beechcart/decision/reuse"
	"beechcart/internal/recorded"
)

// The verdicts of a seeded run, with each of the switches, are the recorded ones.
func TestRecordedRun(t *testing.T) {
	trace := recorded.NewTrace()
	for variant := range 8 {
		rng := rand.New(rand.NewPCG(uint64(variant), 4))
		set := reuse.Defaults()
		set.Disabled, set.ConfirmResponses, set.MaxIdlePerEngine = variant == 7, variant%2 == 0, 2+variant
		set.DistrustPeriod, set.FaultMemory = 5*time.Second, 40*time.Second
		set.ProofConnectionsPerEngine = variant % 3
		trust, err := reuse.New(set)
		if err != nil {
			t.Fatal(err)
		}
		trace.Time(trust.QuietPeriod(), trust.MaxIdleTime())
		now := time.Duration(0)
		for range 4000 {
			now += time.Duration(rng.Int64N(int64(100 * time.Millisecond)))
			engine := uint32(rng.IntN(5))
			c := reuse.Conn{Queries: rng.IntN(set.MaxQueries + 50), IdleTime: time.Duration(rng.Int64N(int64(4 * time.Second))),
				EngineSilence: time.Duration(rng.Int64N(int64(3 * time.Second))), Clean: rng.IntN(8) > 0, Closing: rng.IntN(9) == 0}
			switch n := rng.IntN(400); {
			case n == 0:
				trust.Malformed(engine, now)
				trace.Count("fault")
			case n == 1:
				trust.RemoveEngine(engine)
			case n < 80:
				trust.StayedQuiet(engine)
			case n < 160:
				kept := trust.Keep(engine, c)
				trace.Bool(kept)
				trace.Count("keep " + strconv.FormatBool(kept))
			case n < 220:
				trust.Released(engine)
			default:
				v := int(trust.Decide(engine, c, rng.IntN(4) == 0, now))
				trace.Int(v)
				trace.Count("verdict " + strconv.Itoa(v))
			}
			trace.Bool(trust.Trusted(engine, now))
		}
		trace.Mark()
	}
	trace.Compare(t, "run")
}
