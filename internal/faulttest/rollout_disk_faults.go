package faulttest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"beechcart/internal/faulttest/cluster"
)

// maxCatchUpLag is the number of log entries by which a control replica may lag behind the leader and still count as
// caught up.
const maxCatchUpLag = 5

// loseDisk kills a control replica and removes its control log.
func (r *rolloutRun) loseDisk(ctx context.Context, rng *rand.Rand) {
	m := r.claim(rng, true)
	if m == nil {
		return
	}
	defer r.unclaim(m)
	r.options.logf("%s: process killed and disk lost", m.Name)
	if err := m.LoseDisk(); err != nil {
		r.options.logf("%v", err)
	}
	r.waitListening(ctx, m)
	r.waitRejoined(ctx, m)
}

// diskFault returns an injection that makes the writes of a control replica fail for a while, with a kind of
// cluster.Member.FailDisk. The replica's process continues to run.
func diskFault(kind string) func(*rolloutRun, context.Context, *rand.Rand) {
	return func(r *rolloutRun, ctx context.Context, rng *rand.Rand) {
		m := r.claim(rng, true)
		if m == nil {
			return
		}
		defer r.unclaim(m)
		r.options.logf("%s: disk fault %s", m.Name, kind)
		if err := m.FailDisk(kind); err != nil {
			r.options.logf("%v", err)
		}
		sleep(ctx, drawDuration(rng, time.Second, 5*time.Second))
		if err := m.FailDisk(""); err != nil {
			r.options.logf("%v", err)
		}
		r.waitRejoined(ctx, m)
	}
}

// waitRejoined waits until a control replica has caught up and is a voter again, for 30 s at most. Three replicas do
// not tolerate the loss of a second disk before that.
func (r *rolloutRun) waitRejoined(ctx context.Context, m *cluster.Member) {
	for range 300 {
		if r.hasRejoined(m) {
			return
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
	r.options.logf("%s did not rejoin the control replicas in time", m.Name)
}

// hasRejoined reports whether all control replicas are voters and a member has caught up with the leader.
func (r *rolloutRun) hasRejoined(m *cluster.Member) bool {
	leader := r.leaderStatus()
	if leader == nil || len(leader.Servers) != controlReplicas || slices.Contains(leader.Servers, "") {
		return false
	}
	replica, err := r.cluster.Client.StatusOf(m.Name)
	return err == nil && replica.AppliedIndex+maxCatchUpLag >= leader.AppliedIndex
}
