package execution

import (
	"testing"

	"beechcart/internal/mutation"
)

// walkTest is the test of one small world, by its name.
func walkTest(world string) string { return "TestWalksOfSmallWorlds/" + world }

// Each guard is needed: without it some walk, or the test that is named, breaks a promise.
func TestMutationsAreFound(t *testing.T) {
	allWalks := []string{walksVariable + "=30000"}
	ranTwice := "it ran twice"
	mutation.Run(t, []mutation.Mutation{
		{Guard: "an accept of a lower ballot is rejected", File: "replica.go", Env: allWalks, Test: walkTest("fence"), Want: ranTwice,
			Old: "w.Ballot.Compare(r.Promised) < 0", New: "false"},
		{Guard: "a prepare of a lower ballot is rejected", File: "replica.go", Env: allWalks, Test: walkTest("prepare"), Want: ranTwice,
			Old: "c.Ballot.Compare(r.Promised) < 0", New: "false"},
		{Guard: "an id belongs to one statement", File: "replica.go", Test: "TestAnIdBelongsToOneStatement",
			Old: "r.StatementDigest != c.StatementDigest", New: "false"},
		{Guard: "an older configuration is rejected", File: "replica.go", Test: "TestReplicaSetsThatChangeOverlap/once_they_have_moved",
			Old: "config < s.configNumber", New: "false"},
		{Guard: "a replica that is not bootstrapped does not count", File: "replica.go", Env: allWalks, Test: walkTest("bootstrap"),
			Want: ranTwice, Old: "!s.bootstrapped", New: "false"},
		{Guard: "what has ended is kept", File: "replica.go", Env: allWalks, Test: walkTest("retention"), Want: ranTwice,
			Old: "now-r.WrittenAt > s.settings.Retention", New: "now-r.WrittenAt > 0"},
		{Guard: "a majority agrees, one of it in another zone", File: "proposer.go", Env: allWalks, Test: walkTest("majority"), Want: ranTwice,
			Old: "need := len(group)/2 + 1\n\t\tif len(group) == 0 || yes < need || (rooms && !away) {",
			New: "if len(group) == 0 || yes < 1 {"},
		{Guard: "the replica set before agrees as well", File: "proposer.go", Test: "TestReplicaSetsThatChangeOverlap/while_copies_move",
			Old: "len(o.config.Previous) > 0", New: "false"},
		{Guard: "a prepare finds what was accepted", File: "proposer.go", Env: allWalks, Test: walkTest("recover"), Want: ranTwice,
			Old: "c < 0 || (c == 0 && o.foundVersion < r.AcceptedVersion)", New: "c > 9"},
		{Guard: "what was found is accepted before it is told", File: "proposer.go", Test: "TestWhatIsFoundIsHeldBeforeItIsTold",
			Old: "o.propose(o.found, Recovering)", New: "o.propose(o.found, Recovering)\n\t\to.state, o.outcome = Established, o.found"},
		{Guard: "a process that may live may have sent", File: "proposer.go", Env: allWalks, Test: walkTest("doubt"),
			Want: "it ran, and somebody was told that it never did", Old: "proved := e.ProcessEndedFor > o.settings.EngineAbandonTime", New: "proved := true"},
		{Guard: "what a process has sent may arrive after its end", File: "proposer.go", Env: allWalks, Test: walkTest("abandon"),
			Want: "it ran after somebody was told that it never would", Old: "e.ProcessEndedFor > o.settings.EngineAbandonTime", New: "e.ProcessEndedFor > 0"},
	})
}
