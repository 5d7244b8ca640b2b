package fleet

import (
	"sync"
	"time"

	"beechcart/decision/rollout"
)

// Pauses of a member's goroutines.
const (
	retryInterval = 100 * time.Millisecond // after a failed call
	viewInterval  = 50 * time.Millisecond  // before the next watch, if the view is stale or must be applied again
)

// reportStatus sends the current status until a replica has acknowledged it, then waits for the next status. It runs
// until the member stops.
func (m *Member) reportStatus() {
	defer m.done.Done()
	var registerOnce sync.Once
	for {
		status, pending := m.status()
		if !pending {
			select {
			case <-m.stop:
				return
			case <-m.statusChanged:
			}
			continue
		}
		result, err := m.client.Apply(rollout.Command{ReportStatus: &status})
		if err != nil {
			if !m.sleep(retryInterval) {
				return
			}
			continue
		}
		if rejected := result.Rejected; rejected != nil && rejected.Code != rollout.StaleMessage {
			m.log.Error("status rejected", "phase", string(status.Phase), "error", rejected.Error())
		}
		m.exclude(result.Applied, engineSet(result.Drained))
		m.mu.Lock()
		m.acknowledged = max(m.acknowledged, status.StatusSequence)
		m.mu.Unlock()
		notify(m.statusAcknowledged)
		registerOnce.Do(func() { close(m.registered) })
	}
}

// status returns the current status, and whether no replica has acknowledged it yet.
func (m *Member) status() (status rollout.ReportStatus, pending bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	status = rollout.ReportStatus{
		Name: m.options.Name, Zone: m.options.Zone, Kind: m.options.Kind, Weight: m.options.CapacityPerSecond,
		Incarnation: m.incarnation, StatusSequence: m.sequence, Revision: m.options.Revision, Phase: m.phase,
	}
	return status, m.acknowledged < m.sequence
}

func engineSet(names []string) EngineSet {
	set := EngineSet{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// watchState watches this member's view at one replica at a time, and applies each view that it receives. It runs until
// the member stops.
func (m *Member) watchState() {
	defer m.done.Done()
	replicas := m.options.ControlReplicas
	replicaIndex, version, connected := int(m.incarnation/1000)%len(replicas), "", true
	for !m.stopped() {
		replica := replicas[replicaIndex%len(replicas)]
		var answer watchAnswer
		path := "/watch?name=" + m.options.Name + "&have=" + version
		pause := time.Duration(0)
		if err := call(&m.options, replica.APIAddress, path, nil, &answer); err != nil {
			if connected {
				m.log.Warn("fleet connection lost", "replica", replica.Name, "error", err)
			}
			connected = false
			replicaIndex, version, pause = replicaIndex+1, "", retryInterval
		} else {
			if !connected {
				m.log.Info("fleet connection restored", "replica", replica.Name)
			}
			connected, version = true, answer.Version
			switch {
			case !m.exclude(answer.AppliedIndex, answer.View.drainedEngines()): // this replica is behind
				replicaIndex, version, pause = replicaIndex+1, "", viewInterval
			case m.applyView(answer.View):
				version, pause = "", viewInterval
			}
		}
		if pause > 0 && !m.sleep(pause) {
			return
		}
	}
}

func (v MemberView) drainedEngines() EngineSet {
	engines := EngineSet{}
	for _, drain := range v.Drains {
		engines[drain.Engine] = true
	}
	return engines
}

// applyView reports this process's status and drains and activates its permit, as the view requires. It returns true if
// the view must be applied again, even if the view does not change.
func (m *Member) applyView(view MemberView) (again bool) {
	phase := m.refreshStatus(view)
	if view.Incarnation > m.incarnation {
		m.log.Error("another process is in the fleet under this name", "process", view.Incarnation, "this", m.incarnation)
		return true
	}
	if view.Incarnation == m.incarnation {
		again = m.reportDrains(view.Drains)
	}
	if permit := view.Permit; permit != nil && permit.Incarnation == m.incarnation && phase == rollout.Serving {
		again = m.activatePermit(permit) || again
	}
	return again
}

// refreshStatus returns the current phase. It also reports the status again if, in the view, this process is not
// registered, is suspected or has an older status, unless a report is pending or a later process has this name. If the
// view comes from a replica that is behind, the repeated report is harmless.
func (m *Member) refreshStatus(view MemberView) rollout.Phase {
	m.mu.Lock()
	defer m.mu.Unlock()
	outdated := !view.Registered || view.Suspected || view.StatusSequence < m.sequence
	if view.Incarnation > m.incarnation || !outdated || m.acknowledged != m.sequence {
		return m.phase
	}
	if view.Registered && view.StatusSequence == m.sequence {
		m.sequence++ // the log rejects a report with a known sequence as stale
	} else {
		m.acknowledged = 0
	}
	notify(m.statusChanged)
	return m.phase
}

// reportDrains reports each draining engine that runs no query of this front end any more. It returns true if an engine
// still runs one or a report has failed: the caller must call reportDrains again.
func (m *Member) reportDrains(drains []EngineDrain) (again bool) {
	for _, drain := range drains {
		if drain.Acknowledged {
			continue
		}
		if !m.frontEnd.Drained(drain.Engine) {
			again = true
			continue
		}
		report := &rollout.ReportDrained{Name: m.options.Name, Incarnation: m.incarnation, Permit: drain.Permit}
		_, err := m.client.Apply(rollout.Command{ReportDrained: report})
		again = again || err != nil
	}
	return again
}

// activatePermit activates the permit in the log and then immediately grants the shutdown to the front end, once for
// each permit. It returns true if the caller must call activatePermit again.
func (m *Member) activatePermit(permit *rollout.Permit) (again bool) {
	if m.grantedPermits[permit.Number] || permit.Cancelled {
		return false
	}
	reference := &rollout.PermitReference{Name: m.options.Name, Incarnation: m.incarnation, Permit: permit.Number}
	requestedAt := time.Now()
	result, err := m.client.Apply(rollout.Command{ActivatePermit: reference})
	if err != nil {
		return true
	}
	if result.Rejected != nil {
		m.log.Info("shutdown not granted", "permit", permit.Number, "why", result.Rejected.Error())
		if permit.ActivatedAt > 0 { // the answer to an earlier activation was lost: keep serving and return the permit
			_, err := m.client.Apply(rollout.Command{ReturnPermit: reference})
			return err != nil
		}
		return false
	}
	if !result.Shutdown {
		return false
	}
	// The answer is stale after a slow call, or if the process was paused after the answer: other members may be
	// unavailable by now.
	if time.Since(requestedAt) > activationTimeout {
		return true
	}
	m.grantedPermits[permit.Number] = true
	m.log.Info("shutdown granted",
		"permit", permit.Number, "purpose", string(permit.Purpose), "revision", permit.Revision)
	select {
	case m.shutdowns <- ShutdownGrant{permit.Number, permit.Purpose, permit.Revision}:
	default:
	}
	return false
}

// minWindowSeconds is the lower bound of a window's measured duration when its load in requests a second is computed.
const minWindowSeconds = 0.1

// reportCounts sends the counts of each window to the leader while the process serves. It makes one call for each
// window: the counts of a failed call are lost. It runs until the member stops.
func (m *Member) reportCounts() {
	defer m.done.Done()
	last, start := m.frontEnd.RequestCounts(), time.Now()
	for {
		now := m.options.now()
		end := time.Unix(0, (windowNumber(now)+1)*int64(windowLength))
		if !m.sleep(end.Sub(now)) {
			return
		}
		counts := m.frontEnd.RequestCounts()
		window := WindowCounts{
			Name: m.options.Name, Zone: m.options.Zone, Revision: m.options.Revision, Window: windowNumber(end) - 1,
			Counts: rollout.RequestCounts{
				Requests: counts.Requests - last.Requests, Failed: counts.Failed - last.Failed,
				Rejected: counts.Rejected - last.Rejected, Slow: counts.Slow - last.Slow,
			},
		}
		window.Load = float64(window.Counts.Requests) / max(time.Since(start).Seconds(), minWindowSeconds)
		last, start = counts, time.Now()
		m.mu.Lock()
		serving := m.phase == rollout.Serving
		m.mu.Unlock()
		if serving {
			_ = m.client.call(0, "/counts", window, nil)
		}
	}
}
