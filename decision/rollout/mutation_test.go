package rollout

import (
	"testing"

	"beechcart/internal/mutation"
)

// Each guard is necessary: without the guard, random fleets violate the invariant of its number, or the named test
// fails.
func TestMutationsAreFound(t *testing.T) {
	mutations := []mutation.Mutation{
		{
			Guard: "an older list of engines is rejected", File: "drain.go",
			Old: "known != nil && engine.Process < known.Process", New: "false",
			Test: "TestOlderListOfEnginesIsRejected",
		},
		{
			Guard: "a drain waits for queries of a terminated process", File: "drain.go",
			Old:  "left := m.abandonedQueryTimeLeft(member.ChangedAt); left > 0",
			New:  "left := m.abandonedQueryTimeLeft(member.ChangedAt); false",
			Test: "TestQueriesOfATerminatedProcessAreWaitedFor",
		},
	}
	for _, g := range guards {
		mutations = append(mutations, mutation.Mutation{
			Guard: g.name, File: g.file, Old: g.text, New: g.replacement,
			Test: "TestRandomFleets", Env: []string{seedsVariable + "=60"},
			Want: `seed \d+: step \d+: ` + g.invariant + ": ",
		})
	}
	mutation.Run(t, mutations)
}

// guard is source text that an invariant depends on, and the text that replaces it in a mutation.
type guard struct {
	name, file, text, replacement string
	invariant                     string // number of the invariant in doc.go
}

var guards = []guard{
	{
		"a repeated command is not executed again", "machine.go",
		`repeated && command.ID != ""`, `repeated && command.ID != "" && false`, "8",
	},
	{
		"an older report of a member is rejected", "member.go",
		"\tif stale {", "\tif stale && false {", "5",
	},
	{
		"a drain of a front end is checked against the budget", "drain.go",
		"rejected := m.memberUsage(m.Settings.FrontEnds).check(m.memberUnit(member))",
		"var rejected *RejectedError", "1",
	},
	{
		"a drain of an engine is checked against the budget", "drain.go",
		"rejected := m.engineUsage().check(m.engineUnit(engine))",
		"var rejected *RejectedError", "1",
	},
	{
		"a release is checked against the budget", "wave.go",
		"usage.check(u) != nil", "false", "1",
	},
	{
		"an activation is checked against the budget", "permit.go",
		"rejected != nil {\n\t\tif permit.ActivatedAt == 0", "false {\n\t\tif permit.ActivatedAt == 0", "1",
	},
	{
		"the budget of a zone is checked", "budget.go",
		`{"room " + u.zone, *b.zones[u.zone], b.budget.ZoneMax, b.budget.ZoneMaxShare},`, "", "1",
	},
	{
		"the rest must carry the load after one more loss", "budget.go",
		"left-largest < needed", "false", "1",
	},
	{
		"permit numbers only grow", "permit.go",
		"permit.Number, permit.GrantedAt = m.LastPermit, m.Now", `permit.Number, permit.GrantedAt = 1, m.Now
	for m.Permits[permit.Number] != nil {
		permit.Number++
	}`, "2",
	},
	{
		"a permit belongs to one process", "permit.go",
		"permit.Incarnation != reference.Incarnation || member.Incarnation != reference.Incarnation", "false", "2",
	},
	{
		"a halt revokes inactive permits", "release.go",
		"cause, 0\n\tm.revokePermits(release)", "cause, 0", "4",
	},
	{
		"a rollback revokes inactive permits", "release.go",
		"true, 0, \"\"\n\tm.revokePermits(release)", "true, 0, \"\"", "9",
	},
	{
		"no permit of a halted release is activated", "permit.go",
		"!m.releaseIsRunning(permit.Release)", "false", "4",
	},
	{
		"a halt waits for members that were told to shut down", "wave.go",
		"release.State == Halting && len(m.pendingShutdowns(release)) == 0", "release.State == Halting", "4",
	},
	{
		"a report of the same process does not end a permit", "member.go",
		"member.Incarnation <= permit.Incarnation || ", "", "3",
	},
	{
		"one release is active at a time", "release.go",
		"active := m.Release; active.active()", "active := m.Release; active.active() && false", "7",
	},
	{
		"a drain report of an older process is rejected", "drain.go",
		"member.Incarnation != report.Incarnation", "false", "6",
	},
	{
		"a drain waits for a suspected front end", "drain.go",
		"permit.DrainedBy[member.Name] == member.Incarnation",
		"member.Suspected || permit.DrainedBy[member.Name] == member.Incarnation", "6",
	},
	{
		"a drain waits for queries of an earlier process", "drain.go",
		"member.PreviousEndedAt > 0 && left > 0", "false", "6",
	},
	{
		"a suspected front end counts as unavailable", "budget.go",
		"member.isServing() && ", "member.Phase == Serving && ", "1",
	},
	{
		"only a newer process of an engine ends its drain", "drain.go",
		" && engine.Process > permit.Incarnation", "", "3",
	},
	{
		"a report of a removed process is rejected", "member.go",
		"removed && report.Incarnation <= last", "removed && false", "5",
	},
	{
		"a health window is counted once", "analysis.go",
		"health.Window <= release.Window", "false", "5",
	},
	{
		"a wave waits for its unfinished members", "wave.go",
		"len(m.unfinishedMembers(release)) > 0", "false", "9",
	},
}
