package slowstart

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestQuotasTable(t *testing.T) {
	for name, k := range map[string]struct {
		capacity     []float64
		me, replicas int
		length       float64
		want         []Quota
	}{
		"equal engines, one replica each":  {[]float64{4, 4, 4}, 1, 3, 4, []Quota{{1, -1}, {1, 0}, {1, -1}}},
		"subsets of two":                   {[]float64{4, 4, 4}, 0, 3, 8, []Quota{{2, 0}, {2, 0}, {2, -1}}},
		"a subset goes round":              {[]float64{4, 4, 4}, 2, 3, 8, []Quota{{2, 1}, {2, -1}, {2, 1}}},
		"all draw from all":                {[]float64{4, 4}, 3, 5, 100, []Quota{{5, 3}, {5, 3}}},
		"a large engine ends more of them": {[]float64{1, 1, 8, 2}, 0, 4, 2, []Quota{{1, 0}, {1, 0}, {3, -1}, {0, -1}}},
		"an engine that is not in use":     {[]float64{4, 0, 4}, 0, 2, 8, []Quota{{2, 0}, {0, -1}, {2, 0}}},
		"no engine":                        {nil, 0, 2, 8, []Quota{}},
		"an engine that no subset reaches": {[]float64{2, 9, 1, 9}, 0, 2, 2, []Quota{{1, 0}, {1, -1}, {0, -1}, {0, -1}}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, k.want, Quotas(k.capacity, k.me, k.replicas, k.length))
		})
	}
}

func TestTurnTable(t *testing.T) {
	const slot = 70 * time.Millisecond
	for name, k := range map[string]struct {
		quota Quota
		now   time.Duration
		want  bool
	}{
		"own slot":             {Quota{3, 1}, slot, true},
		"the end of its turn":  {Quota{3, 1}, slot + slot/TurnDivisor, true},
		"after its turn":       {Quota{3, 1}, slot + slot/TurnDivisor + 1, false},
		"another's slot":       {Quota{3, 1}, 2 * slot, false},
		"the next round":       {Quota{3, 1}, 4 * slot, true},
		"alone":                {Quota{1, 0}, 5 * slot, true},
		"no sender":            {Quota{3, -1}, slot, false},
		"zero value":           {Quota{}, 0, false},
		"before the clock's 0": {Quota{1, 0}, -slot, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, k.want, k.quota.HasTurn(k.now, slot)) })
	}
	assert.False(t, Quota{1, 0}.HasTurn(0, 0), "no slot")
}

// fleet draws a ring and the quotas that each replica works out by itself.
func fleet(t *rapid.T) (capacity []float64, length float64, all [][]Quota) {
	capacity = rapid.SliceOfN(rapid.SampledFrom([]float64{0, 1, 4, 12, 36}), 1, 30).Draw(t, "capacity")
	replicas := rapid.IntRange(1, 60).Draw(t, "replicas")
	length = rapid.Float64Range(0, 200).Draw(t, "length")
	for me := range replicas {
		all = append(all, Quotas(capacity, me, replicas, length))
	}
	return capacity, length, all
}

// reaches walks a subset of its own: whether that of the replica reaches the engine.
func reaches(capacity []float64, replica, replicas, engine int, length float64) bool {
	first, between := FirstEngine(capacity, replica, replicas), 0.0
	for i := first; i%len(capacity) != engine; i++ {
		between += capacity[i%len(capacity)]
	}
	return capacity[engine] > 0 && between < length
}

func TestInvariant1SendersAreThoseWhoseSubsetReaches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, length, all := fleet(t)
		for engine := range capacity {
			senders := 0
			for me := range all {
				sends := reaches(capacity, me, len(all), engine, length)
				require.Equal(t, sends, all[me][engine].Sends())
				if sends {
					require.Equal(t, senders, all[me][engine].Rank)
					senders++
				}
			}
			for me := range all {
				require.Equal(t, senders, all[me][engine].Senders)
			}
		}
	})
}

func TestInvariant2FractionsSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, _, all := fleet(t)
		for engine := range capacity {
			sum := 0.0
			for me := range all {
				sum += all[me][engine].Fraction()
			}
			if all[0][engine].Senders == 0 {
				require.Zero(t, sum)
			} else {
				require.InDelta(t, 1, sum, 1e-9)
			}
		}
	})
}

func TestInvariant3OneTurnASlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, _, all := fleet(t)
		slot := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "slot"))
		rounds := 2 * time.Duration(rapid.Int64Range(0, 1e7).Draw(t, "rounds before"))
		for engine := range capacity {
			senders := time.Duration(all[0][engine].Senders)
			even, odd := map[int]int{}, map[int]int{}
			for i := range 2 * senders {
				number, in := rounds*senders+i, 0
				for me := range all {
					if !all[me][engine].HasTurn(number*slot, slot) {
						continue
					}
					in++
					if number%2 == 0 {
						even[me]++
					} else {
						odd[me]++
					}
				}
				require.Equal(t, 1, in, "turns in one slot")
				if i == senders-1 {
					require.Len(t, even, int(senders)-len(odd), "each sender has its turn in the first round")
				}
			}
			require.Len(t, even, int(senders), "turns in slots of even number")
			require.Len(t, odd, int(senders), "turns in slots of odd number")
		}
	})
}

func TestInvariant4AWindowMeetsTwoTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slot := time.Duration(rapid.Int64Range(1000, int64(time.Minute)).Draw(t, "slot"))
		begin := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "begin"))
		window := 2*slot - slot/TurnDivisor - 1
		alone, met := Quota{Senders: 1}, 0
		for i := begin / slot; i <= (begin+window)/slot; i++ {
			turnEnd := i*slot + slot/TurnDivisor
			require.True(t, alone.HasTurn(i*slot, slot) && alone.HasTurn(turnEnd, slot) && !alone.HasTurn(turnEnd+1, slot))
			if turnEnd >= begin {
				met++
			}
		}
		require.LessOrEqual(t, met, 2)
	})
}

func TestInvariant5EnginesNotInUseChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, length, all := fleet(t)
		var used []float64
		for _, c := range capacity {
			if c > 0 {
				used = append(used, c)
			}
		}
		for me := range all {
			without, at := Quotas(used, me, len(all), length), 0
			for engine, c := range capacity {
				if c <= 0 {
					require.Equal(t, Quota{Rank: -1}, all[me][engine])
					continue
				}
				require.Equal(t, without[at], all[me][engine])
				at++
			}
		}
	})
}

func TestInvariant6FractionsGrowOnlyLongAfterAChange(t *testing.T) {
	const window, hold = time.Second, 1750 * time.Millisecond
	quota := rapid.Custom(func(t *rapid.T) Quota {
		senders := rapid.IntRange(0, 6).Draw(t, "senders")
		return Quota{Senders: senders, Rank: rapid.IntRange(-1, senders-1).Draw(t, "rank")}
	})
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		fixed := FixedQuota(quota.Draw(t, "fixed"))
		requireSame(t, fixed.Fraction(), fixed.FractionAt(0, window))
		h, quiet := DelayedQuota{}, time.Duration(0) // quiet: since when the quota has not changed
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "passes"))
			before := h.FractionAt(now, window)
			if rapid.Bool().Draw(t, "changes") {
				next := quota.Draw(t, "next")
				if next != h.Quota {
					quiet = now
				}
				h = h.Update(next, now, window)
			}
			fraction := h.FractionAt(now, window)
			require.LessOrEqual(t, fraction, h.Fraction())
			if quiet == now {
				require.LessOrEqual(t, fraction, before)
			}
			if now >= quiet+hold {
				requireSame(t, h.Fraction(), fraction)
			} else {
				requireSame(t, fraction, h.FractionAt(quiet+hold-1, window)) // does not grow
			}
		}
	})
}

// requireSame holds two numbers to the same bits.
func requireSame(t *rapid.T, want, got float64) {
	t.Helper()
	require.Equal(t, math.Float64bits(want), math.Float64bits(got), "%v and %v", want, got)
}

// window draws what an engine may get, and a request of more work than a turn's fraction.
func window(t *rapid.T) (w WindowBudget, work float64) {
	w = WindowBudget{
		Total:        rapid.Float64Range(0.1, 200).Draw(t, "budget"),
		MeanWork:     rapid.Float64Range(0.01, 10).Draw(t, "mean"),
		FineFraction: 0.5, TurnFraction: 0.27,
	}
	return w, w.TurnFraction * w.Total * rapid.Float64Range(1, 20).Draw(t, "times the turn's fraction")
}

func TestInvariant7NoWindowOverloadsTheEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, work := window(t)
		number := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "slot number"))
		sum := w.FineFraction * w.Total
		for i := range time.Duration(2) { // the turns that the window meets
			if w.HeavyProbability(work, number+i, 1) > 0 {
				sum += work
			} else {
				sum += w.TurnFraction * w.Total
			}
		}
		// The fractions alone may make up a little more.
		most := math.Max(w.OverloadWork(), (w.FineFraction+2*w.TurnFraction)*w.Total)
		require.LessOrEqual(t, sum, most+1e-9)
	})
}

func TestInvariant8HeavyRequestsAverageToTheTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, work := window(t)
		number := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "slot number"))
		sum := w.HeavyProbability(work, number, 1) + w.HeavyProbability(work, number+1, 1)
		require.LessOrEqual(t, sum*work, 2*w.TurnFraction*w.Total+1e-9)
	})
}

func TestHeavyProbabilityTable(t *testing.T) {
	w := WindowBudget{Total: 16, MeanWork: 1, FineFraction: 0.5, TurnFraction: 0.25} // overload at 26
	for name, k := range map[string]struct {
		work float64
		slot time.Duration
		want float64
	}{
		"two fit":                   {8, 1, 0.5},
		"two just fit":              {9, 0, 4.0 / 9},
		"one fits, in an even slot": {10, 2, 0.8},
		"one fits, in an odd slot":  {10, 3, 0},
		"one just fits":             {14, 0, 8.0 / 14},
		"one is too much":           {14.1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.InDelta(t, k.want, w.HeavyProbability(k.work, k.slot, 1), 1e-9) })
	}
}
