package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"beechcart/decision/rollout"
)

// Durations of network cuts. A cut of an hour between regions is shortened: all timeouts of the fleet that matter here
// are in seconds.
const (
	zoneCutFor    = 10 * time.Second
	regionsCutFor = 20 * time.Second
	drainDelay    = 2 * time.Second // from the start of a cut to the drain that is made during the cut
)

// orderAll sends the same order to all hosts.
func (r *run) orderAll(order HostOrder) error {
	for _, h := range r.hosts {
		if err := h.order(order); err != nil {
			return err
		}
	}
	return nil
}

// cutFor keeps a cut in place for length, and drains a database during the cut. Real front ends are not cut,
// because they accept no orders.
func (r *run) cutFor(ctx context.Context, blocked map[string][]string, length time.Duration, found *FaultResult) error {
	if err := r.orderAll(HostOrder{Blocked: blocked}); err != nil {
		return err
	}
	began := time.Now()
	sleepFor(ctx, drainDelay)
	during, err := r.drainWithoutWait(ctx, length-drainDelay)
	if err != nil {
		r.logf("%v", err) // without a quorum there is no drain to measure
	}
	sleepFor(ctx, time.Until(began.Add(length)))
	if during != nil {
		r.collect(during)
		heldBack := during.live - len(during.inForce)
		found.HeldBack, found.during = &heldBack, during
	}
	return r.orderAll(HostOrder{})
}

// drainWithoutWait has the control log accept a drain within wait. It does not wait until the drain is in force.
func (r *run) drainWithoutWait(ctx context.Context, wait time.Duration) (*change, error) {
	within, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	engine := engineName(r.changes.nextEngine % r.options.Engines)
	r.changes.nextEngine++
	accepted, err := r.apply(within, rollout.Command{Drain: &rollout.Subject{Name: engine, Engine: true}})
	if err != nil {
		return nil, fmt.Errorf("control log accepted no drain during the cut: %w", err)
	}
	return &change{engine: engine, sent: accepted.sent}, nil
}

// measureCatchUp records how long after the fault a drain made during the fault came into force at every live member,
// and ends the drain. A drain that is not in force at every live member by now counts as lost.
func (r *run) measureCatchUp(ctx context.Context, over time.Time, found *FaultResult) {
	during := found.during
	r.collect(during)
	if during.lost() {
		r.changes.made = append(r.changes.made, during)
	} else {
		seconds := max(0, during.last().Sub(over).Seconds())
		found.CaughtUpSeconds = &seconds
	}
	r.undrain(ctx, during)
}

// cutZone draws the zone to cut off, from the seed. Zones without real front ends are preferred.
func (r *run) cutZone() (string, error) {
	if r.options.Zones < 2 {
		return "", errors.New("zones: found 1, must be at least 2")
	}
	hasReal := map[string]bool{} // by zone
	for _, m := range r.plan.members {
		if m.real {
			hasReal[m.Zone] = true
		}
	}
	var free []string
	for _, z := range r.plan.zones {
		if !hasReal[z.Zone] {
			free = append(free, z.Zone)
		}
	}
	if len(free) == 0 {
		return r.plan.zones[r.rng.IntN(r.options.Zones)].Zone, nil
	}
	return free[r.rng.IntN(len(free))], nil
}

// otherZones lists all zones except the given one.
func (r *run) otherZones(zone string) (others []string) {
	for _, z := range r.plan.zones {
		if z.Zone != zone {
			others = append(others, z.Zone)
		}
	}
	return others
}

// cuttableMembers lists the members of a zone that can be cut off: all except the real front ends.
func (r *run) cuttableMembers(zone string) (names []string) {
	for _, m := range r.plan.members {
		if m.Zone == zone && !m.real {
			names = append(names, m.Name)
		}
	}
	return names
}

func (r *run) membersIn(zone string) int { return len(r.cuttableMembers(zone)) }

// injectZoneCut cuts a zone off from all others.
func injectZoneCut(ctx context.Context, r *run, found *FaultResult) error {
	zone, err := r.cutZone()
	if err != nil {
		return err
	}
	others := r.otherZones(zone)
	blocked := map[string][]string{zone: others}
	for _, other := range others {
		blocked[other] = []string{zone}
	}
	found.Members = r.membersIn(zone)
	found.Played = fmt.Sprintf("%s with %d members is cut off for %v", zone, found.Members, zoneCutFor)
	return r.cutFor(ctx, blocked, zoneCutFor, found)
}

// injectOneWayCut drops all traffic from one zone to the others. The zone still receives traffic.
func injectOneWayCut(ctx context.Context, r *run, found *FaultResult) error {
	zone, err := r.cutZone()
	if err != nil {
		return err
	}
	found.Members = r.membersIn(zone)
	found.Played = fmt.Sprintf("what %s with %d members sends is lost for %v", zone, found.Members, zoneCutFor)
	watch := r.watchSuspicion(ctx, r.cuttableMembers(zone), zoneCutFor)
	err = r.cutFor(ctx, map[string][]string{zone: r.otherZones(zone)}, zoneCutFor, found)
	found.Notice = watch.await()
	return err
}

// injectRegionCut cuts all regions from one another.
func injectRegionCut(ctx context.Context, r *run, found *FaultResult) error {
	if r.options.Regions < 2 {
		return errors.New("regions: found 1, must be at least 2")
	}
	blocked := map[string][]string{}
	for _, from := range r.plan.zones {
		for _, to := range r.plan.zones {
			if from.Region != to.Region {
				blocked[from.Zone] = append(blocked[from.Zone], to.Zone)
			}
		}
	}
	found.Members = r.options.Members - r.options.Real
	found.Played = fmt.Sprintf("%d regions are apart for %v", r.options.Regions, regionsCutFor)
	return r.cutFor(ctx, blocked, regionsCutFor, found)
}
