package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
)

// errNoHosts tells that all members are control replicas or real front ends.
var errNoHosts = errors.New("there is no host of hollow members alone")

// restartShare is the share of members that the restarts fault starts again: 78 of 710.
const restartShare = 78.0 / 710

// restartHosts kills all of them, and starts them again after that.
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

// injectRestarts kills a share of the members at once, and starts them again.
func injectRestarts(_ context.Context, r *run, found *FaultResult) error {
	hosts := r.hostsOfShare(r.shuffledHosts(), restartShare)
	found.Members = membersOf(hosts)
	found.Played = fmt.Sprintf("%d hosts with %d members are killed and started again", len(hosts), found.Members)
	return restartHosts(hosts)
}

// injectFullRestart kills every host, the control replicas too, and starts them all at once.
func injectFullRestart(_ context.Context, r *run, found *FaultResult) error {
	found.Members = membersOf(r.hosts)
	found.Played = fmt.Sprintf("all %d hosts are killed and started again at once", len(r.hosts))
	return restartHosts(r.hosts)
}

// injectLeaderLoss kills the replica that leads, and starts it again once another one leads.
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

// injectDiskLoss kills a control replica that does not lead, removes its log, and starts it again.
func injectDiskLoss(ctx context.Context, r *run, found *FaultResult) error {
	if r.options.Control < 3 {
		return errors.New("with fewer than three control replicas a lost disk is a lost log")
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
