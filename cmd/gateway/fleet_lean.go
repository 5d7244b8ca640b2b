//go:build lean

package main

import (
	"errors"
	"log/slog"

	"beechcart/internal/engine"
	"beechcart/internal/invariant"
	"beechcart/internal/operatorconfig"
	"beechcart/internal/platformconfig"
	"beechcart/internal/source"
)

// joinFleet refuses what this build has left out.
func joinFleet(_ *platformconfig.Config, ops operatorconfig.Settings, _ *source.Feed, _ *engine.Client, _ *invariant.Counters, _ *slog.Logger) (fleetMember, error) {
	if ops.Fleet.Gossip != "" {
		return nil, errors.New("settings: fleet: this build has none (tag lean)")
	}
	return outside{}, nil
}
