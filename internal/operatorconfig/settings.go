// Package operatorconfig holds the operators' own settings: what the platform's configuration does not tell. They are
// written in CUE, checked and built to JSON by gatewayctl (internal/operatorconfig/cuefile), and read from JSON by
// the front end, which stays small that way. Without a file the defaults hold, and nothing beyond the platform's page
// is on.
//
// docs/terms.md lists the keys of the file beside the names of the fields here; decode.go is the one place that maps
// them.
package operatorconfig

import (
	"log/slog"
	"time"

	"beechcart/decision/discovery"
	"beechcart/decision/poll"
	"beechcart/decision/reuse"
	"beechcart/internal/source/consul"
)

// Source names where the engine list comes from.
type Source string

// The sources of the engine list.
const (
	SourceChangeLog Source = "changelog" // the platform's own
	SourceConsul    Source = "consul"
)

// ConnectionReuse tells whether a connection to an engine that has ended a query is used for another one.
type ConnectionReuse string

// The ways to treat connections to engines that have ended a query.
const (
	ReuseAuto ConnectionReuse = "auto" // reused where the platform puts a price on new connections
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

// Log is the form of the log.
type Log struct {
	Level  slog.Level
	Format string // "text" or "json"
}

// EndpointCache is the file that keeps the last good engine list.
type EndpointCache struct {
	Path          string // empty: none
	WriteInterval time.Duration
	MaxAge        time.Duration // 0: any age
}

// ClientLimits are the bounds of sessions.
type ClientLimits struct {
	IdleTimeout time.Duration // a session without a request for this long is closed
	MaxSessions int           // 0: two fifths of the descriptors
}

// SessionLimit is the highest number of concurrent sessions of a front end that may open so many descriptors.
func (c ClientLimits) SessionLimit(descriptors int) int {
	if c.MaxSessions > 0 {
		return min(c.MaxSessions, descriptors/2)
	}
	return descriptors * 2 / 5
}

// Fleet is this front end's membership of the fleet. It is off where GossipAddress is empty.
type Fleet struct {
	Zone              string
	Kind              string
	Revision          string
	CapacityPerSecond float64 // requests
	GossipAddress     string  // host:port, TCP and UDP
	ControlReplicas   []ControlReplica
	LogDirectory      string // at a control replica
	KeyFile           string
	Key               string            // contents of KeyFile; ResolveFiles reads it
	DialOverrides     map[string]string // address to dial, by the address that it stands in for
	DiskFaultFile     string            // fault tests only: names a fault of the log's disk
	ClockSkew         time.Duration     // fault tests only: how far the fleet's clock is ahead of the machine's
}

// ControlReplica is where a front end that replicates the control log is reached; each address is host:port.
type ControlReplica struct {
	Name          string
	LogAddress    string // by the other control replicas
	APIAddress    string // by members and operators
	GossipAddress string
}

// ReusePolicy decides which connections to engines are reused, where one new connection costs handshakePrice points of
// service and the front end may open so many descriptors. It is nil where none is reused.
func (s *Settings) ReusePolicy(handshakePrice float64, descriptors int) (*reuse.Policy, error) {
	if s.Reuse == ReuseOff || (s.Reuse == ReuseAuto && handshakePrice <= 0) {
		return nil, nil
	}
	set := reuse.Defaults()
	set.MaxIdleTotal = min(set.MaxIdleTotal, descriptors/8) // idle connections take places at engines, which are scarce
	return reuse.New(set)
}

// Default returns the settings that hold where nothing is set.
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
