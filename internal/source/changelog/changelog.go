// Package changelog makes the engine list from the platform's change log.
package changelog

import (
	"context"
	"fmt"
	"log/slog"

	"beechcart/internal/endpoints"
	"beechcart/internal/engine"
)

// Source follows the change log at one address.
type Source struct {
	fleet   *engine.Client
	addr    string
	changes *endpoints.ChangeLog
	log     *slog.Logger
	lost    bool // polls fail
}

// New returns a Source that goes on after the last event that changes holds.
func New(fleet *engine.Client, addr string, changes *endpoints.ChangeLog, log *slog.Logger) *Source {
	return &Source{fleet: fleet, addr: addr, changes: changes, log: log}
}

// Run polls until ctx ends.
func (s *Source) Run(ctx context.Context, take func(endpoints.List)) {
	s.fleet.FollowChangeLog(ctx, s.addr, s.changes.Seq(), func(text []byte) (int64, error) {
		lists, err := s.changes.Read(text)
		for _, l := range lists {
			take(l)
		}
		// Guards against passing over events for good: what is asked for is what comes after those that are held.
		if err == nil && s.changes.Behind() {
			err = fmt.Errorf("change log: events after %d are told of and did not come", s.changes.Seq())
		}
		return s.changes.Seq(), err
	}, s.state)
}

func (s *Source) state(err error) {
	switch {
	case err != nil && !s.lost:
		s.log.Warn("change log lost", "error", err)
	case err == nil && s.lost:
		s.log.Info("change log back")
	}
	s.lost = err != nil
}
