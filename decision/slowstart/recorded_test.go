package slowstart_test

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"beechcart/decision/slowstart"
	"beechcart/internal/recorded"
)

// recording hashes results in the order in which they are added.
type recording struct {
	buffer  []byte
	results int
}

func (r *recording) number(v uint64) {
	r.results++
	r.buffer = binary.LittleEndian.AppendUint64(r.buffer, v)
}
func (r *recording) float(v float64) { r.number(math.Float64bits(v)) }
func (r *recording) flag(v bool)     { r.number(map[bool]uint64{true: 1}[v]) }

func (r *recording) String() string {
	return fmt.Sprintf("answers %d\nsha256 %x\n", r.results, sha256.Sum256(r.buffer))
}

// TestRecordedRun compares the results for seeded lists of engines that change, as seen by a replica of a random fleet,
// with the recorded ones.
func TestRecordedRun(t *testing.T) {
	random, got := recorded.Random(5), &recording{}
	capacities := []float64{0, 0, 1, 4, 12, 36, 2.5}
	for range 60 {
		window := time.Duration(1+random.Below(3000)) * time.Millisecond
		slot := time.Duration(0.55 * float64(window))
		replicas := 1 + random.Below(40)
		size := 150 * random.Float()
		capacity := make([]float64, random.Below(24))
		delayed := make([]slowstart.DelayedQuota, len(capacity))
		now := time.Duration(random.Below(1000)) * time.Millisecond
		me := random.Below(replicas)
		for i := range delayed {
			if random.Float() < 0.2 {
				delayed[i] = slowstart.FixedQuota(slowstart.Quota{Senders: 1 + i, Rank: random.Below(1 + i)})
			}
		}
		for range 8 {
			for i := range capacity {
				if random.Float() < 0.4 {
					capacity[i] = capacities[random.Below(len(capacities))]
				}
			}
			got.number(uint64(slowstart.FirstEngine(capacity, me, replicas)))
			for i, quota := range slowstart.Quotas(capacity, me, replicas, size) {
				got.number(uint64(quota.Senders))
				got.number(uint64(quota.Rank))
				got.flag(quota.Sends())
				got.float(quota.Fraction())
				delayed[i] = delayed[i].Update(quota, now, window)
			}
			for range 6 {
				for _, delayedQuota := range delayed {
					got.float(delayedQuota.FractionAt(now, window))
					got.flag(delayedQuota.HasTurn(now, slot))
				}
				recordWindow(got, &random, now, slot)
				now += time.Duration(random.Float() * 0.6 * float64(window))
			}
		}
	}
	recorded.Compare(t, "answers.txt", []byte(got.String()))
}

// recordWindow adds the results for a random budget to the recording.
func recordWindow(got *recording, random *recorded.Random, now, slot time.Duration) {
	window := slowstart.WindowBudget{
		Total: 40 * random.Float(), MeanWork: random.Float(), FineFraction: 0.6 * random.Float(),
		TurnFraction: 0.4 * random.Float(),
	}
	got.float(window.OverloadWork())
	for _, work := range []float64{0.1, 1, 3, 12} {
		got.float(window.HeavyProbability(work, now, slot))
	}
}
