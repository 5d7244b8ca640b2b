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

// endpointFollower keeps the endpoint list up to date from one source at a time. Its methods must not run
// concurrently: the goroutine of server.serve makes all calls.
type endpointFollower struct {
	paths     *configPaths
	engines   *engine.Client
	changeLog *endpoints.ChangeLog
	feed      *source.Feed
	log       *slog.Logger
	counters  *invariant.Counters

	operators operatorconfig.Settings // settings in force
	consul    *consul.Source          // nil: the change log is the source
	cache     *endpointcache.Store    // nil: the endpoint list is not cached on disk
}

// newConsulSource returns a source that reads the catalogue, or nil if the settings name the change log as the source.
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

// follow switches to the source that the settings name. On an error the previous source stays in use.
func (f *endpointFollower) follow(c configuration) error {
	var cache *endpointcache.Store
	var store consul.Store // stays nil without a cache; an interface that holds a nil *Store would not equal nil
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
		// The events of the change log are numbered. Reading starts at the first event if the previous source was Consul,
		// and resumes after the last event read otherwise.
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

// stop stops the source and writes its last endpoint list to the cache.
func (f *endpointFollower) stop() {
	f.feed.Stop()
	if f.cache != nil {
		f.cache.Flush()
	}
}

// reload reads the platform's configuration and the operators' settings again, and follows the source that the settings
// name. Invalid or half-written files change nothing. Settings that do not concern the source take effect only at the
// next start of the process.
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
