package execution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func everyID(string) bool { return true }

// Two replicas that differ find exactly the records that one of them lacks or holds in an earlier state, and are equal
// after one comparison.
func TestDigestsFindDifferingRecords(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	a, b := newTestReplica(t, nil), newTestReplica(t, nil)
	for i := range 3000 {
		id := fmt.Sprintf("%016x", rng.Uint64())
		for _, r := range []*Replica{a, b} {
			if i%1000 == 0 && r == b {
				continue // b lacks three records
			}
			require.True(t, r.Prepare(0, prepareMessage(id, "d", 1)).OK)
			require.True(t, r.Accept(0, acceptMessage(id, "d", 1, 1, Outcome{Phase: Intended})).OK)
			if i%1500 == 7 && r == a { // b is behind in two records
				require.True(t, r.Accept(0, acceptMessage(id, "d", 1, 2, Outcome{Phase: Completed})).OK)
			}
		}
	}
	digestsA, digestsB := a.RangeDigests(everyID), b.RangeDigests(everyID)
	differing := digestsA.DifferingRanges(&digestsB)
	assert.NotEmpty(t, differing)
	assert.LessOrEqual(t, len(differing), 5)
	compared, missing := 0, 0
	for _, i := range differing {
		summaries := a.Summaries(i, everyID)
		compared += len(summaries)
		for _, id := range b.Missing(summaries) {
			missing++
			b.Merge(*a.records[id])
		}
		assert.Empty(t, a.Missing(b.Summaries(i, everyID)), "b holds no later record")
	}
	assert.Equal(t, 5, missing)
	assert.Less(t, compared, 3000/8, "only the summaries of a few ranges are compared")
	digestsA, digestsB = a.RangeDigests(everyID), b.RangeDigests(everyID)
	assert.Empty(t, digestsA.DifferingRanges(&digestsB))
	_, bytesOfA := a.Size()
	_, bytesOfB := b.Size()
	assert.Equal(t, bytesOfA, bytesOfB)
}

// Merge lowers neither the accepted outcome nor the promised ballot: an older record of another replica changes
// nothing.
func TestMergeOfAnOlderRecordChangesNothing(t *testing.T) {
	r := newTestReplica(t, nil)
	require.True(t, r.Prepare(0, prepareMessage("id", "d", 5)).OK)
	require.True(t, r.Accept(0, acceptMessage("id", "d", 5, 3, Outcome{Phase: Completed})).OK)
	before := r.Records()[0]
	older := Record{
		ID:              "id",
		StatementDigest: "d",
		Promised:        Ballot{4, "y"},
		Accepted:        Ballot{4, "y"},
		Version:         9,
		Outcome:         Outcome{Phase: Intended},
	}
	r.Merge(older)
	assert.Equal(t, before, r.Records()[0])
	older.Promised, older.Outcome = Ballot{7, "y"}, Outcome{}
	r.Merge(older)
	assert.Equal(t, Ballot{7, "y"}, r.Records()[0].Promised, "a later promise is kept")
	assert.Equal(t, Completed, r.Records()[0].Outcome.Phase)
}

func TestAntiEntropyCopiesRecordsWithFewestCopiesFirst(t *testing.T) {
	a := NewAntiEntropy(100, 0)
	for i := range 1000 {
		a.SetCopies(fmt.Sprintf("%04d", i), 2, 3)
	}
	a.SetCopies("0500", 1, 3)
	a.SetCopies("0001", 3, 3)
	assert.Equal(t, 999, a.Waiting())
	assert.Empty(t, a.Next(0))
	first := a.Next(50 * time.Millisecond)
	assert.Equal(t, []string{"0500", "0000", "0002", "0003", "0004"}, first)
	copied, now := len(first), 50*time.Millisecond
	for a.Waiting() > 0 {
		now += 20 * time.Millisecond
		copied += len(a.Next(now))
		require.Less(t, now, time.Minute)
	}
	assert.Equal(t, 999, copied)
	assert.InDelta(t, 10.0, now.Seconds(), 0.5, "100 records per second")
	assert.LessOrEqual(t, len(a.Next(now+time.Hour)), 10)
}
