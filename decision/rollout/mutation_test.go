package rollout

import (
	"testing"

	"beechcart/internal/mutation"
)

// Each guard is needed: without it random fleets break the invariant of that number, or the test that is named fails.
func TestMutationsAreFound(t *testing.T) {
	mutations := []mutation.Mutation{
		{
			Guard: "an older list of engines is rejected", File: "drain.go",
			Old: "known != nil && engine.Process < known.Process", New: "false",
			Test: "TestOlderListOfEnginesIsRejected",
		},
		{
			Guard: "queries of a process that has ended are waited for", File: "drain.go",
			Old:  "left := m.abandonedQueriesLeft(member.ChangedAt); left > 0",
			New:  "left := m.abandonedQueriesLeft(member.ChangedAt); false",
			Test: "TestQueriesOfATerminatedProcessAreWaitedFor",
		},
	}
	for _, g := range guards {
		mutations = append(mutations, mutation.Mutation{
			Guard: g.name, File: g.file, Old: g.text, New: g.without,
			Test: "TestRandomFleets", Env: []string{seedsVariable + "=60"},
			Want: `seed \d+: step \d+: ` + g.invariant + ": ",
		})
	}
	mutation.Run(t, mutations)
}

// guard is a piece of source text that keeps an invariant, and what stands in its place where it is left out.
type guard struct {
	name, file, text, without string
	invariant                 string // by its number in doc.go
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
		"a drain of a front end keeps to the budget", "drain.go",
		"rejected := m.memberUsage(m.Settings.FrontEnds).check(m.memberUnit(member))",
		"var rejected *RejectedError", "1",
	},
	{
		"a drain of an engine keeps to the budget", "drain.go",
		"rejected := m.engineUsage().check(m.engineUnit(engine))",
		"var rejected *RejectedError", "1",
	},
	{
		"a release keeps to the budget", "wave.go",
		"usage.check(u) != nil", "false", "1",
	},
	{
		"an activation keeps to the budget", "permit.go",
		"rejected != nil {\n\t\tif permit.ActivatedAt == 0", "false {\n\t\tif permit.ActivatedAt == 0", "1",
	},
	{
		"the budget of a zone holds", "budget.go",
		`{"room " + u.zone, *b.zones[u.zone], b.budget.ZoneMax, b.budget.ZoneMaxShare},`, "", "1",
	},
	{
		"the load is carried with one more loss", "budget.go",
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
		"a permit is that of one process", "permit.go",
		"permit.Incarnation != reference.Incarnation || member.Incarnation != reference.Incarnation", "false", "2",
	},
	{
		"a halt revokes what is not active", "release.go",
		"cause, 0\n\tm.revokePermits(release)", "cause, 0", "4",
	},
	{
		"a rollback revokes what is not active", "release.go",
		"true, 0, \"\"\n\tm.revokePermits(release)", "true, 0, \"\"", "9",
	},
	{
		"nothing is activated for a halted release", "permit.go",
		"!m.releaseIsRunning(permit.Release)", "false", "4",
	},
	{
		"a halt waits for those that were told to shut down", "wave.go",
		"release.State == Halting && len(m.pendingShutdowns(release)) == 0", "release.State == Halting", "4",
	},
	{
		"the same process proves nothing", "member.go",
		"member.Incarnation <= permit.Incarnation || ", "", "3",
	},
	{
		"one release is active at a time", "release.go",
		"active := m.Release; active.active()", "active := m.Release; active.active() && false", "7",
	},
	{
		"an older process does not report an engine drained", "drain.go",
		"member.Incarnation != report.Incarnation", "false", "6",
	},
	{
		"a suspected front end is waited for", "drain.go",
		"permit.DrainedBy[member.Name] == member.Incarnation",
		"member.Suspected || permit.DrainedBy[member.Name] == member.Incarnation", "6",
	},
	{
		"queries of an earlier process are waited for", "drain.go",
		"member.PreviousEndedAt > 0 && left > 0", "false", "6",
	},
	{
		"a suspected front end is unavailable", "budget.go",
		"member.isServing() && ", "member.Phase == Serving && ", "1",
	},
	{
		"only a newer process of an engine ends its drain", "drain.go",
		" && engine.Process > permit.Incarnation", "", "3",
	},
	{
		"a process that was removed does not come back", "member.go",
		"removed && report.Incarnation <= last", "removed && false", "5",
	},
	{
		"a window counts once", "analysis.go",
		"health.Window <= release.Window", "false", "5",
	},
	{
		"a wave waits for its members", "wave.go",
		"len(m.unfinishedMembers(release)) > 0", "false", "9",
	},
}
