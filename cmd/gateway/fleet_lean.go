//go:build lean

package main

import (
	"errors"
	"log/slog"

	"beechcart/internal/engine"
	"beechcart/internal/invariant"
	"beechcart/internal/source"
)

// joinFleet rejects settings that name a fleet: the lean build leaves the fleet code out.
func joinFleet(config configuration, _ *source.Feed, _ *engine.Client, _ *invariant.Counters,
	_ *slog.Logger) (membership, error) {
	if config.operators.Fleet.GossipAddress != "" {
		return nil, errors.New("settings: fleet.gossip: found an address, must be empty: this build (tag lean) has no fleet")
	}
	return standalone{}, nil
}
