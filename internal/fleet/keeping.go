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
	doubt := marked(m.opt.Dir)
	newPolicy := diskrecovery.New
	if doubt {
		newPolicy = diskrecovery.NewMarked
	}
	decide, err := newPolicy(diskrecovery.Defaults(), now())
	if err != nil {
		return err
	}
	var k *Keeper
	if !doubt {
		var bad *diskError
		if k, err = OpenKeeper(&m.opt); err != nil && !errors.As(err, &bad) {
			return err
		} else if err != nil {
			m.failed(decide, now(), err)
		}
	}
	m.done.Add(1)
	go m.keep(k, decide, now)
	return nil
}

// lookAgain is how often a keeper that is out looks whether it may come back.
const lookAgain = 200 * time.Millisecond

// keep keeps the log, and goes out and comes back as decide tells, until the member ends. The front end serves on meanwhile.
func (m *Member) keep(k *Keeper, decide *diskrecovery.Policy, now func() time.Duration) {
	defer m.done.Done()
	for told := ""; ; {
		if k != nil {
			told = ""
			if !m.keeping(k) {
				return
			}
			m.failed(decide, now(), k.disk.reason())
			k = nil
		}
		step := decide.Next(now(), diskrecovery.Quorum(m.agreed()))
		if why := decide.Reason(); why != told && why != "" {
			told = why
			m.log.Warn("the log is not kept here", "why", why)
		}
		if step == diskrecovery.Wait {
			if !m.rest(lookAgain) {
				return
			}
			continue
		}
		var err error
		if step == diskrecovery.Reinitialize {
			err = setAside(m.opt.Dir)
		}
		if err == nil {
			k, err = OpenKeeper(&m.opt)
		}
		if err != nil {
			k = nil
			m.log.Error("the log can't be opened", "error", err)
			var bad *diskError
			if errors.As(err, &bad) {
				m.failed(decide, now(), err)
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

// failed tells of a failure of the disk, and marks a doubt for whatever process comes after.
func (m *Member) failed(decide *diskrecovery.Policy, now time.Duration, why error) {
	kind := kindOf(why)
	if kind == diskrecovery.DurabilityUnknown {
		if err := setMark(m.opt.Dir, why); err != nil {
			m.log.Error("a doubt can't be marked on the disk", "error", err)
		}
	}
	m.log.Error("the disk of the log has failed: this front end keeps it no more, and serves on", "error", why)
	decide.Failed(now, kind)
}

// keeping keeps the log until its disk fails; false when the member ends.
func (m *Member) keeping(k *Keeper) bool {
	k.done.Add(1)
	go k.lead(m.gossip, m.front.Engines)
	select {
	case <-m.stop:
		k.Close()
		return false
	case <-k.disk.failed:
		k.Close()
		return true
	}
}

// agreed tells whether the others agree without this front end, which keeps nothing now.
func (m *Member) agreed() bool {
	s, err := m.client.Status()
	return err == nil && s.Leads
}
