package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"beechcart/decision/rollout"
	"beechcart/internal/fake/changelog"
	"beechcart/internal/fake/engine"
)

// The defects of the engines that front ends of the bad revision connect to.
const (
	badErrorShare = 0.6
	badDelay      = 700 * time.Millisecond
)

// managedEngine is one engine, which runs two processes at a time: front ends of the good revisions connect to one, and
// front ends of the bad revision to the other, which is defective.
type managedEngine struct {
	name      string
	good, bad *engine.Engine
	since     int64 // start of the processes, Unix milliseconds; 0: long before the run
}

func (e *managedEngine) kill() {
	e.good.Kill()
	e.bad.Kill()
}

// zone returns the zone of the engine. Engines alternate between the zones by the first digit of their number.
func (e *managedEngine) zone() string {
	return rolloutZones[int(e.name[1])%len(rolloutZones)]
}

// startEngines starts all engines and lists them in both change logs.
func (r *rolloutRun) startEngines() error {
	r.onClose(func() {
		for _, e := range r.engines {
			e.kill()
		}
	})
	for i := range r.options.Engines {
		e := &managedEngine{name: fmt.Sprintf("e%d", i)}
		if err := r.startEngine(e); err != nil {
			return err
		}
		e.since = 0
		r.engines = append(r.engines, e)
	}
	r.publish(true, r.engines...)
	return nil
}

// startEngine starts the two processes of an engine.
func (r *rolloutRun) startEngine(e *managedEngine) error {
	options := engine.Options{Name: e.name, Cores: 4, MaxQueries: 64, Classes: engineClasses}
	good, err := engine.Start("127.0.0.1:0", options)
	if err != nil {
		return fmt.Errorf("faulttest: %w", err)
	}
	if r.options.BadRelease == badSlow {
		options.Latency = badDelay
	} else {
		options.ErrorShare = badErrorShare
	}
	bad, err := engine.Start("127.0.0.1:0", options)
	if err != nil {
		return fmt.Errorf("faulttest: %w", err)
	}
	r.mu.Lock()
	e.good, e.bad, e.since = good, bad, time.Now().UnixMilli()
	r.mu.Unlock()
	return nil
}

// publish writes engines to both change logs. If complete is set, the engines replace all earlier ones.
func (r *rolloutRun) publish(complete bool, engines ...*managedEngine) {
	var good, bad []changelog.Endpoint
	for _, e := range engines {
		endpoint := changelog.Endpoint{Name: e.name, Address: e.good.Addr, Zone: e.zone(), Type: "std-4", Status: "ready",
			SinceMS: e.since}
		good = append(good, endpoint)
		endpoint.Address = e.bad.Addr
		bad = append(bad, endpoint)
	}
	r.goodLog.Publish(complete, good...)
	r.badLog.Publish(complete, bad...)
}

// drainEngine drains an engine, stops its processes once the fleet permits that, and starts new ones.
func (r *rolloutRun) drainEngine(ctx context.Context, rng *rand.Rand) {
	e := r.engines[rng.IntN(len(r.engines))]
	permit, granted := r.grantDrain(ctx, e.name)
	if !granted {
		return
	}
	r.count("drains", 1)
	r.options.logf("%s is being drained under permit %d", e.name, permit)
	began := time.Now()
	if !r.waitMayStop(ctx, permit) {
		return
	}
	permitted := time.Now()
	r.count("drain_s", permitted.Sub(began).Seconds())
	r.options.logf("%s may be stopped after a drain of %v", e.name, permitted.Sub(began).Round(time.Millisecond))
	sleep(ctx, drawDuration(rng, 200*time.Millisecond, time.Second))
	r.replaceProcesses(e, permitted)
}

// grantDrain requests the drain of an engine until the drain is granted, and returns the permit. It returns false if
// ctx ended first.
func (r *rolloutRun) grantDrain(ctx context.Context, name string) (permit uint64, granted bool) {
	for {
		result, err := r.apply(ctx, rollout.Command{Drain: &rollout.Subject{Name: name, Engine: true}})
		if err != nil {
			return 0, false
		}
		if result.Rejected == nil {
			return result.Permit, true
		}
		r.options.logf("drain of %s rejected: %v", name, result.Rejected)
		if !sleep(ctx, time.Second) {
			return 0, false
		}
	}
}

// waitMayStop waits until the engine with a drain permit may be stopped. It returns false if ctx ended first.
func (r *rolloutRun) waitMayStop(ctx context.Context, number uint64) bool {
	for {
		if status := r.leaderStatus(); status != nil {
			if permit := status.State.Permits[number]; permit != nil && permit.DrainedAt > 0 {
				return true
			}
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return false
		}
	}
}

// replaceProcesses stops the processes of a drained engine, which may be stopped from the time permitted on, and starts
// new ones.
func (r *rolloutRun) replaceProcesses(e *managedEngine, permitted time.Time) {
	r.mu.Lock()
	r.emptyPeriods = append(r.emptyPeriods, emptyPeriod{e.name, period{permitted, time.Now()}})
	r.retired = append(r.retired, e.good, e.bad)
	r.mu.Unlock()
	e.kill()
	if err := r.startEngine(e); err != nil {
		r.options.logf("%v", err)
		return
	}
	r.publish(false, e)
}
