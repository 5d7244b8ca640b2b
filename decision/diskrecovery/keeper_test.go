package diskrecovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func start(t require.TestingT, doubt bool) *Keeper {
	k, err := New(Defaults(), 0, doubt)
	require.NoError(t, err)
	return k
}

// The table of docs/rollout.md: what a failure leads to, by whether the others agree.
func TestTheTable(t *testing.T) {
	for _, c := range []struct {
		kinds  []Kind
		agreed bool
		want   Step
	}{
		{nil, false, Keep}, {nil, true, Keep},
		{[]Kind{Full}, false, Reopen}, {[]Kind{Full}, true, Reopen},
		{[]Kind{Closed}, false, Reopen},
		{[]Kind{Doubt}, true, Anew}, {[]Kind{Doubt}, false, Rest},
		{[]Kind{Full, Doubt}, true, Anew}, {[]Kind{Doubt, Full}, false, Rest}, {[]Kind{Doubt, Closed}, true, Anew},
	} {
		k := start(t, false)
		for _, kind := range c.kinds {
			k.Failed(time.Hour, kind)
		}
		assert.Equal(t, c.want, k.Next(2*time.Hour, c.agreed), "%v agreed %v", c.kinds, c.agreed)
		assert.Equal(t, c.want == Keep, k.Why() == "")
	}
	k := start(t, true)
	assert.Equal(t, []Step{Rest, Anew}, []Step{k.Next(0, false), k.Next(0, true)}, "a mark from before the start")
}

// Invariants 1 to 5, over any order of words.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, now, set := start(t, rapid.Bool().Draw(t, "mark")), time.Duration(0), Defaults()
		doubt, out := k.doubt, k.out
		var lastTry, keptSince time.Duration
		gap := set.First
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "d"))
			switch word := rapid.IntRange(0, 3).Draw(t, "word"); word {
			case 0, 1:
				kind := Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				before := *k
				k.Failed(now, kind)
				if !out {
					if now-keptSince >= set.Well {
						gap = set.First
					}
					lastTry = now
					require.Equal(t, now+gap, k.next, "4: the wait")
					gap = min(2*gap, set.Most)
				} else {
					require.Equal(t, before.next, k.next, "5: the same failure told again")
				}
				out, doubt = true, doubt || kind == Doubt
				again := *k
				k.Failed(now, kind)
				require.Equal(t, again, *k, "5")
			default:
				agreed := rapid.Bool().Draw(t, "agreed")
				step := k.Next(now, agreed)
				switch step {
				case Keep:
					require.False(t, out)
				case Reopen:
					require.False(t, doubt, "1: a disk in doubt was opened under its identity")
				case Anew:
					require.True(t, agreed, "2: a disk was set aside and the others do not agree")
					require.True(t, doubt, "3: a disk was set aside without a doubt")
				}
				if step == Reopen || step == Anew {
					require.GreaterOrEqual(t, now, lastTry)
					if rapid.Bool().Draw(t, "opens") {
						k.Opened(now, step == Anew)
						out, doubt, keptSince = false, false, now
						require.Equal(t, Keep, k.Next(now, agreed))
					} else {
						k.Failed(now, Closed)
						require.Equal(t, Rest, k.Next(now, agreed), "4: a try that fails is not repeated at once")
						gap = min(2*gap, set.Most)
					}
				}
			}
		}
	})
}

// Invariant 1: an open that was not asked for does not end a doubt.
func TestADoubtOutlivesAnOpen(t *testing.T) {
	k := start(t, false)
	k.Failed(0, Doubt)
	k.Opened(time.Second, false)
	assert.Equal(t, Anew, k.Next(time.Hour, true))
}

// Invariant 2: three keepers whose disks are in doubt one after the other. Of any two at once, none begins anew.
func TestAMajorityInDoubtForgetsNothing(t *testing.T) {
	for lost := range 4 {
		list := []*Keeper{start(t, false), start(t, false), start(t, false)}
		for _, k := range list[:lost] {
			k.Failed(0, Doubt)
		}
		for now := time.Duration(0); now < time.Hour; now += time.Second {
			keeping := 0
			for _, k := range list {
				if !k.out {
					keeping++
				}
			}
			for _, k := range list {
				if k.Next(now, keeping >= 2) == Anew {
					k.Opened(now, true)
				}
			}
		}
		for i, k := range list {
			want := Keep
			if lost > 1 && i < lost {
				want = Rest
			}
			assert.Equal(t, want, k.Next(2*time.Hour, false), "%d lost, keeper %d", lost, i)
		}
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"first": func(s *Settings) { s.First = 0 }, "most": func(s *Settings) { s.Most = 0 }, "well": func(s *Settings) { s.Well = 0 },
	} {
		s := Defaults()
		spoil(&s)
		_, err := New(s, 0, false)
		assert.ErrorContains(t, err, fmt.Sprintf("keeper: %s: found", field))
	}
}
