package discovery

import (
	"fmt"
	"slices"
	"time"
)

// suspicion is the state of a suspect list: a list that lost more endpoints than an operator's command is expected to
// remove. The missing endpoints stay until the list is confirmed.
type suspicion struct {
	active bool
	since  time.Duration
	reads  int  // trusted reads that reported a suspect list
	empty  bool // the latest suspect list was empty, which confirms nothing
}

// trustedList is the list of a trusted observation.
type trustedList struct {
	keys     map[string]bool
	advanced bool // the index is later than the index of the previous trusted list
}

func (l trustedList) empty() bool { return len(l.keys) == 0 }

// handleMissing deregisters the endpoints that are absent from a trusted list, or keeps them and suspects the list
// (invariants 4, 5 and 8).
func (s *EndpointSet) handleMissing(update *Update, list trustedList) {
	registered, missing := s.findMissing(list.keys)
	s.forgetOldLosses()
	if len(missing) == 0 {
		s.clearSuspicion(update, registered)
		return
	}
	if list.advanced && !list.empty() && len(missing)+len(s.recentLosses) <= s.maxLosses(registered) {
		s.deregister(missing)
		s.clearSuspicion(update, registered-len(missing))
		return
	}
	s.beginSuspicion(update, len(missing), registered)
	s.countRead(update, list, len(missing))
	for _, e := range missing {
		e.missing = true
	}
	if s.suspicionConfirmed() {
		s.acceptShortList(update, NoticeListConfirmed)
	}
}

// findMissing returns the number of registered endpoints, and the registered endpoints that are absent from the list.
func (s *EndpointSet) findMissing(listed map[string]bool) (registered int, missing []*endpoint) {
	for _, e := range s.endpoints {
		if e.deregistered {
			continue
		}
		registered++
		if !listed[e.Key] {
			missing = append(missing, e)
		}
	}
	return registered, missing
}

// forgetOldLosses drops the losses that are older than LossWindow.
func (s *EndpointSet) forgetOldLosses() {
	s.recentLosses = slices.DeleteFunc(s.recentLosses, func(at time.Duration) bool {
		return s.now-at > s.settings.LossWindow
	})
}

// maxLosses returns how many endpoints may be lost within LossWindow without suspicion: a share of the endpoints that
// are registered or were deregistered within the window.
func (s *EndpointSet) maxLosses(registered int) int {
	recentlyDeregistered := 0
	for _, e := range s.endpoints {
		if e.deregistered && s.now-e.deregisteredAt <= s.settings.LossWindow {
			recentlyDeregistered++
		}
	}
	return max(1, int(s.settings.MaxLoss*float64(registered+recentlyDeregistered)))
}

// beginSuspicion marks the list as suspect, unless a suspicion is active already.
func (s *EndpointSet) beginSuspicion(update *Update, missing, registered int) {
	if !s.suspicion.active {
		s.suspicion = suspicion{active: true, since: s.now}
		update.notify(NoticeListSuspect, missing, fmt.Sprintf("of %d", registered))
	}
}

// countRead counts a read of a suspect list towards its confirmation.
func (s *EndpointSet) countRead(update *Update, list trustedList, missing int) {
	s.suspicion.reads++
	if list.empty() && !s.suspicion.empty {
		update.notify(NoticeEmptyList, missing, "")
	}
	if s.suspicion.empty && !list.empty() {
		s.suspicion.reads, s.suspicion.since = 1, s.now // reads of an empty list do not count
	}
	s.suspicion.empty = list.empty()
}

// suspicionConfirmed reports whether enough reads over enough time have reported a suspect list. An empty list is never
// confirmed.
func (s *EndpointSet) suspicionConfirmed() bool {
	return !s.suspicion.empty && s.suspicion.reads >= s.settings.ConfirmReads &&
		s.now-s.suspicion.since >= s.settings.ConfirmAfter
}

// clearSuspicion ends an active suspicion after the missing endpoints have returned, or after few enough are missing to
// be deregistered by command.
func (s *EndpointSet) clearSuspicion(update *Update, registered int) {
	if s.suspicion.active {
		update.notify(NoticeSuspicionCleared, registered, "")
		s.suspicion = suspicion{}
	}
}

// expireSuspicion accepts a list that has been suspect for MaxSuspicion. An empty list is never accepted.
func (s *EndpointSet) expireSuspicion(update *Update) {
	if s.suspicion.active && !s.suspicion.empty && s.now-s.suspicion.since >= s.settings.MaxSuspicion {
		s.acceptShortList(update, NoticeSuspicionExpired)
	}
}

// acceptShortList deregisters the endpoints that are missing from the suspect list.
func (s *EndpointSet) acceptShortList(update *Update, kind NoticeKind) {
	var missing []*endpoint
	for _, e := range s.endpoints {
		if e.missing && !e.deregistered {
			missing = append(missing, e)
		}
	}
	update.notify(kind, len(missing), "")
	s.suspicion = suspicion{}
	s.deregister(missing)
}

// deregister marks endpoints as deregistered and counts them as losses (invariant 8).
func (s *EndpointSet) deregister(endpoints []*endpoint) {
	for _, e := range endpoints {
		e.deregistered, e.missing, e.deregisteredAt = true, false, s.now
		e.ejected, e.suppressed, e.failing = false, false, false
		s.recentLosses = append(s.recentLosses, s.now)
	}
}
