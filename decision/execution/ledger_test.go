package execution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func fleetOf(n int) (out []Member) {
	for i := range n {
		out = append(out, Member{fmt.Sprint("n", i), fmt.Sprint("room-", i%3), 1})
	}
	return out
}

// Holders are of different rooms, as even as their weights, and few change as one member comes or goes.
func TestHoldersAreSpread(t *testing.T) {
	const ids = 20_000
	list := fleetOf(12)
	list[0].Weight = 2
	list = append(list, Member{"none", "room-a", 0})
	count := map[string]int{}
	moved := 0
	for i := range ids {
		id := fmt.Sprintf("%016x", i)
		h := Holders(id, list, 3)
		require.Len(t, h, 3)
		rooms := map[string]bool{}
		for _, m := range h {
			rooms[m.Room] = true
			count[m.Name]++
		}
		require.Len(t, rooms, 3)
		after := Holders(id, list[:11], 3) // n11 has gone
		for _, m := range h {
			if m.Name != "n11" && !slices.Contains(after, m) {
				moved++
			}
		}
	}
	assert.Zero(t, count["none"])
	for _, m := range list[1:12] {
		if m.Room != list[0].Room {
			assert.InDelta(t, ids*3/12, count[m.Name], ids*3/12*0.1, m.Name)
		}
	}
	assert.InDelta(t, 2.0*float64(count["n3"]), count["n0"], float64(count["n0"])*0.35, "twice the weight, in one room")
	// Copies of others than the one that went move only where a room had to be filled from another.
	assert.Less(t, moved, ids*3/12/2, "of %d copies", ids*3)
}

func TestHoldersAgreeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := fleetOf(rapid.IntRange(0, 9).Draw(t, "members"))
		n := rapid.IntRange(1, 7).Draw(t, "copies")
		id := rapid.String().Draw(t, "id")
		a := Holders(id, list, n)
		b := Holders(id, rapid.Permutation(list).Draw(t, "order"), n)
		require.Equal(t, a, b)
		require.Len(t, a, min(n, len(list)))
	})
}

func shelf(t *testing.T, change func(*Settings)) *Shelf {
	set := Defaults()
	if change != nil {
		change(&set)
	}
	s, err := NewShelf(set, 1, true)
	require.NoError(t, err)
	return s
}

func claim(id, digest string, round uint64) Claim { return Claim{id, digest, Ballot{round, "x"}, 1} }

func TestShelfIsBounded(t *testing.T) {
	s := shelf(t, func(s *Settings) { s.MostRecords, s.MostBytes, s.KeepFor = 3, 3000, time.Minute })
	for i := range 3 {
		require.True(t, s.Claim(0, claim(fmt.Sprint(i), "d", 1)).OK)
	}
	assert.Equal(t, Full, s.Claim(0, claim("3", "d", 1)).Why, "refused at once, and nothing is dropped for it")
	w := Write{"0", "d", Ballot{1, "x"}, 1, Fate{Phase: Intended}, 1}
	require.True(t, s.Write(0, w).OK)
	w.Version, w.Fate = 2, Fate{Phase: Ended, Result: make([]byte, 4000)}
	assert.Equal(t, Full, s.Write(0, w).Why)
	w.Fate.Result = make([]byte, 1000)
	require.True(t, s.Write(0, w).OK)
	_, bytes := s.Size()
	assert.Less(t, bytes, 3000)

	require.True(t, s.Write(0, Write{"1", "d", Ballot{1, "x"}, 1, Fate{Phase: Intended}, 1}).OK)
	assert.Equal(t, 0, s.Sweep(time.Minute), "not before its time")
	assert.Equal(t, 2, s.Sweep(time.Minute+1), "the ended one, and a claim that came to nothing")
	assert.Equal(t, 0, s.Sweep(1000*time.Hour), "an open promise stays, however old")
	n, bytes := s.Size()
	assert.Equal(t, 1, n)
	assert.Equal(t, s.Records()[0].ID, "1")
	assert.Positive(t, bytes)
}

func TestAnIdBelongsToOneStatement(t *testing.T) {
	s := shelf(t, nil)
	require.True(t, s.Claim(0, claim("id", "load a", 1)).OK)
	assert.Equal(t, Otherwise, s.Claim(0, claim("id", "load b", 2)).Why)
	assert.Equal(t, Otherwise, s.Write(0, Write{"id", "load b", Ballot{2, "x"}, 1, Fate{}, 1}).Why)
	assert.Equal(t, Unclaimed, s.Write(0, Write{"other", "load a", Ballot{2, "x"}, 1, Fate{}, 1}).Why)
}

// No first byte before a majority holds the intent, one of them in another room.
func TestIntentIsHeldElsewhereFirst(t *testing.T) {
	members := []Member{{"a", "r1", 1}, {"b", "r1", 1}, {"c", "r2", 1}}
	o := NewOwner(Defaults(), "id", "d", "n1/1", "r1", 1, Config{Number: 1, Members: members})
	shelves := map[string]*Shelf{"a": shelf(t, nil), "b": shelf(t, nil), "c": shelf(t, nil)}
	say := func(to ...string) {
		c, w, ask := o.Words()
		for _, h := range to {
			require.Contains(t, ask, h)
			if c != nil {
				o.Heard(h, shelves[h].Claim(0, *c))
			} else {
				o.Heard(h, shelves[h].Write(0, *w))
			}
		}
	}
	say("a", "b")
	assert.Equal(t, Wait, o.May(), "two of three, and both in its own room")
	say("c")
	say("a", "c")
	require.Equal(t, Send, o.May())
	require.True(t, o.Intend("e1", 7))
	assert.False(t, o.Intend("e2", 7), "one at a time")
	say("a")
	assert.False(t, o.Cleared())
	say("b")
	assert.False(t, o.Cleared())
	say("c")
	assert.True(t, o.Cleared())

	// A successor seals it: the first owner, woken late, gets nothing more written.
	late := o.clone()
	succ := NewOwner(Defaults(), "id", "d", "n2/1", "r2", 2, Config{Number: 1, Members: members})
	o = succ
	say("a", "b")
	say("a", "b")
	assert.Equal(t, Resolve, o.May())
	assert.Equal(t, "n1/1", o.Fate().By)
	o = late
	require.True(t, o.Learned(Evidence{SameSelf: true}))
	say("a")
	st, why := o.Stand()
	assert.Equal(t, Lost, st)
	assert.Equal(t, Sealed, why)
	assert.Equal(t, Ballot{2, "n2/1"}, o.Against())

	o = succ
	require.True(t, o.Learned(Evidence{Unknown: true}))
	say("a", "b")
	assert.Equal(t, Doubt, o.Fate().Phase, "its owner may live, and what it sent may be on its way")
	assert.False(t, o.Learned(Evidence{Unknown: true, OverFor: Defaults().Protocol}), "nothing new")
	require.True(t, o.Learned(Evidence{Unknown: true, OverFor: Defaults().Protocol + 1}))
	say("a", "b")
	assert.Equal(t, Answer, o.May())
	assert.Equal(t, NeverRan, o.Fate().Phase)
}

func TestALargeAnswerIsToldAsRun(t *testing.T) {
	o := &Owner{set: Defaults(), stand: Holding, said: map[string]bool{}, fate: Fate{Phase: Intended, By: "x"}}
	require.True(t, o.Learned(Evidence{Ran: true, Ended: true, Result: make([]byte, 5<<10)}))
	assert.True(t, o.next.Cut)
	assert.Nil(t, o.next.Result)
}

func TestSettingsNameWhatIsWrong(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"copies: found 2": func(s *Settings) { s.Copies = 2 },
		"most_records":    func(s *Settings) { s.MostRecords = 0 },
		"keep_for":        func(s *Settings) { s.KeepFor = 0 },
	} {
		s := Defaults()
		require.NoError(t, s.Check())
		spoil(&s)
		_, err := NewShelf(s, 1, true)
		assert.ErrorContains(t, err, field)
	}
}

// drive lets an owner and some of its holders talk until nothing is asked of those any more.
func drive(o *Owner, shelves map[string]*Shelf, to ...string) {
	for range 4 {
		c, w, ask := o.Words()
		for _, h := range to {
			if !slices.Contains(ask, h) {
				continue
			}
			if c != nil {
				o.Heard(h, shelves[h].Claim(0, *c))
			} else if w != nil {
				o.Heard(h, shelves[h].Write(0, *w))
			}
		}
	}
}

// Two owners must never both be cleared while holders change. skip leaves a check out, and shows what it is for.
func bothCleared(skip check) bool {
	shelves := map[string]*Shelf{}
	for _, h := range []string{"a", "b", "c", "d"} {
		shelves[h], _ = NewShelf(Defaults(), 1, true)
		shelves[h].skipped = skip
	}
	old := NewOwner(Defaults(), "id", "x", "n1/1", "r9", 1, configAt(1))
	old.skipped = skip
	drive(old, shelves, "a", "b") // it holds the register, and intends nothing yet
	number := uint64(2)           // copies move, and a and b have not heard of it
	if skip == checkConfig || skip == checkNone {
		number = 3
		for _, s := range shelves { // all holders know the new configuration, and d was filled
			s.Configure(3)
		}
		for _, r := range shelves["a"].Records() {
			shelves["d"].Copy(r)
		}
	}
	next := NewOwner(Defaults(), "id", "x", "n2/1", "r9", 2, configAt(number))
	next.skipped = skip
	drive(next, shelves, "c", "d")
	next.Intend("e", 1)
	drive(next, shelves, "c", "d")
	old.Intend("e", 1)
	drive(old, shelves, "a", "b")
	return old.Cleared() && next.Cleared()
}

func TestHoldersThatChangeOverlap(t *testing.T) {
	assert.False(t, bothCleared(checkNone))
	assert.True(t, bothCleared(checkConfig), "without the numbers of configurations both are cleared")
	assert.True(t, bothCleared(checkBefore), "without the holders before both are cleared")
}

// What only one holder has heard of is not told before a majority holds it under the new ballot.
func TestWhatIsFoundIsHeldBeforeItIsTold(t *testing.T) {
	for _, skip := range []check{checkNone, checkWriteBack} {
		shelves := map[string]*Shelf{"a": shelf(t, nil), "b": shelf(t, nil), "c": shelf(t, nil)}
		x := NewOwner(Defaults(), "id", "x", "n1/1", "r9", 1, configAt(1))
		drive(x, shelves, "a", "b")
		require.True(t, x.Intend("e", 1))
		drive(x, shelves, "a", "b")
		require.True(t, x.Learned(Evidence{Ran: true, Ended: true, Result: []byte("r")}))
		drive(x, shelves, "a") // its end reaches one holder only
		y := NewOwner(Defaults(), "id", "x", "n2/1", "r9", 2, configAt(1))
		y.skipped = skip
		c, _, _ := y.Words()
		y.Heard("a", shelves["a"].Claim(0, *c))
		y.Heard("b", shelves["b"].Claim(0, *c))
		if skip == checkWriteBack {
			assert.Equal(t, Answer, y.May(), "told, and a later owner that hears b and c would not find it")
			continue
		}
		assert.Equal(t, Wait, y.May())
		drive(y, shelves, "a", "b")
		assert.Equal(t, Answer, y.May())
		z := NewOwner(Defaults(), "id", "x", "n3/1", "r9", 3, configAt(1))
		drive(z, shelves, "b", "c")
		assert.Equal(t, Ended, z.Fate().Phase)
	}
}
