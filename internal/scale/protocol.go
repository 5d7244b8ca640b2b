// Package scale runs a fleet at planning size on one machine: real control replicas and some real front ends as
// processes, and simulated front ends, many to a process. A simulated front end ("hollow" in the command's help and in
// recordings) is a real [fleet.Member] (membership, watch and reports) without client traffic. The runner (gatewayctl
// scale) starts host processes (gatewayctl scale host). It writes JSON lines to the standard input of each host, first
// a [HostConfig] and then any number of [HostOrder] values, and reads [HostReport] values, one a line, from the
// standard output. A host exits when its standard input ends.
package scale

import "beechcart/internal/fleet"

// HostConfig is the first line that a host reads.
type HostConfig struct {
	Members       []MemberConfig         `json:"members"`
	Replicas      []fleet.ReplicaAddress `json:"replicas"` // the replicas of the control log
	Key           string                 `json:"key"`      // the fleet's secret
	Engines       []EngineConfig         `json:"engines"`  // the endpoint list that control replicas report
	Revision      string                 `json:"revision"`
	ReportMillis  int                    `json:"report_millis"`  // interval between reports
	RequestsASec  float64                `json:"requests_a_sec"` // that each simulated front end reports as served
	AddressByZone []ZoneAddresses        `json:"address_by_zone"`
}

// MemberConfig configures one front end without client traffic. A member with a directory is a control replica, and
// HostConfig.Replicas must name it.
type MemberConfig struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	Gossip string `json:"gossip"`        // host:port on a loopback address
	Dir    string `json:"dir,omitempty"` // of the log of a control replica
}

// EngineConfig is one database of the endpoint list.
type EngineConfig struct {
	Name  string  `json:"name"`
	Zone  string  `json:"zone"`
	Cores float64 `json:"cores"`
}

// ZoneAddresses lists the loopback addresses of a zone. A host uses them to cut zones off from one another.
type ZoneAddresses struct {
	Zone   string   `json:"zone"`
	Region string   `json:"region"`
	Hosts  []string `json:"hosts"` // without ports
}

// HostOrder is a line that a host reads after its configuration. Each order replaces the previous one as a whole.
type HostOrder struct {
	// Blocked lists, by zone, the zones that the zone sends nothing to: a member of zone Z sends nothing to hosts of
	// the zones in Blocked[Z]. A cut in both directions needs an entry for each direction; a one-way loss is one entry.
	// Listed zones must be named in HostConfig.AddressByZone.
	Blocked map[string][]string `json:"blocked,omitempty"`
}

// Traffic counts the traffic of sockets, as [fleet.Traffic] does. Bytes include IP and UDP or TCP headers. The headers
// of datagrams are exact (28 bytes each). Those of streams are an estimate: 40 bytes for each segment of 65,483 bytes
// (the loopback's segment size), and 200 bytes for opening and closing a connection, half sent and half received. Both
// ends count, so the sums of sent and received bytes over a whole fleet are equal except for losses. Add up one of
// them, not both.
type Traffic struct {
	SentBytes        uint64 `json:"sent_bytes"`
	ReceivedBytes    uint64 `json:"received_bytes"`
	SentMessages     uint64 `json:"sent_messages"`     // datagrams, or writes on a stream
	ReceivedMessages uint64 `json:"received_messages"` // datagrams, or reads on a stream
	Connections      uint64 `json:"connections"`       // opened from this side
}

// HostReport is the report that a host writes at each interval. Counters are sums over its members since its start.
type HostReport struct {
	UnixNanos     int64   `json:"unix_nanos"`
	Members       int     `json:"members"` // members that have joined and not left; the gossip socket of each is open
	Known         int     `json:"known"`   // members registered with the control log
	Gossip        Traffic `json:"gossip"`
	Calls         Traffic `json:"calls"`  // watches, reports and commands over HTTP, counted at the caller
	Served        Traffic `json:"served"` // the same calls, counted at the replicas that serve them
	Log           Traffic `json:"log"`    // traffic of the replicated log, at control replicas
	CPUSeconds    float64 `json:"cpu_seconds"`
	HeapBytes     uint64  `json:"heap_bytes"` // live objects and objects not yet collected
	ResidentBytes uint64  `json:"resident_bytes"`
	Goroutines    int     `json:"goroutines"`
	// how many members each member hears of: lowest, mean and highest number
	HeardLeast int          `json:"heard_least"`
	HeardMean  float64      `json:"heard_mean"`
	HeardMost  int          `json:"heard_most"`
	Drains     []DrainState `json:"drains,omitempty"`
}

// DrainState is the progress of a drain of an engine among a host's members. It is reported while the drain is in force
// at any of them.
type DrainState struct {
	Engine      string  `json:"engine"`
	InForce     int     `json:"in_force"`             // number of members at which the drain is in force
	FirstNanos  int64   `json:"first_nanos"`          // Unix time at which the drain came into force at the first member
	LatestNanos int64   `json:"latest_nanos"`         // the same for the latest member
	EachNanos   []int64 `json:"each_nanos,omitempty"` // the same for every member, in no order
}
