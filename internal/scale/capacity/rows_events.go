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

// faultRows returns the rows of a fault: those of the time after the fault, and the drain made after the fault.
func faultRows(name, fault string) []Row {
	prefix := "fault_" + fault
	return append(afterRows(name, prefix),
		Row{Label: name + ": a drain after it in force at the last front end", Unit: Seconds, Mechanism: byLog,
			Budget: inForceBudget,
			Terms: one(Term{
				Quantity: prefix + "_drain_in_force_seconds", Stat: Worst, RunMarker: prefix + "_heard_least_members",
			})})
}

// cutRows returns the rows of a network cut: those of every fault, and the effect of a drain made during the cut.
func cutRows(name, fault string) []Row {
	prefix := "fault_" + fault
	return append(faultRows(name, fault),
		Row{Label: name + ": front ends without a drain that was made during the cut, at its end", Unit: Count,
			Mechanism: byLog,
			Terms:     worst(prefix + "_held_back_members")},
		Row{Label: name + ": from the cut's end until that drain is in force at the last front end", Unit: Seconds,
			Mechanism: byLog, Budget: inForceBudget,
			Terms: one(Term{Quantity: prefix + "_caught_up_seconds", Stat: Worst, RunMarker: prefix + "_held_back_members"})})
}

// rejoinRows returns the rows of a number of front ends that restart within a period.
func rejoinRows(starting Factor, period Factor) []Row {
	return []Row{
		{Label: "their reports at a replica that all watch", Unit: Cores, Mechanism: byAPI,
			Terms: one(perMember("control_command_watched_cpu_seconds", starting, commandsPerRestart, period))},
		{Label: "their whole lists at the change log", Unit: BytesPerSecond, Mechanism: byList,
			Terms: one(perEngine("change_log_list_bytes", starting, period))},
		{Label: "their whole lists at Consul", Unit: BytesPerSecond, Mechanism: byList,
			Terms: one(perEngine("consul_list_bytes", starting, period))},
	}
}

func zoneRows() []Row {
	return append(cutRows("a zone is cut off for 10 s", "zone"),
		Row{Label: "its front ends entered as suspect at the leader, all watching it", Unit: CPUSeconds, Mechanism: byAPI,
			Terms: one(perMember("control_command_watched_cpu_seconds", zoneMembers))},
		Row{Label: "its databases leave the list: changes at the change log", Unit: Bytes, Mechanism: byList,
			Terms: one(level("change_log_event_bytes", zoneEngines, allMembers))},
		Row{Label: "its databases leave the list one by one: whole lists at Consul", Unit: Bytes, Mechanism: byList,
			Terms: one(perEngine("consul_list_bytes", zoneEngines, allMembers))})
}

func rackRows() []Row { return rejoinRows(membersOfRack, perSecondOfAMinute) }

func restartRows() []Row {
	return append(faultRows("78 of 710 front ends restart at once", "restarts"),
		rejoinRows(restarts, perSecondOfAnHour)...)
}

func allRestartRows() []Row {
	rows := append(faultRows("all front ends and control replicas restart at once", "all_restart"),
		rejoinRows(allMembers, perSecondOfAMinute)...)
	return append(rows,
		Row{Label: "from the start of a process until it listens, the most", Unit: Seconds, Mechanism: byStart,
			Budget: Budget{Limit: readySeconds, Source: byOperators},
			Terms:  worst("front_end_start_most_seconds")},
		Row{Label: "from the start of a process until it has its list, the mean", Unit: Seconds, Mechanism: byStart,
			Terms: one(perEngine("front_end_list_taken_seconds"))},
		Row{Label: "one start", Unit: CPUSeconds, Mechanism: byStart, Terms: one(perEngine("front_end_start_cpu_seconds"))})
}

func regionRows() []Row {
	return append(cutRows("two regions are apart for 20 s (an hour, shortened)", "regions"),
		Row{Label: "its front ends entered as suspect at the leader, all watching it", Unit: CPUSeconds, Mechanism: byAPI,
			Terms: one(perMember("control_command_watched_cpu_seconds", regionMembers))},
		Row{Label: "their reports that they serve, after the cut, all watching one replica", Unit: CPUSeconds,
			Mechanism: byAPI,
			Terms:     one(perMember("control_command_watched_cpu_seconds", regionMembers))},
		Row{Label: "regions apart: front ends that count as out where the majority is, against how many may be for any " +
			"permit", Unit: Count, Mechanism: byMachine,
			Budget: Budget{Limit: planMembers / 10, Source: byProject}, Terms: arithmetic(regionMembers)})
}

func otherFaultRows() []Row {
	rows := faultRows("the leader of the log is killed", "leader")
	rows = append(rows, faultRows("a control replica loses its disk", "disk")...)
	rows = append(rows, faultRows("some front ends are stopped for 10 s", "stop")...)
	return append(rows, cutRows("what a zone sends is lost for 10 s", "one_way")...)
}
