package parts

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"beechcart/internal/scale/record"
)

const (
	// slower is by how much fewer statements a front end gets in the simulation of whole fleets, each with as many times
	// the work: as much is out at once, at a tenth of the events.
	slower = 10
	// meanUse is how much of their cores databases use, where the front ends that use them are not simulated.
	meanUse = 0.42
)

// measureTraffic simulates ordinary traffic through real admission controllers and counts whom they speak to.
func measureTraffic(ctx context.Context, o *Options, c *collector) error {
	c.note("simulation on one clock of real admission controllers and databases of four cores, deterministic; mean "+
		"work 2.5 ms at %d statements/s for each front end, so databases are in use to %.2f",
		PlannedRate, meanUse)
	c.note("databases_*_count and front_ends_seen_*_count: whole fleets for %v, at a tenth of the statements with ten "+
		"times the work (as much is out at once)", o.FleetTime)
	c.note("alone_*: %d front ends of each fleet, evenly spread over it, at the full rate for %v, before databases "+
		"whose load reports say %.2f throughout", o.TrafficFronts, o.TrafficTime, meanUse)
	c.note("database_connections_kept_most_count is the bound of decision/reuse, not a measurement; without a price " +
		"of handshakes nothing is kept")
	for _, size := range o.Sizes {
		c.step("whole fleet of %d front ends and %d databases, %d times at once", size.Members, size.Engines, o.Repeats)
		if err := measureFleetTraffic(ctx, o, sizeRun{c: c, role: record.FrontEnd, size: size}); err != nil {
			return err
		}
	}
	return o.each(ctx, c, record.FrontEnd, func(p sizeRun) error { return measureAloneTraffic(ctx, o, p) })
}

// measureFleetTraffic simulates all front ends of a fleet before databases that they share; all repeats at once, as
// each is a world of its own.
func measureFleetTraffic(ctx context.Context, o *Options, p sizeRun) error {
	simulations, failed := make([]*simulation, o.Repeats), make([]error, o.Repeats)
	var group sync.WaitGroup
	for i := range simulations {
		group.Go(func() { simulations[i], failed[i] = simulateFleet(ctx, o, p.size, uint64(i+1)) })
	}
	group.Wait()
	if err := errors.Join(failed...); err != nil {
		return err
	}
	for i, s := range simulations {
		p.repeat = i + 1
		addFleetTraffic(p, s)
	}
	return nil
}

// simulateFleet plays traffic at all front ends of a fleet.
func simulateFleet(ctx context.Context, o *Options, size record.Size, repeat uint64) (*simulation, error) {
	s := newSimulation(size, PlannedRate/slower, slower)
	s.shared = true
	for me := range size.Members {
		if err := s.addFrontEnd(me, repeat); err != nil {
			return nil, err
		}
	}
	return s, s.run(ctx, o.FleetTime)
}

// addFleetTraffic adds what a simulation of a whole fleet shows.
func addFleetTraffic(p sizeRun, s *simulation) {
	seen := make([]int, p.size.Engines+1) // front ends, by database
	var sent, probed, either, mostEither int
	for _, f := range s.fronts {
		spoken := f.contacted()
		sent, probed, either, mostEither = sent+len(f.sent), probed+len(f.probed), either+len(spoken), max(mostEither,
			len(spoken))
		for engine := range spoken {
			seen[engine]++
		}
	}
	members, databases := float64(p.size.Members), float64(p.size.Engines)
	p.add("databases_sent_to_count", float64(sent)/members)
	p.add("databases_probed_count", float64(probed)/members)
	p.add("databases_spoken_to_count", float64(either)/members)
	p.add("databases_spoken_to_most_count", float64(mostEither))
	p.add("statements_unanswered_ratio", s.unanswered())
	p.as(record.Database).add("front_ends_seen_count", float64(either)/databases)
	p.as(record.Database).add("front_ends_seen_most_count", float64(slices.Max(seen)))
}

// measureAloneTraffic simulates some front ends at the full rate, each as if the others kept all databases in mean use.
func measureAloneTraffic(ctx context.Context, o *Options, p sizeRun) error {
	s := newSimulation(p.size, PlannedRate, 1)
	fronts := min(o.TrafficFronts, p.size.Members)
	for i := range fronts {
		if err := s.addFrontEnd(i*p.size.Members/fronts, uint64(p.repeat)); err != nil {
			return err
		}
	}
	began := ownCPU()
	if err := s.run(ctx, o.TrafficTime); err != nil {
		return err
	}
	spent := ownCPU() - began
	var spoken, probes, mostOut int
	for _, f := range s.fronts {
		spoken, probes, mostOut = spoken+len(f.contacted()), probes+f.probes, max(mostOut, f.mostOut)
	}
	count, frontSeconds := float64(fronts), float64(fronts)*o.TrafficTime.Seconds()
	p.add("alone_databases_spoken_to_count", float64(spoken)/count)
	p.add("alone_statements_out_most_count", float64(mostOut))
	p.add("alone_probes_sent_per_second", float64(probes)/frontSeconds)
	p.add("alone_simulation_cpu_cores", spent/frontSeconds)
	p.as(record.Database).add("alone_probes_received_per_second",
		float64(probes)/frontSeconds*float64(p.size.Members)/float64(p.size.Engines))
	p.add("database_connections_kept_most_count", maxIdleConnections())
	if s.answered == 0 {
		return fmt.Errorf("no statement of %d was answered", s.asked)
	}
	return nil
}
