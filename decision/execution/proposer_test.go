package execution

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newTestProposer returns the proposer of process 1 (n1/1), 2 (n2/1) and so on in a zone. Its round is the number of
// the process.
func newTestProposer(process int, zone string, config Config) *Proposer {
	request := Request{ID: "id", StatementDigest: "d", Proposer: processName(process - 1), Zone: zone}
	return NewProposer(Defaults(), request, uint64(process), config)
}

// deliverTo delivers the current message of a proposer to the named replicas, and their replies to the proposer. It
// returns the names of all replicas that the message is addressed to.
func deliverTo(p *Proposer, replicas map[string]*Replica, names ...string) (asked []string) {
	prepare, accept, asked := p.Messages()
	for _, name := range names {
		switch {
		case !slices.Contains(asked, name):
		case prepare != nil:
			p.HandleReply(name, replicas[name].Prepare(0, *prepare))
		case accept != nil:
			p.HandleReply(name, replicas[name].Accept(0, *accept))
		}
	}
	return asked
}

// drive delivers messages between a proposer and the named replicas until the proposer has none left for them.
func drive(p *Proposer, replicas map[string]*Replica, names ...string) {
	for range 4 {
		deliverTo(p, replicas, names...)
	}
}

// newTestReplicas returns a replica for each member, by name.
func newTestReplicas(t *testing.T, names ...string) map[string]*Replica {
	t.Helper()
	replicas := map[string]*Replica{}
	for _, name := range names {
		replicas[name] = newTestReplica(t, nil)
	}
	return replicas
}

// No attempt may be sent before a majority, with one replica in another zone, has accepted the intent (invariants 1, 2
// and 4).
func TestSendNeedsIntentAcceptedInAnotherZone(t *testing.T) {
	config := Config{Number: 1, Members: []Member{{"a", "r1", 1}, {"b", "r1", 1}, {"c", "r2", 1}}}
	replicas := newTestReplicas(t, "a", "b", "c")
	deliver := func(p *Proposer, names ...string) {
		asked := deliverTo(p, replicas, names...)
		require.Subset(t, asked, names)
	}
	first := newTestProposer(1, "r1", config)
	deliver(first, "a", "b")
	assert.Equal(t, Wait, first.Permission(), "a majority, but both replicas are in the zone of the proposer")
	deliver(first, "c")
	deliver(first, "a", "c")
	require.Equal(t, Send, first.Permission())
	require.True(t, first.Intend("e1", 7))
	assert.False(t, first.Intend("e2", 7), "only one intent at a time")
	deliver(first, "a")
	assert.False(t, first.MaySend())
	deliver(first, "b")
	assert.False(t, first.MaySend())
	deliver(first, "c")
	assert.True(t, first.MaySend())

	// A successor fences the first proposer, which gets nothing more accepted when it resumes late.
	successor := newTestProposer(2, "r2", config)
	deliver(successor, "a", "b")
	deliver(successor, "a", "b")
	assert.Equal(t, Resolve, successor.Permission())
	assert.Equal(t, "n1/1", successor.Outcome().IntendedBy)
	require.True(t, first.ResolveOutcome(Evidence{OwnAttempt: true}))
	deliver(first, "a")
	state, reason := first.State()
	assert.Equal(t, Rejected, state)
	assert.Equal(t, Fenced, reason)
	assert.Equal(t, Ballot{2, "n2/1"}, first.FencedBy())

	abandonTime := Defaults().EngineAbandonTime
	require.True(t, successor.ResolveOutcome(Evidence{UnknownToEngine: true}))
	deliver(successor, "a", "b")
	assert.Equal(t, InDoubt, successor.Outcome().Phase, "the first process may run, and its attempt may be on its way")
	assert.False(t, successor.ResolveOutcome(Evidence{UnknownToEngine: true, ProcessEndedFor: abandonTime}), "no change")
	require.True(t, successor.ResolveOutcome(Evidence{UnknownToEngine: true, ProcessEndedFor: abandonTime + 1}))
	deliver(successor, "a", "b")
	assert.Equal(t, Answer, successor.Permission())
	assert.Equal(t, NeverRan, successor.Outcome().Phase)
}

func TestLargeResultIsOmitted(t *testing.T) {
	p := &Proposer{
		settings:     Defaults(),
		state:        Established,
		acknowledged: map[string]bool{},
		outcome:      Outcome{Phase: Intended, IntendedBy: "x"},
	}
	require.True(t, p.ResolveOutcome(Evidence{Ran: true, Completed: true, Result: make([]byte, 5<<10)}))
	assert.True(t, p.proposed.ResultOmitted)
	assert.Nil(t, p.proposed.Result)
}

// bothMaySend runs a proposer and its successor while the replica of a moves to d, and reports whether both may send.
// The first proposer exchanges messages with a and b under configuration 1. The successor exchanges messages with c and
// d under configuration number: 2 while the replica moves, or 3 after it has moved and all replicas know configuration
// 3.
func bothMaySend(t *testing.T, number uint64) bool {
	t.Helper()
	replicas := newTestReplicas(t, "a", "b", "c", "d")
	first := newTestProposer(1, "r9", configAt(1))
	drive(first, replicas, "a", "b") // the register is prepared, and no attempt is intended yet
	if number == 3 {
		for _, r := range replicas {
			r.Configure(3)
		}
		for _, record := range replicas["a"].Records() {
			replicas["d"].Merge(record)
		}
	}
	successor := newTestProposer(2, "r9", configAt(number))
	drive(successor, replicas, "c", "d")
	successor.Intend("e", 1)
	drive(successor, replicas, "c", "d")
	first.Intend("e", 1)
	drive(first, replicas, "a", "b")
	return first.MaySend() && successor.MaySend()
}

func TestChangingReplicaSetsOverlap(t *testing.T) {
	t.Run("while a replica moves", func(t *testing.T) { assert.False(t, bothMaySend(t, 2)) })
	t.Run("after the replica has moved", func(t *testing.T) { assert.False(t, bothMaySend(t, 3)) })
}

// An outcome that only one replica has accepted is not given to a client before a majority has accepted it under the
// new ballot.
func TestFoundOutcomeIsAcceptedBeforeAnswer(t *testing.T) {
	replicas := newTestReplicas(t, "a", "b", "c")
	first := newTestProposer(1, "r9", configAt(1))
	drive(first, replicas, "a", "b")
	require.True(t, first.Intend("e", 1))
	drive(first, replicas, "a", "b")
	require.True(t, first.ResolveOutcome(Evidence{Ran: true, Completed: true, Result: []byte("r")}))
	drive(first, replicas, "a") // the final outcome reaches one replica only
	second := newTestProposer(2, "r9", configAt(1))
	deliverTo(second, replicas, "a", "b")
	require.Equal(t, Wait, second.Permission(), "a later proposer that asks only b and c would not find this outcome yet")
	drive(second, replicas, "a", "b")
	assert.Equal(t, Answer, second.Permission())
	third := newTestProposer(3, "r9", configAt(1))
	drive(third, replicas, "b", "c")
	assert.Equal(t, Completed, third.Outcome().Phase)
}
