package discovery

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// normalize sorts a list by key and leaves out malformed entries. A catalogue may report an endpoint twice: of several
// entries with the same key, normalize keeps the latest registration, which drains if any of the entries does.
func normalize(list []Endpoint) (normalized []Endpoint, malformed int) {
	usable := make([]Endpoint, 0, len(list))
	for _, e := range list {
		if addr, err := netip.ParseAddrPort(e.Addr); e.Key == "" || err != nil || addr.Port() == 0 {
			malformed++
			continue
		}
		if !(e.Weight >= 0) || math.IsInf(e.Weight, 0) {
			e.Weight = 1
		}
		usable = append(usable, e)
	}
	slices.SortStableFunc(usable, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), compareRegistrations(b, a))
	})
	normalized = usable[:0]
	for _, e := range usable {
		if n := len(normalized); n > 0 && normalized[n-1].Key == e.Key {
			normalized[n-1].Drain = normalized[n-1].Drain || e.Drain
			malformed++
			continue
		}
		normalized = append(normalized, e)
	}
	return normalized, malformed
}

// compareRegistrations orders entries by the index of their registration, then by the index of their last change.
func compareRegistrations(a, b Endpoint) int {
	return cmp.Or(cmp.Compare(a.CreateIndex, b.CreateIndex), cmp.Compare(a.ModifyIndex, b.ModifyIndex))
}

// noteMalformed adds a notice with the number of entries left out. The notice is not repeated until a list has no such
// entry.
func (s *EndpointSet) noteMalformed(update *Update, malformed int) {
	if malformed > 0 {
		s.notifyOnce(update, NoticeMalformed, malformed, "")
	} else {
		delete(s.notified, NoticeMalformed)
	}
}

// applyDrains applies the drains of an observation, trusted or not (invariant 1).
func (s *EndpointSet) applyDrains(list []Endpoint, index uint64) {
	for _, reported := range list {
		if e := s.endpoints[reported.Key]; e != nil && reported.Drain {
			e.drain = true
			e.drainIndex = max(e.drainIndex, index)
		}
	}
}

// liftDrains lifts the drains that an observation of a later index no longer reports (invariant 2).
func (s *EndpointSet) liftDrains(list []Endpoint, index uint64) {
	for _, reported := range list {
		if e := s.endpoints[reported.Key]; e != nil && !reported.Drain && index > e.drainIndex {
			e.drain = false
		}
	}
}

// trusts reports whether an observation may have effects other than drains (invariant 6). If an index reset is
// confirmed, trusts begins a new epoch.
func (s *EndpointSet) trusts(update *Update, observation Observation, list []Endpoint) bool {
	sound := observation.Index > 0 && observation.HasLeader && observation.LastContact <= s.settings.MaxStaleness
	if !s.initialized {
		return sound || len(list) > 0 // no endpoint is known yet: untrusted endpoints are better than none
	}
	if sound && (!s.trusted || observation.Index >= s.index) {
		s.earlierIndexReads = 0
		delete(s.notified, NoticeUntrusted)
		return true
	}
	s.notifyOnce(update, NoticeUntrusted, len(list), fmt.Sprintf("index %d after %d, leader %v, lag %v",
		observation.Index, s.index, observation.HasLeader, observation.LastContact))
	if !sound {
		return false
	}
	s.earlierIndexReads++
	if s.earlierIndexReads == 1 {
		s.earlierIndexSince = s.now
	}
	if s.earlierIndexReads < s.settings.ConfirmReads || s.now-s.earlierIndexSince < s.settings.ResetAfter {
		return false
	}
	update.notify(NoticeIndexReset, len(list), fmt.Sprintf("from %d to %d", s.index, observation.Index))
	s.beginEpoch()
	s.applyDrains(list, observation.Index) // again, as the drains of this observation belong to the new epoch
	s.index = 0
	delete(s.notified, NoticeUntrusted)
	return true
}

// beginEpoch resets the indexes of all endpoints. Drains stay until a trusted observation lifts them.
func (s *EndpointSet) beginEpoch() {
	for _, e := range s.endpoints {
		e.drainIndex, e.CreateIndex, e.ModifyIndex = 0, 0, 0
	}
	s.earlierIndexReads = 0
}

// add adds an endpoint, or returns nil if another endpoint has the same id (invariant 10).
func (s *EndpointSet) add(reported Endpoint) *endpoint {
	id := EndpointID(reported.Key)
	if _, taken := s.keys[id]; taken {
		return nil
	}
	e := &endpoint{Endpoint: reported, id: id, drain: reported.Drain}
	s.endpoints[reported.Key], s.keys[id] = e, reported.Key
	return e
}

// merge applies one entry of a trusted list, or returns false and leaves the entry out if another endpoint has the same
// id. A process that is new in the set and does not report its start counts as started at assumedStart.
func (s *EndpointSet) merge(reported Endpoint, assumedStart time.Duration) bool {
	e := s.endpoints[reported.Key]
	switch {
	case e == nil:
		e = s.add(reported)
		if e == nil {
			return false
		}
		e.drainIndex = s.index
		e.startedAt = startOf(reported, assumedStart)
	case e.replacedBy(reported):
		e.startedAt = startOf(reported, s.now)
		e.penalty, e.suppressed, e.ejected, e.failing = penalty{}, false, false, false
	case e.cached && reported.StartedAt > 0 && e.StartedAt != reported.StartedAt:
		e.startedAt = reported.StartedAt
	}
	e.Endpoint, e.cached, e.deregistered, e.missing = reported, false, false, false
	s.applyHealth(e)
	return true
}

// startOf returns the reported start time of a process, or the assumed one if none is reported.
func startOf(reported Endpoint, assumed time.Duration) time.Duration {
	if reported.StartedAt > 0 {
		return reported.StartedAt
	}
	return assumed
}

// replacedBy reports whether an entry with the key of the endpoint belongs to another process than the known one.
// Incarnations are compared if either process reports one, else start times if both report one, else the CreateIndex.
func (e *endpoint) replacedBy(reported Endpoint) bool {
	switch {
	case e.Addr != reported.Addr:
		return true
	case e.Incarnation != "" || reported.Incarnation != "":
		return e.Incarnation != reported.Incarnation
	case e.StartedAt > 0 && reported.StartedAt > 0:
		return e.StartedAt != reported.StartedAt
	}
	return e.CreateIndex != reported.CreateIndex && e.CreateIndex > 0 && reported.CreateIndex > 0
}
