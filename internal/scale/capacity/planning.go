package capacity

import "beechcart/internal/scale/record"

// The planning numbers that the operators set (issue 29).
const (
	planMembers              = 710
	planEngines              = 810
	planSessions             = 1_400_000
	planStatementsPerSecond  = 540_000
	planChangesPerDay        = 1_600 // changes of configuration
	planPrimaryChangesPerDay = 2
	planRegions              = 2
	planZones                = 7
	planControlMachines      = 8
	planRestarts             = 78 // machines, within an hour
	secondsPerDay            = 86_400
	secondsPerHour           = 3_600
)

// The budgets that the operators set, and one that docs/rollout.md states.
const (
	memberBytesPerSecond = 4_096 // 4 KB, sent and received together: docs/questions.md
	memberCores          = 0.013
	memberBytes          = 64 << 20 // 64 MB
	inForceSeconds       = 4
	primarySeconds       = 6
	readySeconds         = 10  // time within which nine in ten restarted processes are ready
	noticeSeconds        = 2.5 // docs/rollout.md: a front end counts as out about 2.5 s after its end
)

// Numbers derived from the planning numbers, rounded up.
const (
	sessionsPerMember   = (planSessions + planMembers - 1) / planMembers
	statementsPerMember = planStatementsPerSecond / planMembers
	membersPerZone      = (planMembers + planZones - 1) / planZones
	enginesPerZone      = (planEngines + planZones - 1) / planZones
	membersPerRegion    = (planMembers + planRegions - 1) / planRegions
	rackMembers         = 20 // assumed: docs/questions.md
)

// planningSize is the size at which rows are evaluated.
var planningSize = record.Size{Members: planMembers, Engines: planEngines, Sessions: sessionsPerMember}

// The planning numbers that terms are multiplied by.
var (
	changesPerDay      = Factor{"changes of configuration a day", planChangesPerDay}
	changesPerSecond   = Factor{"changes of configuration a second", planChangesPerDay / float64(secondsPerDay)}
	allMembers         = Factor{"front ends", planMembers}
	zoneEngines        = Factor{"databases of a zone", enginesPerZone}
	zoneMembers        = Factor{"front ends of a zone", membersPerZone}
	regionMembers      = Factor{"front ends of a region", membersPerRegion}
	membersOfRack      = Factor{"front ends of a rack", rackMembers}
	restarts           = Factor{"restarts", planRestarts}
	perSecondOfAnHour  = Factor{"a second, over an hour", 1.0 / secondsPerHour}
	perSecondOfAMinute = Factor{"a second, over a minute", 1.0 / 60}
	sessions           = Factor{"sessions of a front end", sessionsPerMember}
)

// planningLines returns the lines of the table of planning numbers.
func planningLines() [][]string {
	line := func(what string, value float64) []string { return []string{what, number(value)} }
	return [][]string{
		line("front ends", planMembers),
		line("databases", planEngines),
		line("pairs of a front end and a database", planMembers*planEngines),
		line("client connections", planSessions),
		line("client connections of one front end, rounded up", sessionsPerMember),
		line("statements a second", planStatementsPerSecond),
		line("statements a second of one front end", statementsPerMember),
		line("changes of configuration a day", planChangesPerDay),
		line("changes of primary a day", planPrimaryChangesPerDay),
		line("regions", planRegions),
		line("zones", planZones),
		line("front ends of a zone, rounded up", membersPerZone),
		line("databases of a zone, rounded up", enginesPerZone),
		line("front ends of a region, rounded up", membersPerRegion),
		line("machines restarted or replaced on an ordinary day", planRestarts),
		line("machines for control", planControlMachines),
		line("front ends of a rack (assumed)", rackMembers),
	}
}
