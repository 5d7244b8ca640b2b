// Package scale runs a fleet at planning size on one machine: real control replicas and some real front ends as
// processes, and hollow front ends beside them, many to a process. A hollow front end is a real [fleet.Member]
// (membership, watch and reports) with no client traffic behind it. The runner (gatewayctl scale) starts host
// processes (gatewayctl scale host), tells each what to run with a [HostConfig] as one JSON line on its standard
// input, sends it a [HostOrder] a line after that, and reads a [HostReport] a line from its standard output. A host
// ends when its standard input does.
package scale

import "beechcart/internal/fleet"

// HostConfig is the first line that a host reads.
type HostConfig struct {
	Members       []HollowMember         `json:"members"`
	Replicas      []fleet.ReplicaAddress `json:"replicas"` // of the control log
	Key           string                 `json:"key"`      // of the fleet
	Engines       []HollowEngine         `json:"engines"`  // the list that a replica's own front end would have
	Revision      string                 `json:"revision"`
	ReportMillis  int                    `json:"report_millis"`  // from one report to the next
	RequestsASec  float64                `json:"requests_a_sec"` // that each hollow front end counts as served
	AddressByZone []ZoneAddresses        `json:"address_by_zone"`
}

// HollowMember is one front end without client traffic. One with a directory is a control replica, named among
// HostConfig.Replicas.
type HollowMember struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	Gossip string `json:"gossip"` // host:port on a loopback address
	Dir    string `json:"dir,omitempty"`
}

// HollowEngine is one database of the list.
type HollowEngine struct {
	Name  string  `json:"name"`
	Zone  string  `json:"zone"`
	Cores float64 `json:"cores"`
}

// ZoneAddresses tells which loopback hosts belong to a zone; a cut is made by them.
type ZoneAddresses struct {
	Zone   string   `json:"zone"`
	Region string   `json:"region"`
	Hosts  []string `json:"hosts"` // without ports
}

// HostOrder is a line that a host reads after its configuration. Orders replace one another whole.
type HostOrder struct {
	// Blocked lists zones by the zone that is cut from them: a member of zone Z sends nothing to hosts of Blocked[Z].
	// Both directions of a cut need an entry each, so a one-way loss is one entry. A zone that HostConfig.AddressByZone
	// does not name is an error.
	Blocked map[string][]string `json:"blocked,omitempty"`
}

// Traffic counts what went through sockets, as [fleet.Traffic] does. Bytes include IP and UDP or TCP headers: those
// of datagrams exactly (28 each), those of streams by 40 for each segment's worth of 65,483 bytes (the loopback's)
// and 200 for opening and closing a connection (half sent, half received), which is an estimate. Both ends count, so
// sent and received of a whole fleet are equal but for losses; only what is sent, or only what is received, is to be
// summed.
type Traffic struct {
	SentBytes        uint64 `json:"sent_bytes"`
	ReceivedBytes    uint64 `json:"received_bytes"`
	SentMessages     uint64 `json:"sent_messages"`     // datagrams, or writes on a stream
	ReceivedMessages uint64 `json:"received_messages"` // datagrams, or reads on a stream
	Connections      uint64 `json:"connections"`       // opened from this side
}

// HostReport is what a host tells at each interval. Counters are sums since its start, over its members.
type HostReport struct {
	UnixNanos     int64   `json:"unix_nanos"`
	Members       int     `json:"members"` // that have joined and not left; the gossip socket of each is open
	Known         int     `json:"known"`   // members that the log has taken (Member.Known is closed)
	Gossip        Traffic `json:"gossip"`
	Calls         Traffic `json:"calls"`  // watches, reports and commands, over HTTP, counted where they are made
	Served        Traffic `json:"served"` // the same, counted at the replicas that answer them
	Log           Traffic `json:"log"`    // of the replicated log, at replicas
	CPUSeconds    float64 `json:"cpu_seconds"`
	HeapBytes     uint64  `json:"heap_bytes"` // live and not yet collected objects
	ResidentBytes uint64  `json:"resident_bytes"`
	Goroutines    int     `json:"goroutines"`
	// members that the members hear of: the least of them, the mean, the most
	HeardLeast int          `json:"heard_least"`
	HeardMean  float64      `json:"heard_mean"`
	HeardMost  int          `json:"heard_most"`
	Drains     []DrainState `json:"drains,omitempty"`
}

// DrainState tells how far a drain of an engine has come among a host's members. It is reported while the drain is in
// force at any.
type DrainState struct {
	Engine      string  `json:"engine"`
	InForce     int     `json:"in_force"`             // members
	FirstNanos  int64   `json:"first_nanos"`          // Unix time at which the first member had it in force
	LatestNanos int64   `json:"latest_nanos"`         // ... and the latest of them
	EachNanos   []int64 `json:"each_nanos,omitempty"` // ... and each, in no order
}
