package rollout

import (
	"fmt"
	"time"
)

// stateBefore holds the parts of the state before a step that the oracle compares with those after the step.
type stateBefore struct {
	lastPermit, release, window uint64
	releaseState                ReleaseState
	permits                     map[uint64]Permit
	available                   map[Subject]bool
	reports                     map[string]lastReport
	newRevisionRequests         int64
	firstResult                 *Result // stored result of the command's id; nil if the command is not a repeat
}

// lastReport identifies a member's last report.
type lastReport struct{ incarnation, sequence uint64 }

func (f *randomFleet) captureState(command Command) stateBefore {
	before := stateBefore{
		lastPermit: f.machine.LastPermit, permits: map[uint64]Permit{}, available: map[Subject]bool{},
		reports: map[string]lastReport{},
	}
	for number, permit := range f.machine.Permits {
		before.permits[number] = *permit
	}
	for name, member := range f.machine.Members {
		before.available[Subject{Name: name}] = f.memberAvailable(name)
		before.reports[name] = lastReport{member.Incarnation, member.StatusSequence}
	}
	for name := range f.machine.Engines {
		before.available[Subject{name, true}] = f.engineAvailable(name)
	}
	if release := f.machine.Release; release != nil {
		before.release, before.window, before.releaseState = release.Number, release.Window, release.State
		before.newRevisionRequests = release.New.Requests
	}
	for _, earlier := range f.machine.Results {
		if earlier.ID == command.ID && command.ID != "" {
			before.firstResult = &earlier.Result
		}
	}
	return before
}

// The oracle computes availability and budget usage from the state, without the functions under test.

func (f *randomFleet) hasPermit(subject Subject) bool {
	for _, permit := range f.machine.Permits {
		if permit.Subject == subject.Name && permit.Engine == subject.Engine {
			return true
		}
	}
	return false
}

func (f *randomFleet) memberAvailable(name string) bool {
	member := f.machine.Members[name]
	return member.Phase == Serving && !member.Suspected && !f.hasPermit(Subject{Name: name})
}

func (f *randomFleet) engineAvailable(name string) bool {
	engine := f.machine.Engines[name]
	return engine.Listed && engine.Ready && !f.hasPermit(Subject{name, true})
}

// usageCount counts units by zone; the empty zone counts all of them.
type usageCount struct {
	total, unavailable map[string]int
	weight, largest    float64 // of available front ends
}

func (u *usageCount) count(counted unit) {
	for _, scope := range []string{"", counted.zone} {
		u.total[scope]++
		if !counted.available {
			u.unavailable[scope]++
		}
	}
}

// overBudget describes the exceeded budget, either of all units or of the zone of a permit's subject; empty for none.
// The budgets of other zones are not checked, because crashes may exceed them.
func (f *randomFleet) overBudget(permit *Permit) string {
	usage := usageCount{total: map[string]int{}, unavailable: map[string]int{}}
	budget, zone := f.machine.Settings.FrontEnds, ""
	if permit.Engine {
		budget, zone = f.machine.Settings.Engines, f.machine.Engines[permit.Subject].Zone
		for name, engine := range f.machine.Engines {
			usage.count(unit{zone: engine.Zone, available: f.engineAvailable(name)})
		}
	} else {
		if permit.Release != 0 && f.rollingBack() {
			budget = f.machine.Settings.Rollback
		}
		zone = f.machine.Members[permit.Subject].Zone
		for name, member := range f.machine.Members {
			available := f.memberAvailable(name)
			usage.count(unit{zone: member.Zone, available: available})
			if available {
				usage.weight, usage.largest = usage.weight+member.Weight, max(usage.largest, member.Weight)
			}
		}
	}
	if over := usage.over("", budget.Max, budget.MaxShare); over != "" {
		return over
	}
	if over := usage.over(zone, budget.ZoneMax, budget.ZoneMaxShare); over != "" {
		return over
	}
	left, load := usage.weight-usage.largest, f.machine.Load.FrontEnds
	if need := load * (1 + budget.Headroom); !permit.Engine && load > 0 && left < need-1e-6 {
		return fmt.Sprintf("capacity after one more loss is %v, must be at least %v", left, need)
	}
	return ""
}

func (u *usageCount) over(zone string, maxCount int, maxShare float64) string {
	limit := u.total[zone]
	if maxCount > 0 {
		limit = min(limit, maxCount)
	}
	if maxShare > 0 {
		limit = min(limit, max(1, int(maxShare*float64(u.total[zone])+1e-9)))
	}
	if u.unavailable[zone] > limit {
		return fmt.Sprintf("%d of %d units are unavailable in zone %q, and %d may be",
			u.unavailable[zone], u.total[zone], zone, limit)
	}
	return ""
}

// step applies a command and describes the first invariant that is violated, beginning with the invariant's number in
// doc.go; empty for none.
func (f *randomFleet) step(command Command) string {
	f.now += time.Duration(f.rng.IntN(400)) * time.Millisecond
	command.At = f.now
	before := f.captureState(command)
	result := f.machine.Apply(command)
	if f.sent = append(f.sent, command); len(f.sent) > 40 {
		f.sent = f.sent[1:]
	}
	for _, check := range []func(stateBefore, Command, Result) string{
		f.checkRepeat, f.checkPermits, f.checkEnded, f.checkReports, f.checkRelease, f.checkSize,
	} {
		if violation := check(before, command, result); violation != "" {
			return violation
		}
	}
	return ""
}

func (f *randomFleet) checkRepeat(before stateBefore, command Command, result Result) string {
	first := before.firstResult
	if first == nil {
		return ""
	}
	if fmt.Sprint(*first) != fmt.Sprint(result) && fmt.Sprint(first.Rejected) != fmt.Sprint(result.Rejected) {
		return fmt.Sprintf("8: %s had the result %v, and its repeat %v", command.ID, *first, result)
	}
	for number, permit := range f.machine.Permits {
		if _, existed := before.permits[number]; !existed && permit.Release == 0 {
			return "8: a repeated command granted a new permit"
		}
	}
	return ""
}

// checkPermits checks permits that the step granted, activated or marked as drained.
func (f *randomFleet) checkPermits(before stateBefore, command Command, result Result) string {
	release := f.machine.Release
	if command.ActivatePermit != nil && result.Shutdown && release != nil &&
		f.machine.Permits[result.Permit].Release == release.Number && before.releaseState != Running {
		return "4: a member was told to shut down while the release is " + string(before.releaseState)
	}
	for number, permit := range f.machine.Permits {
		for _, check := range []func(stateBefore, Command, *Permit) string{
			f.checkGranted, f.checkActivated, f.checkReleasePermit, f.checkDrained,
		} {
			if violation := check(before, command, permit); violation != "" {
				return violation
			}
		}
		if permit.Engine && command.ReportDrained != nil && command.ReportDrained.Permit == number &&
			result.Rejected == nil {
			member := f.machine.Members[command.ReportDrained.Name]
			if member != nil && command.ReportDrained.Incarnation != member.Incarnation {
				return "6: a report of an older process was applied"
			}
		}
	}
	return ""
}

func (f *randomFleet) rollingBack() bool {
	release := f.machine.Release
	return release != nil && release.RollingBack && release.State != Done
}

func (f *randomFleet) checkGranted(before stateBefore, _ Command, permit *Permit) string {
	if _, existed := before.permits[permit.Number]; existed {
		return ""
	}
	if permit.Number <= before.lastPermit {
		return fmt.Sprintf("2: permit %d was granted after %d", permit.Number, before.lastPermit)
	}
	if !before.available[permit.subject()] { // the permit makes no further unit unavailable
		return ""
	}
	f.effectCounts["granted"]++
	if over := f.overBudget(permit); over != "" {
		return "1: granted, and " + over
	}
	return ""
}

func (f *randomFleet) checkActivated(before stateBefore, command Command, permit *Permit) string {
	earlier, existed := before.permits[permit.Number]
	if !existed || earlier.ActivatedAt > 0 || permit.ActivatedAt == 0 {
		return ""
	}
	f.effectCounts["activated"]++
	member := f.machine.Members[permit.Subject]
	if command.ActivatePermit == nil || command.ActivatePermit.Incarnation != member.Incarnation ||
		permit.Incarnation != member.Incarnation {
		return fmt.Sprintf("2: permit %d was activated by another process", permit.Number)
	}
	if over := f.overBudget(permit); over != "" {
		return "1: activated, and " + over
	}
	if permit.Release != 0 && (f.machine.Release.Number != permit.Release || before.releaseState != Running) {
		return fmt.Sprintf("4: permit %d was activated while its release was %s", permit.Number, before.releaseState)
	}
	return ""
}

// checkReleasePermit checks a permit that is not active against the state of its release.
func (f *randomFleet) checkReleasePermit(_ stateBefore, _ Command, permit *Permit) string {
	release := f.machine.Release
	if release == nil || permit.Release != release.Number || permit.ActivatedAt > 0 {
		return ""
	}
	if release.State == Halted || release.State == Halting {
		return fmt.Sprintf("4: inactive permit %d exists while the release is %s", permit.Number, release.State)
	}
	revision, previous := f.machine.Members[permit.Subject].Revision, release.PreviousRevision
	if f.rollingBack() && (permit.Revision != previous || revision == previous) {
		return fmt.Sprintf("9: permit %d restarts %s from revision %s to %s",
			permit.Number, permit.Subject, revision, permit.Revision)
	}
	return ""
}

// checkDrained checks the drain of an engine that may be stopped from this step on.
func (f *randomFleet) checkDrained(before stateBefore, _ Command, permit *Permit) string {
	if !permit.Engine || permit.DrainedAt == 0 || before.permits[permit.Number].DrainedAt > 0 {
		return ""
	}
	f.effectCounts["drained"]++
	m := f.machine
	for _, member := range m.Members {
		ended := member.Phase == Terminated && m.Now-member.ChangedAt >= m.Settings.AbandonedQueryTimeout
		if !ended && permit.DrainedBy[member.Name] != member.Incarnation {
			return fmt.Sprintf("6: %s may be stopped without a report of %s", permit.Subject, member.Name)
		}
		if member.PreviousEndedAt > 0 && m.Now-member.PreviousEndedAt < m.Settings.AbandonedQueryTimeout {
			return fmt.Sprintf("6: %s may be stopped while queries of the last process of %s may run",
				permit.Subject, member.Name)
		}
	}
	return ""
}

// checkEnded checks that an active permit ends only by a command that may end it.
func (f *randomFleet) checkEnded(before stateBefore, command Command, _ Result) string {
	for number, permit := range before.permits {
		if f.machine.Permits[number] != nil || permit.ActivatedAt == 0 {
			continue
		}
		if !f.mayEndPermit(command, permit) {
			return fmt.Sprintf("3: active permit %d of %s ended by %+v", number, permit.Subject, command)
		}
		f.effectCounts["proved"]++
	}
	return ""
}

// mayEndPermit reports whether a command may end an active permit: an operator's undrain or removal, the return of the
// permit, or a report that a newer process of the subject serves or is listed as ready (invariant 3).
func (f *randomFleet) mayEndPermit(command Command, permit Permit) bool {
	switch {
	case command.RemoveMember != nil:
		return *command.RemoveMember == permit.subject()
	case command.Undrain != nil:
		return permit.Engine && command.Undrain.Name == permit.Subject
	case command.ReturnPermit != nil:
		return !permit.Engine && command.ReturnPermit.Permit == permit.Number &&
			f.machine.Members[permit.Subject].Incarnation == command.ReturnPermit.Incarnation
	case command.ReportStatus != nil:
		report := command.ReportStatus
		return !permit.Engine && report.Name == permit.Subject && report.Phase == Serving &&
			report.Incarnation > permit.Incarnation
	case command.Engine != nil:
		engine := command.Engine
		return permit.Engine && engine.Name == permit.Subject && engine.Process > permit.Incarnation &&
			engine.Ready && engine.Listed
	}
	return false
}

// checkReports checks that no report replaces a later one.
func (f *randomFleet) checkReports(before stateBefore, _ Command, _ Result) string {
	for name, earlier := range before.reports {
		member := f.machine.Members[name]
		if member != nil && (member.Incarnation < earlier.incarnation ||
			(member.Incarnation == earlier.incarnation && member.StatusSequence < earlier.sequence)) {
			return fmt.Sprintf("5: the last report of %s went back from %v to {%d %d}",
				name, earlier, member.Incarnation, member.StatusSequence)
		}
	}
	for name, member := range f.machine.Members {
		if last, removed := f.machine.Removed[name]; removed && member.Incarnation <= last {
			return "5: " + name + " is registered again as a removed process"
		}
	}
	return ""
}

func (f *randomFleet) checkRelease(before stateBefore, command Command, _ Result) string {
	release := f.machine.Release
	if release == nil {
		return ""
	}
	if release.Number != before.release {
		f.effectCounts["started"]++
		if before.releaseState != Done && before.release != 0 {
			return fmt.Sprintf("7: release %d started while %d was %s", release.Number, before.release, before.releaseState)
		}
	} else if release.Window < before.window {
		return "5: the number of the last health window decreased"
	} else if command.Health != nil && command.Health.Window <= before.window &&
		release.New.Requests != before.newRevisionRequests {
		return "5: a window was counted twice"
	}
	if release.State == Halted && before.releaseState != Halted {
		if pending := f.mayShutDown(release); pending != "" {
			return "4: halted, and " + pending + " can still shut down"
		}
	}
	if release.State == Done && before.releaseState != Done && before.release == release.Number {
		f.effectCounts["done"]++
		for _, member := range f.machine.Members {
			if f.memberAvailable(member.Name) && member.Revision != release.target() {
				return "9: release done, and " + member.Name + " serves on " + member.Revision
			}
		}
	}
	return ""
}

// mayShutDown returns the name of a member that holds a permit of the release and can still shut down; empty for none.
// The result is valid only at the step that acknowledges a halt. Later, a process may report Serving after its drain;
// such a process does not shut down again, because a process acts only once on an activation.
func (f *randomFleet) mayShutDown(release *Release) string {
	for _, permit := range f.machine.Permits {
		if permit.Engine || permit.Release != release.Number {
			continue
		}
		member := f.machine.Members[permit.Subject]
		if member.Incarnation == permit.Incarnation && member.Phase == Serving {
			return permit.Subject
		}
	}
	return ""
}

func (f *randomFleet) checkSize(stateBefore, Command, Result) string {
	m := f.machine
	if len(m.Results) > 2*m.Settings.KeepResults || len(m.Audit) > m.Settings.KeepAudit ||
		len(m.RemovedOrder) > m.Settings.KeepRemoved || len(m.Removed) > m.Settings.KeepRemoved {
		return "10: the state exceeds its bounds"
	}
	return ""
}
