package discovery

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// endpoint is what is believed of one engine.
type endpoint struct {
	Endpoint  // as last reported
	id        uint32
	startedAt time.Duration // as Change has it

	announced   Change // the latest change; valid if isAnnounced
	isAnnounced bool

	cached         bool // known from the cached list only
	deregistered   bool
	deregisteredAt time.Duration
	missing        bool // not in the latest trusted list, which is suspect

	drain      bool
	drainIndex uint64 // the latest index that reported the drain, in this epoch

	failing      bool
	failingSince time.Duration
	ejected      bool // by health
	ejectedAt    time.Duration
	penalty      penalty
	suppressed   bool // for flapping

	addressConflict Reason // why another endpoint at the address holds this one back; empty: none does
}

// EndpointSet is what one front end believes of all endpoints.
type EndpointSet struct {
	settings  Settings
	endpoints map[string]*endpoint // by key
	keys      map[uint32]string    // by id

	now         time.Duration // of the event that is handled
	initialized bool          // endpoints were reported, by a catalogue or a cached list
	trusted     bool          // an observation of this epoch was trusted
	index       uint64        // of the latest observation that was trusted in this epoch; 0: none

	staleReads int           // sound observations in a row of an earlier index
	staleSince time.Duration // time of the first of them

	suspicion    suspicion
	recentLosses []time.Duration     // times of the deregistrations obeyed within LossWindow
	notified     map[NoticeKind]bool // kinds that were told, and whose cause goes on
}

// New returns an empty EndpointSet, or an error that names the setting out of range.
func New(settings Settings) (*EndpointSet, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	return &EndpointSet{
		settings:  settings,
		endpoints: map[string]*endpoint{},
		keys:      map[uint32]string{},
		notified:  map[NoticeKind]bool{},
	}, nil
}

// Configure replaces the settings; what is believed stays.
func (s *EndpointSet) Configure(settings Settings) error {
	if err := settings.Check(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	s.settings = settings
	return nil
}

// Index returns the latest index that was trusted in this epoch; 0: none.
func (s *EndpointSet) Index() uint64 { return s.index }

// Suspicious reports whether a list awaits confirmation: the catalogue should be read again soon.
func (s *EndpointSet) Suspicious() bool { return s.suspicion.active }

// Restore takes a cached list, as the first event of an EndpointSet. Its drains hold until a catalogue lifts them; its
// engines count as running for long.
func (s *EndpointSet) Restore(now time.Duration, list []Endpoint) Update {
	s.now = now
	var update Update
	list, malformed := normalize(list)
	s.noteMalformed(&update, malformed)
	for _, reported := range list {
		e := s.add(reported)
		if e == nil {
			continue
		}
		e.cached, e.drain, e.startedAt = true, reported.Drain, reported.StartedAt
		if !reported.Passing {
			e.failing, e.failingSince = true, now
		}
	}
	s.initialized = s.initialized || len(list) > 0
	return s.finish(update)
}

// Switch tells that the next observations are another catalogue's: its indexes can't be compared with the earlier ones.
func (s *EndpointSet) Switch(now time.Duration) {
	s.now = now
	s.beginEpoch()
	s.index, s.trusted = 0, false
}

// Observe takes an answer of the catalogue.
func (s *EndpointSet) Observe(now time.Duration, observation Observation) Update {
	s.now = now
	var update Update
	list, malformed := normalize(observation.Endpoints)
	s.applyDrains(list, observation.Index)
	if !s.trusts(&update, observation, list) {
		s.noteMalformed(&update, malformed)
		return s.finish(update)
	}
	advanced := !s.trusted || observation.Index > s.index
	s.liftDrains(list, observation.Index)
	s.index, s.initialized, s.trusted = observation.Index, true, true
	assumedStart := s.now
	if !s.anyAnnounced() {
		assumedStart = 0 // the processes of the very first list may have run for long
	}
	listed := make(map[string]bool, len(list))
	for _, reported := range list {
		listed[reported.Key] = true
		if !s.merge(reported, assumedStart) {
			malformed++
		}
	}
	s.noteMalformed(&update, malformed)
	s.handleMissing(&update, trustedList{keys: listed, advanced: advanced})
	return s.finish(update)
}

// Advance lets time pass and returns what that alone changes. Next tells when it is due.
func (s *EndpointSet) Advance(now time.Duration) Update {
	s.now = now
	return s.finish(Update{})
}

// Next returns the earliest time at which Advance may change something; false if nothing is due.
func (s *EndpointSet) Next() (time.Duration, bool) {
	var due []time.Duration
	if s.suspicion.active && !s.suspicion.empty {
		due = append(due, s.suspicion.since+s.settings.MaxSuspicion)
	}
	for _, e := range s.endpoints {
		switch {
		case e.deregistered:
			due = append(due, e.deregisteredAt+s.settings.Linger)
		case e.suppressed && !e.failing:
			due = append(due, e.penalty.reuseAt(&s.settings))
		}
	}
	if len(due) == 0 {
		return math.MaxInt64, false
	}
	next := slices.Min(due)
	if next <= s.now {
		next = s.now + time.Millisecond // what was due at s.now is done
	}
	return next, true
}

// Current returns the latest change of every endpoint, by key. The slice is the caller's.
func (s *EndpointSet) Current() []Change {
	all := s.sorted()
	changes := make([]Change, 0, len(all))
	for _, e := range all {
		changes = append(changes, e.announced)
	}
	return changes
}

// Snapshot returns the endpoints that are registered, as Restore takes them.
func (s *EndpointSet) Snapshot() []Endpoint {
	var list []Endpoint
	for _, e := range s.sorted() {
		if e.deregistered {
			continue
		}
		snapshot := e.Endpoint
		snapshot.Drain, snapshot.Passing = e.drain, !e.failing
		list = append(list, snapshot)
	}
	return list
}

// finish ends the handling of an event: it lets time pass and adds what differs from what was announced before.
func (s *EndpointSet) finish(update Update) Update {
	s.expireSuspicion(&update)
	all := s.sorted()
	resolveAddressConflicts(all)
	s.ejectUnhealthy(all)
	for _, e := range all {
		change := s.currentState(e)
		if e.isAnnounced && change == e.announced {
			continue
		}
		isNew := !e.isAnnounced
		onlyReason := !isNew && change.sentPart() == e.announced.sentPart()
		e.announced, e.isAnnounced = change, true
		if onlyReason {
			continue // another reason for the same state is told by Current only
		}
		if change.State == Removed {
			delete(s.endpoints, e.Key)
			delete(s.keys, e.id)
			if isNew {
				continue
			}
		}
		update.Changes = append(update.Changes, change)
	}
	return update
}

// sorted returns the endpoints by key, so that equal histories give equal updates.
func (s *EndpointSet) sorted() []*endpoint {
	all := make([]*endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *endpoint) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// anyAnnounced reports whether any endpoint was announced.
func (s *EndpointSet) anyAnnounced() bool {
	for _, e := range s.endpoints {
		if e.isAnnounced {
			return true
		}
	}
	return false
}

// currentState returns what is to be announced of an endpoint.
func (s *EndpointSet) currentState(e *endpoint) Change {
	change := Change{ID: e.id, Endpoint: e.Endpoint, StartedAt: e.startedAt}
	change.ModifyIndex = 0 // it grows without a change of the endpoint
	change.Passing, change.Drain = !e.failing, e.drain
	change.State, change.Reason = s.stateOf(e)
	return change
}

// stateOf returns the state of an endpoint and why. Commands come before evidence.
func (s *EndpointSet) stateOf(e *endpoint) (State, Reason) {
	switch {
	case e.deregistered && s.now-e.deregisteredAt >= s.settings.Linger:
		return Removed, ReasonDeregistered
	case e.deregistered:
		return Draining, ReasonDeregistered
	case e.drain:
		return Draining, ReasonDrainRequested
	case e.addressConflict != "":
		return Draining, e.addressConflict
	case e.ejected && e.failing:
		return Draining, ReasonCheckFailing
	case e.ejected:
		return Draining, ReasonFlapping
	case e.missing && s.suspicion.empty:
		return Ready, ReasonMissingEmptyList
	case e.missing:
		return Ready, ReasonMissingSuspect
	case e.failing:
		return Ready, ReasonFailingKept
	case e.suppressed:
		return Ready, ReasonFlappingKept
	case e.cached:
		return Ready, ReasonCached
	}
	return Ready, ReasonPassing
}

// notifyOnce tells operators of a kind of trouble once, until its entry in notified is deleted.
func (s *EndpointSet) notifyOnce(update *Update, kind NoticeKind, count int, detail string) {
	if !s.notified[kind] {
		s.notified[kind] = true
		update.notify(kind, count, detail)
	}
}
