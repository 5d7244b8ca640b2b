package execution

import (
	"testing"

	"beechcart/internal/mutation"
)

// walkTest is the test of one small world, by its name.
func walkTest(world string) string { return "TestWalksOfSmallWorlds/" + world }

const (
	ranTwice           = "it ran twice"
	ranAfterNeverRan   = "it ran after somebody was told that it never would"
	ranAndToldNeverRan = "it ran, and somebody was told that it never did"
)

// allWalks are the walks of a world on a mutated copy.
var allWalks = []string{walksVariable + "=30000"}

// Each guard is needed: without it some walk, or the test that is named, breaks a promise.
func TestMutationsAreFound(t *testing.T) {
	mutation.Run(t, append(replicaMutations, proposerMutations...))
}

var replicaMutations = []mutation.Mutation{
	{
		Guard: "an accept of a lower ballot is rejected",
		File:  "replica.go",
		Old: `	case message.Ballot.Compare(record.Promised) < 0:
		reply.Reason, reply.Promised = Fenced, record.Promised
		return reply`,
		New:  "\tcase false:",
		Test: walkTest("fence"), Env: allWalks, Want: ranTwice,
	},
	{
		Guard: "a prepare of a lower ballot is rejected",
		File:  "replica.go",
		Old: `	case message.Ballot.Compare(record.Promised) < 0:
		reply.Reason, reply.Promised = Fenced, record.Promised
	default:`,
		New:  "\tdefault:",
		Test: walkTest("prepare"), Env: allWalks, Want: ranTwice,
	},
	{
		Guard: "a prepare for another statement is rejected",
		File:  "replica.go",
		Old: `	case record.StatementDigest != message.StatementDigest:
		reply.Reason = OtherStatement
	case`,
		New:  "\tcase",
		Test: "TestIDBelongsToOneStatement",
	},
	{
		Guard: "a message under an earlier configuration is rejected",
		File:  "replica.go",
		Old:   "number < r.configNumber",
		New:   "false",
		Test:  "TestReplicaSetsThatChangeOverlap/once_it_has_moved",
	},
	{
		Guard: "a replica that is not bootstrapped does not count",
		File:  "replica.go",
		Old:   "!r.bootstrapped",
		New:   "false",
		Test:  walkTest("bootstrap"), Env: allWalks, Want: ranTwice,
	},
	{
		Guard: "a final outcome is retained",
		File:  "replica.go",
		Old:   "now-record.WrittenAt > r.settings.Retention",
		New:   "now-record.WrittenAt > 0",
		Test:  walkTest("retention"), Env: allWalks, Want: ranTwice,
	},
}

var proposerMutations = []mutation.Mutation{
	{
		Guard: "a majority agrees, one of it in another zone",
		File:  "proposer.go",
		Old: `	if len(replicas) == 0 || acknowledged < majority(len(replicas)) {
		return false
	}
	return elsewhere || !anyElsewhere`,
		New:  "\treturn acknowledged > 0",
		Test: walkTest("majority"), Env: allWalks, Want: ranTwice,
	},
	{
		Guard: "the previous replica set agrees as well",
		File:  "proposer.go",
		Old:   "len(p.config.Previous) > 0",
		New:   "false",
		Test:  "TestReplicaSetsThatChangeOverlap/while_a_replica_moves",
	},
	{
		Guard: "a prepare finds what was accepted",
		File:  "proposer.go",
		Old:   "p.found, p.foundBallot, p.foundVersion = reply.Outcome, reply.Accepted, reply.AcceptedVersion",
		New:   "",
		Test:  walkTest("recover"), Env: allWalks, Want: ranTwice,
	},
	{
		Guard: "what was found is accepted before it is told",
		File:  "proposer.go",
		Old:   "p.propose(p.found, Recovering)",
		New:   "p.propose(p.found, Recovering)\n\t\tp.state, p.outcome = Established, p.found",
		Test:  "TestWhatIsFoundIsAcceptedBeforeItIsTold",
	},
	{
		Guard: "a process that may still run may have sent",
		File:  "proposer.go",
		Old:   "abandoned := evidence.ProcessEndedFor > p.settings.EngineAbandonTime",
		New:   "abandoned := true",
		Test:  walkTest("doubt"), Env: allWalks, Want: ranAndToldNeverRan,
	},
	{
		Guard: "what a process has sent may arrive after its end",
		File:  "proposer.go",
		Old:   "evidence.ProcessEndedFor > p.settings.EngineAbandonTime",
		New:   "evidence.ProcessEndedFor > 0",
		Test:  walkTest("abandon"), Env: allWalks, Want: ranAfterNeverRan,
	},
}
