package discovery

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// endpoint is the state of one engine in an EndpointSet.
type endpoint struct {
	Endpoint  // as last reported
	id        uint32
	startedAt time.Duration // for Change.StartedAt

	announced   Change // the latest change; valid if isAnnounced
	isAnnounced bool

	cached         bool // known from the cached list only
	deregistered   bool
	deregisteredAt time.Duration
	missing        bool // absent from the list of the latest trusted observation; that list is suspect

	drain      bool
	drainIndex uint64 // the latest index of this epoch that reported the drain

	failing      bool
	failingSince time.Duration
	ejected      bool // because of a failing check or flapping
	ejectedAt    time.Duration
	penalty      penalty
	suppressed   bool // because of flapping

	addressConflict Reason // why the endpoint drains because of another one at its address; empty: no conflict
}

// EndpointSet is the state of all endpoints as seen by one front end.
type EndpointSet struct {
	settings  Settings
	endpoints map[string]*endpoint // by key
	keys      map[uint32]string    // by id

	now         time.Duration // time of the current event
	initialized bool          // an observation was trusted, or a cached list with endpoints was restored
	trusted     bool          // an observation of this epoch was trusted
	index       uint64        // of the latest trusted observation of this epoch; 0: none

	earlierIndexReads int           // observations with a leader and not too stale, since the latest trusted one
	earlierIndexSince time.Duration // time of the first of these reads

	suspicion    suspicion
	recentLosses []time.Duration     // times of the deregistrations obeyed within LossWindow
	notified     map[NoticeKind]bool // kinds whose notice was issued and whose cause persists
}

// New returns an empty EndpointSet. The error names a setting that is out of range.
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

// Configure replaces the settings and keeps the state of the endpoints. The error names a setting that is out of range;
// the settings then stay unchanged.
func (s *EndpointSet) Configure(settings Settings) error {
	if err := settings.Check(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	s.settings = settings
	return nil
}

// Index returns the index of the latest trusted observation of this epoch; 0: none.
func (s *EndpointSet) Index() uint64 { return s.index }

// Suspicious reports whether a list awaits confirmation. The caller must then read the catalogue again soon.
func (s *EndpointSet) Suspicious() bool { return s.suspicion.active }

// Restore adds the endpoints of a cached list. Restore must be the first event of an EndpointSet. An endpoint that
// drains in the list drains until a trusted observation reports the endpoint without the drain. An engine whose start
// is not reported counts as started long ago.
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

// Switch begins a new epoch: the next observations come from another catalogue, whose indexes are not comparable with
// the earlier ones.
func (s *EndpointSet) Switch(now time.Duration) {
	s.now = now
	s.beginEpoch()
	s.index, s.trusted = 0, false
}

// Observe applies a response of the catalogue and returns the resulting changes and notices.
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
		assumedStart = 0 // the processes of the first list may have started long ago
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

// Advance sets the time and returns the changes that the passage of time alone causes, such as the end of a suspicion.
// Next returns the time of the next call.
func (s *EndpointSet) Advance(now time.Duration) Update {
	s.now = now
	return s.finish(Update{})
}

// Next returns the earliest time at which Advance may return a change, or false if no change is due.
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
		next = s.now + time.Millisecond // changes that were due at s.now are done
	}
	return next, true
}

// Current returns the latest change of every endpoint, sorted by key. The caller may modify the slice.
func (s *EndpointSet) Current() []Change {
	all := s.sorted()
	changes := make([]Change, 0, len(all))
	for _, e := range all {
		changes = append(changes, e.announced)
	}
	return changes
}

// Snapshot returns the registered endpoints, sorted by key, in the form that Restore takes.
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

// finish completes the handling of an event: it applies the changes due at the current time and adds to the update each
// endpoint whose state differs from the announced one.
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
		sameForSender := !isNew && change.senderFields() == e.announced.senderFields()
		e.announced, e.isAnnounced = change, true
		if sameForSender {
			continue // only Current shows a change that does not matter to senders, such as a new reason
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

// sorted returns the endpoints sorted by key, so that equal histories give equal updates.
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

// currentState returns the change that describes the current state of an endpoint.
func (s *EndpointSet) currentState(e *endpoint) Change {
	change := Change{ID: e.id, Endpoint: e.Endpoint, StartedAt: e.startedAt}
	change.ModifyIndex = 0 // ModifyIndex also grows without a change of the endpoint
	change.Passing, change.Drain = !e.failing, e.drain
	change.State, change.Reason = s.stateOf(e)
	return change
}

// stateOf returns the state of an endpoint and its reason. Operators' commands, a deregistration or a drain, take
// precedence over evidence, such as failing checks.
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

// notifyOnce adds a notice unless one of the same kind was added since the kind's entry in notified was last deleted.
func (s *EndpointSet) notifyOnce(update *Update, kind NoticeKind, count int, detail string) {
	if !s.notified[kind] {
		s.notified[kind] = true
		update.notify(kind, count, detail)
	}
}
