//go:build lean

package main

import (
	"errors"
	"log/slog"

	"beechcart/internal/engine"
	"beechcart/internal/invariant"
	"beechcart/internal/source"
)

// joinFleet rejects settings that name a fleet: this build leaves it out.
func joinFleet(config configuration, _ *source.Feed, _ *engine.Client, _ *invariant.Counters,
	_ *slog.Logger) (membership, error) {
	if config.operators.Fleet.GossipAddress != "" {
		return nil, errors.New("settings: fleet: this build has none (tag lean)")
	}
	return standalone{}, nil
}
