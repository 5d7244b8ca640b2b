// Package changelog obtains the endpoint list from the platform's change log.
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
	client    *engine.Client
	address   string
	changeLog *endpoints.ChangeLog // owned by Run while it runs
	log       *slog.Logger
	lost      bool // the last poll failed
}

// New returns a Source that continues after the last event that changeLog has read.
func New(client *engine.Client, address string, changeLog *endpoints.ChangeLog, log *slog.Logger) *Source {
	return &Source{client: client, address: address, changeLog: changeLog, log: log}
}

// Run polls the change log until ctx ends.
func (s *Source) Run(ctx context.Context, take func(endpoints.List)) {
	read := func(text []byte) (int64, error) {
		lists, err := s.changeLog.Read(text)
		for _, l := range lists {
			take(l)
		}
		// The next poll begins after the last event that was read, so announced events that are missing are requested again.
		if err == nil && s.changeLog.Behind() {
			err = fmt.Errorf("change log: events after %d were announced but not received", s.changeLog.Seq())
		}
		return s.changeLog.Seq(), err
	}
	s.client.FollowChangeLog(ctx, s.address, s.changeLog.Seq(), read, s.logOutcome)
}

// logOutcome logs the first failed poll, and the first successful poll after a failure.
func (s *Source) logOutcome(err error) {
	switch {
	case err != nil && !s.lost:
		s.log.Warn("change log lost", "error", err)
	case err == nil && s.lost:
		s.log.Info("change log back")
	}
	s.lost = err != nil
}
