package scale

import (
	"context"
	"fmt"
	"time"
)

const (
	costAfterFor = 5 * time.Second  // the window after a fault whose cost is reported
	quietWithin  = 60 * time.Second // how long a fleet is watched after a fault
	quietFor     = 5 * time.Second  // so long all must hear of all to count as quiet
)

// FaultResult is what a fault did to the fleet.
type FaultResult struct {
	Name    string  `json:"name"`
	Played  string  `json:"played"`  // what was done, to whom
	Members int     `json:"members"` // that it was done to
	Seconds float64 `json:"seconds"` // that the fault lasted
	// from its end until every member was known and heard of all, and that stayed; null: not within the run
	QuietAfterSeconds *float64 `json:"quiet_after_seconds"`
	// in the 5 s after its end; hosts that were started again in them are not in it
	After      MemberCost    `json:"per_member_after"`
	AfterCores float64       `json:"cpu_cores_after"` // of all hosts
	Heard      []HeardSample `json:"heard"`           // over time
	// of a drain that was made after the quiet: until it was in force everywhere
	DrainInForce float64 `json:"drain_in_force_seconds"`
	// that drain was not in force everywhere within the bound
	DrainLost bool `json:"drain_lost"`
	// members without a drain that was made during the fault, at its end; null: none was made
	HeldBack *int `json:"drain_during_held_back"`
	// from the fault's end until that drain was in force everywhere
	CaughtUpSeconds *float64 `json:"drain_caught_up_seconds"`

	Notice *Notice `json:"notice,omitempty"` // of the faults that measure how long until their members are suspected

	during *change // the drain that was made during the fault
}

// HeardSample tells of how many members the others hear, at a time after the fault's end.
type HeardSample struct {
	Seconds float64 `json:"seconds"`
	Least   int     `json:"least"`
	Mean    float64 `json:"mean"`
	Known   int     `json:"known"`
	// that have not reported since the fault's end, and are not in the other figures
	Silent int `json:"silent_hosts"`
}

// fault is one kind of fault: play lets it begin and end, and tells what was done. All is well again but for what
// the fleet itself has to mend.
type fault struct {
	name string
	play func(ctx context.Context, r *run, found *FaultResult) error
}

// faults lists them in the order of --faults all.
var faults = []fault{
	{"pause", injectPause}, {"leader", injectLeaderLoss}, {"zone", injectZoneCut}, {"all-restart", injectFullRestart},
	{"restarts",
		injectRestarts},
	{"stop", injectStop}, {"regions", injectRegionCut}, {"one-way", injectOneWayCut}, {"disk", injectDiskLoss}, {"dead",
		injectDeath},
}

// FaultNames lists the faults that can be played, in the order of --faults all.
func FaultNames() (names []string) {
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// injectFaults plays the faults that were asked for, one after the other.
func (r *run) injectFaults(ctx context.Context, result *Result) error {
	for _, name := range r.options.Faults {
		for _, f := range faults {
			if f.name != name {
				continue
			}
			found, err := r.injectFault(ctx, f)
			if err != nil {
				return fmt.Errorf("scale: fault %s: %w", name, err)
			}
			result.Faults = append(result.Faults, found)
		}
	}
	return nil
}

// injectFault plays one fault, watches the fleet after it until it is quiet, and drains a database then.
func (r *run) injectFault(ctx context.Context, f fault) (FaultResult, error) {
	found := FaultResult{Name: f.name}
	r.logf("fault: %s", f.name)
	began := time.Now()
	if err := f.play(ctx, r, &found); err != nil {
		return found, err
	}
	over := time.Now()
	found.Seconds = over.Sub(began).Seconds()
	r.logf("%s, is over after %.1f s", found.Played, found.Seconds)
	r.noteNotice(found.Notice)
	r.awaitQuiet(ctx, over, &found)
	c := r.costsBetween(over, over.Add(costAfterFor))
	found.After, found.AfterCores = c.member, c.cpuCores
	r.logf("a member sends %.0f B/s in the %v after", c.member.SentBytesPerSecond, costAfterFor)
	if found.during != nil {
		r.catchUp(ctx, over, &found)
	}
	after := r.drain(ctx)
	found.DrainInForce, found.DrainLost = after.latency().Seconds(), after.lost()
	r.undrain(ctx, after)
	return found, ctx.Err()
}

// awaitQuiet follows who hears of whom from the end of a fault until all have heard of all for quietFor, or
// quietWithin is over.
func (r *run) awaitQuiet(ctx context.Context, over time.Time, found *FaultResult) {
	unquiet := over // the last time at which it was not
	for time.Since(over) < quietWithin {
		now := time.Now()
		state := r.observeSince(over)
		if state.silent < len(r.hosts) {
			found.Heard = append(found.Heard, HeardSample{now.Sub(over).Seconds(), state.heardLeast, state.heardMean,
				state.known, state.silent})
		}
		if !state.complete(r.options.Members) {
			unquiet = now
		}
		if now.Sub(unquiet) >= quietFor {
			seconds := unquiet.Sub(over).Seconds()
			found.QuietAfterSeconds = &seconds
			r.logf("quiet after %.1f s", seconds)
			return
		}
		if !sleepFor(ctx, reportMillis*time.Millisecond/2) {
			return
		}
	}
	last := r.observeSince(over)
	r.logf("not quiet after %v: least heard of %d, mean %.1f, known %d of %d, %d hosts silent", quietWithin,
		last.heardLeast, last.heardMean,
		last.known, last.members, last.silent)
}
