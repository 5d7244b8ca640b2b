// Package source is where the endpoint list comes from: the platform's change log, a Consul catalogue, or another
// authority. Each is a package below this one that implements [Source]. A [Feed] follows one of them at a time.
package source

import (
	"context"

	"beechcart/internal/endpoints"
)

// Source follows one authority on the endpoint list.
type Source interface {
	// Run hands each list to take as it arrives, in order, until ctx ends, and returns only then. It retries whatever
	// fails at the authority. take must not be called after Run has returned.
	Run(ctx context.Context, take func(endpoints.List))
}

// StatusReporter is a Source that can report what it knows of each engine, and why.
type StatusReporter interface {
	// Statuses is safe for concurrent use.
	Statuses() []EngineStatus
}

// EngineStatus is what a Source knows of one engine, for people and programs.
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
	SinceMS int64   `json:"since_ms"` // Unix time since which the process has been running; 0: long ago
}

// NameSet is a set of engines' names.
type NameSet map[string]bool
