package poll

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func poller(t require.TestingT, addresses int) *Poller {
	p, err := New(Defaults(), addresses, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return p
}

func TestTable(t *testing.T) {
	set := Defaults()
	for name, k := range map[string]struct {
		index   uint64 // of the answer before; 0: none
		r       Result
		gap     time.Duration // until the next call at least
		asks    uint64        // its index
		another bool          // of the two addresses
	}{
		"first answer":         {0, Result{Index: 7}, set.MinInterval, 7, false},
		"news":                 {7, Result{Index: 9}, set.MinInterval, 9, false},
		"a wait ended":         {7, Result{Index: 7}, set.MinInterval, 7, false},
		"backwards":            {7, Result{Index: 5}, set.MinInterval, 0, false},
		"no index":             {7, Result{}, set.ConfirmInterval, 0, false},
		"costly":               {7, Result{Index: 9, BusyTime: time.Second}, 4 * time.Second, 9, false},
		"in doubt":             {7, Result{Index: 9, AwaitsConfirmation: true}, set.MinInterval, 9, false},
		"failed":               {7, Result{Outcome: Failed}, 0, 7, true},
		"denied":               {7, Result{Outcome: Denied}, set.DeniedBackoff, 7, true},
		"given up for renewal": {7, Result{Outcome: Cancelled}, 0, 7, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := poller(t, 2)
			if k.index > 0 {
				p.HandleResult(time.Second, Result{Index: k.index})
			}
			was := p.Next().Address
			p.HandleResult(time.Minute, k.r)
			next := p.Next()
			assert.Equal(t, time.Minute+k.gap, next.NotBefore)
			assert.Equal(t, k.asks, next.Index)
			assert.Equal(t, k.another, next.Address != was)
			if k.asks == 0 {
				assert.Zero(t, next.Wait)
			} else {
				wait := set.Wait
				if k.r.AwaitsConfirmation {
					wait = set.ConfirmInterval
				}
				assert.InDelta(t, float64(wait), float64(next.Wait), float64(wait)/10)
				assert.Equal(t, next.Wait+next.Wait/16+set.ResponseTimeout, next.HeaderTimeout)
			}
		})
	}
}

func TestHeldCallIsRenewed(t *testing.T) {
	p := poller(t, 1)
	p.HandleResult(time.Second, Result{Outcome: Denied})
	require.Equal(t, 31*time.Second, p.Next().NotBefore)
	p.RetryNow(2 * time.Second)
	assert.Equal(t, 2*time.Second, p.Next().NotBefore)
	p.HandleResult(3*time.Second, Result{Index: 4})
	p.Reset(5*time.Second, 3)
	assert.Equal(t, 5*time.Second, p.Next().NotBefore)
	assert.Zero(t, p.Next().Index, "another catalogue counts from elsewhere")
}

// TestInvariants numbers what it checks as the package comment does.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "addresses")
		set := Defaults()
		p, err := New(set, n, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		if err != nil {
			t.Fatal(err)
		}
		now, last, fails := time.Duration(0), uint64(0), 0
		tried := map[int]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			c := p.Next()
			if c != p.Next() {
				t.Fatal("1: Next changed without Done")
			}
			now = max(now, c.NotBefore)
			if c.Address < 0 || c.Address >= n {
				t.Fatalf("address %d of %d", c.Address, n)
			}
			if c.Index > 0 && (c.Wait < set.Wait*9/10 || c.Wait > set.Wait*11/10) {
				t.Fatalf("7: wait %v", c.Wait)
			}
			r := Result{Outcome: Outcome(rapid.IntRange(0, 2).Draw(t, "ending")), Index: rapid.Uint64Range(0, 9).Draw(t, "index"),
				BusyTime: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "cost"))}
			began := now
			p.HandleResult(now, r)
			gap := p.Next().NotBefore - began
			switch r.Outcome {
			case Succeeded:
				fails = 0
				clear(tried)
				if gap < set.MinInterval || float64(r.BusyTime) > (set.MaxBusyShare+1e-6)*float64(gap+r.BusyTime) {
					t.Fatalf("5: %v after a read that took %v", gap, r.BusyTime)
				}
				if next := p.Next().Index; r.Index < last && next != 0 {
					t.Fatalf("2: asks with %d after %d was followed by %d", next, last, r.Index)
				}
				if last = r.Index; p.Next().Index == 0 {
					last = 0
				}
				if p.Next().Address != c.Address {
					t.Fatal("6: another address after a success")
				}
			case Denied:
				fails++
				if gap != set.DeniedBackoff {
					t.Fatalf("4: %v after a denied call", gap)
				}
			case Failed:
				fails++
				tried[c.Address] = true
				if gap > 0 && len(tried) < n && fails <= len(tried) {
					t.Fatalf("6: a pause after %d of %d addresses", len(tried), n)
				}
				if gap > set.MaxBackoff {
					t.Fatalf("3: a pause of %v", gap)
				}
			}
		}
	})
}

func TestPausesGrow(t *testing.T) {
	p, set := poller(t, 3), Defaults()
	var pauses []time.Duration
	for range 60 {
		at := p.Next().NotBefore
		p.HandleResult(at, Result{Outcome: Failed})
		if d := p.Next().NotBefore - at; d > 0 {
			pauses = append(pauses, d)
		}
	}
	require.Len(t, pauses, 20, "one pause in a round of three")
	for i, d := range pauses {
		most := min(set.MaxBackoff, set.MinBackoff<<min(i, 20))
		assert.GreaterOrEqual(t, d, most/2, i)
		assert.LessOrEqual(t, d, most, i)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"wait": func(s *Settings) { s.Wait = 0 }, "max_pause": func(s *Settings) { s.MaxBackoff = s.MinBackoff / 2 },
		"max_share": func(s *Settings) { s.MaxBusyShare = 1.5 }, "min_gap": func(s *Settings) { s.MinInterval = -1 },
	} {
		set := Defaults()
		spoil(&set)
		_, err := New(set, 1, rand.New(rand.NewPCG(1, 1)))
		assert.ErrorContains(t, err, "poll: "+field+":")
	}
	_, err := New(Defaults(), 0, rand.New(rand.NewPCG(1, 1)))
	assert.ErrorContains(t, err, "addresses")
}

// A list that takes 5 s to make was asked for in vain for ever, 1.5 s at a time.
func TestPatienceGrowsWithCallsThatRunOut(t *testing.T) {
	set := Defaults()
	p := poller(t, 2)
	now := time.Duration(0)
	const makes = 5 * time.Second
	calls, wasted := 0, time.Duration(0)
	for ; p.Next().HeaderTimeout < makes; calls++ {
		require.Less(t, calls, 20, "never read")
		now = max(now, p.Next().NotBefore) + p.Next().HeaderTimeout
		wasted += p.Next().HeaderTimeout
		p.HandleResult(now, Result{Outcome: Failed, TimedOut: true})
	}
	assert.Equal(t, 4, calls, "two rounds of two addresses")
	assert.Less(t, wasted, 10*time.Second)
	p.HandleResult(now, Result{Index: 1, Latency: makes})
	assert.Equal(t, 6*time.Second, p.Next().ReadTimeout, "the next reading takes as long")
	p.HandleResult(now, Result{Index: 2, Latency: 10 * time.Millisecond})
	assert.Equal(t, set.ResponseTimeout, p.Next().ReadTimeout)
	for range 40 {
		p.HandleResult(now, Result{Outcome: Failed, TimedOut: true})
	}
	assert.Equal(t, set.MaxResponseTimeout, p.Next().ReadTimeout, "bounded")
	p.HandleResult(now, Result{Index: 3})
	p.HandleResult(now, Result{Outcome: Failed})
	p.HandleResult(now, Result{Outcome: Failed})
	assert.Equal(t, set.ResponseTimeout, p.Next().ReadTimeout, "a refused call is no slow one")
}
