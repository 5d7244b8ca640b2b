package faulttest

import (
	"context"
	"math/rand/v2"
	"time"

	"beechcart/internal/faulttest/cluster"
)

// lossShare is the share of datagrams that a lossy network drops, and the share that it duplicates.
const lossShare = 0.2

// linkSelector selects links by the names of the members at their ends.
type linkSelector func(from, to string) bool

func allLinks(string, string) bool { return true }

// across selects the links between a set of members and all other members.
func across(inside memberSet) linkSelector {
	return func(from, to string) bool { return inside[from] != inside[to] }
}

func restoreLink(l *cluster.Link) { l.Set(cluster.LinkFault{}) }

// disturb sets a fault on the selected links for a while.
func (r *rolloutRun) disturb(ctx context.Context, rng *rand.Rand, selected linkSelector, fault cluster.LinkFault) {
	r.network.Each(selected, func(l *cluster.Link) { l.Set(fault) })
	sleep(ctx, drawDuration(rng, time.Second, 6*time.Second))
	r.network.Each(selected, restoreLink)
}

// membersIn returns the members of a zone.
func (r *rolloutRun) membersIn(zone string) memberSet {
	members := memberSet{}
	for _, m := range r.cluster.Members {
		if m.Zone == zone {
			members[m.Name] = true
		}
	}
	return members
}

func drawZone(rng *rand.Rand) string { return rolloutZones[rng.IntN(len(rolloutZones))] }

// drawMember draws the name of a member.
func (r *rolloutRun) drawMember(rng *rand.Rand) string {
	return r.cluster.Members[rng.IntN(len(r.cluster.Members))].Name
}

// isolateZone cuts a zone off from the others.
func (r *rolloutRun) isolateZone(ctx context.Context, rng *rand.Rand) {
	zone := drawZone(rng)
	r.options.logf("links between %s and the other zones are cut", zone)
	r.disturb(ctx, rng, across(r.membersIn(zone)), cluster.LinkFault{Cut: true})
}

// cutOneWay cuts all links to a member, or all links from a member.
func (r *rolloutRun) cutOneWay(ctx context.Context, rng *rand.Rand) {
	member := r.drawMember(rng)
	inbound := rng.IntN(2) == 0
	r.options.logf("links of %s are cut in one direction, inbound: %v", member, inbound)
	selected := func(from, to string) bool { return (inbound && to == member) || (!inbound && from == member) }
	r.disturb(ctx, rng, selected, cluster.LinkFault{Cut: true})
}

// delayZone delays the traffic between a zone and the others.
func (r *rolloutRun) delayZone(ctx context.Context, rng *rand.Rand) {
	zone := drawZone(rng)
	r.options.logf("links between one zone and the others are slow")
	delay := drawDuration(rng, 30*time.Millisecond, 200*time.Millisecond)
	r.disturb(ctx, rng, across(r.membersIn(zone)), cluster.LinkFault{Delay: delay})
}

// loseDatagrams drops and duplicates datagrams of all members.
func (r *rolloutRun) loseDatagrams(ctx context.Context, rng *rand.Rand) {
	r.options.logf("datagrams are dropped and duplicated")
	r.disturb(ctx, rng, allLinks, cluster.LinkFault{Drop: lossShare, Duplicate: lossShare})
}

// resetConnections resets all connections of a member.
func (r *rolloutRun) resetConnections(_ context.Context, rng *rand.Rand) {
	member := r.drawMember(rng)
	r.options.logf("connections of %s are reset", member)
	selected := func(from, to string) bool { return from == member || to == member }
	r.network.Each(selected, (*cluster.Link).Reset)
}
