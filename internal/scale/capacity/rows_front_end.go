package capacity

import "beechcart/internal/scale/record"

// The mechanisms of the control side, with their packages or files.
const (
	byGossip    = "gossip of all with all: internal/fleet"
	byCalls     = "watch and counts over HTTP: internal/fleet"
	byMember    = "internal/fleet"
	byLog       = "replicated log: internal/fleet"
	byMachine   = "state machine: decision/rollout"
	byHandler   = "HTTP calls of a replica: internal/fleet"
	byList      = "change log or Consul: internal/source"
	bySubset    = "updateSubset: admission/subset.go"
	bySessions  = "client sessions: internal/mysql"
	byExchange  = "a statement's way: internal/mysql, internal/dispatch, internal/engine"
	byFiles     = "files, SIGHUP by hand: cmd/gateway/endpoints.go"
	byStart     = "start of a process: cmd/gateway/server.go"
	bySuspicion = "gossip, and the leader's periodic check: internal/fleet"
)

// Who set a budget.
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
	noneBudget    = Budget{Source: byOperators}
)

// grows is a quantity with a law, times planning numbers.
func grows(quantity string, law record.Law, times ...Factor) Term {
	return Term{Quantity: quantity, Law: law, Times: times}
}

// perMember is a quantity that grows with the number of front ends.
func perMember(quantity string, times ...Factor) Term {
	return grows(quantity, record.InMembers, times...)
}

// perEngine is a quantity that grows with the number of databases.
func perEngine(quantity string, times ...Factor) Term {
	return grows(quantity, record.InEngines, times...)
}

// level is a quantity that grows with nothing.
func level(quantity string, times ...Factor) Term {
	return grows(quantity, record.Constant, times...)
}

// one is the terms of a row that is made of a single quantity.
func one(term Term) []Term { return []Term{term} }

// worst is the greatest value of a quantity that was measured at the planning numbers.
func worst(quantity string) []Term { return one(Term{Quantity: quantity, Take: Worst}) }

// least is the least value of a quantity that was measured at the planning numbers.
func least(quantity string) []Term { return one(Term{Quantity: quantity, Take: Least}) }

// arithmetic is a product of planning numbers.
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
		{What: "control traffic, sent and received", Unit: BytesPerSecond, Mechanism: byMember, Budget: bytesBudget,
			Terms: []Term{sent, received}},
		{What: "of it sent", Unit: BytesPerSecond, Mechanism: byMember, Terms: one(sent)},
		{What: "of it received", Unit: BytesPerSecond, Mechanism: byMember, Terms: one(received)},
		{What: "of it gossip, both ways", Unit: BytesPerSecond, Mechanism: byGossip,
			Terms: []Term{perMember("member_gossip_sent_bytes_per_second"),
				perMember("member_gossip_received_bytes_per_second")}},
		{What: "of it calls to control replicas, both ways", Unit: BytesPerSecond, Mechanism: byCalls,
			Terms: []Term{perMember("member_calls_sent_bytes_per_second"), perMember("member_calls_received_bytes_per_second")}},
		{What: "control traffic and lists by the change log", Unit: BytesPerSecond, Mechanism: byMember + "; " + byList,
			Budget: bytesBudget,
			Terms: []Term{sent, received, level("change_log_idle_bytes_per_second"), level("change_log_event_bytes",
				changesPerSecond)}},
		{What: "control traffic and lists by Consul, whole at each change", Unit: BytesPerSecond,
			Mechanism: byMember + "; " + byList, Budget: bytesBudget,
			Terms: []Term{sent, received, perEngine("consul_list_bytes", changesPerSecond)}},
		{What: "control messages sent", Unit: PerSecond, Mechanism: byMember,
			Terms: one(perMember("member_messages_per_second"))},
		{What: "processor time of control", Unit: Cores, Mechanism: byMember, Budget: coresBudget,
			Terms: one(perMember("member_cpu_cores"))},
		{What: "processor time of control, and a whole list read at each change", Unit: Cores,
			Mechanism: byMember + "; " + byList, Budget: coresBudget,
			Terms: []Term{perMember("member_cpu_cores"), perEngine("list_read_cpu_seconds", changesPerSecond)}},
		{What: "heap of control", Unit: Bytes, Mechanism: byMember, Budget: heapBudget,
			Terms: one(perMember("member_heap_bytes"))},
		{What: "processor time without clients or fleet, list held", Unit: Cores, Mechanism: byList,
			Terms: one(perEngine("front_end_idle_cpu_cores"))},
		{What: "resident memory without clients or fleet, list held", Unit: Bytes, Mechanism: byList,
			Terms: one(perEngine("front_end_idle_resident_bytes"))},
	}
}

// mostUnanswered is the share of statements that may end without rows in a run that says something of their cost.
const mostUnanswered = 0.01

func clientRows() []Row {
	unanswered := func(prefix string) Condition {
		return Condition{prefix + "_statements_unanswered_ratio", mostUnanswered, "of the statements ended without rows"}
	}
	rate := func(prefix string) Term {
		return Term{Quantity: prefix + "_cpu_cores", Law: record.InRate, Rate: statementsPerMember,
			Unless: unanswered(prefix)}
	}
	slope := func(quantity string, law record.Law) Term { return Term{Quantity: quantity, Law: law, Take: Slope} }
	statement := slope("front_end_cpu_cores", record.InRate)
	statement.Unless = unanswered("front_end")
	byLength := perEngine("front_end_by_list_statement_cpu_seconds")
	byLength.Unless = unanswered("front_end_by_list")
	loaded := Term{Quantity: "front_end_loaded_resident_bytes", Take: Worst, Unless: unanswered("front_end")}
	return []Row{
		{What: "resident memory of one session", Unit: Bytes, Mechanism: bySessions,
			Terms: one(slope("front_end_session_resident_bytes", record.InSession))},
		{What: "resident memory with all sessions idle", Unit: Bytes, Mechanism: bySessions,
			Terms: one(grows("front_end_session_resident_bytes", record.InSession))},
		{What: "resident memory with all sessions, after statements", Unit: Bytes, Mechanism: byExchange, Terms: one(loaded)},
		{What: "processor time of one statement", Unit: CPUSeconds, Mechanism: byExchange, Terms: one(statement)},
		{What: "processor time of all statements of a front end", Unit: Cores, Mechanism: byExchange,
			Terms: one(rate("front_end"))},
		{What: "the same where connections to databases serve again", Unit: Cores, Mechanism: byExchange,
			Terms: one(rate("front_end_reuse"))},
		{What: "processor time of one statement, by the length of the list", Unit: CPUSeconds, Mechanism: byExchange,
			Terms: one(byLength)},
		{What: "statements that ended without rows, the worst rate", Unit: Share, Mechanism: byExchange,
			Terms: worst("front_end_statements_unanswered_ratio")},
		{What: "processor time of one login", Unit: CPUSeconds, Mechanism: bySessions,
			Terms: one(slope("front_end_login_cpu_cores", record.InRate))},
		{What: "all sessions of a front end logging in again", Unit: CPUSeconds, Mechanism: bySessions,
			Terms: one(Term{Quantity: "front_end_login_cpu_cores", Law: record.InRate, Take: Slope, Times: []Factor{sessions}})},
	}
}

func listRows() []Row {
	return []Row{
		{What: "whole list from the change log", Unit: Bytes, Mechanism: byList,
			Terms: one(perEngine("change_log_list_bytes"))},
		{What: "one change from the change log", Unit: Bytes, Mechanism: byList, Terms: one(level("change_log_event_bytes"))},
		{What: "whole list from Consul: each change", Unit: Bytes, Mechanism: byList,
			Terms: one(perEngine("consul_list_bytes"))},
		{What: "a front end, change log, changes alone", Unit: BytesPerDay, Mechanism: byList,
			Terms: one(level("change_log_event_bytes", changesPerDay))},
		{What: "a front end, change log, polls that bring nothing", Unit: BytesPerSecond, Mechanism: byList,
			Terms: one(level("change_log_idle_bytes_per_second"))},
		{What: "a front end, Consul", Unit: BytesPerDay, Mechanism: byList, Terms: one(perEngine("consul_list_bytes",
			changesPerDay))},
		{What: "a front end, Consul, over the day", Unit: BytesPerSecond, Mechanism: byList, Budget: bytesBudget,
			Terms: one(perEngine("consul_list_bytes", changesPerSecond))},
		{What: "reading a whole list at a front end", Unit: CPUSeconds, Mechanism: byList,
			Terms: one(perEngine("list_read_cpu_seconds"))},
		{What: "reading one change at a front end", Unit: CPUSeconds, Mechanism: byList,
			Terms: one(perEngine("list_event_cpu_seconds"))},
	}
}

func probeRows() []Row {
	return []Row{
		{What: "pairs of a front end and a database", Unit: Count, Mechanism: bySubset,
			Terms: arithmetic(allMembers, Factor{"databases", planEngines})},
		{What: "databases that a front end sends to, the mean", Unit: Count, Mechanism: bySubset,
			Terms: one(perEngine("databases_sent_to_count"))},
		{What: "databases that a front end probes, the mean", Unit: Count, Mechanism: bySubset,
			Terms: one(perEngine("databases_probed_count"))},
		{What: "databases that a front end speaks to, the mean", Unit: Count, Mechanism: bySubset,
			Terms: one(perEngine("databases_spoken_to_count"))},
		{What: "databases that a front end speaks to, the most", Unit: Count, Mechanism: bySubset,
			Terms: worst("databases_spoken_to_most_count")},
		{What: "pairs that speak, in the fleet", Unit: Count, Mechanism: bySubset,
			Terms: one(perEngine("databases_spoken_to_count", allMembers))},
		{What: "probes that a front end sends", Unit: PerSecond, Mechanism: bySubset,
			Terms: one(perEngine("alone_probes_sent_per_second"))},
		{What: "statements of a front end that run at once, the most", Unit: Count, Mechanism: bySubset,
			Terms: worst("alone_statements_out_most_count")},
		{What: "connections to one database that a front end keeps, the most", Unit: Count, Mechanism: "decision/reuse",
			Terms: worst("database_connections_kept_most_count")},
	}
}
