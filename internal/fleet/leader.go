package fleet

import (
	"cmp"
	"slices"
	"time"

	"beechcart/decision/rollout"
)

// runLeader applies the leader's periodic commands while this replica leads, until the replica closes.
func (r *ControlReplica) runLeader(g *gossip, engines func() []rollout.Engine) {
	defer r.done.Done()
	notAliveSince := map[string]time.Time{}
	caughtUp := false
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(leaderInterval):
		}
		if !r.isLeader() {
			caughtUp = false
			clear(notAliveSince)
			continue
		}
		if !caughtUp { // entries committed under earlier leaders must be applied here first
			if r.raft.Barrier(commitTimeout).Error() != nil {
				continue
			}
			caughtUp = true
		}
		for _, command := range r.periodicCommands(g.aliveProcesses(), notAliveSince, engines()) {
			if _, err := r.Apply(command); err != nil {
				break
			}
		}
	}
}

// periodicCommands returns the commands that the leader applies without a request. notAliveSince holds, for each
// unsuspected member that is not alive, the time of the first call that found this; the caller keeps the map between
// calls.
func (r *ControlReplica) periodicCommands(
	alive map[string]uint64, notAliveSince map[string]time.Time, engines []rollout.Engine,
) (commands []rollout.Command) {
	now := r.options.now()
	// Members send the counts of a window after the window's end: the counts of the last window may be under way.
	windows := r.counts.completeWindows(windowNumber(now) - 2)
	r.readState(func(m *rollout.StateMachine) {
		commands = append(commands, suspicions(m, now, alive, notAliveSince)...)
		commands = append(commands, engineChanges(m, engines)...)
		commands = append(commands, loadAndHealth(m, windows)...)
		if deadline, ok := m.NextDeadline(); ok && time.Duration(now.UnixNano()) >= deadline {
			commands = append(commands, rollout.Command{Tick: &struct{}{}})
		}
	})
	return commands
}

// suspicions returns a command for each member whose process has not been alive for at least suspicionTimeout.
func suspicions(
	m *rollout.StateMachine, now time.Time, alive map[string]uint64, notAliveSince map[string]time.Time,
) (commands []rollout.Command) {
	for name, member := range m.Members {
		if member.Suspected || member.Phase == rollout.Terminated || alive[name] == member.Incarnation {
			delete(notAliveSince, name)
			continue
		}
		if notAliveSince[name].IsZero() {
			notAliveSince[name] = now
		}
		if now.Sub(notAliveSince[name]) >= suspicionTimeout {
			suspect := &rollout.Suspect{Name: name, Incarnation: member.Incarnation}
			commands = append(commands, rollout.Command{Suspect: suspect})
			delete(notAliveSince, name)
		}
	}
	return commands
}

// engineChanges returns a command for each engine whose entry in the leader's endpoint list differs from the state, and
// for each engine that is marked as listed in the state and is not in the list. An empty list marks no engine as
// unlisted.
func engineChanges(m *rollout.StateMachine, engines []rollout.Engine) (commands []rollout.Command) {
	listed := map[string]bool{}
	for _, engine := range engines {
		listed[engine.Name] = true
		if known := m.Engines[engine.Name]; known == nil || *known != engine {
			commands = append(commands, rollout.Command{Engine: &engine})
		}
	}
	if len(engines) == 0 {
		return commands
	}
	for name, engine := range m.Engines {
		if !listed[name] && engine.Listed {
			unlisted := &rollout.Engine{Name: name, Process: engine.Process}
			commands = append(commands, rollout.Command{Engine: unlisted})
		}
	}
	return commands
}

// loadChangeDivisor sets the threshold of a load command: the load must differ from the load in the state by more than
// 1/loadChangeDivisor of the latter.
const loadChangeDivisor = 10

// loadAndHealth returns the commands for complete windows of counts: the load, if it has changed enough, and the health
// of a release that is neither done nor rolling back.
func loadAndHealth(m *rollout.StateMachine, windows []countWindow) (commands []rollout.Command) {
	for _, window := range windows {
		load := rollout.Load{Engines: m.Load.Engines}
		for _, counts := range window.counts {
			load.FrontEnds += counts.Load
		}
		change, threshold := load.FrontEnds-m.Load.FrontEnds, m.Load.FrontEnds/loadChangeDivisor
		if change > threshold || -change > threshold {
			commands = append(commands, rollout.Command{Load: &load})
		}
		if release := m.Release; release != nil && release.State != rollout.Done && !release.RollingBack {
			commands = append(commands, rollout.Command{Health: window.health(release)})
		}
	}
	return commands
}

// health sums a window's counts by zone, separately for the revision of a release and for all other revisions.
func (w countWindow) health(release *rollout.Release) *rollout.Health {
	health := &rollout.Health{Release: release.Number, Window: uint64(w.number)}
	zones := map[string]*rollout.ZoneCounts{}
	for _, counts := range w.counts {
		zone := zones[counts.Zone]
		if zone == nil {
			zone = &rollout.ZoneCounts{Zone: counts.Zone}
			zones[counts.Zone] = zone
		}
		if counts.Revision == release.Revision {
			addCounts(&zone.New, counts.Counts)
		} else {
			addCounts(&zone.Old, counts.Counts)
		}
	}
	for _, zone := range zones {
		health.Zones = append(health.Zones, *zone)
	}
	slices.SortFunc(health.Zones, func(a, b rollout.ZoneCounts) int { return cmp.Compare(a.Zone, b.Zone) })
	return health
}

func addCounts(sum *rollout.RequestCounts, counts rollout.RequestCounts) {
	sum.Requests += counts.Requests
	sum.Failed += counts.Failed
	sum.Rejected += counts.Rejected
	sum.Slow += counts.Slow
}
