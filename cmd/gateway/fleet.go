//go:build !lean

package main

import (
	"log/slog"
	"time"

	"beechcart/admission"
	"beechcart/decision/rollout"
	"beechcart/internal/engine"
	"beechcart/internal/fleet"
	"beechcart/internal/invariant"
	"beechcart/internal/operatorconfig"
	"beechcart/internal/platformconfig"
	"beechcart/internal/source"
)

const (
	// fleetCloseTimeout bounds the last report to the fleet, and with it the delay that the report adds to a shutdown.
	fleetCloseTimeout = 500 * time.Millisecond

	// registrationTimeout is how long a start waits for the drains that the fleet has agreed on. A front end that
	// reaches no control replica within registrationTimeout serves without those drains.
	registrationTimeout = 3 * time.Second
)

// fleetMember connects the server with its fleet.Member: fleetMember implements membership for the server and
// fleet.FrontEnd for the member.
type fleetMember struct {
	member         *fleet.Member
	feed           *source.Feed
	engines        *engine.Client
	counters       *invariant.Counters
	names          platformconfig.Names
	kinds          []admission.Kind
	shutdownGrants chan int
}

// joinFleet joins the fleet that the operators' settings name, and waits up to registrationTimeout for its drains.
// Without a gossip address in the settings, the result is standalone.
func joinFleet(config configuration, feed *source.Feed, engines *engine.Client, counters *invariant.Counters,
	log *slog.Logger) (membership, error) {
	platform, settings := config.platform, config.operators.Fleet
	if settings.GossipAddress == "" {
		return standalone{}, nil
	}
	m := &fleetMember{
		feed:           feed,
		engines:        engines,
		counters:       counters,
		names:          platform.Names,
		kinds:          platform.Admission.Kinds,
		shutdownGrants: make(chan int, 1),
	}
	var err error
	if m.member, err = fleet.Join(fleetOptions(platform.Name, settings, log), m); err != nil {
		return nil, err
	}
	go m.awaitShutdownGrant() // returns at the first grant; otherwise runs until the process ends
	select {
	case <-m.member.Registered():
	case <-time.After(registrationTimeout):
		log.Warn("fleet not reached, serving without its drains")
	}
	return m, nil
}

func fleetOptions(name string, settings operatorconfig.Fleet, log *slog.Logger) fleet.Options {
	o := fleet.Options{
		Name:              name,
		Zone:              settings.Zone,
		Kind:              settings.Kind,
		Revision:          settings.Revision,
		CapacityPerSecond: settings.CapacityPerSecond,
		GossipAddress:     settings.GossipAddress,
		LogDirectory:      settings.LogDirectory,
		Key:               settings.Key,
		DialOverrides:     settings.DialOverrides,
		Settings:          rollout.Defaults(),
		DiskFaultFile:     settings.DiskFaultFile,
		ClockSkew:         settings.ClockSkew,
		Log:               log,
	}
	for _, replica := range settings.ControlReplicas {
		o.ControlReplicas = append(o.ControlReplicas, fleet.ReplicaAddress{
			Name:          replica.Name,
			LogAddress:    replica.LogAddress,
			APIAddress:    replica.APIAddress,
			GossipAddress: replica.GossipAddress,
		})
	}
	return o
}

func (m *fleetMember) awaitShutdownGrant() {
	code := exitRestart
	if grant := <-m.member.Shutdowns(); grant.Purpose == rollout.Drain {
		code = exitDrained
	}
	m.shutdownGrants <- code
}

// ShutdownGrants implements membership.
func (m *fleetMember) ShutdownGrants() <-chan int { return m.shutdownGrants }

// ReportServing implements membership.
func (m *fleetMember) ReportServing() { m.member.SetPhase(rollout.Serving) }

// ReportDraining implements membership.
func (m *fleetMember) ReportDraining() { m.member.SetPhase(rollout.Draining) }

// Close implements membership.
func (m *fleetMember) Close() { m.member.Close(fleetCloseTimeout) }

// Exclude implements fleet.FrontEnd.
func (m *fleetMember) Exclude(engines fleet.EngineSet) { m.feed.Exclude(source.NameSet(engines)) }

// Drained implements fleet.FrontEnd.
func (m *fleetMember) Drained(name string) bool {
	for _, e := range m.feed.Endpoints() {
		if e.Name == name {
			return m.engines.Drained(e.ID)
		}
	}
	return true
}

// Engines implements fleet.FrontEnd.
func (m *fleetMember) Engines() (engines []rollout.Engine) {
	for _, e := range m.feed.Endpoints() {
		reported := rollout.Engine{
			Name:    e.Name,
			Process: uint64(e.Started),
			Zone:    nameAt(m.names.Zones, e.Zone),
			Kind:    nameAt(m.names.Kinds, e.Kind),
			Listed:  true,
			Ready:   e.State == admission.Ready,
		}
		if e.Kind >= 0 && e.Kind < len(m.kinds) {
			reported.Cores = float64(m.kinds[e.Kind].Cores)
		}
		engines = append(engines, reported)
	}
	return engines
}

// RequestCounts implements fleet.FrontEnd.
func (m *fleetMember) RequestCounts() rollout.RequestCounts { return requestCounts(m.counters.Map()) }

// requestCounts counts each request at its end, by its answer. Requests are not counted at their start: a window in
// which more requests end than start would have impossible counts, and a control replica discards such a window.
func requestCounts(counters map[string]int64) rollout.RequestCounts {
	failed := counters["failed"] + counters["deadline"]
	return rollout.RequestCounts{
		Requests: counters["served"] + failed + counters["refused"],
		Failed:   failed,
		Rejected: counters["refused"],
		Slow:     counters["served_late"],
	}
}

// nameAt returns the name with the given index, or "" if no name has that index.
func nameAt(names map[string]int, index int) string {
	for name, i := range names {
		if i == index {
			return name
		}
	}
	return ""
}
