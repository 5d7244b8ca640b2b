// Package source is where the engine list comes from: the change log of the platform, a Consul catalogue, and in time
// others. Each is a package below or beside this one that offers a Source.
package source

import (
	"context"

	"beechcart/internal/endpoints"
)

// Source follows one authority on the engine list.
type Source interface {
	// Run hands on each list as it comes, in order, until ctx ends, and returns only then. It outlives every trouble
	// of the authority. take must not be called after Run has returned.
	Run(ctx context.Context, take func(endpoints.List))
}

// StatusReporter is a Source that can tell what it believes of each engine, and why.
type StatusReporter interface {
	// Statuses may be called from any goroutine.
	Statuses() []EngineStatus
}

// EngineStatus is what a Source believes of one engine, in words for people and programs.
type EngineStatus struct {
	Name    string  `json:"name"`
	ID      uint32  `json:"id"`
	Address string  `json:"address"`
	State   string  `json:"state"`
	Reason  string  `json:"reason"`
	Zone    string  `json:"zone,omitempty"`
	Kind    string  `json:"kind,omitempty"`
	Cell    int     `json:"cell"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // Unix time since when the process is taken to run; 0: long ago
}
