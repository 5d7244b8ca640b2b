package scale

import (
	"context"
	"errors"
	"time"
)

// rejoinWithin is how long a control replica that is started again may take to be known and to hear of all.
const rejoinWithin = 30 * time.Second

// leader is the host of the control replica that leads.
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
		if !sleepFor(within, lookInterval) {
			return nil, errors.New("scale: no control replica leads")
		}
	}
}

// runPrimaryChanges kills the leading replica, drains a database at once, and measures from the kill until the drain
// is in force at every live member. With one replica there is nobody to take over, and nothing is measured.
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

// primaryChange plays one kill and starts the killed replica again from its disk. Where nobody leads in the first
// place there is nothing to kill, and what is reported is how long that was waited for.
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
		seconds = time.Since(killed).Seconds() // at least so long
	}
	r.logf("%s killed: a drain accepted after it is in force after %.2f s, lost: %v", leader.plan.name, seconds, c.lost())
	if err := leader.start(); err != nil {
		return 0, err
	}
	r.awaitHost(ctx, leader)
	r.undrain(ctx, c)
	return seconds, nil
}

// awaitHost waits until the members of a host that was started again are known and hear of all.
func (r *run) awaitHost(ctx context.Context, h *hostProcess) bool {
	back := waitUntil(ctx, rejoinWithin, lookInterval, func() bool {
		report, ok := h.latest()
		return ok && report.Known == len(h.plan.members) && report.HeardLeast >= r.options.Members
	})
	if !back {
		r.logf("%s is not back after %v", h.plan.name, rejoinWithin)
	}
	return back
}
