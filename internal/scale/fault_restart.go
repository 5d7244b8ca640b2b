package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
)

// errNoHosts is returned if all members are control replicas or real front ends.
var errNoHosts = errors.New("found no host of simulated front ends besides the control replicas, need at least 1")

// restartShare is the share of members that the restarts fault restarts: 78 of 710.
const restartShare = 78.0 / 710

// restartHosts kills all hosts, and starts them again once all are killed.
func restartHosts(hosts []*hostProcess) error {
	for _, h := range hosts {
		h.kill()
	}
	for _, h := range hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// injectRestarts kills restartShare of the members at the same time, and restarts them.
func injectRestarts(_ context.Context, r *run, found *FaultResult) error {
	hosts := r.hostsForShare(r.shuffledHosts(), restartShare)
	found.Members = membersOf(hosts)
	found.Played = fmt.Sprintf("%d hosts with %d members are killed and started again", len(hosts), found.Members)
	return restartHosts(hosts)
}

// injectFullRestart kills every host, including the control replicas, and restarts all at the same time.
func injectFullRestart(_ context.Context, r *run, found *FaultResult) error {
	found.Members = membersOf(r.hosts)
	found.Played = fmt.Sprintf("all %d hosts are killed and started again at once", len(r.hosts))
	return restartHosts(r.hosts)
}

// injectLeaderLoss kills the leader, and restarts it once another replica leads.
func injectLeaderLoss(ctx context.Context, r *run, found *FaultResult) error {
	leader, err := r.leader(ctx)
	if err != nil {
		return err
	}
	leader.kill()
	if _, err := r.leader(ctx); err != nil && r.options.Control > 1 {
		return err
	}
	found.Members = 1
	found.Played = leader.plan.name + ", which led, is killed, and started again when another one leads"
	return leader.start()
}

// injectDiskLoss kills a control replica that is not the leader, removes its log, and restarts it.
func injectDiskLoss(ctx context.Context, r *run, found *FaultResult) error {
	if r.options.Control < 3 {
		return errors.New("control: found 1 replica, must be at least 3: the loss of the only disk loses the log")
	}
	leader, err := r.leader(ctx)
	if err != nil {
		return err
	}
	first := r.rng.IntN(r.options.Control)
	victim := r.hosts[first]
	if victim == leader {
		victim = r.hosts[(first+1)%r.options.Control]
	}
	victim.kill()
	if err := os.RemoveAll(victim.plan.members[0].Dir); err != nil {
		return err
	}
	found.Members = 1
	found.Played = victim.plan.name + ", which does not lead, loses its disk and is started again"
	return victim.start()
}
