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

// randomSource is SplitMix64.
type randomSource uint64

func (s *randomSource) float() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return float64((z^(z>>31))>>11) / (1 << 53)
}

func (s *randomSource) below(n int) int { return int(s.float() * float64(n)) }

// recording hashes answers in the order in which they come.
type recording struct {
	buffer  []byte
	answers int
}

func (r *recording) number(v uint64) {
	r.answers++
	r.buffer = binary.LittleEndian.AppendUint64(r.buffer, v)
}
func (r *recording) float(v float64) { r.number(math.Float64bits(v)) }
func (r *recording) yes(v bool)      { r.number(map[bool]uint64{true: 1}[v]) }

func (r *recording) String() string {
	return fmt.Sprintf("answers %d\nsha256 %x\n", r.answers, sha256.Sum256(r.buffer))
}

// TestRecordedAnswersAreTheSame plays lists of engines that change, as each replica of a drawn fleet sees them, and
// holds all answers to those that were recorded.
func TestRecordedAnswersAreTheSame(t *testing.T) {
	random, got := randomSource(5), &recording{}
	capacities := []float64{0, 0, 1, 4, 12, 36, 2.5}
	for range 60 {
		window := time.Duration(1+random.below(3000)) * time.Millisecond
		slot := time.Duration(0.55 * float64(window))
		replicas := 1 + random.below(40)
		length := 150 * random.float()
		capacity := make([]float64, random.below(24))
		held := make([]slowstart.DelayedQuota, len(capacity))
		now := time.Duration(random.below(1000)) * time.Millisecond
		me := random.below(replicas)
		for i := range held {
			if random.float() < 0.2 {
				held[i] = slowstart.FixedQuota(slowstart.Quota{Senders: 1 + i, Rank: random.below(1 + i)})
			}
		}
		for range 8 {
			for i := range capacity {
				if random.float() < 0.4 {
					capacity[i] = capacities[random.below(len(capacities))]
				}
			}
			got.number(uint64(slowstart.FirstEngine(capacity, me, replicas)))
			for i, share := range slowstart.Quotas(capacity, me, replicas, length) {
				got.number(uint64(share.Senders))
				got.number(uint64(share.Rank))
				got.yes(share.Sends())
				got.float(share.Fraction())
				held[i] = held[i].Update(share, now, window)
			}
			for range 6 {
				for _, h := range held {
					got.float(h.FractionAt(now, window))
					got.yes(h.HasTurn(now, slot))
				}
				recordWindow(got, &random, now, slot)
				now += time.Duration(random.float() * 0.6 * float64(window))
			}
		}
	}
	recorded.Compare(t, "answers.txt", []byte(got.String()))
}

func recordWindow(got *recording, random *randomSource, now, slot time.Duration) {
	window := slowstart.WindowBudget{
		Total: 40 * random.float(), MeanWork: random.float(), FineFraction: 0.6 * random.float(),
		TurnFraction: 0.4 * random.float(),
	}
	got.float(window.OverloadWork())
	for _, work := range []float64{0.1, 1, 3, 12} {
		got.float(window.HeavyProbability(work, now, slot))
	}
}
