package scale

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechcart/decision/rollout"
)

// change is one drain of a database and the times at which the members applied it.
type change struct {
	engine   string
	sent     time.Time   // start of the call that the control log accepted; zero: not accepted
	inForce  []time.Time // one time for each live member that has applied the drain
	live     int         // live members, each of which must apply the drain
	reverted int         // members at which the drain ended before it was undone
}

func (c *change) lost() bool { return len(c.inForce) < c.live }

// last returns the latest time at which a live member applied the change; zero if none did.
func (c *change) last() (last time.Time) {
	for _, at := range c.inForce {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// latency returns the time from the accepted call until the last of the members that applied the drain did so. It
// returns 0 if no member applied the drain.
func (c *change) latency() time.Duration {
	if len(c.inForce) == 0 {
		return 0
	}
	return c.last().Sub(c.sent)
}

// changeLog holds all changes of a run, and the index of the next database to drain.
type changeLog struct {
	made       []*change
	nextEngine int
}

// summarize writes the counts of changes and the percentiles of their latency to result.
func (l *changeLog) summarize(result *Result) {
	seen := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	result.Changes = Changes{Made: len(l.made)}
	for _, c := range l.made {
		if c.lost() {
			result.Changes.Lost++
		}
		result.Changes.Reverted += c.reverted
		for _, at := range c.inForce {
			_ = seen.RecordValue(max(1, at.Sub(c.sent).Microseconds()))
		}
	}
	seconds := func(micros int64) float64 { return float64(micros) / 1e6 }
	if seen.TotalCount() > 0 {
		result.InForce = Percentiles{seconds(seen.ValueAtQuantile(50)), seconds(seen.ValueAtQuantile(99)),
			seconds(seen.Max())}
	}
}

// runChanges drains and undrains databases one after the other, and measures how long each drain takes to be in force
// at every live member.
func (r *run) runChanges(ctx context.Context) {
	for range r.options.Changes {
		r.undrain(ctx, r.drain(ctx))
	}
}

// drain drains the next database, waits until the drain is in force at every live member, and then checks that the
// drain stays in force for Options.RevertWindow. A drain that the control log does not accept in time counts as lost,
// not as an error: a control log without a quorum is a result of the run.
func (r *run) drain(ctx context.Context) *change {
	c := &change{engine: engineName(r.changes.nextEngine % r.options.Engines)}
	r.changes.nextEngine++
	r.changes.made = append(r.changes.made, c)
	within, cancel := context.WithTimeout(ctx, r.options.ChangeWithin)
	defer cancel()
	accepted, err := r.apply(within, rollout.Command{Drain: &rollout.Subject{Name: c.engine, Engine: true}})
	if err != nil {
		r.logf("control log did not accept the drain of %s: %v", c.engine, err)
		c.live = r.options.Members
		return c
	}
	c.sent = accepted.sent
	for r.collect(c); c.lost(); r.collect(c) {
		if !sleepFor(within, pollInterval) {
			break
		}
	}
	r.logf("drain of %s: in force at %d of %d members after %.2f s", c.engine, len(c.inForce), c.live,
		c.latency().Seconds())
	if !c.lost() {
		sleepFor(ctx, r.options.RevertWindow)
		c.reverted = r.reverted(c)
	}
	return c
}

// undrain ends a drain and waits until no live member excludes the database.
func (r *run) undrain(ctx context.Context, c *change) {
	if c.sent.IsZero() {
		return
	}
	within, cancel := context.WithTimeout(ctx, r.options.ChangeWithin)
	defer cancel()
	if _, err := r.apply(within, rollout.Command{Undrain: &rollout.Subject{Name: c.engine, Engine: true}}); err != nil {
		r.logf("control log did not accept the undrain of %s: %v", c.engine, err)
		return
	}
	ended := &change{engine: c.engine}
	for r.collect(ended); len(ended.inForce) > 0; r.collect(ended) {
		if !sleepFor(within, pollInterval) {
			r.logf("%s is still drained at %d members", c.engine, len(ended.inForce))
			return
		}
	}
}

// collect sets c.inForce and c.live from the latest reports of the live members.
func (r *run) collect(c *change) {
	c.inForce, c.live = nil, 0
	for _, h := range r.hosts {
		if !h.runs() {
			continue
		}
		c.live += len(h.plan.members)
		report, _ := h.latest()
		for _, nanos := range drainOf(report, c.engine).EachNanos {
			c.inForce = append(c.inForce, time.Unix(0, nanos))
		}
	}
	for _, f := range r.fronts {
		c.live++
		if since, ok := f.since(c.engine); ok {
			c.inForce = append(c.inForce, since)
		}
	}
}

// reverted counts the live members at which a change that was in force everywhere has ended, or has ended and been
// applied again.
func (r *run) reverted(c *change) int {
	last := c.last()
	now := &change{engine: c.engine}
	r.collect(now)
	count := max(0, len(c.inForce)-len(now.inForce))
	for _, since := range now.inForce {
		if since.After(last) {
			count++
		}
	}
	return count
}

// drainOf returns the state of an engine's drain in a report; no members if the report has no such drain.
func drainOf(report HostReport, engine string) DrainState {
	for _, d := range report.Drains {
		if d.Engine == engine {
			return d
		}
	}
	return DrainState{Engine: engine}
}
