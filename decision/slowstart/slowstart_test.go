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
	for name, testCase := range map[string]struct {
		capacities   []float64
		me, replicas int
		size         float64
		want         []Quota
	}{
		"equal engines, one replica each":     {[]float64{4, 4, 4}, 1, 3, 4, []Quota{{1, -1}, {1, 0}, {1, -1}}},
		"subsets of two engines":              {[]float64{4, 4, 4}, 0, 3, 8, []Quota{{2, 0}, {2, 0}, {2, -1}}},
		"subset crosses the ring's origin":    {[]float64{4, 4, 4}, 2, 3, 8, []Quota{{2, 1}, {2, -1}, {2, 1}}},
		"all replicas send to all engines":    {[]float64{4, 4}, 3, 5, 100, []Quota{{5, 3}, {5, 3}}},
		"several subsets end at large engine": {[]float64{1, 1, 8, 2}, 0, 4, 2, []Quota{{1, 0}, {1, 0}, {3, -1}, {0, -1}}},
		"an engine is not in use":             {[]float64{4, 0, 4}, 0, 2, 8, []Quota{{2, 0}, {0, -1}, {2, 0}}},
		"no engine":                           {nil, 0, 2, 8, []Quota{}},
		"some engines are not in any subset":  {[]float64{2, 9, 1, 9}, 0, 2, 2, []Quota{{1, 0}, {1, -1}, {0, -1}, {0, -1}}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, testCase.want, Quotas(testCase.capacities, testCase.me, testCase.replicas, testCase.size))
		})
	}
}

func TestTurnTable(t *testing.T) {
	const slot = 70 * time.Millisecond
	for name, testCase := range map[string]struct {
		quota Quota
		now   time.Duration
		want  bool
	}{
		"own slot":               {Quota{3, 1}, slot, true},
		"end of the turn":        {Quota{3, 1}, slot + slot/TurnDivisor, true},
		"after the turn":         {Quota{3, 1}, slot + slot/TurnDivisor + 1, false},
		"slot of another sender": {Quota{3, 1}, 2 * slot, false},
		"next round":             {Quota{3, 1}, 4 * slot, true},
		"only sender":            {Quota{1, 0}, 5 * slot, true},
		"not a sender":           {Quota{3, -1}, slot, false},
		"zero value":             {Quota{}, 0, false},
		"negative time":          {Quota{1, 0}, -slot, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, testCase.want, testCase.quota.HasTurn(testCase.now, slot)) })
	}
	assert.False(t, Quota{1, 0}.HasTurn(0, 0), "slot length is 0")
}

// drawFleet draws the capacities of a ring, the number of replicas and the subset size, and returns the quotas of each
// replica.
func drawFleet(t *rapid.T) (capacities []float64, size float64, quotas [][]Quota) {
	capacities = rapid.SliceOfN(rapid.SampledFrom([]float64{0, 1, 4, 12, 36}), 1, 30).Draw(t, "capacity")
	replicas := rapid.IntRange(1, 60).Draw(t, "replicas")
	size = rapid.Float64Range(0, 200).Draw(t, "length")
	for me := range replicas {
		quotas = append(quotas, Quotas(capacities, me, replicas, size))
	}
	return capacities, size, quotas
}

// reaches reports whether the replica's subset reaches the engine, computed independently of Quotas: the capacity from
// the replica's first engine up to the engine must be less than the subset size.
func reaches(capacities []float64, replica, replicas, engine int, size float64) bool {
	first, between := FirstEngine(capacities, replica, replicas), 0.0
	for i := first; i%len(capacities) != engine; i++ {
		between += capacities[i%len(capacities)]
	}
	return capacities[engine] > 0 && between < size
}

func TestInvariant1SendersAreReplicasWhoseSubsetReachesTheEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities, size, quotas := drawFleet(t)
		for engine := range capacities {
			senders := 0
			for me := range quotas {
				sends := reaches(capacities, me, len(quotas), engine, size)
				require.Equal(t, sends, quotas[me][engine].Sends())
				if sends {
					require.Equal(t, senders, quotas[me][engine].Rank)
					senders++
				}
			}
			for me := range quotas {
				require.Equal(t, senders, quotas[me][engine].Senders)
			}
		}
	})
}

func TestInvariant2FractionsSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities, _, quotas := drawFleet(t)
		for engine := range capacities {
			sum := 0.0
			for me := range quotas {
				sum += quotas[me][engine].Fraction()
			}
			if quotas[0][engine].Senders == 0 {
				require.Zero(t, sum)
			} else {
				require.InDelta(t, 1, sum, 1e-9)
			}
		}
	})
}

func TestInvariant3OneTurnPerSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities, _, quotas := drawFleet(t)
		slot := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "slot"))
		rounds := 2 * time.Duration(rapid.Int64Range(0, 1e7).Draw(t, "rounds before"))
		for engine := range capacities {
			senders := time.Duration(quotas[0][engine].Senders)
			even, odd := map[int]int{}, map[int]int{} // turns by replica
			for i := range 2 * senders {
				number, turns := rounds*senders+i, 0
				for me := range quotas {
					if !quotas[me][engine].HasTurn(number*slot, slot) {
						continue
					}
					turns++
					if number%2 == 0 {
						even[me]++
					} else {
						odd[me]++
					}
				}
				require.Equal(t, 1, turns, "turns in one slot")
				if i == senders-1 {
					require.Len(t, even, int(senders)-len(odd), "each sender has one turn in the first round")
				}
			}
			require.Len(t, even, int(senders), "each sender has a turn in an even slot")
			require.Len(t, odd, int(senders), "each sender has a turn in an odd slot")
		}
	})
}

func TestInvariant4WindowOverlapsAtMostTwoTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slot := time.Duration(rapid.Int64Range(1000, int64(time.Minute)).Draw(t, "slot"))
		begin := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "begin"))
		window := 2*slot - slot/TurnDivisor - 1
		onlySender, turns := Quota{Senders: 1}, 0
		for i := begin / slot; i <= (begin+window)/slot; i++ {
			turnEnd := i*slot + slot/TurnDivisor
			require.True(t, onlySender.HasTurn(i*slot, slot) && onlySender.HasTurn(turnEnd, slot) &&
				!onlySender.HasTurn(turnEnd+1, slot))
			if turnEnd >= begin {
				turns++
			}
		}
		require.LessOrEqual(t, turns, 2)
	})
}

func TestInvariant5UnusedEnginesDoNotAffectQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities, size, quotas := drawFleet(t)
		var used []float64
		for _, capacity := range capacities {
			if capacity > 0 {
				used = append(used, capacity)
			}
		}
		for me := range quotas {
			ofUsed, at := Quotas(used, me, len(quotas), size), 0
			for engine, capacity := range capacities {
				if capacity <= 0 {
					require.Equal(t, Quota{Rank: -1}, quotas[me][engine])
					continue
				}
				require.Equal(t, ofUsed[at], quotas[me][engine])
				at++
			}
		}
	})
}

func TestInvariant6FractionsGrowOnlyAfterTheGrowthDelay(t *testing.T) {
	const window, growthDelay = time.Second, 1750 * time.Millisecond
	drawQuota := rapid.Custom(func(t *rapid.T) Quota {
		senders := rapid.IntRange(0, 6).Draw(t, "senders")
		return Quota{Senders: senders, Rank: rapid.IntRange(-1, senders-1).Draw(t, "rank")}
	})
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		fixed := FixedQuota(drawQuota.Draw(t, "fixed"))
		requireSameBits(t, fixed.Fraction(), fixed.FractionAt(0, window))
		delayed, changedAt := DelayedQuota{}, time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "passes"))
			before := delayed.FractionAt(now, window)
			if rapid.Bool().Draw(t, "changes") {
				next := drawQuota.Draw(t, "next")
				if next != delayed.Quota {
					changedAt = now
				}
				delayed = delayed.Update(next, now, window)
			}
			fraction := delayed.FractionAt(now, window)
			require.LessOrEqual(t, fraction, delayed.Fraction())
			if changedAt == now {
				require.LessOrEqual(t, fraction, before)
			}
			if now >= changedAt+growthDelay {
				requireSameBits(t, delayed.Fraction(), fraction)
			} else {
				// The fraction does not grow before the end of the delay.
				requireSameBits(t, fraction, delayed.FractionAt(changedAt+growthDelay-1, window))
			}
		}
	})
}

// requireSameBits requires two numbers to have the same bits.
func requireSameBits(t *rapid.T, want, got float64) {
	t.Helper()
	require.Equal(t, math.Float64bits(want), math.Float64bits(got), "%v and %v", want, got)
}

// drawBudget draws a budget, and the work of a heavy request: more than the turn's fraction of the budget.
func drawBudget(t *rapid.T) (budget WindowBudget, work float64) {
	budget = WindowBudget{
		Total:        rapid.Float64Range(0.1, 200).Draw(t, "budget"),
		MeanWork:     rapid.Float64Range(0.01, 10).Draw(t, "mean"),
		FineFraction: 0.5, TurnFraction: 0.27,
	}
	return budget, budget.TurnFraction * budget.Total * rapid.Float64Range(1, 20).Draw(t, "times the turn's fraction")
}

func TestInvariant7NoWindowOverloadsTheEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, work := drawBudget(t)
		number := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "slot number"))
		sum := budget.FineFraction * budget.Total
		for i := range time.Duration(2) { // the two turns that the window overlaps
			if budget.HeavyProbability(work, number+i, 1) > 0 {
				sum += work
			} else {
				sum += budget.TurnFraction * budget.Total
			}
		}
		// The fractions alone may add up to slightly more than OverloadWork.
		limit := math.Max(budget.OverloadWork(), (budget.FineFraction+2*budget.TurnFraction)*budget.Total)
		require.LessOrEqual(t, sum, limit+1e-9)
	})
}

func TestInvariant8HeavyRequestsAverageToTheTurnFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, work := drawBudget(t)
		number := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "slot number"))
		sum := budget.HeavyProbability(work, number, 1) + budget.HeavyProbability(work, number+1, 1)
		require.LessOrEqual(t, sum*work, 2*budget.TurnFraction*budget.Total+1e-9)
	})
}

func TestHeavyProbabilityTable(t *testing.T) {
	budget := WindowBudget{Total: 16, MeanWork: 1, FineFraction: 0.5, TurnFraction: 0.25} // OverloadWork is 26
	for name, testCase := range map[string]struct {
		work float64
		slot time.Duration
		want float64
	}{
		"two requests fit":             {8, 1, 0.5},
		"two requests just fit":        {9, 0, 4.0 / 9},
		"one request fits, even slot":  {10, 2, 0.8},
		"one request fits, odd slot":   {10, 3, 0},
		"one request just fits":        {14, 0, 8.0 / 14},
		"one request exceeds the room": {14.1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.InDelta(t, testCase.want, budget.HeavyProbability(testCase.work, testCase.slot, 1), 1e-9)
		})
	}
}
