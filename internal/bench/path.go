package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"beechcart/internal/processstats"
)

const (
	// pathDescriptors is the limit of descriptors of a front end whose requests are counted.
	pathDescriptors = 1024
	// warmUpRequests is the least number of requests before a count: pools are full then, and engines are trusted.
	warmUpRequests = 50
	// idleTime is how long the costs that come by time are measured.
	idleTime = 1500 * time.Millisecond
)

// PathOptions are what the measurement of the ordinary path takes.
type PathOptions struct {
	Program  string // a release build of the front end
	Counting string // one with the tag count; empty: copies are not counted
	Lookups  int    // in each count
	Engines  int
	Only     string // one scenario; empty: all
}

// Check names the first option that can't be used.
func (o *PathOptions) Check() error {
	switch {
	case o.Lookups < 50 || o.Lookups > 1_000_000:
		return fmt.Errorf("lookups: found %d, allowed is 50 to 1000000", o.Lookups)
	case o.Engines < 1 || o.Engines > 64:
		return fmt.Errorf("engines: found %d, allowed is 1 to 64", o.Engines)
	case o.Only != "" && !slices.ContainsFunc(Scenarios, func(s Scenario) bool { return s.Name == o.Only }):
		return fmt.Errorf("only: found %q, allowed is one of the scenarios", o.Only)
	}
	return nil
}

// Counts are the costs of one request of a scenario, by name.
type Counts map[string]float64

// Path counts what one request of each scenario costs: allocations and bytes allocated, and bytes copied for each byte
// of the result. Costs that come by time are measured while no request is made, and subtracted.
func Path(ctx context.Context, o PathOptions, step func(string)) (map[string]Counts, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	counts := map[string]Counts{}
	for _, s := range Scenarios {
		if o.Only != "" && s.Name != o.Only {
			continue
		}
		step(s.Name)
		c, err := o.count(ctx, s)
		if err != nil {
			return nil, err
		}
		counts[s.Name] = c
	}
	return counts, nil
}

// count counts all costs of a scenario.
func (o *PathOptions) count(ctx context.Context, s Scenario) (Counts, error) {
	counts := Counts{}
	if err := o.countAllocations(ctx, s, counts); err != nil {
		return nil, err
	}
	if o.Counting == "" {
		return counts, nil
	}
	if err := o.countCopies(ctx, s, counts); err != nil {
		return nil, err
	}
	return counts, nil
}

// countAllocations adds the allocations of a scenario on the release build to counts.
func (o *PathOptions) countAllocations(ctx context.Context, s Scenario, counts Counts) error {
	t, err := newTestbed(testbedOptions{program: o.Program, engines: o.Engines, descriptors: pathDescriptors,
		withStats: true})
	if err != nil {
		return err
	}
	defer t.close()
	c := &client{scenario: s, address: t.frontEnd.Addr}
	defer c.close()
	n := s.repeats(o.Lookups)
	if err := c.repeat(ctx, max(warmUpRequests, n/2)); err != nil {
		return err
	}
	cost, err := t.measureHeap(ctx, func() error { return c.repeat(ctx, n) })
	if err != nil {
		return err
	}
	counts["allocs"] = cost.run.allocations / float64(n)
	counts["alloc_bytes"] = cost.run.bytes / float64(n)
	counts["idle_allocs_per_s"] = cost.idlePerSecond.allocations
	_, counts["peak_mb"] = resident(t.frontEnd.Pid())
	return nil
}

// countCopies adds the bytes copied for each byte of the result to counts, in all and by call site, on the build that
// counts them. Copies of the statement are left out, since they do not grow with the result.
func (o *PathOptions) countCopies(ctx context.Context, s Scenario, counts Counts) error {
	t, err := newTestbed(testbedOptions{program: o.Counting, engines: o.Engines, descriptors: pathDescriptors,
		withStats: true})
	if err != nil {
		return err
	}
	defer t.close()
	c := &client{scenario: s, address: t.frontEnd.Addr}
	defer c.close()
	before, err := t.stats.Stats()
	if err != nil {
		return err
	}
	n := s.repeats(o.Lookups)
	if err := c.repeat(ctx, n); err != nil {
		return err
	}
	after, err := t.stats.Stats()
	if err != nil {
		return err
	}
	if after.Copies == nil {
		return fmt.Errorf("bench: %s does not count copies: build it with -tags count", o.Counting)
	}
	if s.Name == rejectionScenario {
		return nil // it has no result
	}
	total := 0.0
	for site, bytes := range after.Copies {
		if site == "statement" || site == "call" {
			continue
		}
		perByte := float64(bytes-before.Copies[site]) / float64(n) / s.resultBytes()
		counts["copied_"+site] = perByte
		total += perByte
	}
	counts["copied"] = total
	return nil
}

// heapCost is a number of heap allocations and their bytes.
type heapCost struct{ allocations, bytes float64 }

// allocated returns what was allocated between two statistics.
func allocated(from, to processstats.Stats) heapCost {
	return heapCost{float64(to.Mallocs - from.Mallocs), float64(to.Bytes - from.Bytes)}
}

func (c heapCost) minus(other heapCost) heapCost {
	return heapCost{c.allocations - other.allocations, c.bytes - other.bytes}
}

func (c heapCost) times(factor float64) heapCost {
	return heapCost{c.allocations * factor, c.bytes * factor}
}

// heapCosts are what a run has allocated, without the costs that come by time, and those.
type heapCosts struct{ run, idlePerSecond heapCost }

// measureHeap measures what the front end allocates during run.
func (t *testbed) measureHeap(ctx context.Context, run func() error) (costs heapCosts, err error) {
	if _, err := t.stats.Stats(); err != nil { // the first answer costs more than the others
		return costs, err
	}
	first, err := t.stats.Stats()
	if err != nil {
		return costs, err
	}
	second, err := t.stats.Stats()
	if err != nil {
		return costs, err
	}
	answer := allocated(first, second) // the cost of an answer itself
	if err := wait(ctx, idleTime); err != nil {
		return costs, err
	}
	idle, err := t.stats.Stats()
	if err != nil {
		return costs, err
	}
	costs.idlePerSecond = allocated(second, idle).minus(answer).times(1 / idleTime.Seconds())
	began := time.Now()
	if err := run(); err != nil {
		return costs, err
	}
	took := time.Since(began).Seconds()
	end, err := t.stats.Stats()
	if err != nil {
		return costs, err
	}
	costs.run = allocated(idle, end).minus(answer).minus(costs.idlePerSecond.times(took))
	return costs, nil
}
