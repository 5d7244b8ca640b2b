package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"beechcart/internal/processstats"
)

const (
	// pathDescriptors is the file descriptor limit of a front end under measurement.
	pathDescriptors = 1024
	// warmUpRequests is the minimum number of requests before a count. After them pools are filled, and connections to
	// the engines are proved safe to reuse (package reuse).
	warmUpRequests = 50
	// idleTime is the duration for which the allocations of timers and polls are measured without requests.
	idleTime = 1500 * time.Millisecond
)

// PathOptions are the options of Path.
type PathOptions struct {
	Program  string // path of a release build of the front end
	Counting string // path of a build with the tag count; empty: copies are not counted
	Lookups  int    // number of lookups in each count
	Engines  int    // number of fake engines
	Only     string // name of the only scenario to count; empty: all
}

// Check returns an error that names the first option that is out of range.
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

// Path counts the cost of one request of each scenario: allocations, bytes allocated, and bytes copied for each byte of
// the result. The allocations of timers and polls are measured without requests and subtracted. Path calls step with
// the name of each scenario before counting it.
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

// count counts the allocations of a scenario and, if a counting build is given, its copies.
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

// countAllocations counts the allocations of a scenario on the release build, and adds them to counts.
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

// countCopies counts the bytes copied for each byte of the result on the counting build, and adds them to counts, in
// total and by call site. Copies of the statement are left out, since they do not grow with the result.
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
		return fmt.Errorf("bench: %s does not count copies: the counting program must be built with -tags count", o.Counting)
	}
	if s.Name == rejectionScenario {
		return nil // a rejection has no result
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

// heapCost is a number of heap allocations and the bytes that they allocate.
type heapCost struct{ allocations, bytes float64 }

// allocated returns the allocations between two readings of the statistics.
func allocated(from, to processstats.Stats) heapCost {
	return heapCost{float64(to.Mallocs - from.Mallocs), float64(to.Bytes - from.Bytes)}
}

func (c heapCost) minus(other heapCost) heapCost {
	return heapCost{c.allocations - other.allocations, c.bytes - other.bytes}
}

func (c heapCost) times(factor float64) heapCost {
	return heapCost{c.allocations * factor, c.bytes * factor}
}

// heapCosts are the allocations of a run without those of timers and polls, and those of timers and polls per second.
type heapCosts struct{ run, idlePerSecond heapCost }

// measureHeap measures the allocations of the front end during run. The allocations made by answering the statistics
// requests themselves are subtracted.
func (t *testbed) measureHeap(ctx context.Context, run func() error) (costs heapCosts, err error) {
	if _, err := t.stats.Stats(); err != nil { // the first answer allocates more than later ones
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
	statsCost := allocated(first, second) // the cost of one answer with statistics
	if err := wait(ctx, idleTime); err != nil {
		return costs, err
	}
	idle, err := t.stats.Stats()
	if err != nil {
		return costs, err
	}
	costs.idlePerSecond = allocated(second, idle).minus(statsCost).times(1 / idleTime.Seconds())
	began := time.Now()
	if err := run(); err != nil {
		return costs, err
	}
	took := time.Since(began).Seconds()
	end, err := t.stats.Stats()
	if err != nil {
		return costs, err
	}
	costs.run = allocated(idle, end).minus(statsCost).minus(costs.idlePerSecond.times(took))
	return costs, nil
}
