package scale

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechcart/decision/rollout"
)

// change is one drain of a database, as the members had it in force.
type change struct {
	engine   string
	sent     time.Time   // when the call that the log accepted was made
	inForce  []time.Time // at each live member that had it
	live     int         // members that had to have it
	reverted int         // members at which it went out of force while it stood
}

func (c *change) lost() bool { return len(c.inForce) < c.live }

// last is when the last live member had the change in force.
func (c *change) last() (last time.Time) {
	for _, at := range c.inForce {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// latency is from the drain's acceptance until the last live member that has it had it in force; 0 where none has.
func (c *change) latency() time.Duration {
	if len(c.inForce) == 0 {
		return 0
	}
	return c.last().Sub(c.sent)
}

// changeLog is all changes of a run, and the next database to drain.
type changeLog struct {
	made       []*change
	nextEngine int
}

// summarize counts the changes and their percentiles.
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

// runChanges drains databases one after the other, and measures until each is in force everywhere.
func (r *run) runChanges(ctx context.Context) {
	for range r.options.Changes {
		r.undrain(ctx, r.drain(ctx))
	}
}

// drain drains the next database, waits until it is in force at every live member, and watches it for a while. A
// drain that the log does not accept in time is lost: a fleet that can't agree is a finding.
func (r *run) drain(ctx context.Context) *change {
	c := &change{engine: engineName(r.changes.nextEngine % r.options.Engines)}
	r.changes.nextEngine++
	r.changes.made = append(r.changes.made, c)
	within, cancel := context.WithTimeout(ctx, r.options.ChangeWithin)
	defer cancel()
	accepted, err := r.apply(within, rollout.Command{Drain: &rollout.Subject{Name: c.engine, Engine: true}})
	if err != nil {
		r.logf("drain of %s is not accepted: %v", c.engine, err)
		c.live = r.options.Members
		return c
	}
	c.sent = accepted.sent
	for r.collect(c); c.lost(); r.collect(c) {
		if !sleepFor(within, lookInterval) {
			break
		}
	}
	r.logf("drain of %s: in force at %d of %d after %.2f s", c.engine, len(c.inForce), c.live, c.latency().Seconds())
	if !c.lost() {
		sleepFor(ctx, r.options.ChangeStands)
		c.reverted = r.reverted(c)
	}
	return c
}

// undrain ends a drain and waits until it is out of force at all hosts.
func (r *run) undrain(ctx context.Context, c *change) {
	if c.sent.IsZero() {
		return
	}
	within, cancel := context.WithTimeout(ctx, r.options.ChangeWithin)
	defer cancel()
	if _, err := r.apply(within, rollout.Command{Undrain: &rollout.Subject{Name: c.engine, Engine: true}}); err != nil {
		r.logf("undrain of %s is not accepted: %v", c.engine, err)
		return
	}
	ended := &change{engine: c.engine}
	for r.collect(ended); len(ended.inForce) > 0; r.collect(ended) {
		if !sleepFor(within, lookInterval) {
			r.logf("%s is still drained at %d members", c.engine, len(ended.inForce))
			return
		}
	}
}

// collect reads from the last reports at which live members the change is in force, and since when.
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

// reverted counts the live members at which a change that was in force everywhere is not any more, or has come anew.
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

// drainOf is what a report tells of an engine's drain.
func drainOf(report HostReport, engine string) DrainState {
	for _, d := range report.Drains {
		if d.Engine == engine {
			return d
		}
	}
	return DrainState{Engine: engine}
}
