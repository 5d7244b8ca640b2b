package faulttest

import (
	"context"
	"fmt"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

const (
	// shortRunSeconds is the length below which a run has fewer waves and shorter soaks.
	shortRunSeconds = 20
	// haltObservation is the time that a halted release stays halted, in which a shutdown would violate AfterHalt.
	haltObservation = 2 * time.Second
	// analysisTimeout is the time after which the operator halts a bad release that the analysis has not halted.
	analysisTimeout = 30 * time.Second
)

// apply sends an operator's command, and repeats the command under the same id until it is answered or ctx ends.
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

// leaderStatus returns the status of the leader, or nil if there is no leader.
func (r *rolloutRun) leaderStatus() *fleet.Status {
	if status, err := r.cluster.Client.Status(); err == nil && status.IsLeader {
		return &status
	}
	return nil
}

// release releases a revision to the fleet. A halted release is resumed if resume is set, and rolled back otherwise.
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

// startRelease requests a release until the release is granted, and returns its number. It returns false if ctx ended
// first.
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

// check reads the state of the release once and reacts to a halt. It returns true once the release is done.
func (o *releaseOperator) check(ctx context.Context) (done bool) {
	status := o.run.leaderStatus()
	if status == nil || status.State.Release == nil || status.State.Release.Number != o.number {
		return false
	}
	switch release := status.State.Release; {
	case release.State == rollout.Done:
		took := time.Since(o.began)
		o.run.count("release_s_"+o.revision, took.Seconds())
		o.run.options.logf("release %d is done, rolled back: %v, after %v", o.number, release.RollingBack,
			took.Round(time.Millisecond))
		return true
	case release.State == rollout.Halted && !o.rolledBack:
		o.handleHalt(ctx, release.HaltCause)
	case release.State == rollout.Running && !o.resume && !o.rolledBack && time.Since(o.began) > analysisTimeout:
		o.run.options.logf("the analysis has not halted the bad release in time; halting by command")
		o.run.count("halted_by_hand", 1)
		_, _ = o.run.apply(ctx, rollout.Command{Halt: &rollout.Halt{Cause: "not halted by analysis in time"}})
	}
	return false
}

// handleHalt records the period in which the release stays halted, and then resumes the release or rolls it back.
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
