package main

import (
	"fmt"
	"log/slog"
	"reflect"

	"beechcart/internal/endpoints"
	"beechcart/internal/engine"
	"beechcart/internal/invariant"
	"beechcart/internal/operatorconfig"
	"beechcart/internal/source"
	"beechcart/internal/source/changelog"
	"beechcart/internal/source/consul"
	"beechcart/internal/source/endpointcache"
)

// endpointFollower keeps the engine list up to date from one source at a time. Only the goroutine of server.serve may
// call it.
type endpointFollower struct {
	paths     *configPaths
	engines   *engine.Client
	changeLog *endpoints.ChangeLog
	feed      *source.Feed
	log       *slog.Logger
	counters  *invariant.Counters

	operators operatorconfig.Settings // in force
	consul    *consul.Source          // nil: the change log is followed
	cache     *endpointcache.Store    // nil: the list is not kept
}

// newConsulSource returns the source for the catalogue that the settings name; nil where they name the change log.
func newConsulSource(
	c configuration,
	cache consul.Store,
	counters *invariant.Counters,
	log *slog.Logger,
) (*consul.Source, error) {
	if c.operators.Source != operatorconfig.SourceConsul {
		return nil, nil
	}
	return consul.New(c.operators.Consul, c.platform.Names, cache, counters, log, c.platform.Seed)
}

// follow moves to the source that the settings name. On an error the source before it stays.
func (f *endpointFollower) follow(c configuration) error {
	var cache *endpointcache.Store
	var store consul.Store // a nil interface where nothing is kept
	if settings := c.operators.EndpointCache; settings.Path != "" && c.operators.Source == operatorconfig.SourceConsul {
		cache = endpointcache.New(settings.Path, settings.WriteInterval, settings.MaxAge, f.log)
		store = cache
	}
	next, err := newConsulSource(c, store, f.counters, f.log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	previous := f.operators.Source
	switch {
	case next == nil:
		// The events of the change log are numbered: it goes on from the last one, and after another source from the first.
		if previous == operatorconfig.SourceConsul {
			f.changeLog = endpoints.NewChangeLog(c.platform.Names)
			f.feed.Follow(changelog.New(f.engines, c.platform.ChangeLog, f.changeLog, f.log))
			break
		}
		f.feed.Continue(changelog.New(f.engines, c.platform.ChangeLog, f.changeLog, f.log))
	case f.consul != nil:
		next.Inherit(f.consul)
		f.feed.Continue(next)
	default:
		f.feed.Follow(next)
	}
	if f.cache != nil {
		f.cache.Flush()
	}
	f.operators, f.consul, f.cache = c.operators, next, cache
	return nil
}

// stop ends the source and writes the list that it had.
func (f *endpointFollower) stop() {
	f.feed.Stop()
	if f.cache != nil {
		f.cache.Flush()
	}
}

// reload reads both files again. Files that are bad or half written change nothing. Only the source of the engine list
// can change while the program runs.
func (f *endpointFollower) reload() {
	c, err := f.paths.load()
	if err == nil && c.operators.Source == operatorconfig.SourceConsul && f.consul != nil &&
		reflect.DeepEqual(c.operators, f.operators) {
		f.log.Info("reloaded", "source", c.operators.Source, "changed", false)
		return
	}
	if err == nil {
		err = f.follow(c)
	}
	if err != nil {
		f.log.Error("reload failed", "error", err)
		return
	}
	if c.operators.Source == operatorconfig.SourceConsul {
		f.log.Info("reloaded", "source", c.operators.Source, "addresses", c.operators.Consul.Addresses)
		return
	}
	f.log.Info("reloaded", "changelog", c.platform.ChangeLog)
}
