package slowstart

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestSharesTable(t *testing.T) {
	for name, k := range map[string]struct {
		capacity     []float64
		me, replicas int
		length       float64
		want         []Share
	}{
		"equal engines, one replica each":   {[]float64{4, 4, 4}, 1, 3, 4, []Share{{1, -1}, {1, 0}, {1, -1}}},
		"stretches of two":                  {[]float64{4, 4, 4}, 0, 3, 8, []Share{{2, 0}, {2, 0}, {2, -1}}},
		"a stretch goes round":              {[]float64{4, 4, 4}, 2, 3, 8, []Share{{2, 1}, {2, -1}, {2, 1}}},
		"all draw from all":                 {[]float64{4, 4}, 3, 5, 100, []Share{{5, 3}, {5, 3}}},
		"a large engine ends more of them":  {[]float64{1, 1, 8, 2}, 0, 4, 2, []Share{{1, 0}, {1, 0}, {3, -1}, {0, -1}}},
		"an engine that is not in use":      {[]float64{4, 0, 4}, 0, 2, 8, []Share{{2, 0}, {0, -1}, {2, 0}}},
		"no engine":                         {nil, 0, 2, 8, []Share{}},
		"an engine that no stretch reaches": {[]float64{2, 9, 1, 9}, 0, 2, 2, []Share{{1, 0}, {1, -1}, {0, -1}, {0, -1}}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, k.want, Shares(k.capacity, k.me, k.replicas, k.length))
		})
	}
}

func TestTurnTable(t *testing.T) {
	const slot = 70 * time.Millisecond
	for name, k := range map[string]struct {
		share Share
		now   time.Duration
		want  bool
	}{
		"own slot":             {Share{3, 1}, slot, true},
		"the end of its turn":  {Share{3, 1}, slot + slot/TurnPart, true},
		"after its turn":       {Share{3, 1}, slot + slot/TurnPart + 1, false},
		"another's slot":       {Share{3, 1}, 2 * slot, false},
		"the next round":       {Share{3, 1}, 4 * slot, true},
		"alone":                {Share{1, 0}, 5 * slot, true},
		"no sender":            {Share{3, -1}, slot, false},
		"zero value":           {Share{}, 0, false},
		"before the clock's 0": {Share{1, 0}, -slot, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, k.want, k.share.Turn(k.now, slot)) })
	}
	assert.False(t, Share{1, 0}.Turn(0, 0), "no slot")
}

// fleet draws a ring and the shares that each replica works out by itself.
func fleet(t *rapid.T) (capacity []float64, length float64, all [][]Share) {
	capacity = rapid.SliceOfN(rapid.SampledFrom([]float64{0, 1, 4, 12, 36}), 1, 30).Draw(t, "capacity")
	replicas := rapid.IntRange(1, 60).Draw(t, "replicas")
	length = rapid.Float64Range(0, 200).Draw(t, "length")
	for me := range replicas {
		all = append(all, Shares(capacity, me, replicas, length))
	}
	return capacity, length, all
}

// reaches walks a stretch of its own: whether that of the replica reaches the engine.
func reaches(capacity []float64, replica, replicas, engine int, length float64) bool {
	first, between := First(capacity, replica, replicas), 0.0
	for i := first; i%len(capacity) != engine; i++ {
		between += capacity[i%len(capacity)]
	}
	return capacity[engine] > 0 && between < length
}

func TestInvariant1SendersAreThoseWhoseStretchReaches(t *testing.T) {
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

func TestInvariant2PartsSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, _, all := fleet(t)
		for engine := range capacity {
			sum := 0.0
			for me := range all {
				sum += all[me][engine].Part()
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
					if !all[me][engine].Turn(number*slot, slot) {
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
		window := 2*slot - slot/TurnPart - 1
		alone, met := Share{Senders: 1}, 0
		for i := begin / slot; i <= (begin+window)/slot; i++ {
			turnEnd := i*slot + slot/TurnPart
			require.True(t, alone.Turn(i*slot, slot) && alone.Turn(turnEnd, slot) && !alone.Turn(turnEnd+1, slot))
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
			without, at := Shares(used, me, len(all), length), 0
			for engine, c := range capacity {
				if c <= 0 {
					require.Equal(t, Share{Rank: -1}, all[me][engine])
					continue
				}
				require.Equal(t, without[at], all[me][engine])
				at++
			}
		}
	})
}

func TestInvariant6PartsGrowOnlyLongAfterAChange(t *testing.T) {
	const window, hold = time.Second, 1750 * time.Millisecond
	share := rapid.Custom(func(t *rapid.T) Share {
		senders := rapid.IntRange(0, 6).Draw(t, "senders")
		return Share{Senders: senders, Rank: rapid.IntRange(-1, senders-1).Draw(t, "rank")}
	})
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		fixed := Fixed(share.Draw(t, "fixed"))
		require.Equal(t, fixed.Part(), fixed.PartAt(0, window))
		h, quiet := Held{}, time.Duration(0) // quiet: since when the share has not changed
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "passes"))
			held := h.PartAt(now, window)
			if rapid.Bool().Draw(t, "changes") {
				next := share.Draw(t, "next")
				if next != h.Share {
					quiet = now
				}
				h = h.Change(next, now, window)
			}
			part := h.PartAt(now, window)
			require.LessOrEqual(t, part, h.Part())
			if quiet == now {
				require.LessOrEqual(t, part, held)
			}
			if now >= quiet+hold {
				require.Equal(t, h.Part(), part)
			} else {
				require.Equal(t, part, h.PartAt(quiet+hold-1, window), "does not grow")
			}
		}
	})
}

// window draws what an engine may get, and a request of more work than a turn's part.
func window(t *rapid.T) (w Window, work float64) {
	w = Window{
		Budget: rapid.Float64Range(0.1, 200).Draw(t, "budget"),
		Mean:   rapid.Float64Range(0.01, 10).Draw(t, "mean"),
		Fine:   0.5, Turn: 0.27,
	}
	return w, w.Turn * w.Budget * rapid.Float64Range(1, 20).Draw(t, "times the turn's part")
}

func TestInvariant7NoWindowHoldsMoreThanTheEngineBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, work := window(t)
		number := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "slot number"))
		sum := w.Fine * w.Budget
		for i := range time.Duration(2) { // the turns that the window meets
			if w.HeavyChance(work, number+i, 1) > 0 {
				sum += work
			} else {
				sum += w.Turn * w.Budget
			}
		}
		most := math.Max(w.Bears(), (w.Fine+2*w.Turn)*w.Budget) // the parts alone may make up a little more
		require.LessOrEqual(t, sum, most+1e-9)
	})
}

func TestInvariant8HeavyRequestsAverageToTheParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, work := window(t)
		number := time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "slot number"))
		sum := w.HeavyChance(work, number, 1) + w.HeavyChance(work, number+1, 1)
		require.LessOrEqual(t, sum*work, 2*w.Turn*w.Budget+1e-9)
	})
}

func TestHeavyChanceTable(t *testing.T) {
	w := Window{Budget: 16, Mean: 1, Fine: 0.5, Turn: 0.25} // bears 26
	for name, k := range map[string]struct {
		work float64
		slot time.Duration
		want float64
	}{
		"two are borne":                 {8, 1, 0.5},
		"two are just borne":            {9, 0, 4.0 / 9},
		"one is borne, in an even slot": {10, 2, 0.8},
		"one is borne, in an odd slot":  {10, 3, 0},
		"one is just borne":             {14, 0, 8.0 / 14},
		"one is too much":               {14.1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.InDelta(t, k.want, w.HeavyChance(k.work, k.slot, 1), 1e-9) })
	}
}
