package scale

import (
	"context"
	"fmt"
	"time"
)

const (
	afterFaultWindow = 5 * time.Second  // the window after a fault for which FaultResult.After is measured
	quietTimeout     = 60 * time.Second // the longest time that a fleet is observed after a fault
	quietFor         = 5 * time.Second  // the fleet is quiet once its membership has been complete for this long
)

// FaultResult is the effect of one fault on the fleet.
type FaultResult struct {
	Name    string  `json:"name"`
	Played  string  `json:"played"`  // the fault in words, with the members that it affected
	Members int     `json:"members"` // number of members that the fault affected
	Seconds float64 `json:"seconds"` // duration of the fault
	// from the fault's end until the control log knows every member, every member hears of all members, and both hold
	// for quietFor; null: not within quietTimeout
	QuietAfterSeconds *float64 `json:"quiet_after_seconds"`
	// in the 5 s after the fault's end, of hosts with two reports or more in that window
	After      MemberCost    `json:"per_member_after"`
	AfterCores float64       `json:"cpu_cores_after"` // of all hosts, in the same window
	Heard      []HeardSample `json:"heard"`           // samples after the fault's end, in order
	// latency of a drain that was made once the fleet was quiet, until it was in force at every live member
	DrainInForce float64 `json:"drain_in_force_seconds"`
	// true if that drain was not in force at every live member within Options.ChangeWithin
	DrainLost bool `json:"drain_lost"`
	// members that had not applied the drain that was made during the fault, at the fault's end; null: no such drain
	HeldBack *int `json:"drain_during_held_back"`
	// from the fault's end until the drain made during the fault was in force at every live member
	CaughtUpSeconds *float64 `json:"drain_caught_up_seconds"`

	Notice *Notice `json:"notice,omitempty"` // set for faults that measure the time until their members are suspected

	during *change // the drain that was made during the fault
}

// HeardSample is one sample of the membership views: how many members each member hears of.
type HeardSample struct {
	Seconds float64 `json:"seconds"` // since the fault's end
	Least   int     `json:"least"`
	Mean    float64 `json:"mean"`
	Known   int     `json:"known"`
	// hosts without a report since the fault's end; the other fields exclude them
	Silent int `json:"silent_hosts"`
}

// fault is one kind of fault. play starts the fault, ends it, and describes it in found. When play returns, the cause
// is removed and only the fleet's own recovery remains.
type fault struct {
	name string
	play func(ctx context.Context, r *run, found *FaultResult) error
}

// faults lists all faults in the order of --faults all.
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

// injectFaults plays the faults of Options.Faults one after the other.
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

// injectFault plays one fault, observes the fleet until it is quiet, and then measures the drain of a database.
func (r *run) injectFault(ctx context.Context, f fault) (FaultResult, error) {
	found := FaultResult{Name: f.name}
	r.logf("fault: %s", f.name)
	began := time.Now()
	if err := f.play(ctx, r, &found); err != nil {
		return found, err
	}
	over := time.Now()
	found.Seconds = over.Sub(began).Seconds()
	r.logf("%s: ended after %.1f s", found.Played, found.Seconds)
	r.logNotice(found.Notice)
	r.awaitQuiet(ctx, over, &found)
	c := r.costsBetween(over, over.Add(afterFaultWindow))
	found.After, found.AfterCores = c.member, c.cpuCores
	r.logf("a member sends %.0f B/s in the %v after the fault", c.member.SentBytesPerSecond, afterFaultWindow)
	if found.during != nil {
		r.measureCatchUp(ctx, over, &found)
	}
	after := r.drain(ctx)
	found.DrainInForce, found.DrainLost = after.latency().Seconds(), after.lost()
	r.undrain(ctx, after)
	return found, ctx.Err()
}

// awaitQuiet samples the membership views from the end of a fault until they have been complete for quietFor, or
// quietTimeout has passed.
func (r *run) awaitQuiet(ctx context.Context, over time.Time, found *FaultResult) {
	lastIncomplete := over // last time at which the membership was not complete
	for time.Since(over) < quietTimeout {
		now := time.Now()
		state := r.observeSince(over)
		if state.silent < len(r.hosts) {
			found.Heard = append(found.Heard, HeardSample{now.Sub(over).Seconds(), state.heardLeast, state.heardMean,
				state.known, state.silent})
		}
		if !state.complete(r.options.Members) {
			lastIncomplete = now
		}
		if now.Sub(lastIncomplete) >= quietFor {
			seconds := lastIncomplete.Sub(over).Seconds()
			found.QuietAfterSeconds = &seconds
			r.logf("fleet quiet after %.1f s", seconds)
			return
		}
		if !sleepFor(ctx, reportMillis*time.Millisecond/2) {
			return
		}
	}
	last := r.observeSince(over)
	r.logf("fleet not quiet after %v: members hear of %d at least, %.1f on average; %d of %d registered, %d hosts silent",
		quietTimeout, last.heardLeast, last.heardMean, last.known, last.members, last.silent)
}
