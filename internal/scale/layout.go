package scale

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"path/filepath"

	"beechcart/internal/faulttest/cluster"
	"beechcart/internal/fleet"
)

// The ports of a member at its own loopback address.
const (
	servePort  = 7001
	logPort    = 7002
	askPort    = 7003
	gossipPort = 7004
)

// membersPerNet is how many addresses a net of rig.LoopbackNet has.
const membersPerNet = 253

// reportMillis is the interval of the hosts' reports.
const reportMillis = 1000

// revision is what all members of a run serve on.
const revision = "r1"

// plannedMember is a member and the address that is its own.
type plannedMember struct {
	HollowMember
	host string
	real bool
}

// layout says which process runs which members, at which addresses.
type layout struct {
	key      string
	members  []plannedMember // control replicas first, real front ends last
	replicas []fleet.ReplicaAddress
	engines  []HollowEngine
	zones    []ZoneAddresses
	hosts    []hostPlan // control replicas first, each alone
}

// hostPlan is what one host process runs.
type hostPlan struct {
	name    string
	replica bool
	members []HollowMember
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone+1) }

func regionName(zone, regions int) string { return fmt.Sprintf("region-%d", zone%regions+1) }

func engineName(i int) string { return fmt.Sprintf("e%d", i) }

// newLayout places members, zones and databases round robin.
func newLayout(o *Options, dir string) (*layout, error) {
	secret := make([]byte, 16)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	l := &layout{key: hex.EncodeToString(secret)}
	for zone := range o.Zones {
		l.zones = append(l.zones, ZoneAddresses{Zone: zoneName(zone), Region: regionName(zone, o.Regions)})
	}
	if err := l.placeMembers(o, dir); err != nil {
		return nil, err
	}
	for i := range o.Engines {
		l.engines = append(l.engines, HollowEngine{Name: engineName(i), Zone: zoneName(i % o.Zones), Cores: 4})
	}
	l.placeHosts(o)
	return l, nil
}

func (l *layout) placeMembers(o *Options, dir string) error {
	base := ""
	for i := range o.Members {
		if i%membersPerNet == 0 {
			var err error
			if base, err = cluster.ReserveLoopbackNet(); err != nil {
				return err
			}
		}
		zone := i % o.Zones
		m := plannedMember{host: fmt.Sprintf("%s.%d", base, i%membersPerNet+1), real: i >= o.Members-o.Real}
		m.HollowMember = HollowMember{Name: fmt.Sprintf("m%d", i), Zone: zoneName(zone), Region: regionName(zone, o.Regions),
			Gossip: at(m.host, gossipPort)}
		if i < o.Control {
			m.Dir = filepath.Join(dir, m.Name+".log")
			l.replicas = append(l.replicas, fleet.ReplicaAddress{Name: m.Name, LogAddress: at(m.host, logPort),
				APIAddress:    at(m.host, askPort),
				GossipAddress: m.Gossip})
		}
		l.members = append(l.members, m)
		l.zones[zone].Hosts = append(l.zones[zone].Hosts, m.host)
	}
	return nil
}

func (l *layout) placeHosts(o *Options) {
	hollow := l.members[o.Control : o.Members-o.Real]
	for _, m := range l.members[:o.Control] {
		l.hosts = append(l.hosts, hostPlan{name: "replica-" + m.Name, replica: true, members: []HollowMember{m.HollowMember}})
	}
	for from := 0; from < len(hollow); from += o.PerHost {
		plan := hostPlan{name: fmt.Sprintf("host-%d", from/o.PerHost)}
		for _, m := range hollow[from:min(from+o.PerHost, len(hollow))] {
			plan.members = append(plan.members, m.HollowMember)
		}
		l.hosts = append(l.hosts, plan)
	}
}

// config is the first line that a host with these members reads.
func (l *layout) config(members []HollowMember) HostConfig {
	return HostConfig{Members: members, Replicas: l.replicas, Key: l.key, Engines: l.engines, Revision: revision,
		ReportMillis: reportMillis, RequestsASec: 10, AddressByZone: l.zones}
}

func at(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }
