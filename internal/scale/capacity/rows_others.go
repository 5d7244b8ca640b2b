package capacity

import "beechcart/internal/scale/record"

func otherRoleTables() []Table {
	return []Table{
		{Name: "database", Role: record.Database, Rows: databaseRows()},
		{Name: "change_log", Rows: changeLogRows()},
		{Name: "operator_tool", Role: record.ControlReplica, Rows: operatorRows()},
	}
}

func databaseRows() []Row {
	return []Row{
		{Label: "front ends that a database sees, the mean", Unit: Count, Mechanism: bySubset,
			Terms: one(perMember("front_ends_seen_count"))},
		{Label: "front ends that a database sees, the most", Unit: Count, Mechanism: bySubset,
			Terms: worst("front_ends_seen_most_count")},
		{Label: "probes at a database", Unit: PerSecond, Mechanism: bySubset,
			Terms: one(perMember("alone_probes_received_per_second"))},
	}
}

func changeLogRows() []Row {
	return []Row{
		{Label: "polls of all front ends at the change log", Unit: PerSecond, Mechanism: byList,
			Terms: one(level("change_log_idle_polls_per_second", allMembers))},
		{Label: "polls that bring nothing, bytes", Unit: BytesPerSecond, Mechanism: byList,
			Terms: one(level("change_log_idle_bytes_per_second", allMembers))},
		{Label: "one change at the change log", Unit: Bytes, Mechanism: byList, Terms: one(level("change_log_event_bytes",
			allMembers))},
		{Label: "all changes at the change log", Unit: BytesPerDay, Mechanism: byList,
			Terms: one(level("change_log_event_bytes", allMembers, changesPerDay))},
		{Label: "one change at Consul", Unit: Bytes, Mechanism: byList, Terms: one(perEngine("consul_list_bytes",
			allMembers))},
		{Label: "all changes at Consul", Unit: BytesPerDay, Mechanism: byList, Terms: one(perEngine("consul_list_bytes",
			allMembers, changesPerDay))},
		{Label: "one change at Consul, spread over the 4 s that it may take", Unit: BytesPerSecond, Mechanism: byList,
			Terms: one(perEngine("consul_list_bytes", allMembers, Factor{"a second, over 4 s", 1.0 / inForceSeconds}))},
	}
}

func operatorRows() []Row {
	return []Row{
		{Label: "status, nothing under way", Unit: Bytes, Mechanism: byAPI, Terms: one(grows("status_idle_bytes",
			record.InSum))},
		{Label: "status, a drain and a release under way", Unit: Bytes, Mechanism: byAPI,
			Terms: one(grows("status_busy_bytes", record.InSum))},
		{Label: "status at the replica, a drain and a release under way", Unit: CPUSeconds, Mechanism: byAPI,
			Terms: one(grows("status_busy_cpu_seconds", record.InSum))},
		{Label: "one command until its answer, all watching, a drain and a release under way", Unit: Seconds,
			Mechanism: byLog,
			Terms:     one(perMember("control_command_busy_latency_seconds"))},
	}
}
