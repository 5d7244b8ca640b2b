package faulttest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"beechcart/internal/fake/consul"
)

// catalogueFault is one kind of fault of the catalogue scenario. inject returns once the fault has ended.
type catalogueFault struct {
	name   string
	target faultTarget
	inject func(ctx context.Context, i *catalogueInjector, e *testEngine) // e is nil for a fault of the catalogue
}

// faultTarget is the part of the scenario that only one fault may use at a time.
type faultTarget int

const (
	oneEngine      faultTarget = iota
	wholeCatalogue             // one fault of this target at a time
)

// catalogueFaults lists the faults. The faults that a seed draws depend on the order of this list.
var catalogueFaults = []catalogueFault{
	{"flap", oneEngine, flapCheck},
	{"drain", oneEngine, drainForAWhile},
	{"restart", oneEngine, restartProcess},
	{"move", oneEngine, moveAddress},
	{"stall", oneEngine, stall},
	{"flap-all", wholeCatalogue, flapAllChecks},
	{"empty", wholeCatalogue, readFault(func(*catalogueInjector) consul.Faults {
		return consul.Faults{Empty: true}
	}, time.Second, 10*time.Second)},
	{"partial", wholeCatalogue, readFault(func(i *catalogueInjector) consul.Faults {
		return consul.Faults{MaxInstances: 1 + int(i.drawDuration(0, 2))}
	}, 500*time.Millisecond, 6*time.Second)},
	{"slow", wholeCatalogue, readFault(func(i *catalogueInjector) consul.Faults {
		return consul.Faults{Delay: i.drawDuration(200*time.Millisecond, 4*time.Second)}
	}, time.Second, 6*time.Second)},
	{"hang", wholeCatalogue, readFault(func(*catalogueInjector) consul.Faults {
		return consul.Faults{Hang: true}
	}, time.Second, 8*time.Second)},
	{"no-leader", wholeCatalogue, readFault(func(*catalogueInjector) consul.Faults {
		return consul.Faults{Status: 500}
	}, time.Second, 5*time.Second)},
	{"too-many", wholeCatalogue, readFault(func(*catalogueInjector) consul.Faults {
		return consul.Faults{Status: 429}
	}, 500*time.Millisecond, 3*time.Second)},
	{"stale", wholeCatalogue, readFault(func(i *catalogueInjector) consul.Faults {
		return consul.Faults{Stale: true, LastContact: i.drawDuration(0, 5*time.Second)}
	}, time.Second, 6*time.Second)},
	{"back", wholeCatalogue, readFault(func(i *catalogueInjector) consul.Faults {
		return consul.Faults{IndexRollback: 1 + uint64(i.drawDuration(0, 500))}
	}, 500*time.Millisecond, 4*time.Second)},
	{"half", wholeCatalogue, readFault(func(*catalogueInjector) consul.Faults {
		return consul.Faults{Truncated: true}
	}, 500*time.Millisecond, 3*time.Second)},
	{"garbage", wholeCatalogue, readFault(func(*catalogueInjector) consul.Faults {
		return consul.Faults{Malformed: true}
	}, 500*time.Millisecond, 3*time.Second)},
	{"denied", wholeCatalogue, denyToken},
}

func catalogueFaultNames() (names []string) {
	for _, f := range catalogueFaults {
		names = append(names, f.name)
	}
	return names
}

// catalogueInjector injects faults one after the other. Each injector has its own stream of random numbers, so that the
// faults of a seed do not depend on the scheduling of the injectors.
type catalogueInjector struct {
	*catalogueRun
	rng *rand.Rand
}

// run draws faults of a target and injects one after the other until ctx ends.
func (i *catalogueInjector) run(ctx context.Context, target faultTarget) {
	var candidates []catalogueFault
	for _, f := range catalogueFaults {
		if f.target == target && i.options.injects(f.name) {
			candidates = append(candidates, f)
		}
	}
	for len(candidates) > 0 && sleep(ctx, i.drawDuration(200*time.Millisecond, 1500*time.Millisecond)) {
		f := candidates[i.drawDuration(0, time.Duration(len(candidates)-1))]
		if target == wholeCatalogue {
			i.options.logf("%s", f.name)
			f.inject(ctx, i, nil)
			continue
		}
		e := i.claim()
		if e == nil {
			continue
		}
		i.options.logf("%s, engine %s", f.name, e.name)
		f.inject(ctx, i, e)
		i.unclaim(e)
	}
}

// claim draws an engine that no other fault has claimed. It returns nil if half of the engines or more are claimed.
func (i *catalogueInjector) claim() *testEngine {
	i.mu.Lock()
	defer i.mu.Unlock()
	var free []*testEngine
	for _, e := range i.engines {
		if !e.claimed {
			free = append(free, e)
		}
	}
	if len(free) <= len(i.engines)/2 {
		return nil
	}
	e := free[i.rng.IntN(len(free))]
	e.claimed = true
	return e
}

// unclaim makes an engine available to other faults.
func (i *catalogueInjector) unclaim(e *testEngine) {
	i.mu.Lock()
	e.claimed = false
	i.mu.Unlock()
}

// drawDuration draws a duration from low to high, both inclusive.
func (i *catalogueInjector) drawDuration(low, high time.Duration) time.Duration {
	return drawDuration(i.rng, low, high)
}

// readFault returns an injection that sets a fault of the catalogue's reads for a duration from low to high.
func readFault(draw func(*catalogueInjector) consul.Faults, low, high time.Duration,
) func(context.Context, *catalogueInjector, *testEngine) {
	return func(ctx context.Context, i *catalogueInjector, _ *testEngine) {
		i.consul.SetFaults(draw(i))
		sleep(ctx, i.drawDuration(low, high))
		i.consul.SetFaults(consul.Faults{})
	}
}

// flapCheck switches an engine's check between critical and passing.
func flapCheck(ctx context.Context, i *catalogueInjector, e *testEngine) {
	interval := i.drawDuration(100*time.Millisecond, 2500*time.Millisecond)
	for end := time.Now().Add(i.drawDuration(2*time.Second, 8*time.Second)); time.Now().Before(end); {
		i.setCheck(e, checkCritical)
		ok := sleep(ctx, interval)
		i.setCheck(e, checkPassing)
		if !ok || !sleep(ctx, interval) {
			return
		}
	}
}

func drainForAWhile(ctx context.Context, i *catalogueInjector, e *testEngine) {
	i.drain(e)
	sleep(ctx, i.drawDuration(time.Second, 6*time.Second))
	i.undrain(e)
}

func restartProcess(ctx context.Context, i *catalogueInjector, e *testEngine) {
	i.kill(e)
	sleep(ctx, i.drawDuration(50*time.Millisecond, 500*time.Millisecond))
	i.setCheck(e, checkCritical)
	sleep(ctx, i.drawDuration(100*time.Millisecond, 2*time.Second))
	i.restart(e)
}

// moveAddress deregisters an engine and registers it at another address. In about half of the cases both happen without
// a pause, so that the front end may see them in one read of the catalogue.
func moveAddress(ctx context.Context, i *catalogueInjector, e *testEngine) {
	i.drain(e)
	sleep(ctx, i.drawDuration(600*time.Millisecond, 2*time.Second))
	i.consul.Deregister(e.node(), e.name)
	if i.drawDuration(0, time.Second) > 500*time.Millisecond {
		sleep(ctx, i.drawDuration(0, time.Second))
	}
	i.kill(e)
	i.undrain(e)
	i.restart(e)
}

// stall pauses an engine process three times.
func stall(ctx context.Context, i *catalogueInjector, e *testEngine) {
	for range 3 {
		resume := e.fake.Pause()
		ok := sleep(ctx, i.drawDuration(100*time.Millisecond, 350*time.Millisecond))
		resume()
		if !ok || !sleep(ctx, i.drawDuration(500*time.Millisecond, 2*time.Second)) {
			return
		}
	}
}

// flapAllChecks sets all checks to critical and back, except for those that another fault has set to critical. It
// restores the checks even if ctx ends early.
func flapAllChecks(ctx context.Context, i *catalogueInjector, _ *testEngine) {
	interval := i.drawDuration(200*time.Millisecond, time.Second)
	for range 4 {
		for _, status := range []string{checkCritical, checkPassing} {
			i.mu.Lock()
			engines := slices.Clone(i.engines)
			i.mu.Unlock()
			for _, e := range engines {
				i.mu.Lock()
				failing := e.failing
				i.mu.Unlock()
				if failing {
					i.writeCheck(e, checkCritical)
				} else {
					i.writeCheck(e, status)
				}
			}
			sleep(ctx, interval)
		}
	}
}

func denyToken(ctx context.Context, i *catalogueInjector, _ *testEngine) {
	i.consul.SetTokens("another")
	sleep(ctx, i.drawDuration(500*time.Millisecond, 3*time.Second))
	i.consul.SetTokens()
}
