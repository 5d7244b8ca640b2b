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
	// rateDivisor divides the statement rate of each front end in the simulation of whole fleets, and multiplies the
	// work of each statement. As many statements are in flight, with a tenth of the events.
	rateDivisor = 10
	// meanUtilization is the utilization of databases if the front ends that load them are not simulated.
	meanUtilization = 0.42
)

// measureTraffic simulates ordinary traffic with real admission controllers, and counts the databases that each front
// end contacts.
func measureTraffic(ctx context.Context, o *Options, c *collector) error {
	c.note("simulation on one clock of real admission controllers and databases of four cores, deterministic; mean "+
		"work 2.5 ms at %d statements/s for each front end, so databases are in use to %.2f",
		PlannedRate, meanUtilization)
	c.note("databases_*_count and front_ends_seen_*_count: whole fleets for %v, at a tenth of the statements with ten "+
		"times the work (as much is out at once)", o.FleetTime)
	c.note("alone_*: %d front ends of each fleet, evenly spread over it, at the full rate for %v, before databases "+
		"whose load reports say %.2f throughout", o.TrafficFronts, o.TrafficTime, meanUtilization)
	c.note("database_connections_kept_most_count is the bound of decision/reuse, not a measurement; without a price " +
		"of handshakes nothing is kept")
	for _, size := range o.Sizes {
		c.reportStep("whole fleet of %d front ends and %d databases, %d repeats in parallel", size.Members, size.Engines,
			o.Repeats)
		if err := measureFleetTraffic(ctx, o, sizeRun{c: c, role: record.FrontEnd, size: size}); err != nil {
			return err
		}
	}
	return o.forEachSize(ctx, c, record.FrontEnd, func(p sizeRun) error { return measureAloneTraffic(ctx, o, p) })
}

// measureFleetTraffic simulates all front ends of a fleet with the databases that they share. The repeats run in
// parallel, since each simulation is independent.
func measureFleetTraffic(ctx context.Context, o *Options, p sizeRun) error {
	simulations, runErrors := make([]*simulation, o.Repeats), make([]error, o.Repeats)
	var group sync.WaitGroup
	for i := range simulations {
		group.Go(func() { simulations[i], runErrors[i] = simulateFleet(ctx, o, p.size, uint64(i+1)) })
	}
	group.Wait()
	if err := errors.Join(runErrors...); err != nil {
		return err
	}
	for i, s := range simulations {
		p.repeat = i + 1
		addFleetTraffic(p, s)
	}
	return nil
}

// simulateFleet simulates traffic at all front ends of a fleet.
func simulateFleet(ctx context.Context, o *Options, size record.Size, repeat uint64) (*simulation, error) {
	s := newSimulation(size, PlannedRate/rateDivisor, rateDivisor)
	s.sharedLoad = true
	for index := range size.Members {
		if err := s.addFrontEnd(index, repeat); err != nil {
			return nil, err
		}
	}
	return s, s.run(ctx, o.FleetTime)
}

// addFleetTraffic adds the samples of a simulation of a whole fleet.
func addFleetTraffic(p sizeRun, s *simulation) {
	contactedBy := make([]int, p.size.Engines+1) // number of front ends, by database
	var sent, probed, contactedTotal, maxContacted int
	for _, f := range s.frontEnds {
		engines := f.contacted()
		sent, probed, contactedTotal, maxContacted = sent+len(f.sent), probed+len(f.probed), contactedTotal+len(engines),
			max(maxContacted, len(engines))
		for engine := range engines {
			contactedBy[engine]++
		}
	}
	members, databases := float64(p.size.Members), float64(p.size.Engines)
	p.add("databases_sent_to_count", float64(sent)/members)
	p.add("databases_probed_count", float64(probed)/members)
	p.add("databases_spoken_to_count", float64(contactedTotal)/members)
	p.add("databases_spoken_to_most_count", float64(maxContacted))
	p.add("statements_unanswered_ratio", s.unanswered())
	p.withRole(record.Database).add("front_ends_seen_count", float64(contactedTotal)/databases)
	p.withRole(record.Database).add("front_ends_seen_most_count", float64(slices.Max(contactedBy)))
}

// measureAloneTraffic simulates some front ends of a fleet at the full rate. The load of the other front ends is not
// simulated; each database reports meanUtilization.
func measureAloneTraffic(ctx context.Context, o *Options, p sizeRun) error {
	s := newSimulation(p.size, PlannedRate, 1)
	frontEnds := min(o.TrafficFronts, p.size.Members)
	for i := range frontEnds {
		if err := s.addFrontEnd(i*p.size.Members/frontEnds, uint64(p.repeat)); err != nil {
			return err
		}
	}
	startCPU := selfCPU()
	if err := s.run(ctx, o.TrafficTime); err != nil {
		return err
	}
	cpuSeconds := selfCPU() - startCPU
	var contactedTotal, probes, maxInFlight int
	for _, f := range s.frontEnds {
		contactedTotal, probes, maxInFlight = contactedTotal+len(f.contacted()), probes+f.probes,
			max(maxInFlight, f.maxInFlight)
	}
	count, frontSeconds := float64(frontEnds), float64(frontEnds)*o.TrafficTime.Seconds()
	p.add("alone_databases_spoken_to_count", float64(contactedTotal)/count)
	p.add("alone_statements_out_most_count", float64(maxInFlight))
	p.add("alone_probes_sent_per_second", float64(probes)/frontSeconds)
	p.add("alone_simulation_cpu_cores", cpuSeconds/frontSeconds)
	p.withRole(record.Database).add("alone_probes_received_per_second",
		float64(probes)/frontSeconds*float64(p.size.Members)/float64(p.size.Engines))
	p.add("database_connections_kept_most_count", maxIdleConnections())
	if s.answered == 0 {
		return fmt.Errorf("simulation: found none of %d statements answered, at least one is needed", s.requested)
	}
	return nil
}
