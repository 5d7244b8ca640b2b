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
		h := ReplicaSet(id, list, 3)
		require.Len(t, h, 3)
		rooms := map[string]bool{}
		for _, m := range h {
			rooms[m.Zone] = true
			count[m.Name]++
		}
		require.Len(t, rooms, 3)
		after := ReplicaSet(id, list[:11], 3) // n11 has gone
		for _, m := range h {
			if m.Name != "n11" && !slices.Contains(after, m) {
				moved++
			}
		}
	}
	assert.Zero(t, count["none"])
	for _, m := range list[1:12] {
		if m.Zone != list[0].Zone {
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
		a := ReplicaSet(id, list, n)
		b := ReplicaSet(id, rapid.Permutation(list).Draw(t, "order"), n)
		require.Equal(t, a, b)
		require.Len(t, a, min(n, len(list)))
	})
}

func newTestReplica(t *testing.T, change func(*Settings)) *Replica {
	set := Defaults()
	if change != nil {
		change(&set)
	}
	s, err := NewReplica(set, 1, true)
	require.NoError(t, err)
	return s
}

func prepareMessage(id, digest string, round uint64) Prepare {
	return Prepare{id, digest, Ballot{round, "x"}, 1}
}

func TestShelfIsBounded(t *testing.T) {
	s := newTestReplica(t, func(s *Settings) { s.MaxRecords, s.MaxBytes, s.Retention = 3, 3000, time.Minute })
	for i := range 3 {
		require.True(t, s.Prepare(0, prepareMessage(fmt.Sprint(i), "d", 1)).OK)
	}
	assert.Equal(t, NoCapacity, s.Prepare(0, prepareMessage("3", "d", 1)).Reason, "refused at once, and nothing is dropped for it")
	w := Accept{"0", "d", Ballot{1, "x"}, 1, Outcome{Phase: Intended}, 1}
	require.True(t, s.Accept(0, w).OK)
	w.Version, w.Outcome = 2, Outcome{Phase: Completed, Result: make([]byte, 4000)}
	assert.Equal(t, NoCapacity, s.Accept(0, w).Reason)
	w.Outcome.Result = make([]byte, 1000)
	require.True(t, s.Accept(0, w).OK)
	_, bytes := s.Size()
	assert.Less(t, bytes, 3000)

	require.True(t, s.Accept(0, Accept{"1", "d", Ballot{1, "x"}, 1, Outcome{Phase: Intended}, 1}).OK)
	assert.Equal(t, 0, s.Expire(time.Minute), "not before its time")
	assert.Equal(t, 2, s.Expire(time.Minute+1), "the ended one, and a claim that came to nothing")
	assert.Equal(t, 0, s.Expire(1000*time.Hour), "an open promise stays, however old")
	n, bytes := s.Size()
	assert.Equal(t, 1, n)
	assert.Equal(t, s.Records()[0].ID, "1")
	assert.Positive(t, bytes)
}

func TestAnIdBelongsToOneStatement(t *testing.T) {
	s := newTestReplica(t, nil)
	require.True(t, s.Prepare(0, prepareMessage("id", "load a", 1)).OK)
	assert.Equal(t, OtherStatement, s.Prepare(0, prepareMessage("id", "load b", 2)).Reason)
	assert.Equal(t, OtherStatement, s.Accept(0, Accept{"id", "load b", Ballot{2, "x"}, 1, Outcome{}, 1}).Reason)
	assert.Equal(t, NotPrepared, s.Accept(0, Accept{"other", "load a", Ballot{2, "x"}, 1, Outcome{}, 1}).Reason)
}

// No first byte before a majority holds the intent, one of them in another room.
func TestIntentIsHeldElsewhereFirst(t *testing.T) {
	members := []Member{{"a", "r1", 1}, {"b", "r1", 1}, {"c", "r2", 1}}
	o := NewProposer(Defaults(), "id", "d", "n1/1", "r1", 1, Config{Number: 1, Members: members})
	shelves := map[string]*Replica{"a": newTestReplica(t, nil), "b": newTestReplica(t, nil), "c": newTestReplica(t, nil)}
	say := func(to ...string) {
		c, w, ask := o.Messages()
		for _, h := range to {
			require.Contains(t, ask, h)
			if c != nil {
				o.HandleReply(h, shelves[h].Prepare(0, *c))
			} else {
				o.HandleReply(h, shelves[h].Accept(0, *w))
			}
		}
	}
	say("a", "b")
	assert.Equal(t, Wait, o.Permission(), "two of three, and both in its own room")
	say("c")
	say("a", "c")
	require.Equal(t, Send, o.Permission())
	require.True(t, o.Intend("e1", 7))
	assert.False(t, o.Intend("e2", 7), "one at a time")
	say("a")
	assert.False(t, o.MaySend())
	say("b")
	assert.False(t, o.MaySend())
	say("c")
	assert.True(t, o.MaySend())

	// A successor seals it: the first owner, woken late, gets nothing more written.
	late := o.clone()
	succ := NewProposer(Defaults(), "id", "d", "n2/1", "r2", 2, Config{Number: 1, Members: members})
	o = succ
	say("a", "b")
	say("a", "b")
	assert.Equal(t, Resolve, o.Permission())
	assert.Equal(t, "n1/1", o.Outcome().IntendedBy)
	o = late
	require.True(t, o.ResolveOutcome(Evidence{OwnAttempt: true}))
	say("a")
	st, why := o.State()
	assert.Equal(t, Rejected, st)
	assert.Equal(t, Fenced, why)
	assert.Equal(t, Ballot{2, "n2/1"}, o.FencedBy())

	o = succ
	require.True(t, o.ResolveOutcome(Evidence{UnknownToEngine: true}))
	say("a", "b")
	assert.Equal(t, InDoubt, o.Outcome().Phase, "its owner may live, and what it sent may be on its way")
	assert.False(t, o.ResolveOutcome(Evidence{UnknownToEngine: true, ProcessEndedFor: Defaults().EngineAbandonTime}), "nothing new")
	require.True(t, o.ResolveOutcome(Evidence{UnknownToEngine: true, ProcessEndedFor: Defaults().EngineAbandonTime + 1}))
	say("a", "b")
	assert.Equal(t, Answer, o.Permission())
	assert.Equal(t, NeverRan, o.Outcome().Phase)
}

func TestALargeAnswerIsToldAsRun(t *testing.T) {
	o := &Proposer{settings: Defaults(), state: Established, acknowledged: map[string]bool{}, outcome: Outcome{Phase: Intended, IntendedBy: "x"}}
	require.True(t, o.ResolveOutcome(Evidence{Ran: true, Completed: true, Result: make([]byte, 5<<10)}))
	assert.True(t, o.proposed.ResultOmitted)
	assert.Nil(t, o.proposed.Result)
}

func TestSettingsNameWhatIsWrong(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"copies: found 2": func(s *Settings) { s.Replicas = 2 },
		"most_records":    func(s *Settings) { s.MaxRecords = 0 },
		"keep_for":        func(s *Settings) { s.Retention = 0 },
	} {
		s := Defaults()
		require.NoError(t, s.Check())
		spoil(&s)
		_, err := NewReplica(s, 1, true)
		assert.ErrorContains(t, err, field)
	}
}

// drive lets an owner and some of its holders talk until nothing is asked of those any more.
func drive(o *Proposer, shelves map[string]*Replica, to ...string) {
	for range 4 {
		c, w, ask := o.Messages()
		for _, h := range to {
			if !slices.Contains(ask, h) {
				continue
			}
			if c != nil {
				o.HandleReply(h, shelves[h].Prepare(0, *c))
			} else if w != nil {
				o.HandleReply(h, shelves[h].Accept(0, *w))
			}
		}
	}
}

// bothMaySend lets an owner and its successor act while copies move from a, b and c to b, c and d. The first owner and the
// replicas that it talks to, a and b, have not heard of the move. The successor talks to c and d, and goes by the
// configuration of that number: 2, while copies move, or 3, once they have moved and all replicas know.
func bothMaySend(number uint64) bool {
	shelves := map[string]*Replica{}
	for _, h := range []string{"a", "b", "c", "d"} {
		shelves[h], _ = NewReplica(Defaults(), 1, true)
	}
	old := NewProposer(Defaults(), "id", "x", "n1/1", "r9", 1, configAt(1))
	drive(old, shelves, "a", "b") // it holds the register, and intends nothing yet
	if number == 3 {
		for _, s := range shelves {
			s.Configure(3)
		}
		for _, r := range shelves["a"].Records() {
			shelves["d"].Merge(r)
		}
	}
	next := NewProposer(Defaults(), "id", "x", "n2/1", "r9", 2, configAt(number))
	drive(next, shelves, "c", "d")
	next.Intend("e", 1)
	drive(next, shelves, "c", "d")
	old.Intend("e", 1)
	drive(old, shelves, "a", "b")
	return old.MaySend() && next.MaySend()
}

func TestReplicaSetsThatChangeOverlap(t *testing.T) {
	t.Run("while copies move", func(t *testing.T) { assert.False(t, bothMaySend(2)) })
	t.Run("once they have moved", func(t *testing.T) { assert.False(t, bothMaySend(3)) })
}

// What only one holder has heard of is not told before a majority holds it under the new ballot.
func TestWhatIsFoundIsHeldBeforeItIsTold(t *testing.T) {
	shelves := map[string]*Replica{"a": newTestReplica(t, nil), "b": newTestReplica(t, nil), "c": newTestReplica(t, nil)}
	x := NewProposer(Defaults(), "id", "x", "n1/1", "r9", 1, configAt(1))
	drive(x, shelves, "a", "b")
	require.True(t, x.Intend("e", 1))
	drive(x, shelves, "a", "b")
	require.True(t, x.ResolveOutcome(Evidence{Ran: true, Completed: true, Result: []byte("r")}))
	drive(x, shelves, "a") // its end reaches one holder only
	y := NewProposer(Defaults(), "id", "x", "n2/1", "r9", 2, configAt(1))
	c, _, _ := y.Messages()
	y.HandleReply("a", shelves["a"].Prepare(0, *c))
	y.HandleReply("b", shelves["b"].Prepare(0, *c))
	require.Equal(t, Wait, y.Permission(), "a later owner that hears b and c would not find what is told now")
	drive(y, shelves, "a", "b")
	assert.Equal(t, Answer, y.Permission())
	z := NewProposer(Defaults(), "id", "x", "n3/1", "r9", 3, configAt(1))
	drive(z, shelves, "b", "c")
	assert.Equal(t, Completed, z.Outcome().Phase)
}
