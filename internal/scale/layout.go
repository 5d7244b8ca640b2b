package scale

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"path/filepath"

	"beechcart/internal/faulttest/cluster"
	"beechcart/internal/fleet"
)

// The ports of a member, at the loopback address of that member.
const (
	servePort  = 7001
	logPort    = 7002
	apiPort    = 7003
	gossipPort = 7004
)

// membersPerNet is the number of addresses in a network of [cluster.ReserveLoopbackNet].
const membersPerNet = 253

const reportMillis = 1000 // interval of the hosts' reports

// revision is the revision of all members of a run.
const revision = "r1"

// plannedMember is a member with its loopback address.
type plannedMember struct {
	MemberConfig
	host string
	real bool
}

// layout assigns the members of a run to host processes and addresses.
type layout struct {
	key      string
	members  []plannedMember // control replicas first, real front ends last
	replicas []fleet.ReplicaAddress
	engines  []EngineConfig
	zones    []ZoneAddresses
	hosts    []hostPlan // control replicas first, each in a host of its own
}

// hostPlan lists the members that one host process runs.
type hostPlan struct {
	name    string
	replica bool
	members []MemberConfig
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
		l.engines = append(l.engines, EngineConfig{Name: engineName(i), Zone: zoneName(i % o.Zones), Cores: 4})
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
		m.MemberConfig = MemberConfig{Name: fmt.Sprintf("m%d", i), Zone: zoneName(zone), Region: regionName(zone, o.Regions),
			Gossip: at(m.host, gossipPort)}
		if i < o.Control {
			m.Dir = filepath.Join(dir, m.Name+".log")
			l.replicas = append(l.replicas, fleet.ReplicaAddress{Name: m.Name, LogAddress: at(m.host, logPort),
				APIAddress:    at(m.host, apiPort),
				GossipAddress: m.Gossip})
		}
		l.members = append(l.members, m)
		l.zones[zone].Hosts = append(l.zones[zone].Hosts, m.host)
	}
	return nil
}

func (l *layout) placeHosts(o *Options) {
	simulated := l.members[o.Control : o.Members-o.Real]
	for _, m := range l.members[:o.Control] {
		l.hosts = append(l.hosts, hostPlan{name: "replica-" + m.Name, replica: true, members: []MemberConfig{m.MemberConfig}})
	}
	for from := 0; from < len(simulated); from += o.PerHost {
		plan := hostPlan{name: fmt.Sprintf("host-%d", from/o.PerHost)}
		for _, m := range simulated[from:min(from+o.PerHost, len(simulated))] {
			plan.members = append(plan.members, m.MemberConfig)
		}
		l.hosts = append(l.hosts, plan)
	}
}

// config returns the configuration of a host that runs the given members.
func (l *layout) config(members []MemberConfig) HostConfig {
	return HostConfig{Members: members, Replicas: l.replicas, Key: l.key, Engines: l.engines, Revision: revision,
		ReportMillis: reportMillis, RequestsASec: 10, AddressByZone: l.zones}
}

func at(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }
