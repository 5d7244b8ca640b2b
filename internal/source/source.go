// Package source obtains the endpoint list from the platform's change log, from a Consul catalogue or from another
// authority. Each kind of source is a package below this one that implements [Source]. A [Feed] follows one source at a
// time.
package source

import (
	"context"

	"beechcart/internal/endpoints"
)

// Source follows one authority for the endpoint list.
type Source interface {
	// Run passes each list to take, in the order of arrival, until ctx ends, and returns only then. Run retries requests
	// that fail at the authority. take must not be called after Run has returned.
	Run(ctx context.Context, take func(endpoints.List))
}

// StatusReporter reports the status of each engine with its reason. A Source may implement StatusReporter.
type StatusReporter interface {
	// Statuses returns one status for each engine that the source knows. It is safe for concurrent use.
	Statuses() []EngineStatus
}

// EngineStatus is the status of one engine, for operators and tools.
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
	SinceMS int64   `json:"since_ms"` // start of the engine's process, in Unix milliseconds; 0: long ago
}

// NameSet is a set of engine names.
type NameSet map[string]bool
