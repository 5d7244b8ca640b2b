package fleet

import (
	"errors"
	"time"

	"beechcart/decision/diskrecovery"
)

// recoveryInterval is how often a member whose log is not open asks whether it may open it.
const recoveryInterval = 200 * time.Millisecond

// replicaRunner keeps a member's control replica open, and carries out what follows failures of its disk.
type replicaRunner struct {
	member  *Member
	policy  *diskrecovery.Policy
	started time.Time
}

// now is the time as the policy counts it.
func (r *replicaRunner) now() time.Duration { return time.Since(r.started) }

// startReplica opens the log for the first time, and keeps it open in a goroutine that ends with the member. An error
// tells of what can't be opened; a disk that has failed is none: the front end serves without the log.
func (m *Member) startReplica() error {
	r := &replicaRunner{member: m, started: time.Now()}
	newPolicy := diskrecovery.New
	marked := hasDurabilityMark(m.options.LogDirectory)
	if marked {
		newPolicy = diskrecovery.NewMarked
	}
	var err error
	if r.policy, err = newPolicy(diskrecovery.Defaults(), r.now()); err != nil {
		return err
	}
	var replica *ControlReplica
	if !marked {
		var diskErr *DiskError
		replica, err = OpenReplica(&m.options)
		if errors.As(err, &diskErr) {
			r.diskFailed(err)
		} else if err != nil {
			return err
		}
	}
	m.done.Add(1)
	go r.run(replica)
	return nil
}

// run serves the replica, which may be nil, and opens another one as the policy tells, until the member ends.
func (r *replicaRunner) run(replica *ControlReplica) {
	defer r.member.done.Done()
	logged := "" // the reason that was logged last
	for {
		if replica != nil {
			logged = ""
			if !r.serve(replica) {
				return
			}
			r.diskFailed(replica.store.firstFailure())
			replica = nil
		}
		action := r.policy.Next(r.now(), r.quorum())
		if reason := r.policy.Reason(); reason != logged && reason != "" {
			logged = reason
			r.member.log.Warn("control replica stopped", "why", reason)
		}
		if action == diskrecovery.Wait {
			if !r.member.sleep(recoveryInterval) {
				return
			}
			continue
		}
		replica = r.open(action)
	}
}

// open opens the log as the policy has told; nil where it can't be opened.
func (r *replicaRunner) open(action diskrecovery.Action) *ControlReplica {
	options := &r.member.options
	var err error
	if action == diskrecovery.Reinitialize {
		err = setAside(options.LogDirectory)
	}
	var replica *ControlReplica
	if err == nil {
		replica, err = OpenReplica(options)
	}
	if err != nil {
		r.member.log.Error("control log not opened", "error", err)
		var diskErr *DiskError
		if errors.As(err, &diskErr) {
			r.diskFailed(err)
		}
		r.policy.Failed(r.now(), diskrecovery.OpenFailed)
		return nil
	}
	if action == diskrecovery.Reinitialize {
		r.policy.Reinitialized(r.now())
	} else {
		r.policy.Reopened(r.now())
	}
	r.member.log.Info("control replica started",
		"identity", replica.id, "reinitialized", action == diskrecovery.Reinitialize)
	return replica
}

// serve runs the replica until its disk fails; false when the member ends.
func (r *replicaRunner) serve(replica *ControlReplica) bool {
	replica.done.Add(1)
	go replica.runLeader(r.member.gossip, r.member.frontEnd.Engines)
	defer replica.Close()
	select {
	case <-r.member.stop:
		return false
	case <-replica.store.failed:
		return true
	}
}

// diskFailed tells the policy of a failure. One of unknown durability is marked on the disk, for the next process.
func (r *replicaRunner) diskFailed(err error) {
	log := r.member.log
	failure := classifyFailure(err)
	if failure == diskrecovery.DurabilityUnknown {
		if err := writeDurabilityMark(r.member.options.LogDirectory, err); err != nil {
			log.Error("unknown durability not marked on the disk", "error", err)
		}
	}
	log.Error("disk of the control log failed", "error", err)
	r.policy.Failed(r.now(), failure)
}

// quorum asks whether the other replicas have a quorum without this one, which is not open.
func (r *replicaRunner) quorum() diskrecovery.Quorum {
	status, err := r.member.client.Status()
	return diskrecovery.Quorum(err == nil && status.IsLeader)
}
