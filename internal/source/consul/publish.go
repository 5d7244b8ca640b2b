package consul

import (
	"beechcart/admission"
	"beechcart/decision/discovery"
	"beechcart/internal/endpoints"
	"beechcart/internal/platformconfig"
)

// publish logs the notices of an update and passes its changes on. The first list that is passed on is complete; later
// lists hold changes only.
func (s *Source) publish(update discovery.Update, take func(endpoints.List)) {
	for _, n := range update.Notices {
		s.counters.Add("notice_"+counterName(n.Kind), 1)
		s.log.Warn("catalogue", "says", string(n.Kind), "engines", n.Count, "detail", n.Detail)
	}
	if len(update.Changes) == 0 {
		return
	}
	s.counters.Add("catalogue_changes", int64(len(update.Changes)))
	list := endpoints.List{Complete: !s.published}
	s.published = true
	for _, c := range update.Changes {
		list.Endpoints = append(list.Endpoints, endpoints.Endpoint{
			Engine: admission.Engine{
				ID: c.ID, Kind: platformconfig.IndexOf(s.names.Kinds, c.Kind),
				Zone: platformconfig.IndexOf(s.names.Zones, c.Zone), Cell: c.Cell, State: states[c.State],
				Units: c.Weight, Started: c.StartedAt,
			},
			Name: c.Key, Address: c.Addr, Reason: string(c.Reason),
		})
	}
	take(list)
}

var states = map[discovery.State]admission.State{
	discovery.Ready: admission.Ready, discovery.Draining: admission.Draining, discovery.Removed: admission.Removed,
}

// counterName returns the name by which the counters count a kind of notice.
func counterName(kind discovery.NoticeKind) string {
	switch kind {
	case discovery.NoticeListSuspect:
		return "doubt_begun"
	case discovery.NoticeSuspicionCleared:
		return "doubt_cleared"
	case discovery.NoticeListConfirmed:
		return "doubt_confirmed"
	case discovery.NoticeSuspicionExpired:
		return "doubt_expired"
	case discovery.NoticeEmptyList:
		return "empty_kept"
	case discovery.NoticeUntrusted:
		return "old_word"
	case discovery.NoticeIndexReset:
		return "index_reset"
	default:
		return "malformed"
	}
}
