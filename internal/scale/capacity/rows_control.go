package capacity

import "beechcart/internal/scale/record"

// commandsPerRestart is what one restart of a front end enters into the log: that it leaves, is gone, starts and
// serves.
var commandsPerRestart = Factor{"commands of a restart", 4}

// countsPerMember is how often a front end reports its counts.
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
		{What: "processor time of the busiest replica", Unit: Cores, Mechanism: byLog,
			Terms: one(perMember("replica_cpu_cores_max"))},
		{What: "resident memory of the largest replica", Unit: Bytes, Mechanism: byLog,
			Terms: one(perMember("replica_resident_bytes_max"))},
		{What: "log traffic of the busiest replica", Unit: BytesPerSecond, Mechanism: byLog,
			Terms: one(perMember("replica_log_bytes_per_second_max"))},
		{What: "calls of front ends at the busiest replica", Unit: BytesPerSecond, Mechanism: byHandler,
			Terms: one(perMember("replica_calls_bytes_per_second_max"))},
		{What: "messages sent by the busiest replica", Unit: PerSecond, Mechanism: byHandler,
			Terms: one(perMember("replica_messages_per_second_max"))},
		{What: "resident memory of one replica, nobody watching", Unit: Bytes, Mechanism: byLog,
			Terms: one(grows("control_replica_resident_bytes", record.InSum))},
		{What: "state as JSON, nothing under way", Unit: Bytes, Mechanism: byMachine,
			Terms: one(grows("control_log_snapshot_idle_bytes", record.InSum))},
		{What: "state as JSON, a drain and a release under way", Unit: Bytes, Mechanism: byMachine,
			Terms: one(grows("control_log_snapshot_busy_bytes", record.InSum))},
		{What: "the audit and the remembered answers beside that, once full", Unit: Bytes, Mechanism: byMachine,
			Terms: one(level("control_log_history_bytes"))},
		{What: "a drained database's map of front ends, in the state", Unit: Bytes, Mechanism: byMachine,
			Terms: one(perMember("database_drain_state_bytes"))},
		{What: "writing a snapshot, under the lock of the state", Unit: CPUSeconds, Mechanism: byLog,
			Terms: one(grows("control_log_snapshot_busy_cpu_seconds", record.InSum))},
		{What: "reading a snapshot", Unit: CPUSeconds, Mechanism: byLog,
			Terms: one(grows("control_log_restore_busy_cpu_seconds", record.InSum))},
		{What: "one command in the state machine, nothing under way", Unit: CPUSeconds, Mechanism: byMachine,
			Terms: one(perMember("control_log_command_idle_cpu_seconds"))},
		{What: "one command in the state machine, a drain and a release under way", Unit: CPUSeconds, Mechanism: byMachine,
			Terms: one(perMember("control_log_command_busy_cpu_seconds"))},
		{What: "one look at what is due", Unit: CPUSeconds, Mechanism: byMachine,
			Terms: one(perMember("control_log_due_cpu_seconds"))},
	}
}

func watchRows() []Row {
	return []Row{
		{What: "all watches at one replica, nothing happens", Unit: Cores, Mechanism: byHandler,
			Terms: one(perMember("idle_watches_cpu_cores"))},
		{What: "a front end's watch, nothing happens", Unit: BytesPerSecond, Mechanism: byHandler,
			Terms: one(level("idle_watch_bytes_per_second"))},
		{What: "a front end's counts", Unit: BytesPerSecond, Mechanism: byHandler,
			Terms: one(level("counts_bytes_per_second"))},
		{What: "counts of all front ends at the leader", Unit: Cores, Mechanism: byHandler,
			Terms: one(level("counts_report_cpu_seconds", allMembers, countsPerMember))},
		{What: "reports of counts at the leader", Unit: PerSecond, Mechanism: byHandler, Terms: arithmetic(allMembers,
			countsPerMember)},
		{What: "resident memory of one replica with all watches", Unit: Bytes, Mechanism: byHandler,
			Terms: one(perMember("control_replica_watched_resident_bytes"))},
		{What: "one command, nobody watching", Unit: CPUSeconds, Mechanism: byLog,
			Terms: one(perMember("control_command_alone_cpu_seconds"))},
		{What: "one command, all watching this replica", Unit: CPUSeconds, Mechanism: byHandler,
			Terms: one(perMember("control_command_watched_cpu_seconds"))},
		{What: "one command, all watching, a drain and a release under way", Unit: CPUSeconds, Mechanism: byHandler,
			Terms: one(perMember("control_command_busy_cpu_seconds"))},
		{What: "until one command is answered, all watching", Unit: Seconds, Mechanism: byLog,
			Terms: one(perMember("control_command_watched_latency_seconds"))},
		{What: "a database's drain, all watching this replica", Unit: CPUSeconds, Mechanism: byHandler,
			Terms: one(perMember("database_drain_cpu_seconds"))},
		{What: "until all have reported a drained database empty, all watching this replica", Unit: Seconds,
			Mechanism: byHandler,
			Terms:     one(perMember("database_drain_duration_seconds"))},
		{What: "watches' bytes of a drain, all front ends", Unit: Bytes, Mechanism: byHandler,
			Terms: one(perMember("database_drain_watch_bytes"))},
	}
}

func configurationRows() []Row {
	return []Row{
		{What: "a change of configuration in force at all front ends", Unit: Seconds, Mechanism: byFiles,
			Budget: inForceBudget,
			Absent: "nothing carries it: files, and SIGHUP by hand, for the source of the list alone"},
		{What: "SIGHUP until the front end says that it has read its files", Unit: Seconds, Mechanism: byFiles,
			Terms: one(perEngine("front_end_reload_seconds"))},
		{What: "SIGHUP until what the new source tells is in force", Unit: Seconds, Mechanism: byFiles,
			Terms: one(perEngine("front_end_reload_followed_seconds"))},
		{What: "one SIGHUP", Unit: CPUSeconds, Mechanism: byFiles, Terms: one(perEngine("front_end_reload_cpu_seconds"))},
		{What: "a database's drain in force at a front end, half of all", Unit: Seconds, Mechanism: byLog,
			Terms: worst("drain_in_force_p50_seconds")},
		{What: "the same, 99 of 100", Unit: Seconds, Mechanism: byLog, Terms: worst("drain_in_force_p99_seconds")},
		{What: "a database's drain in force at the last front end", Unit: Seconds, Mechanism: byLog, Budget: inForceBudget,
			Terms: worst("drain_in_force_max_seconds")},
		{What: "drains lost in one run", Unit: Count, Mechanism: byLog, Budget: noneBudget,
			Terms: worst("changes_lost_count")},
		{What: "front ends at which a drain went out of force while it stood", Unit: Count, Mechanism: byLog,
			Budget: noneBudget,
			Terms:  worst("changes_reverted_count")},
		{What: "a change of primary: from the kill of the log's leader until a drain is in force at the last front end",
			Unit: Seconds, Mechanism: byLog,
			Budget: Budget{Limit: primarySeconds, Source: byOperators}, Terms: worst("primary_change_max_seconds")},
	}
}

func releaseRows() []Row {
	return []Row{
		{What: "commands of a release over all front ends", Unit: Count, Mechanism: byMachine,
			Terms: arithmetic(allMembers, commandsPerRelease)},
		{What: "commands of a release at a replica that all watch", Unit: CPUSeconds, Mechanism: byHandler,
			Terms: one(perMember("control_command_busy_cpu_seconds", allMembers, commandsPerRelease))},
		{What: "control traffic of a front end during a release, sent and received", Unit: BytesPerSecond,
			Mechanism: byMember, Budget: bytesBudget,
			Terms: append(worst("release_sent_bytes_per_second"), worst("release_received_bytes_per_second")...)},
	}
}

// commandsPerRelease is what a release enters into the log for each front end: it begins, leaves, is gone, starts and
// serves.
var commandsPerRelease = Factor{"commands of a front end's turn", 5}
