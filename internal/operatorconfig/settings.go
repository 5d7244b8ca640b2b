// Package operatorconfig holds the operators' settings, which the platform's configuration does not contain. Operators
// write the settings in CUE. gatewayctl checks them and builds JSON (internal/operatorconfig/cuefile). The front end
// reads only the JSON, which keeps the front end small. Without a file the defaults apply, which enable nothing beyond
// the platform's specification.
//
// docs/terms.md lists the keys of the file beside the names of the fields here; decode.go alone maps the keys to the
// fields.
package operatorconfig

import (
	"log/slog"
	"time"

	"beechcart/decision/discovery"
	"beechcart/decision/poll"
	"beechcart/decision/reuse"
	"beechcart/internal/source/consul"
)

// Source selects the source of the engine list.
type Source string

// The sources of the engine list.
const (
	SourceChangeLog Source = "changelog" // the platform's change log
	SourceConsul    Source = "consul"
)

// ConnectionReuse selects whether a connection to an engine on which a query has ended serves another query.
type ConnectionReuse string

// The values of ConnectionReuse.
const (
	ReuseAuto ConnectionReuse = "auto" // reused if the platform puts a price on new connections
	ReuseOn   ConnectionReuse = "on"
	ReuseOff  ConnectionReuse = "off"
)

// Settings are the operators' settings.
type Settings struct {
	Source        Source
	Log           Log
	Consul        consul.Options
	EndpointCache EndpointCache
	Clients       ClientLimits
	Reuse         ConnectionReuse
	AdminSocket   string // path of a local socket for gatewayctl; empty: none
	Fleet         Fleet
}

// Log holds the settings of the log.
type Log struct {
	Level  slog.Level
	Format string // "text" or "json"
}

// EndpointCache holds the settings of the file that stores the last good engine list.
type EndpointCache struct {
	Path          string // empty: no file
	WriteInterval time.Duration
	MaxAge        time.Duration // 0: no limit
}

// ClientLimits holds the limits of client sessions.
type ClientLimits struct {
	IdleTimeout time.Duration // a session without a request for this long is closed
	MaxSessions int           // 0: two fifths of the descriptors
}

// SessionLimit returns the maximum number of concurrent sessions of a front end that may open the given number of
// descriptors.
func (c ClientLimits) SessionLimit(descriptors int) int {
	if c.MaxSessions > 0 {
		return min(c.MaxSessions, descriptors/2)
	}
	return descriptors * 2 / 5
}

// Fleet holds the settings of this front end's membership in the fleet. An empty GossipAddress disables the membership.
type Fleet struct {
	Zone              string
	Kind              string
	Revision          string
	CapacityPerSecond float64 // requests
	GossipAddress     string  // host:port, TCP and UDP
	ControlReplicas   []ControlReplica
	LogDirectory      string // used by control replicas only
	KeyFile           string
	Key               string            // contents of KeyFile, set by ResolveFiles
	DialOverrides     map[string]string // address to dial, by the address that it replaces
	DiskFaultFile     string            // fault tests only: file that names a fault of the log's disk
	ClockSkew         time.Duration     // fault tests only: lead of the fleet's clock over the machine's clock
}

// ControlReplica holds the addresses of a front end that replicates the control log. Each address is host:port.
type ControlReplica struct {
	Name          string
	LogAddress    string // for the other control replicas
	APIAddress    string // for members and operators
	GossipAddress string
}

// ReusePolicy returns the policy that decides which connections to engines are reused, or nil if none is.
// handshakePrice is the cost of one new connection in points of service, descriptors the number of descriptors that the
// front end may open.
func (s *Settings) ReusePolicy(handshakePrice float64, descriptors int) (*reuse.Policy, error) {
	if s.Reuse == ReuseOff || (s.Reuse == ReuseAuto && handshakePrice <= 0) {
		return nil, nil
	}
	set := reuse.Defaults()
	set.MaxIdleTotal = min(set.MaxIdleTotal, descriptors/8) // idle connections occupy scarce slots of engines
	return reuse.New(set)
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Source: SourceChangeLog,
		Log:    Log{Level: slog.LevelInfo, Format: "text"},
		Consul: consul.Options{
			Addresses:   []string{"127.0.0.1:8500"},
			Service:     "engine",
			Consistency: "default",
			MaxBody:     64 * bytesPerMegabyte,
			Connect:     500 * time.Millisecond,
			Poll:        poll.Defaults(),
			Membership:  discovery.Defaults(),
			Mapping:     consul.DefaultMapping(),
		},
		EndpointCache: EndpointCache{WriteInterval: time.Second, MaxAge: 24 * time.Hour},
		Clients:       ClientLimits{IdleTimeout: 5 * time.Second},
		Reuse:         ReuseAuto,
	}
}
