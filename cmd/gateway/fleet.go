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

// goneWithin is how long the last word to the fleet may take: whoever waits for the process waits no longer than that more.
const goneWithin = 500 * time.Millisecond

// knownWithin is how long a start waits for the drains that the fleet has agreed on. One that reaches nobody serves without them.
const knownWithin = 3 * time.Second

// inFleet is the front end as its part in the fleet sees it, and the other way round.
type inFleet struct {
	member   *fleet.Member
	feed     *source.Feed
	engines  *engine.Fleet
	counters *invariant.Counters
	names    platformconfig.Names
	cores    []admission.Kind
	goes     chan int
}

func joinFleet(cfg *platformconfig.Config, ops operatorconfig.Settings, feed *source.Feed, engines *engine.Fleet, counters *invariant.Counters, log *slog.Logger) (fleetMember, error) {
	f := ops.Fleet
	if f.Gossip == "" {
		return outside{}, nil
	}
	in := &inFleet{feed: feed, engines: engines, counters: counters, names: cfg.Names, cores: cfg.Admission.Kinds, goes: make(chan int, 1)}
	o := fleet.Options{Name: cfg.Name, Room: f.Room, Kind: f.Kind, Revision: f.Revision, Weight: f.Weight, Gossip: f.Gossip, Dir: f.Dir,
		Key: f.Key, Routes: f.Routes, Settings: rollout.Defaults(), DiskFaults: f.DiskFaults, Skew: f.Ahead, Log: log}
	for _, k := range f.Keepers {
		o.Keepers = append(o.Keepers, fleet.Address(k))
	}
	var err error
	if in.member, err = fleet.Join(o, in); err != nil {
		return nil, err
	}
	go func() {
		code := exitRestart
		if g := <-in.member.Goes(); g.For == rollout.Drain {
			code = exitDrained
		}
		in.goes <- code
	}()
	select {
	case <-in.member.Known():
	case <-time.After(knownWithin):
		log.Warn("the fleet is not reached: serving without its drains")
	}
	return in, nil
}

func (f *inFleet) Goes() <-chan int { return f.goes }
func (f *inFleet) Serves()          { f.member.Say(rollout.Serving) }
func (f *inFleet) Leaves()          { f.member.Say(rollout.Draining) }
func (f *inFleet) Gone()            { f.member.Close(goneWithin) }

// Veto implements fleet.Front.
func (f *inFleet) Veto(engines map[string]bool) { f.feed.Veto(engines) }

// Idle implements fleet.Front.
func (f *inFleet) Idle(name string) bool {
	for _, e := range f.feed.Known() {
		if e.Name == name {
			return f.engines.Idle(e.ID)
		}
	}
	return true
}

// Engines implements fleet.Front.
func (f *inFleet) Engines() (out []rollout.Engine) {
	for _, e := range f.feed.Known() {
		r := rollout.Engine{Name: e.Name, Process: uint64(e.Started), Listed: true, Ready: e.State == admission.Ready}
		r.Zone, r.Kind = nameOf(f.names.Zones, e.Zone), nameOf(f.names.Kinds, e.Kind)
		if e.Kind >= 0 && e.Kind < len(f.cores) {
			r.Cores = float64(f.cores[e.Kind].Cores)
		}
		out = append(out, r)
	}
	return out
}

// Counted implements fleet.Front.
func (f *inFleet) Counted() rollout.RequestCounts {
	return answers(f.counters.Map())
}

// answers counts requests by their answers, all of them as they end. Guards against a window in which more end than begin:
// its counts would be impossible, and a keeper throws such a window away.
func answers(n map[string]int64) rollout.RequestCounts {
	failed := n["failed"] + n["deadline"]
	return rollout.RequestCounts{Requests: n["served"] + failed + n["refused"], Failed: failed, Rejected: n["refused"], Slow: n["served_late"]}
}

// nameOf is the name of a place; empty where it has none.
func nameOf(names map[string]int, place int) string {
	for name, i := range names {
		if i == place {
			return name
		}
	}
	return ""
}
