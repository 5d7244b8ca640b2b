package execution

import (
	"testing"

	"beechcart/internal/mutation"
)

// walkTest returns the name of the test of a small world.
func walkTest(world string) string { return "TestWalksOfSmallWorlds/" + world }

const (
	ranTwice           = "the request ran twice"
	ranAfterNeverRan   = "the request ran after a client was told that it never ran"
	ranAndToldNeverRan = "the request ran, and a client was told that it never ran"
)

// walksEnv sets the number of walks of each small world on a mutated copy.
var walksEnv = []string{walksVariable + "=30000"}

// Each guard is needed: without the guard, a walk or the named test fails.
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
		Test: walkTest("fence"), Env: walksEnv, Want: ranTwice,
	},
	{
		Guard: "a prepare of a lower ballot is rejected",
		File:  "replica.go",
		Old: `	case message.Ballot.Compare(record.Promised) < 0:
		reply.Reason, reply.Promised = Fenced, record.Promised
	default:`,
		New:  "\tdefault:",
		Test: walkTest("prepare"), Env: walksEnv, Want: ranTwice,
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
		Test:  "TestChangingReplicaSetsOverlap/after_the_replica_has_moved",
	},
	{
		Guard: "a replica that is not bootstrapped does not count",
		File:  "replica.go",
		Old:   "!r.bootstrapped",
		New:   "false",
		Test:  walkTest("bootstrap"), Env: walksEnv, Want: ranTwice,
	},
	{
		Guard: "a final outcome is retained",
		File:  "replica.go",
		Old:   "now-record.WrittenAt > r.settings.Retention",
		New:   "now-record.WrittenAt > 0",
		Test:  walkTest("retention"), Env: walksEnv, Want: ranTwice,
	},
}

var proposerMutations = []mutation.Mutation{
	{
		Guard: "a majority acknowledges, including a replica in another zone",
		File:  "proposer.go",
		Old: `	if len(replicas) == 0 || acknowledged < majority(len(replicas)) {
		return false
	}
	return acknowledgedInOtherZone || !hasOtherZone`,
		New:  "\treturn acknowledged > 0",
		Test: walkTest("majority"), Env: walksEnv, Want: ranTwice,
	},
	{
		Guard: "a majority of the previous replica set acknowledges as well",
		File:  "proposer.go",
		Old:   "len(p.config.Previous) > 0",
		New:   "false",
		Test:  "TestChangingReplicaSetsOverlap/while_a_replica_moves",
	},
	{
		Guard: "a prepare finds the accepted outcome",
		File:  "proposer.go",
		Old:   "p.found, p.foundBallot, p.foundVersion = reply.Outcome, reply.Accepted, reply.AcceptedVersion",
		New:   "",
		Test:  walkTest("recover"), Env: walksEnv, Want: ranTwice,
	},
	{
		Guard: "a found outcome is accepted by a majority before a client is answered",
		File:  "proposer.go",
		Old:   "p.propose(p.found, Recovering)",
		New:   "p.propose(p.found, Recovering)\n\t\tp.state, p.outcome = Established, p.found",
		Test:  "TestFoundOutcomeIsAcceptedBeforeAnswer",
	},
	{
		Guard: "the attempt of a process that may still run stays in doubt",
		File:  "proposer.go",
		Old:   "abandoned := evidence.ProcessEndedFor > p.settings.EngineAbandonTime",
		New:   "abandoned := true",
		Test:  walkTest("doubt"), Env: walksEnv, Want: ranAndToldNeverRan,
	},
	{
		Guard: "an attempt may arrive after the end of its process",
		File:  "proposer.go",
		Old:   "evidence.ProcessEndedFor > p.settings.EngineAbandonTime",
		New:   "evidence.ProcessEndedFor > 0",
		Test:  walkTest("abandon"), Env: walksEnv, Want: ranAfterNeverRan,
	},
}
