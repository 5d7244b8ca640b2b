package fleet

import (
	"errors"
	"time"

	"beechcart/decision/diskrecovery"
)

// openLog opens the log for the first time and sees to it from then on. An error tells what can't be opened; a disk that is in
// doubt, or takes no write, is none: the front end serves without it.
func (m *Member) openLog() error {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	doubt := isMarked(m.options.LogDirectory)
	newPolicy := diskrecovery.New
	if doubt {
		newPolicy = diskrecovery.NewMarked
	}
	decide, err := newPolicy(diskrecovery.Defaults(), now())
	if err != nil {
		return err
	}
	var k *ControlReplica
	if !doubt {
		var bad *DiskError
		if k, err = OpenReplica(&m.options); err != nil && !errors.As(err, &bad) {
			return err
		} else if err != nil {
			m.diskFailed(decide, now(), err)
		}
	}
	m.done.Add(1)
	go m.runReplica(k, decide, now)
	return nil
}

// recoveryInterval is how often a keeper that is out looks whether it may come back.
const recoveryInterval = 200 * time.Millisecond

// runReplica keeps the log, and goes out and comes back as decide tells, until the member ends. The front end serves on meanwhile.
func (m *Member) runReplica(k *ControlReplica, decide *diskrecovery.Policy, now func() time.Duration) {
	defer m.done.Done()
	for told := ""; ; {
		if k != nil {
			told = ""
			if !m.serveReplica(k) {
				return
			}
			m.diskFailed(decide, now(), k.store.reason())
			k = nil
		}
		step := decide.Next(now(), diskrecovery.Quorum(m.quorumAvailable()))
		if why := decide.Reason(); why != told && why != "" {
			told = why
			m.log.Warn("the log is not kept here", "why", why)
		}
		if step == diskrecovery.Wait {
			if !m.wait(recoveryInterval) {
				return
			}
			continue
		}
		var err error
		if step == diskrecovery.Reinitialize {
			err = setAside(m.options.LogDirectory)
		}
		if err == nil {
			k, err = OpenReplica(&m.options)
		}
		if err != nil {
			k = nil
			m.log.Error("the log can't be opened", "error", err)
			var bad *DiskError
			if errors.As(err, &bad) {
				m.diskFailed(decide, now(), err)
			}
			decide.Failed(now(), diskrecovery.OpenFailed)
			continue
		}
		if step == diskrecovery.Reinitialize {
			decide.Reinitialized(now())
		} else {
			decide.Reopened(now())
		}
		m.log.Info("the log is kept again", "identity", k.id, "anew", step == diskrecovery.Reinitialize)
	}
}

// diskFailed tells of a failure of the disk, and marks a doubt for whatever process comes after.
func (m *Member) diskFailed(decide *diskrecovery.Policy, now time.Duration, why error) {
	kind := classifyFailure(why)
	if kind == diskrecovery.DurabilityUnknown {
		if err := setMark(m.options.LogDirectory, why); err != nil {
			m.log.Error("a doubt can't be marked on the disk", "error", err)
		}
	}
	m.log.Error("the disk of the log has failed: this front end keeps it no more, and serves on", "error", why)
	decide.Failed(now, kind)
}

// serveReplica keeps the log until its disk fails; false when the member ends.
func (m *Member) serveReplica(k *ControlReplica) bool {
	k.done.Add(1)
	go k.runLeader(m.gossip, m.frontEnd.Engines)
	select {
	case <-m.stop:
		k.Close()
		return false
	case <-k.store.failed:
		k.Close()
		return true
	}
}

// quorumAvailable tells whether the others agree without this front end, which keeps nothing now.
func (m *Member) quorumAvailable() bool {
	s, err := m.client.Status()
	return err == nil && s.IsLeader
}
