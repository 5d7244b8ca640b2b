package capacity

import (
	"slices"
	"strings"

	"beechcart/internal/scale/record"
)

// Lead is a suspected bottleneck of issue 29, with the rows that confirm it or rule it out.
type Lead struct {
	Suspicion string
	Table     string
	Rows      []string // by Row.Label; none: all rows of the table that have a budget
}

// leads returns the leads in the order of issue 29.
func leads() []Lead {
	return []Lead{
		{"gossip and calls cost more than the budgets in a quiet minute", "front_end",
			[]string{"control traffic, sent and received", "processor time of control", "heap of control"}},
		{"some members do not hear of all in a quiet minute", "gossip",
			[]string{"front ends that each one hears of, the least"}},
		{"a pause of many members starts a storm that costs more than the budgets", "storm", nil},
		{"nothing carries a change of configuration within 4 s", "configuration",
			[]string{"a change of configuration in force at all front ends"}},
		{"a drain is not in force at all front ends within 4 s", "configuration",
			[]string{"a database's drain in force at the last front end"}},
		{"a change of primary takes longer than 6 s", "configuration",
			[]string{"a change of primary: from the kill of the log's leader until a drain is in force at the last front end"}},
		{"whole lists cost a front end more than its budget", "lists", []string{"a front end, Consul, over the day"}},
		{"the change log's polls and changes cost a front end more than its budget, with the rest of control", "front_end",
			[]string{"control traffic and lists by the change log"}},
		{"front ends and databases speak in 575,100 pairs", "probes", []string{"pairs that speak, in the fleet"}},
		{"a release costs a front end more than its budget", "release",
			[]string{"control traffic of a front end during a release, sent and received"}},
		{"watches weigh on the leader", "watches", []string{"all watches at one replica, nothing happens",
			"one command, all watching this replica"}},
		{"the state's JSON weighs on the leader", "control_replica",
			[]string{"state as JSON, a drain and a release under way", "writing a snapshot, under the lock of the state"}},
		{"sessions and statements leave nothing for control", "clients",
			[]string{"resident memory with all sessions idle", "processor time of all statements of a front end"}},
		{"a dead front end is noticed later than 2.5 s", "gossip", []string{"a dead front end counts as out, at the least",
			"a dead front end is noticed"}},
		{"a stopped one, or a one-way link, is noticed late", "gossip", []string{"a stopped front end is noticed",
			"a one-way link is noticed"}},
	}
}

// renderLeads renders the table of leads with the finding of each lead.
func renderLeads(tables []Table, recordings []record.Recording) string {
	var lines [][]string
	for _, l := range leads() {
		finding, values := l.finding(tables, recordings)
		lines = append(lines, []string{l.Suspicion, finding, l.Table, strings.Join(values, "; ")})
	}
	return markdown([]string{"lead", "finding", "table", "by"}, lines)
}

// finding returns the finding on a lead and the values of its rows. A missed budget confirms a lead. If all budgets are
// kept, the lead is ruled out.
func (l Lead) finding(tables []Table, recordings []record.Recording) (finding string, values []string) {
	var verdicts []Verdict
	measuredMiss := false
	for _, r := range l.rows(tables) {
		f := r.evaluate(recordings)
		j := r.judge(f)
		verdicts = append(verdicts, j.Verdict)
		if j.Verdict == CannotBeDone {
			values = append(values, r.Label+": "+r.Blocker)
			continue
		}
		measuredMiss = measuredMiss || (j.Verdict == Missed && len(r.Quantities()) > 0)
		values = append(values, r.Label+": "+r.value(f))
	}
	switch {
	case slices.Contains(verdicts, CannotBeDone), measuredMiss:
		return "confirmed", values
	case slices.Contains(verdicts, Missed):
		return "confirmed by arithmetic, not measured", values
	case slices.Contains(verdicts, NotMeasured):
		return "not measured", values
	case slices.Contains(verdicts, Within):
		return "ruled out", values
	}
	return "recorded; no budget is set", values
}

// rows returns the rows that a lead names.
func (l Lead) rows(tables []Table) (rows []Row) {
	for _, t := range tables {
		for _, r := range t.Rows {
			named := slices.Contains(l.Rows, r.Label) || (len(l.Rows) == 0 && r.Budget != Budget{})
			if t.Name == l.Table && named {
				rows = append(rows, r)
			}
		}
	}
	return rows
}
