package capacity

import "beechcart/internal/scale/record"

// The mechanisms that rows name, with their packages or files.
const (
	byGossip    = "gossip of all with all: internal/fleet"
	byCalls     = "watch and counts over HTTP: internal/fleet"
	byMember    = "internal/fleet"
	byLog       = "replicated log: internal/fleet"
	byMachine   = "state machine: decision/rollout"
	byAPI       = "HTTP calls of a replica: internal/fleet"
	byList      = "change log or Consul: internal/source"
	bySubset    = "updateSubset: admission/subset.go"
	bySessions  = "client sessions: internal/mysql"
	byStatement = "a statement's way: internal/mysql, internal/dispatch, internal/engine"
	byFiles     = "files, SIGHUP by hand: cmd/gateway/endpoints.go"
	byStart     = "start of a process: cmd/gateway/server.go"
	bySuspicion = "gossip, and the leader's periodic check: internal/fleet"
)

// The sources of budgets.
const (
	byOperators = "operators"
	byProject   = "docs/rollout.md"
)

// The budgets of a front end's control side.
var (
	bytesBudget   = Budget{Limit: memberBytesPerSecond, Source: byOperators}
	coresBudget   = Budget{Limit: memberCores, Source: byOperators}
	heapBudget    = Budget{Limit: memberBytes, Source: byOperators}
	inForceBudget = Budget{Limit: inForceSeconds, Source: byOperators}
	hearsAll      = Budget{Limit: planMembers, AtLeast: true, Source: byProject}
	zeroBudget    = Budget{Source: byOperators}
)

// grows returns the term of a quantity that grows by a law, multiplied by planning numbers.
func grows(quantity string, law record.Law, times ...Factor) Term {
	return Term{Quantity: quantity, Law: law, Times: times}
}

// perMember returns the term of a quantity that grows with the number of front ends.
func perMember(quantity string, times ...Factor) Term {
	return grows(quantity, record.InMembers, times...)
}

// perEngine returns the term of a quantity that grows with the number of databases.
func perEngine(quantity string, times ...Factor) Term {
	return grows(quantity, record.InEngines, times...)
}

// level returns the term of a quantity that is constant over all sizes.
func level(quantity string, times ...Factor) Term {
	return grows(quantity, record.Constant, times...)
}

// one returns the terms of a row that has a single term.
func one(term Term) []Term { return []Term{term} }

// worst returns the term for the greatest value of a quantity measured at the planning numbers.
func worst(quantity string) []Term { return one(Term{Quantity: quantity, Stat: Worst}) }

// least returns the term for the least value of a quantity measured at the planning numbers.
func least(quantity string) []Term { return one(Term{Quantity: quantity, Stat: Least}) }

// arithmetic returns the term for a product of planning numbers.
func arithmetic(times ...Factor) []Term { return one(Term{Times: times}) }

func frontEndTables(recordings []record.Recording) []Table {
	return []Table{
		{Name: "front_end", Rows: frontEndRows()},
		{Name: "clients", Role: record.FrontEnd, Rows: clientRows()},
		{Name: "gossip", Rows: gossipRows()},
		{Name: "storm", Role: record.FrontEnd, Rows: stormRows(recordings)},
		{Name: "lists", Rows: listRows()},
		{Name: "probes", Rows: probeRows()},
	}
}

func frontEndRows() []Row {
	sent, received := perMember("member_sent_bytes_per_second"), perMember("member_received_bytes_per_second")
	return []Row{
		{Label: "control traffic, sent and received", Unit: BytesPerSecond, Mechanism: byMember, Budget: bytesBudget,
			Terms: []Term{sent, received}},
		{Label: "of it sent", Unit: BytesPerSecond, Mechanism: byMember, Terms: one(sent)},
		{Label: "of it received", Unit: BytesPerSecond, Mechanism: byMember, Terms: one(received)},
		{Label: "of it gossip, both ways", Unit: BytesPerSecond, Mechanism: byGossip,
			Terms: []Term{perMember("member_gossip_sent_bytes_per_second"),
				perMember("member_gossip_received_bytes_per_second")}},
		{Label: "of it calls to control replicas, both ways", Unit: BytesPerSecond, Mechanism: byCalls,
			Terms: []Term{perMember("member_calls_sent_bytes_per_second"), perMember("member_calls_received_bytes_per_second")}},
		{Label: "control traffic and lists by the change log", Unit: BytesPerSecond, Mechanism: byMember + "; " + byList,
			Budget: bytesBudget,
			Terms: []Term{sent, received, level("change_log_idle_bytes_per_second"), level("change_log_event_bytes",
				changesPerSecond)}},
		{Label: "control traffic and lists by Consul, whole at each change", Unit: BytesPerSecond,
			Mechanism: byMember + "; " + byList, Budget: bytesBudget,
			Terms: []Term{sent, received, perEngine("consul_list_bytes", changesPerSecond)}},
		{Label: "control messages sent", Unit: PerSecond, Mechanism: byMember,
			Terms: one(perMember("member_messages_per_second"))},
		{Label: "processor time of control", Unit: Cores, Mechanism: byMember, Budget: coresBudget,
			Terms: one(perMember("member_cpu_cores"))},
		{Label: "processor time of control, and a whole list read at each change", Unit: Cores,
			Mechanism: byMember + "; " + byList, Budget: coresBudget,
			Terms: []Term{perMember("member_cpu_cores"), perEngine("list_read_cpu_seconds", changesPerSecond)}},
		{Label: "heap of control", Unit: Bytes, Mechanism: byMember, Budget: heapBudget,
			Terms: one(perMember("member_heap_bytes"))},
		{Label: "processor time without clients or fleet, list held", Unit: Cores, Mechanism: byList,
			Terms: one(perEngine("front_end_idle_cpu_cores"))},
		{Label: "resident memory without clients or fleet, list held", Unit: Bytes, Mechanism: byList,
			Terms: one(perEngine("front_end_idle_resident_bytes"))},
	}
}

// maxUnanswered is the share of statements that may end without rows. Runs with a larger share give no figure for
// the cost of statements.
const maxUnanswered = 0.01

func clientRows() []Row {
	unanswered := func(prefix string) Condition {
		return Condition{prefix + "_statements_unanswered_ratio", maxUnanswered, "of the statements ended without rows"}
	}
	rate := func(prefix string) Term {
		return Term{Quantity: prefix + "_cpu_cores", Law: record.InRate, Rate: statementsPerMember,
			Unless: unanswered(prefix)}
	}
	slope := func(quantity string, law record.Law) Term { return Term{Quantity: quantity, Law: law, Stat: Slope} }
	statement := slope("front_end_cpu_cores", record.InRate)
	statement.Unless = unanswered("front_end")
	byLength := perEngine("front_end_by_list_statement_cpu_seconds")
	byLength.Unless = unanswered("front_end_by_list")
	loaded := Term{Quantity: "front_end_loaded_resident_bytes", Stat: Worst, Unless: unanswered("front_end")}
	return []Row{
		{Label: "resident memory of one session", Unit: Bytes, Mechanism: bySessions,
			Terms: one(slope("front_end_session_resident_bytes", record.InSession))},
		{Label: "resident memory with all sessions idle", Unit: Bytes, Mechanism: bySessions,
			Terms: one(grows("front_end_session_resident_bytes", record.InSession))},
		{Label: "resident memory with all sessions, after statements", Unit: Bytes, Mechanism: byStatement,
			Terms: one(loaded)},
		{Label: "processor time of one statement", Unit: CPUSeconds, Mechanism: byStatement, Terms: one(statement)},
		{Label: "processor time of all statements of a front end", Unit: Cores, Mechanism: byStatement,
			Terms: one(rate("front_end"))},
		{Label: "the same where connections to databases serve again", Unit: Cores, Mechanism: byStatement,
			Terms: one(rate("front_end_reuse"))},
		{Label: "processor time of one statement, by the length of the list", Unit: CPUSeconds, Mechanism: byStatement,
			Terms: one(byLength)},
		{Label: "statements that ended without rows, the worst rate", Unit: Share, Mechanism: byStatement,
			Terms: worst("front_end_statements_unanswered_ratio")},
		{Label: "processor time of one login", Unit: CPUSeconds, Mechanism: bySessions,
			Terms: one(slope("front_end_login_cpu_cores", record.InRate))},
		{Label: "all sessions of a front end logging in again", Unit: CPUSeconds, Mechanism: bySessions,
			Terms: one(Term{Quantity: "front_end_login_cpu_cores", Law: record.InRate, Stat: Slope, Times: []Factor{sessions}})},
	}
}

func listRows() []Row {
	return []Row{
		{Label: "whole list from the change log", Unit: Bytes, Mechanism: byList,
			Terms: one(perEngine("change_log_list_bytes"))},
		{Label: "one change from the change log", Unit: Bytes, Mechanism: byList,
			Terms: one(level("change_log_event_bytes"))},
		{Label: "whole list from Consul: each change", Unit: Bytes, Mechanism: byList,
			Terms: one(perEngine("consul_list_bytes"))},
		{Label: "a front end, change log, changes alone", Unit: BytesPerDay, Mechanism: byList,
			Terms: one(level("change_log_event_bytes", changesPerDay))},
		{Label: "a front end, change log, polls that bring nothing", Unit: BytesPerSecond, Mechanism: byList,
			Terms: one(level("change_log_idle_bytes_per_second"))},
		{Label: "a front end, Consul", Unit: BytesPerDay, Mechanism: byList, Terms: one(perEngine("consul_list_bytes",
			changesPerDay))},
		{Label: "a front end, Consul, over the day", Unit: BytesPerSecond, Mechanism: byList, Budget: bytesBudget,
			Terms: one(perEngine("consul_list_bytes", changesPerSecond))},
		{Label: "reading a whole list at a front end", Unit: CPUSeconds, Mechanism: byList,
			Terms: one(perEngine("list_read_cpu_seconds"))},
		{Label: "reading one change at a front end", Unit: CPUSeconds, Mechanism: byList,
			Terms: one(perEngine("list_event_cpu_seconds"))},
	}
}

func probeRows() []Row {
	return []Row{
		{Label: "pairs of a front end and a database", Unit: Count, Mechanism: bySubset,
			Terms: arithmetic(allMembers, Factor{"databases", planEngines})},
		{Label: "databases that a front end sends to, the mean", Unit: Count, Mechanism: bySubset,
			Terms: one(perEngine("databases_sent_to_count"))},
		{Label: "databases that a front end probes, the mean", Unit: Count, Mechanism: bySubset,
			Terms: one(perEngine("databases_probed_count"))},
		{Label: "databases that a front end speaks to, the mean", Unit: Count, Mechanism: bySubset,
			Terms: one(perEngine("databases_spoken_to_count"))},
		{Label: "databases that a front end speaks to, the most", Unit: Count, Mechanism: bySubset,
			Terms: worst("databases_spoken_to_most_count")},
		{Label: "pairs that speak, in the fleet", Unit: Count, Mechanism: bySubset,
			Terms: one(perEngine("databases_spoken_to_count", allMembers))},
		{Label: "probes that a front end sends", Unit: PerSecond, Mechanism: bySubset,
			Terms: one(perEngine("alone_probes_sent_per_second"))},
		{Label: "statements of a front end that run at once, the most", Unit: Count, Mechanism: bySubset,
			Terms: worst("alone_statements_out_most_count")},
		{Label: "connections to one database that a front end keeps, the most", Unit: Count, Mechanism: "decision/reuse",
			Terms: worst("database_connections_kept_most_count")},
	}
}
