package faulttest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fake/engine"
	"beechcart/internal/faulttest/cluster"
)

// The exit codes of a granted shutdown.
const (
	exitRestart = 75 // the front end is to be restarted at once
	exitDrained = 76 // the front end is to be restarted when its drain is cancelled
)

// emptyGrace is the tolerated time from the report that an engine is empty to the end of an execution, since the end is
// recorded after the answer.
const emptyGrace = 50 * time.Millisecond

// waitSettled waits until all members serve on the agreed revision. If they do not within 40 s, it returns the reasons.
func (r *rolloutRun) waitSettled(ctx context.Context) (missing []string) {
	for range 400 {
		missing = r.unsettled()
		if len(missing) == 0 || !sleep(ctx, 100*time.Millisecond) {
			return missing
		}
	}
	return missing
}

// unsettled returns the reasons why the cluster is not settled; none if it is.
func (r *rolloutRun) unsettled() (reasons []string) {
	status := r.leaderStatus()
	if status == nil {
		return []string{"no control replica is the leader"}
	}
	for _, m := range r.cluster.Members {
		if reason := unsettledMember(m, &status.State); reason != "" {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// unsettledMember returns the reason why a member is not settled; empty if it is.
func unsettledMember(m *cluster.Member, state *rollout.State) string {
	agreed := state.Members[m.Name]
	processes := m.Processes()
	current := processes[len(processes)-1]
	switch {
	case agreed == nil || agreed.Phase != rollout.Serving || agreed.Suspected || !m.Listening():
		return m.Name + " does not serve"
	case agreed.Revision != agreed.TargetRevision || current.Revision != agreed.TargetRevision:
		return fmt.Sprintf("%s runs revision %s, agreed is %s", m.Name, current.Revision, agreed.TargetRevision)
	case state.Release == nil || state.Release.State != rollout.Done:
		return "the release is not done"
	}
	return ""
}

// judgedRequests returns the requests that the rules apply to. It leaves out requests that were lost with their front
// end. For an answered request whose front end was killed or stopped in the meantime, it sets the latency to 0, so that
// the client's timeout does not apply. A request without any answer stays a violation.
func judgedRequests(requests []Request, disturbed func(address string, from, to time.Time) bool) (judged []Request) {
	for _, request := range requests {
		if request.Outcome == LostWithFrontEnd {
			continue
		}
		if request.Outcome != Unanswered && disturbed(request.Addr, request.Due, request.Due.Add(request.Latency)) {
			request.Latency = 0
		}
		judged = append(judged, request)
	}
	return judged
}

// rolloutChecker collects violations of the rules of the rollout scenario.
type rolloutChecker struct {
	members      []*cluster.Member
	emptyPeriods []emptyPeriod
	haltPeriods  []period
	violations   []Violation
}

func (c *rolloutChecker) violate(rule string, at time.Time, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)})
}

// checkEmptiness finds executions on engines that were reported as empty.
func (c *rolloutChecker) checkEmptiness(executions []engine.Execution) {
	for _, x := range executions {
		for _, empty := range c.emptyPeriods {
			if empty.engine == x.Engine && empty.overlaps(x) {
				c.violate(NotEmpty, x.ReceivedAt, "engine %s ran query %s until %v after the engine was reported as empty at %s",
					empty.engine, x.ID, x.EndedAt.Sub(empty.from), empty.from.Format("15:04:05.000"))
			}
		}
	}
}

// overlaps reports whether an execution began in the period, or began before and ended more than emptyGrace after the
// start of the period.
func (p period) overlaps(x engine.Execution) bool {
	switch {
	case !x.ReceivedAt.Before(p.to):
		return false
	case x.ReceivedAt.After(p.from):
		return true
	}
	return x.ReceivedAt.Before(p.from) && (x.EndedAt.IsZero() || x.EndedAt.After(p.from.Add(emptyGrace)))
}

// checkProcesses checks the exit of each process, and each granted shutdown.
func (c *rolloutChecker) checkProcesses() {
	for _, m := range c.members {
		for _, p := range m.Processes() {
			c.checkExit(p)
			if granted(p) {
				c.checkHalts(p)
				c.checkBudget(m, p)
			}
		}
	}
}

// granted reports whether a process stopped accepting requests under a grant of the fleet.
func granted(p cluster.Process) bool { return p.ByGrant && !p.DrainingAt.IsZero() }

// checkExit finds a process that crashed or broke an invariant.
func (c *rolloutChecker) checkExit(p cluster.Process) {
	if p.BrokenInvariant != "" {
		c.violate(Crashes, p.EndedAt, "%s: %s", p.Member, p.BrokenInvariant)
	}
	ended := !p.EndedAt.IsZero() && !p.Killed
	if ended && !slices.Contains([]int{0, exitRestart, exitDrained}, p.ExitCode) {
		c.violate(Crashes, p.EndedAt, "%s ended with exit code %d without being killed", p.Member, p.ExitCode)
	}
}

// checkHalts finds a granted shutdown that began after a halt was acknowledged.
func (c *rolloutChecker) checkHalts(p cluster.Process) {
	for _, halt := range c.haltPeriods {
		if p.DrainingAt.After(halt.from) && p.DrainingAt.Before(halt.to) {
			c.violate(AfterHalt, p.DrainingAt, "%s began a granted shutdown %v after a halt was acknowledged", p.Member,
				p.DrainingAt.Sub(halt.from))
		}
	}
}

// checkBudget finds a granted shutdown that began while as many other members as the budget allows were unavailable.
func (c *rolloutChecker) checkBudget(m *cluster.Member, p cluster.Process) {
	var unavailable, inZone []string
	for _, other := range c.members {
		if other == m || !knownUnavailable(other, p.DrainingAt) {
			continue
		}
		unavailable = append(unavailable, other.Name)
		if other.Zone == m.Zone {
			inZone = append(inZone, other.Name)
		}
	}
	if len(unavailable) >= maxUnavailable || len(inZone) >= maxUnavailableInZone {
		c.violate(OverBudget, p.DrainingAt, "%s began a granted shutdown while others were unavailable: %s; of its zone: %s",
			p.Member, strings.Join(unavailable, " "), strings.Join(inZone, " "))
	}
}

// knownUnavailable reports whether a member was unavailable at a time and the fleet must have known. The fleet must
// know of a shutdown that the fleet granted, and of a failure that is older than failureDetection.
func knownUnavailable(m *cluster.Member, at time.Time) bool {
	unavailable, byGrant, since := m.Unavailable(at)
	return unavailable && (byGrant || at.Sub(since) > failureDetection)
}
