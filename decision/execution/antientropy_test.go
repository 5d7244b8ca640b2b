package execution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func all(string) bool { return true }

// Two shelves that differ find exactly what they lack, and are alike after one round.
func TestDigestsFindWhatDiffers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	a, b := newTestReplica(t, nil), newTestReplica(t, nil)
	for i := range 3000 {
		id := fmt.Sprintf("%016x", rng.Uint64())
		for _, s := range []*Replica{a, b} {
			if i%1000 == 0 && s == b {
				continue // three are missing there
			}
			require.True(t, s.Prepare(0, prepareMessage(id, "d", 1)).OK)
			w := Accept{id, "d", Ballot{1, "x"}, 1, Outcome{Phase: Intended}, 1}
			require.True(t, s.Accept(0, w).OK)
			if i%1500 == 7 && s == a { // two are behind
				w.Version, w.Outcome.Phase = 2, Completed
				require.True(t, s.Accept(0, w).OK)
			}
		}
	}
	da, db := a.RangeDigests(all), b.RangeDigests(all)
	differ := da.DifferingRanges(&db)
	assert.NotEmpty(t, differ)
	assert.LessOrEqual(t, len(differ), 5)
	heads, lacks := 0, 0
	for _, at := range differ {
		list := a.Summaries(at, all)
		heads += len(list)
		for _, id := range b.Missing(list) {
			lacks++
			b.Merge(*a.records[id])
		}
		assert.Empty(t, a.Missing(b.Summaries(at, all)), "nothing is later there")
	}
	assert.Equal(t, 5, lacks)
	assert.Less(t, heads, 3000/8, "the heads of a few ranges only")
	da, db = a.RangeDigests(all), b.RangeDigests(all)
	assert.Empty(t, da.DifferingRanges(&db))
	_, bytes := a.Size()
	_, same := b.Size()
	assert.Equal(t, bytes, same)
}

// A copy never lowers what is held: one from a holder that was behind changes nothing.
func TestAnOldCopyChangesNothing(t *testing.T) {
	s := newTestReplica(t, nil)
	require.True(t, s.Prepare(0, prepareMessage("id", "d", 5)).OK)
	require.True(t, s.Accept(0, Accept{"id", "d", Ballot{5, "x"}, 3, Outcome{Phase: Completed}, 1}).OK)
	was := s.Records()[0]
	s.Merge(Record{ID: "id", StatementDigest: "d", Promised: Ballot{4, "y"}, Accepted: Ballot{4, "y"}, Version: 9, Outcome: Outcome{Phase: Intended}})
	assert.Equal(t, was, s.Records()[0])
	s.Merge(Record{ID: "id", StatementDigest: "d", Promised: Ballot{7, "y"}, Accepted: Ballot{4, "y"}, Version: 9})
	assert.Equal(t, Ballot{7, "y"}, s.Records()[0].Promised, "a seal is kept")
	assert.Equal(t, Completed, s.Records()[0].Outcome.Phase)
}

func TestFillingWaitsForThoseThatMayKnow(t *testing.T) {
	f := NewBootstrap(3, "n0", fleetOf(4))
	f.MarkRead("n1")
	f.MarkRead("n2")
	assert.Equal(t, []string{"n3"}, f.Missing(), "with three copies, the one that is not read may be the one that knows")
	f.MarkRead("n9")
	f.MarkRead("n3")
	assert.Empty(t, f.Missing())

	f = NewBootstrap(5, "n0", fleetOf(6))
	for i := 1; i < 4; i++ {
		f.MarkRead(fmt.Sprint("n", i))
	}
	assert.Len(t, f.Missing(), 2)
	f.MarkRead("n4")
	assert.Empty(t, f.Missing(), "with five copies one may be missed")
}

func TestRepairTakesTheMostEndangeredFirst(t *testing.T) {
	r := NewAntiEntropy(100, 0)
	for i := range 1000 {
		r.SetCopies(fmt.Sprintf("%04d", i), 2, 3)
	}
	r.SetCopies("0500", 1, 3)
	r.SetCopies("0001", 3, 3)
	assert.Equal(t, 999, r.Waiting())
	assert.Empty(t, r.Next(0))
	first := r.Next(50 * time.Millisecond)
	assert.Equal(t, []string{"0500", "0000", "0002", "0003", "0004"}, first)
	made, now := len(first), 50*time.Millisecond
	for r.Waiting() > 0 {
		now += 20 * time.Millisecond
		made += len(r.Next(now))
		require.Less(t, now, time.Minute)
	}
	assert.Equal(t, 999, made)
	assert.InDelta(t, 10.0, now.Seconds(), 0.5, "a hundred a second")
	assert.LessOrEqual(t, len(r.Next(now+time.Hour)), 10)
}
