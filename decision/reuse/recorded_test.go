package reuse_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"beechcart/decision/reuse"
	"beechcart/internal/recorded"
)

// TestRecordedRun compares the decisions of seeded runs with eight variants of the settings with the recorded ones.
func TestRecordedRun(t *testing.T) {
	trace := recorded.NewTrace()
	for variant := range 8 {
		rng := rand.New(rand.NewPCG(uint64(variant), 4))
		settings := reuse.Defaults()
		settings.Disabled, settings.ConfirmResponses, settings.MaxIdlePerEngine = variant == 7, variant%2 == 0, 2+variant
		settings.DistrustPeriod, settings.FaultMemory = 5*time.Second, 40*time.Second
		settings.ProofConnectionsPerEngine = variant % 3
		policy, err := reuse.New(settings)
		if err != nil {
			t.Fatal(err)
		}
		trace.Time(policy.QuietPeriod(), policy.MaxIdleTime())
		now := time.Duration(0)
		for range 4000 {
			now += time.Duration(rng.Int64N(int64(100 * time.Millisecond)))
			engine := uint32(rng.IntN(5))
			conn := reuse.Conn{
				Queries:       rng.IntN(settings.MaxQueries + 50),
				IdleTime:      time.Duration(rng.Int64N(int64(4 * time.Second))),
				EngineSilence: time.Duration(rng.Int64N(int64(3 * time.Second))),
				Clean:         rng.IntN(8) > 0,
				Closing:       rng.IntN(9) == 0,
			}
			switch n := rng.IntN(400); {
			case n == 0:
				policy.Malformed(engine, now)
				trace.Count("fault")
			case n == 1:
				policy.RemoveEngine(engine)
			case n < 80:
				policy.StayedQuiet(engine)
			case n < 160:
				kept := policy.Keep(engine, conn)
				trace.Bool(kept)
				trace.Count("keep " + strconv.FormatBool(kept))
			case n < 220:
				policy.Released(engine)
			default:
				decision := int(policy.Decide(engine, conn, rng.IntN(4) == 0, now))
				trace.Int(decision)
				trace.Count("verdict " + strconv.Itoa(decision))
			}
			trace.Bool(policy.Trusted(engine, now))
		}
		trace.Mark()
	}
	trace.Compare(t, "run")
}
