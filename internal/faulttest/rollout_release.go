package faulttest

import (
	"context"
	"fmt"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

const (
	// shortRunSeconds is below how many seconds a run has fewer and shorter waves.
	shortRunSeconds = 20
	// haltObservation is how long a halted release is left alone, so that a shutdown after the halt is seen.
	haltObservation = 2 * time.Second
	// releasePatience is after how long a bad release is halted by hand that was not halted by judgement.
	releasePatience = 30 * time.Second
)

// apply enters an operator's command, and repeats it under the same id until it is answered or ctx ends.
func (r *rolloutRun) apply(ctx context.Context, c rollout.Command) (rollout.Result, error) {
	r.mu.Lock()
	r.commands++
	c.ID, c.RequestedBy = fmt.Sprintf("faulttest-%d", r.commands), "the fault test"
	r.mu.Unlock()
	for {
		result, err := r.cluster.Client.Apply(c)
		if err == nil {
			return result, nil
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return result, ctx.Err()
		}
	}
}

// leaderStatus returns the status of the leader; nil if there is none.
func (r *rolloutRun) leaderStatus() *fleet.Status {
	if status, err := r.cluster.Client.Status(); err == nil && status.IsLeader {
		return &status
	}
	return nil
}

// release brings the fleet to a revision. A release that is halted is resumed if resume is set, and rolled back
// otherwise.
func (r *rolloutRun) release(ctx context.Context, revision string, resume bool) {
	number, started := r.startRelease(ctx, revision)
	if !started {
		return
	}
	r.options.logf("release %d to %s", number, revision)
	o := &releaseOperator{run: r, revision: revision, number: number, resume: resume, began: time.Now()}
	for sleep(ctx, 100*time.Millisecond) {
		if o.check(ctx) {
			return
		}
	}
}

// startRelease asks for a release until it is granted, and returns its number; false if ctx ended before.
func (r *rolloutRun) startRelease(ctx context.Context, revision string) (number uint64, started bool) {
	start := rollout.StartRelease{Revision: revision, Waves: []float64{0.05, 0.5, 1}, Soak: 5 * time.Second}
	if r.options.Seconds < shortRunSeconds {
		start.Waves, start.Soak = []float64{0.05, 1}, 3*time.Second
	}
	for {
		result, err := r.apply(ctx, rollout.Command{StartRelease: &start})
		if err != nil {
			return 0, false
		}
		if result.Rejected == nil {
			return result.Release, true
		}
		if !sleep(ctx, 500*time.Millisecond) {
			return 0, false
		}
	}
}

// releaseOperator follows one release to its end.
type releaseOperator struct {
	run        *rolloutRun
	revision   string
	number     uint64
	resume     bool
	began      time.Time
	rolledBack bool
}

// check looks at the release once, and acts on a halt; true once the release is done.
func (o *releaseOperator) check(ctx context.Context) (done bool) {
	status := o.run.leaderStatus()
	if status == nil || status.State.Release == nil || status.State.Release.Number != o.number {
		return false
	}
	switch release := status.State.Release; {
	case release.State == rollout.Done:
		took := time.Since(o.began)
		o.run.count("release_s_"+o.revision, took.Seconds())
		o.run.options.logf("release %d ended, back %v, after %v", o.number, release.RollingBack, took.Round(time.Millisecond))
		return true
	case release.State == rollout.Halted && !o.rolledBack:
		o.handleHalt(ctx, release.HaltCause)
	case release.State == rollout.Running && !o.resume && !o.rolledBack && time.Since(o.began) > releasePatience:
		o.run.options.logf("the bad release was not halted by itself")
		o.run.count("halted_by_hand", 1)
		_, _ = o.run.apply(ctx, rollout.Command{Halt: &rollout.Halt{Cause: "not halted by analysis in time"}})
	}
	return false
}

// handleHalt records for how long the release stays halted, and then resumes it or rolls it back.
func (o *releaseOperator) handleHalt(ctx context.Context, cause string) {
	acknowledged := time.Now()
	o.run.count("halts_"+o.revision, 1)
	o.run.options.logf("release %d halted: %s", o.number, cause)
	sleep(ctx, haltObservation)
	o.run.mu.Lock()
	o.run.haltPeriods = append(o.run.haltPeriods, period{acknowledged, time.Now()})
	o.run.mu.Unlock()
	if o.resume {
		_, _ = o.run.apply(ctx, rollout.Command{Resume: &struct{}{}})
		return
	}
	o.rolledBack = true
	_, _ = o.run.apply(ctx, rollout.Command{Rollback: &struct{}{}})
}
