package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"beechcart/decision/rollout"
)

// The lengths of cuts. An hour between regions is played shortened: what is waited for in the fleet takes seconds.
const (
	zoneCutFor    = 10 * time.Second
	regionsCutFor = 20 * time.Second
	drainIntoCut  = 2 * time.Second // from the begin of a cut to a drain
)

// orderAll gives all hosts the same orders.
func (r *run) orderAll(order HostOrder) error {
	for _, h := range r.hosts {
		if err := h.order(order); err != nil {
			return err
		}
	}
	return nil
}

// cutFor lets a cut stand for a while, and drains a database meanwhile. Real front ends are not cut: they take no
// orders.
func (r *run) cutFor(ctx context.Context, blocked map[string][]string, stands time.Duration, found *FaultResult) error {
	if err := r.orderAll(HostOrder{Blocked: blocked}); err != nil {
		return err
	}
	began := time.Now()
	sleepFor(ctx, drainIntoCut)
	during, err := r.drainThrough(ctx, stands-drainIntoCut)
	if err != nil {
		r.logf("%v", err) // nobody could agree
	}
	sleepFor(ctx, time.Until(began.Add(stands)))
	if during != nil {
		r.collect(during)
		heldBack := during.live - len(during.inForce)
		found.HeldBack, found.during = &heldBack, during
	}
	return r.orderAll(HostOrder{})
}

// drainThrough enters a drain within a time and does not wait for its effect.
func (r *run) drainThrough(ctx context.Context, wait time.Duration) (*change, error) {
	within, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	engine := engineName(r.changes.nextEngine % r.options.Engines)
	r.changes.nextEngine++
	accepted, err := r.apply(within, rollout.Command{Drain: &rollout.Subject{Name: engine, Engine: true}})
	if err != nil {
		return nil, fmt.Errorf("no drain is agreed on during the cut: %w", err)
	}
	return &change{engine: engine, sent: accepted.sent}, nil
}

// catchUp tells when a drain that was made during a fault was in force everywhere after it, and ends the drain. One
// that is not in force everywhere by now is lost.
func (r *run) catchUp(ctx context.Context, over time.Time, found *FaultResult) {
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

// cutZone is a zone without real front ends, where there is one, as the seed draws it.
func (r *run) cutZone() (string, error) {
	if r.options.Zones < 2 {
		return "", errors.New("there is one zone only")
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

// zonesBut lists all other zones.
func (r *run) zonesBut(zone string) (others []string) {
	for _, z := range r.plan.zones {
		if z.Zone != zone {
			others = append(others, z.Zone)
		}
	}
	return others
}

// namesIn lists the members of a zone that can be cut: all but the real front ends.
func (r *run) namesIn(zone string) (names []string) {
	for _, m := range r.plan.members {
		if m.Zone == zone && !m.real {
			names = append(names, m.Name)
		}
	}
	return names
}

func (r *run) membersIn(zone string) int { return len(r.namesIn(zone)) }

// injectZoneCut cuts a zone off from all others.
func injectZoneCut(ctx context.Context, r *run, found *FaultResult) error {
	zone, err := r.cutZone()
	if err != nil {
		return err
	}
	others := r.zonesBut(zone)
	blocked := map[string][]string{zone: others}
	for _, other := range others {
		blocked[other] = []string{zone}
	}
	found.Members = r.membersIn(zone)
	found.Played = fmt.Sprintf("%s with %d members is cut off for %v", zone, found.Members, zoneCutFor)
	return r.cutFor(ctx, blocked, zoneCutFor, found)
}

// injectOneWayCut lets everything that a zone sends to others be lost; it still receives.
func injectOneWayCut(ctx context.Context, r *run, found *FaultResult) error {
	zone, err := r.cutZone()
	if err != nil {
		return err
	}
	found.Members = r.membersIn(zone)
	found.Played = fmt.Sprintf("what %s with %d members sends is lost for %v", zone, found.Members, zoneCutFor)
	watch := r.watchSuspicion(ctx, r.namesIn(zone), zoneCutFor)
	err = r.cutFor(ctx, map[string][]string{zone: r.zonesBut(zone)}, zoneCutFor, found)
	found.Notice = watch.await()
	return err
}

// injectRegionCut cuts all regions from one another.
func injectRegionCut(ctx context.Context, r *run, found *FaultResult) error {
	if r.options.Regions < 2 {
		return errors.New("there is one region only")
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
