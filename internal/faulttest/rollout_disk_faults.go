package faulttest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"beechcart/internal/faulttest/cluster"
)

// caughtUpWithin is how many log entries a control replica may lack and count as caught up.
const caughtUpWithin = 5

// loseDisk kills a control replica and removes its replica store.
func (r *rolloutRun) loseDisk(ctx context.Context, rng *rand.Rand) {
	m := r.claim(rng, true)
	if m == nil {
		return
	}
	defer r.unclaim(m)
	r.options.logf("%s loses its disk", m.Name)
	if err := m.LoseDisk(); err != nil {
		r.options.logf("%v", err)
	}
	r.waitListening(ctx, m)
	r.waitRejoined(ctx, m)
}

// diskFault lets the writes of a control replica fail for a while, as cluster.Member.FailDisk names it. Its process
// continues.
func diskFault(failure string) func(*rolloutRun, context.Context, *rand.Rand) {
	return func(r *rolloutRun, ctx context.Context, rng *rand.Rand) {
		m := r.claim(rng, true)
		if m == nil {
			return
		}
		defer r.unclaim(m)
		r.options.logf("the disk of %s fails: %s", m.Name, failure)
		if err := m.FailDisk(failure); err != nil {
			r.options.logf("%v", err)
		}
		sleep(ctx, drawDuration(rng, time.Second, 5*time.Second))
		if err := m.FailDisk(""); err != nil {
			r.options.logf("%v", err)
		}
		r.waitRejoined(ctx, m)
	}
}

// waitRejoined waits until a control replica with a new disk is a caught-up voter again. A second disk lost before
// that is more than three replicas tolerate.
func (r *rolloutRun) waitRejoined(ctx context.Context, m *cluster.Member) {
	for range 300 {
		if r.hasRejoined(m) {
			return
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
	r.options.logf("%s is not back among the control replicas", m.Name)
}

func (r *rolloutRun) hasRejoined(m *cluster.Member) bool {
	leader := r.leaderStatus()
	if leader == nil || len(leader.Servers) != controlReplicas || slices.Contains(leader.Servers, "") {
		return false
	}
	replica, err := r.cluster.Client.StatusOf(m.Name)
	return err == nil && replica.AppliedIndex+caughtUpWithin >= leader.AppliedIndex
}
