package capacity

func eventTables() []Table {
	return []Table{
		{Name: "zone_lost", Rows: zoneRows()},
		{Name: "rack_returns", Rows: rackRows()},
		{Name: "restarts", Rows: restartRows()},
		{Name: "all_restart", Rows: allRestartRows()},
		{Name: "region_back", Rows: regionRows()},
		{Name: "other_faults", Rows: otherFaultRows()},
	}
}

// faultRows are what runs record of a fault: the time after it, and the drains that are made after and during it.
func faultRows(name, fault string) []Row {
	prefix := "fault_" + fault
	return append(afterRows(name, prefix),
		Row{What: name + ": a drain after it in force at the last front end", Unit: Seconds, Mechanism: byLog,
			Budget: inForceBudget,
			Terms: one(Term{
				Quantity: prefix + "_drain_in_force_seconds", Take: Worst, OutOf: prefix + "_heard_least_members",
			})})
}

// cutRows are what runs record of a cut beyond other faults: what became of a drain that was made during it.
func cutRows(name, fault string) []Row {
	prefix := "fault_" + fault
	return append(faultRows(name, fault),
		Row{What: name + ": front ends without a drain that was made during the cut, at its end", Unit: Count,
			Mechanism: byLog,
			Terms:     worst(prefix + "_held_back_members")},
		Row{What: name + ": from the cut's end until that drain is in force at the last front end", Unit: Seconds,
			Mechanism: byLog, Budget: inForceBudget,
			Terms: one(Term{Quantity: prefix + "_caught_up_seconds", Take: Worst, OutOf: prefix + "_held_back_members"})})
}

// returning are the rows of so many front ends that start again within a time.
func returning(who Factor, over Factor) []Row {
	return []Row{
		{What: "their reports at a replica that all watch", Unit: Cores, Mechanism: byHandler,
			Terms: one(perMember("control_command_watched_cpu_seconds", who, commandsPerRestart, over))},
		{What: "their whole lists at the change log", Unit: BytesPerSecond, Mechanism: byList,
			Terms: one(perEngine("change_log_list_bytes", who, over))},
		{What: "their whole lists at Consul", Unit: BytesPerSecond, Mechanism: byList,
			Terms: one(perEngine("consul_list_bytes", who, over))},
	}
}

func zoneRows() []Row {
	return append(cutRows("a zone is cut off for 10 s", "zone"),
		Row{What: "its front ends entered as suspect at the leader, all watching it", Unit: CPUSeconds, Mechanism: byHandler,
			Terms: one(perMember("control_command_watched_cpu_seconds", zoneMembers))},
		Row{What: "its databases leave the list: changes at the change log", Unit: Bytes, Mechanism: byList,
			Terms: one(level("change_log_event_bytes", zoneEngines, allMembers))},
		Row{What: "its databases leave the list one by one: whole lists at Consul", Unit: Bytes, Mechanism: byList,
			Terms: one(perEngine("consul_list_bytes", zoneEngines, allMembers))})
}

func rackRows() []Row { return returning(rackOfMembers, aSecondInAMinute) }

func restartRows() []Row {
	return append(faultRows("78 of 710 front ends restart at once", "restarts"), returning(restarts, aSecondInAnHour)...)
}

func allRestartRows() []Row {
	rows := append(faultRows("all front ends and control replicas restart at once", "all_restart"),
		returning(allMembers, aSecondInAMinute)...)
	return append(rows,
		Row{What: "from the start of a process until it listens, the most", Unit: Seconds, Mechanism: byStart,
			Budget: Budget{Limit: readySeconds, Source: byOperators},
			Terms:  worst("front_end_start_most_seconds")},
		Row{What: "from the start of a process until it has its list, the mean", Unit: Seconds, Mechanism: byStart,
			Terms: one(perEngine("front_end_list_taken_seconds"))},
		Row{What: "one start", Unit: CPUSeconds, Mechanism: byStart, Terms: one(perEngine("front_end_start_cpu_seconds"))})
}

func regionRows() []Row {
	return append(cutRows("two regions are apart for 20 s (an hour, shortened)", "regions"),
		Row{What: "its front ends entered as suspect at the leader, all watching it", Unit: CPUSeconds, Mechanism: byHandler,
			Terms: one(perMember("control_command_watched_cpu_seconds", regionMembers))},
		Row{What: "their reports that they serve, after the cut, all watching one replica", Unit: CPUSeconds,
			Mechanism: byHandler,
			Terms:     one(perMember("control_command_watched_cpu_seconds", regionMembers))},
		Row{What: "regions apart: front ends that count as out where the majority is, against how many may be for any " +
			"permit", Unit: Count, Mechanism: byMachine,
			Budget: Budget{Limit: planMembers / 10, Source: byProject}, Terms: arithmetic(regionMembers)})
}

func otherFaultRows() []Row {
	rows := faultRows("the leader of the log is killed", "leader")
	rows = append(rows, faultRows("a control replica loses its disk", "disk")...)
	rows = append(rows, faultRows("some front ends are stopped for 10 s", "stop")...)
	return append(rows, cutRows("what a zone sends is lost for 10 s", "one_way")...)
}
