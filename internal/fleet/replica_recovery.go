package fleet

import (
	"errors"
	"time"

	"beechcart/decision/diskrecovery"
)

// recoveryInterval is the interval between requests for the policy's next action while the log is not open.
const recoveryInterval = 200 * time.Millisecond

// replicaRunner keeps a member's control replica open, and reopens or reinitializes the log after disk failures, as
// the recovery policy decides.
type replicaRunner struct {
	member  *Member
	policy  *diskrecovery.Policy
	started time.Time
}

// now returns the time since the runner started, which is the policy's clock.
func (r *replicaRunner) now() time.Duration { return time.Since(r.started) }

// startReplica opens the log and starts a goroutine that keeps the log open until the member stops. A log with a
// durability mark is not opened: the policy decides when to reinitialize it. startReplica returns an error if the log
// or a port can't be opened. A failed disk is no error: the front end serves without the log.
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

// run serves the replica, and reopens or reinitializes the log when the policy decides so, until the member stops. A
// nil replica means that the log is not open.
func (r *replicaRunner) run(replica *ControlReplica) {
	defer r.member.done.Done()
	loggedReason := "" // reason in the last log message
	for {
		if replica != nil {
			loggedReason = ""
			if !r.serve(replica) {
				return
			}
			r.diskFailed(replica.store.firstFailure())
			replica = nil
		}
		action := r.policy.Next(r.now(), r.quorum())
		if reason := r.policy.Reason(); reason != loggedReason && reason != "" {
			loggedReason = reason
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

// open carries out the policy's action: Reopen opens the existing log, and Reinitialize sets that log aside and opens
// an empty one. It returns nil if the log can't be opened.
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

// serve runs the replica. It returns true when the replica's disk fails, and false when the member stops.
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

// diskFailed reports a disk failure to the policy. If the durability of the log is unknown, it also writes the
// durability mark, so that the next process does not open the log.
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

// quorum reports whether the other replicas have a quorum without this one. It may be called only while this replica is
// not open: a leader that answers is then one of the others, and a leader needs a quorum.
func (r *replicaRunner) quorum() diskrecovery.Quorum {
	status, err := r.member.client.Status()
	return diskrecovery.Quorum(err == nil && status.IsLeader)
}
