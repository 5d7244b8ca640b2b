package scale

import (
	"context"
	"errors"
	"time"
)

// rejoinTimeout bounds the time in which a restarted control replica is registered and hears of all members.
const rejoinTimeout = 30 * time.Second

// leader returns the host of the leader. It waits for an election for Options.FormWithin at most.
func (r *run) leader(ctx context.Context) (*hostProcess, error) {
	within, cancel := context.WithTimeout(ctx, r.options.FormWithin)
	defer cancel()
	for {
		if s, err := r.client.Status(); err == nil && s.IsLeader {
			for _, h := range r.hosts[:r.options.Control] {
				if h.plan.members[0].Name == s.Replica {
					return h, nil
				}
			}
		}
		if !sleepFor(within, pollInterval) {
			return nil, errors.New("scale: no control replica became leader in time")
		}
	}
}

// runPrimaryChanges repeatedly kills the leader, drains a database at once, and measures the time from the kill until
// the drain is in force at every live member. With a single replica no other one can take over, so nothing is measured.
func (r *run) runPrimaryChanges(ctx context.Context, result *Result) error {
	if r.options.Control == 1 {
		return nil
	}
	for range r.options.PrimaryChanges {
		seconds, err := r.primaryChange(ctx)
		if err != nil {
			return err
		}
		result.PrimaryChange.Each = append(result.PrimaryChange.Each, seconds)
		result.PrimaryChange.Max = max(result.PrimaryChange.Max, seconds)
	}
	return nil
}

// primaryChange kills the leader once, measures a drain, and restarts the killed replica from its disk. Without a
// leader there is nothing to kill, and the result is the time spent waiting for one.
func (r *run) primaryChange(ctx context.Context) (seconds float64, err error) {
	began := time.Now()
	leader, err := r.leader(ctx)
	if err != nil {
		r.logf("%v", err)
		return time.Since(began).Seconds(), ctx.Err()
	}
	killed := time.Now()
	leader.kill()
	c := r.drain(ctx)
	if seconds = c.last().Sub(killed).Seconds(); c.lost() {
		seconds = time.Since(killed).Seconds() // a lower bound: the drain is not in force everywhere yet
	}
	r.logf("%s killed: next drain in force after %.2f s, lost: %v", leader.plan.name, seconds, c.lost())
	if err := leader.start(); err != nil {
		return 0, err
	}
	r.awaitHost(ctx, leader)
	r.undrain(ctx, c)
	return seconds, nil
}

// awaitHost waits until the members of a restarted host are registered and hear of all members.
func (r *run) awaitHost(ctx context.Context, h *hostProcess) bool {
	back := waitUntil(ctx, rejoinTimeout, pollInterval, func() bool {
		report, ok := h.latest()
		return ok && report.Known == len(h.plan.members) && report.HeardLeast >= r.options.Members
	})
	if !back {
		r.logf("%s has not rejoined after %v", h.plan.name, rejoinTimeout)
	}
	return back
}
