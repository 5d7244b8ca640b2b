package capacity

import "beechcart/internal/scale/record"

// commandsPerRestart is the number of commands that one restart of a front end adds to the control log: the front end
// leaves, is gone, starts and serves.
var commandsPerRestart = Factor{"commands of a restart", 4}

// countsPerMember is the rate at which a front end reports its request counts.
var countsPerMember = Factor{"reports of a front end a second", 0.5}

func controlTables() []Table {
	return []Table{
		{Name: "control_replica", Role: record.ControlReplica, Rows: controlReplicaRows()},
		{Name: "watches", Rows: watchRows()},
		{Name: "configuration", Rows: configurationRows()},
		{Name: "release", Rows: releaseRows()},
	}
}

func controlReplicaRows() []Row {
	return []Row{
		{Label: "processor time of the busiest replica", Unit: Cores, Mechanism: byLog,
			Terms: one(perMember("replica_cpu_cores_max"))},
		{Label: "resident memory of the largest replica", Unit: Bytes, Mechanism: byLog,
			Terms: one(perMember("replica_resident_bytes_max"))},
		{Label: "log traffic of the busiest replica", Unit: BytesPerSecond, Mechanism: byLog,
			Terms: one(perMember("replica_log_bytes_per_second_max"))},
		{Label: "calls of front ends at the busiest replica", Unit: BytesPerSecond, Mechanism: byAPI,
			Terms: one(perMember("replica_calls_bytes_per_second_max"))},
		{Label: "messages sent by the busiest replica", Unit: PerSecond, Mechanism: byAPI,
			Terms: one(perMember("replica_messages_per_second_max"))},
		{Label: "resident memory of one replica, nobody watching", Unit: Bytes, Mechanism: byLog,
			Terms: one(grows("control_replica_resident_bytes", record.InSum))},
		{Label: "state as JSON, nothing under way", Unit: Bytes, Mechanism: byMachine,
			Terms: one(grows("control_log_snapshot_idle_bytes", record.InSum))},
		{Label: "state as JSON, a drain and a release under way", Unit: Bytes, Mechanism: byMachine,
			Terms: one(grows("control_log_snapshot_busy_bytes", record.InSum))},
		{Label: "the audit and the remembered answers beside that, once full", Unit: Bytes, Mechanism: byMachine,
			Terms: one(level("control_log_history_bytes"))},
		{Label: "a drained database's map of front ends, in the state", Unit: Bytes, Mechanism: byMachine,
			Terms: one(perMember("database_drain_state_bytes"))},
		{Label: "writing a snapshot, under the lock of the state", Unit: CPUSeconds, Mechanism: byLog,
			Terms: one(grows("control_log_snapshot_busy_cpu_seconds", record.InSum))},
		{Label: "reading a snapshot", Unit: CPUSeconds, Mechanism: byLog,
			Terms: one(grows("control_log_restore_busy_cpu_seconds", record.InSum))},
		{Label: "one command in the state machine, nothing under way", Unit: CPUSeconds, Mechanism: byMachine,
			Terms: one(perMember("control_log_command_idle_cpu_seconds"))},
		{Label: "one command in the state machine, a drain and a release under way", Unit: CPUSeconds, Mechanism: byMachine,
			Terms: one(perMember("control_log_command_busy_cpu_seconds"))},
		{Label: "one look at what is due", Unit: CPUSeconds, Mechanism: byMachine,
			Terms: one(perMember("control_log_due_cpu_seconds"))},
	}
}

func watchRows() []Row {
	return []Row{
		{Label: "all watches at one replica, nothing happens", Unit: Cores, Mechanism: byAPI,
			Terms: one(perMember("idle_watches_cpu_cores"))},
		{Label: "a front end's watch, nothing happens", Unit: BytesPerSecond, Mechanism: byAPI,
			Terms: one(level("idle_watch_bytes_per_second"))},
		{Label: "a front end's counts", Unit: BytesPerSecond, Mechanism: byAPI,
			Terms: one(level("counts_bytes_per_second"))},
		{Label: "counts of all front ends at the leader", Unit: Cores, Mechanism: byAPI,
			Terms: one(level("counts_report_cpu_seconds", allMembers, countsPerMember))},
		{Label: "reports of counts at the leader", Unit: PerSecond, Mechanism: byAPI, Terms: arithmetic(allMembers,
			countsPerMember)},
		{Label: "resident memory of one replica with all watches", Unit: Bytes, Mechanism: byAPI,
			Terms: one(perMember("control_replica_watched_resident_bytes"))},
		{Label: "one command, nobody watching", Unit: CPUSeconds, Mechanism: byLog,
			Terms: one(perMember("control_command_alone_cpu_seconds"))},
		{Label: "one command, all watching this replica", Unit: CPUSeconds, Mechanism: byAPI,
			Terms: one(perMember("control_command_watched_cpu_seconds"))},
		{Label: "one command, all watching, a drain and a release under way", Unit: CPUSeconds, Mechanism: byAPI,
			Terms: one(perMember("control_command_busy_cpu_seconds"))},
		{Label: "until one command is answered, all watching", Unit: Seconds, Mechanism: byLog,
			Terms: one(perMember("control_command_watched_latency_seconds"))},
		{Label: "a database's drain, all watching this replica", Unit: CPUSeconds, Mechanism: byAPI,
			Terms: one(perMember("database_drain_cpu_seconds"))},
		{Label: "until all have reported a drained database empty, all watching this replica", Unit: Seconds,
			Mechanism: byAPI,
			Terms:     one(perMember("database_drain_duration_seconds"))},
		{Label: "watches' bytes of a drain, all front ends", Unit: Bytes, Mechanism: byAPI,
			Terms: one(perMember("database_drain_watch_bytes"))},
	}
}

func configurationRows() []Row {
	return []Row{
		{Label: "a change of configuration in force at all front ends", Unit: Seconds, Mechanism: byFiles,
			Budget:  inForceBudget,
			Blocker: "nothing carries it: files, and SIGHUP by hand, for the source of the list alone"},
		{Label: "SIGHUP until the front end says that it has read its files", Unit: Seconds, Mechanism: byFiles,
			Terms: one(perEngine("front_end_reload_seconds"))},
		{Label: "SIGHUP until what the new source tells is in force", Unit: Seconds, Mechanism: byFiles,
			Terms: one(perEngine("front_end_reload_followed_seconds"))},
		{Label: "one SIGHUP", Unit: CPUSeconds, Mechanism: byFiles, Terms: one(perEngine("front_end_reload_cpu_seconds"))},
		{Label: "a database's drain in force at a front end, half of all", Unit: Seconds, Mechanism: byLog,
			Terms: worst("drain_in_force_p50_seconds")},
		{Label: "the same, 99 of 100", Unit: Seconds, Mechanism: byLog, Terms: worst("drain_in_force_p99_seconds")},
		{Label: "a database's drain in force at the last front end", Unit: Seconds, Mechanism: byLog, Budget: inForceBudget,
			Terms: worst("drain_in_force_max_seconds")},
		{Label: "drains lost in one run", Unit: Count, Mechanism: byLog, Budget: zeroBudget,
			Terms: worst("changes_lost_count")},
		{Label: "front ends at which a drain went out of force while it stood", Unit: Count, Mechanism: byLog,
			Budget: zeroBudget,
			Terms:  worst("changes_reverted_count")},
		{Label: "a change of primary: from the kill of the log's leader until a drain is in force at the last front end",
			Unit: Seconds, Mechanism: byLog,
			Budget: Budget{Limit: primarySeconds, Source: byOperators}, Terms: worst("primary_change_max_seconds")},
	}
}

func releaseRows() []Row {
	return []Row{
		{Label: "commands of a release over all front ends", Unit: Count, Mechanism: byMachine,
			Terms: arithmetic(allMembers, commandsPerRelease)},
		{Label: "commands of a release at a replica that all watch", Unit: CPUSeconds, Mechanism: byAPI,
			Terms: one(perMember("control_command_busy_cpu_seconds", allMembers, commandsPerRelease))},
		{Label: "control traffic of a front end during a release, sent and received", Unit: BytesPerSecond,
			Mechanism: byMember, Budget: bytesBudget,
			Terms: append(worst("release_sent_bytes_per_second"), worst("release_received_bytes_per_second")...)},
	}
}

// commandsPerRelease is the number of commands that a release adds to the control log for each front end: its turn
// begins, and the front end leaves, is gone, starts and serves.
var commandsPerRelease = Factor{"commands of a front end's turn", 5}
