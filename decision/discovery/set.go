package discovery

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// endpoint is what is believed of one engine.
type endpoint struct {
	Endpoint
	id          uint32
	startedAt   time.Duration
	announced   Change // what was last answered; State is Gone before the first answer
	isAnnounced bool   // told has been set

	cached         bool // known from the last good list only
	deregistered   bool // deregistered
	deregisteredAt time.Duration
	missing        bool // not in the latest trusted list, which is in doubt

	drain      bool
	drainIndex uint64 // the latest index that told the drain, in this epoch

	failing      bool
	failingSince time.Duration // since when
	ejected      bool          // taken out by health
	ejectedAt    time.Duration
	penalty      penalty
	suppressed   bool // suppressed

	addressConflict Reason // why an engine that could be ready is not, where that is another's doing
}

// unhealthy tells whether evidence speaks against the engine.
func (m *endpoint) unhealthy() bool { return m.failing || m.suppressed }

// ejectable tells whether the engine is one of those that only evidence can hold back.
func (m *endpoint) ejectable() bool { return !m.deregistered && !m.drain && m.addressConflict == "" }

// suspicion is a list that lost more than can be a command.
type suspicion struct {
	active bool
	since  time.Duration
	reads  int
	empty  bool
}

// EndpointSet is the belief of one front end about all engines.
type EndpointSet struct {
	settings  Settings
	endpoints map[string]*endpoint
	keys      map[uint32]string // whose each number is

	initialized bool // anything was told, by a catalogue or a last good list
	trusted     bool // a trusted answer came in this epoch
	index       uint64
	now         time.Duration

	suspicion    suspicion
	staleSince   time.Duration // when older answers began to be all that comes
	staleReads   int
	recentLosses []time.Duration     // deregistrations obeyed within LossWindow
	notified     map[NoticeKind]bool // kinds of trouble that were told, and go on
}

// New returns an empty Set, or an error that names the bound that can't be used.
func New(s Settings) (*EndpointSet, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	return &EndpointSet{settings: s, endpoints: map[string]*endpoint{}, keys: map[uint32]string{}, notified: map[NoticeKind]bool{}}, nil
}

// Configure replaces the bounds; what is believed stays.
func (s *EndpointSet) Configure(bounds Settings) error {
	if err := bounds.Check(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	s.settings = bounds
	return nil
}

// Index is the latest index that was trusted in this epoch; 0: none.
func (s *EndpointSet) Index() uint64 { return s.index }

// Restore takes a last good list, as the first thing that a Set is told. Its drains hold until a catalogue's
// word lifts them; its engines count as running for long.
func (s *EndpointSet) Restore(now time.Duration, list []Endpoint) Update {
	s.now = now
	var a Update
	list, bad := normalize(list)
	s.noteMalformed(&a, bad)
	for _, e := range list {
		m := s.add(e)
		if m == nil {
			continue
		}
		m.cached, m.drain, m.startedAt = true, e.Drain, e.StartedAt
		if !e.Passing {
			m.failing, m.failingSince = true, now
		}
	}
	s.initialized = s.initialized || len(list) > 0
	return s.finish(a)
}

// Switch tells that the observations to come are another catalogue's: its indexes can't be compared with what was.
func (s *EndpointSet) Switch(now time.Duration) {
	s.now = now
	s.beginEpoch()
	s.index, s.trusted = 0, false
}

// beginEpoch forgets all indexes. Drains stay until a trusted observation lifts them.
func (s *EndpointSet) beginEpoch() {
	for _, m := range s.endpoints {
		m.drainIndex, m.CreateIndex, m.ModifyIndex = 0, 0, 0
	}
	s.staleReads = 0
}

// Observe takes an answer of the catalogue.
func (s *EndpointSet) Observe(now time.Duration, o Observation) Update {
	s.now = now
	var a Update
	list, bad := normalize(o.Endpoints)
	s.applyDrains(list, o.Index)
	if !s.trusts(&a, o, list) {
		s.noteMalformed(&a, bad)
		return s.finish(a)
	}
	newer := !s.trusted || o.Index > s.index
	s.liftDrains(list, o.Index)
	s.index, s.initialized, s.trusted = o.Index, true, true
	in, first := make(map[string]bool, len(list)), !s.anyAnnounced()
	for _, e := range list {
		in[e.Key] = true
		if !s.merge(e, first) {
			bad++
		}
	}
	s.noteMalformed(&a, bad)
	s.handleMissing(&a, in, newer)
	return s.finish(a)
}

// Suspicious tells whether a list waits for confirmation: the catalogue should be read again soon.
func (s *EndpointSet) Suspicious() bool { return s.suspicion.active }

// Advance lets time pass: it answers what that alone changes. Next tells when it is due.
func (s *EndpointSet) Advance(now time.Duration) Update {
	s.now = now
	return s.finish(Update{})
}

// normalize sorts a list by key and passes over what can't be used. Of two entries with one key the later registration
// counts, and a drain of either holds: guards against a catalogue that tells an engine twice.
func normalize(list []Endpoint) (out []Endpoint, bad int) {
	out = make([]Endpoint, 0, len(list))
	for _, e := range list {
		if a, err := netip.ParseAddrPort(e.Addr); e.Key == "" || err != nil || a.Port() == 0 {
			bad++
			continue
		}
		if !(e.Weight >= 0) || math.IsInf(e.Weight, 0) {
			e.Weight = 1
		}
		out = append(out, e)
	}
	slices.SortStableFunc(out, func(x, y Endpoint) int {
		return cmp.Or(cmp.Compare(x.Key, y.Key), cmp.Compare(y.CreateIndex, x.CreateIndex), cmp.Compare(y.ModifyIndex, x.ModifyIndex))
	})
	keep := out[:0]
	for _, e := range out {
		if n := len(keep); n > 0 && keep[n-1].Key == e.Key {
			keep[n-1].Drain = keep[n-1].Drain || e.Drain
			bad++
			continue
		}
		keep = append(keep, e)
	}
	return keep, bad
}

func (s *EndpointSet) noteMalformed(a *Update, bad int) {
	if bad > 0 {
		s.noteOnce(a, NoticeMalformed, bad, "")
	} else {
		delete(s.notified, NoticeMalformed)
	}
}

// noteOnce tells of a kind of trouble once for each run of it.
func (s *EndpointSet) noteOnce(a *Update, kind NoticeKind, count int, detail string) {
	if !s.notified[kind] {
		s.notified[kind] = true
		a.Notices = append(a.Notices, Notice{kind, count, detail})
	}
}

// applyDrains takes the commands of an observation, trusted or not (invariant 1).
func (s *EndpointSet) applyDrains(list []Endpoint, index uint64) {
	for _, e := range list {
		if m := s.endpoints[e.Key]; m != nil && e.Drain {
			m.drain = true
			m.drainIndex = max(m.drainIndex, index)
		}
	}
}

// trusts decides whether an observation may do more than drain, and finds index resets (invariant 6).
func (s *EndpointSet) trusts(a *Update, o Observation, list []Endpoint) bool {
	entries := len(list)
	sound := o.Index > 0 && o.HasLeader && o.LastContact <= s.settings.MaxStaleness
	if !s.initialized {
		// Nothing is known yet: any engine is better than none.
		return sound || entries > 0
	}
	if sound && (!s.trusted || o.Index >= s.index) {
		s.staleReads = 0
		delete(s.notified, NoticeUntrusted)
		return true
	}
	s.noteOnce(a, NoticeUntrusted, entries, fmt.Sprintf("index %d after %d, leader %v, lag %v", o.Index, s.index, o.HasLeader, o.LastContact))
	if !sound {
		return false
	}
	if s.staleReads++; s.staleReads == 1 {
		s.staleSince = s.now
	}
	if s.staleReads < s.settings.ConfirmReads || s.now-s.staleSince < s.settings.ResetAfter {
		return false
	}
	a.Notices = append(a.Notices, Notice{NoticeIndexReset, entries, fmt.Sprintf("from %d to %d", s.index, o.Index)})
	s.beginEpoch()
	// Guards against a drain that this very observation tells: it belongs to the new epoch.
	s.applyDrains(list, o.Index)
	s.index = 0
	delete(s.notified, NoticeUntrusted)
	return true
}

// liftDrains ends the drains that later word no longer tells (invariant 2).
func (s *EndpointSet) liftDrains(list []Endpoint, index uint64) {
	for _, e := range list {
		if m := s.endpoints[e.Key]; m != nil && !e.Drain && index > m.drainIndex {
			m.drain = false
		}
	}
}

// add adds an engine; nil where its number is another's (invariant 10).
func (s *EndpointSet) add(e Endpoint) *endpoint {
	id := EndpointID(e.Key)
	if _, taken := s.keys[id]; taken {
		return nil
	}
	m := &endpoint{Endpoint: e, id: id, drain: e.Drain}
	s.endpoints[e.Key], s.keys[id] = m, e.Key
	return m
}

// merge takes one entry of a trusted list; false where it has to be left out.
func (s *EndpointSet) merge(e Endpoint, first bool) bool {
	m := s.endpoints[e.Key]
	if m == nil {
		if m = s.add(e); m == nil {
			return false
		}
		m.drainIndex = s.index
		m.startedAt = s.startTime(e, first)
	} else if s.replaced(m, e) {
		m.startedAt = s.startTime(e, false)
		m.penalty, m.suppressed, m.ejected, m.failing = penalty{}, false, false, false
	} else if m.StartedAt != e.StartedAt && e.StartedAt > 0 && m.cached {
		m.startedAt = e.StartedAt
	}
	m.Endpoint, m.cached, m.deregistered, m.missing = e, false, false, false
	s.applyHealth(m, e.Passing)
	return true
}

// startTime is when a process that is seen for the first time has started. One that is on the very first list may
// have run for long; any other has just come.
func (s *EndpointSet) startTime(e Endpoint, first bool) time.Duration {
	switch {
	case e.StartedAt > 0:
		return e.StartedAt
	case first:
		return 0
	}
	return s.now
}

// replaced tells whether an entry is another process than the one that is known under its key.
func (s *EndpointSet) replaced(m *endpoint, e Endpoint) bool {
	switch {
	case m.Addr != e.Addr:
		return true
	case m.Incarnation != "" || e.Incarnation != "":
		return m.Incarnation != e.Incarnation
	case m.StartedAt > 0 && e.StartedAt > 0:
		return m.StartedAt != e.StartedAt
	}
	return m.CreateIndex != e.CreateIndex && m.CreateIndex > 0 && e.CreateIndex > 0
}

func (s *EndpointSet) anyAnnounced() bool {
	for _, m := range s.endpoints {
		if m.isAnnounced {
			return true
		}
	}
	return false
}

// applyHealth takes the evidence of an engine's checks.
func (s *EndpointSet) applyHealth(m *endpoint, passing bool) {
	if !passing && !m.failing {
		m.failingSince = s.now
		m.penalty.addFailure(s.now, &s.settings)
		m.suppressed = m.suppressed || m.penalty.decayed(s.now, &s.settings) >= s.settings.Suppress
	}
	m.failing = !passing
}

// handleMissing deals with the engines that a trusted list no longer names (invariants 4, 5 and 8).
func (s *EndpointSet) handleMissing(a *Update, in map[string]bool, newer bool) {
	var lost []*endpoint
	total, left := 0, 0 // engines listed, and those that left within the window and are not back
	for _, m := range s.endpoints {
		if m.deregistered {
			if s.now-m.deregisteredAt <= s.settings.LossWindow {
				left++
			}
			continue
		}
		total++
		if !in[m.Key] {
			lost = append(lost, m)
		}
	}
	s.recentLosses = slices.DeleteFunc(s.recentLosses, func(at time.Duration) bool { return s.now-at > s.settings.LossWindow })
	if len(lost) == 0 {
		if s.suspicion.active {
			a.Notices = append(a.Notices, Notice{NoticeSuspicionCleared, total, ""})
			s.suspicion = suspicion{}
		}
		return
	}
	most := max(1, int(s.settings.MaxLoss*float64(total+left)))
	empty := len(in) == 0
	if newer && !empty && len(lost)+len(s.recentLosses) <= most {
		s.deregister(lost)
		if s.suspicion.active {
			a.Notices = append(a.Notices, Notice{NoticeSuspicionCleared, total - len(lost), ""})
			s.suspicion = suspicion{}
		}
		return
	}
	if !s.suspicion.active {
		s.suspicion = suspicion{active: true, since: s.now}
		a.Notices = append(a.Notices, Notice{NoticeListSuspect, len(lost), fmt.Sprintf("of %d", total)})
	}
	s.suspicion.reads++
	if empty && !s.suspicion.empty {
		a.Notices = append(a.Notices, Notice{NoticeEmptyList, len(lost), ""})
	}
	if s.suspicion.empty && !empty {
		s.suspicion.reads, s.suspicion.since = 1, s.now // what an empty list told confirms nothing
	}
	s.suspicion.empty = empty
	for _, m := range lost {
		m.missing = true
	}
	if !empty && s.suspicion.reads >= s.settings.ConfirmReads && s.now-s.suspicion.since >= s.settings.ConfirmAfter {
		s.acceptShortList(a, NoticeListConfirmed)
	}
}

// acceptShortList obeys the list in doubt.
func (s *EndpointSet) acceptShortList(a *Update, kind NoticeKind) {
	var lost []*endpoint
	for _, m := range s.endpoints {
		if m.missing && !m.deregistered {
			lost = append(lost, m)
		}
	}
	a.Notices = append(a.Notices, Notice{kind, len(lost), ""})
	s.suspicion = suspicion{}
	s.deregister(lost)
}

func (s *EndpointSet) deregister(lost []*endpoint) {
	for _, m := range lost {
		m.deregistered, m.missing, m.deregisteredAt = true, false, s.now
		m.ejected, m.suppressed, m.failing = false, false, false
		s.recentLosses = append(s.recentLosses, s.now)
	}
}

// finish lets time pass, and tells what differs from what was told before.
func (s *EndpointSet) finish(a Update) Update {
	if s.suspicion.active && !s.suspicion.empty && s.now-s.suspicion.since >= s.settings.MaxSuspicion {
		s.acceptShortList(&a, NoticeSuspicionExpired)
	}
	all := s.sorted()
	s.resolveAddressConflicts(all)
	s.ejectUnhealthy(all)
	for _, m := range all {
		c := s.currentState(m)
		if m.isAnnounced && c == m.announced {
			continue
		}
		fresh, plain := !m.isAnnounced, m.isAnnounced && c.sentPart() == m.announced.sentPart()
		m.announced, m.isAnnounced = c, true
		if plain {
			continue // another reason for the same state is nobody's news but Beliefs'
		}
		if c.State == Removed {
			delete(s.endpoints, m.Key)
			delete(s.keys, m.id)
			if fresh {
				continue
			}
		}
		a.Changes = append(a.Changes, c)
	}
	return a
}

// sorted lists the members by key, so that equal histories give equal answers.
func (s *EndpointSet) sorted() []*endpoint {
	all := make([]*endpoint, 0, len(s.endpoints))
	for _, m := range s.endpoints {
		all = append(all, m)
	}
	slices.SortFunc(all, func(x, y *endpoint) int { return cmp.Compare(x.Key, y.Key) })
	return all
}

// resolveAddressConflicts settles who may be ready where engines share an address (invariant 9).
func (s *EndpointSet) resolveAddressConflicts(all []*endpoint) {
	holder := make(map[string]*endpoint, len(all))
	drained := map[string]bool{}
	for _, m := range all {
		m.addressConflict = ""
		if m.deregistered {
			continue
		}
		if m.drain {
			drained[m.Addr] = true
		}
		if h := holder[m.Addr]; h == nil || cmp.Or(cmp.Compare(m.CreateIndex, h.CreateIndex), cmp.Compare(m.ModifyIndex, h.ModifyIndex)) > 0 {
			holder[m.Addr] = m
		}
	}
	for _, m := range all {
		switch {
		case m.deregistered || m.drain:
		case holder[m.Addr] != m:
			m.addressConflict = ReasonAddressReused
		case drained[m.Addr]:
			m.addressConflict = ReasonAddressDraining
		}
	}
}

// ejectUnhealthy decides whom evidence takes out: those that are out already first, then those that fail for longest,
// as far as the bound allows (invariant 3).
func (s *EndpointSet) ejectUnhealthy(all []*endpoint) {
	counting := 0
	var want []*endpoint
	for _, m := range all {
		if m.suppressed && !m.failing && m.penalty.decayed(s.now, &s.settings) <= s.settings.Reuse {
			m.suppressed = false
		}
		if !m.ejectable() {
			m.ejected = false
			continue
		}
		counting++
		if m.unhealthy() {
			want = append(want, m)
		} else {
			m.ejected = false
		}
	}
	room := min(int(s.settings.MaxEjected*float64(counting)), counting-1)
	slices.SortStableFunc(want, func(x, y *endpoint) int {
		if x.ejected != y.ejected {
			if x.ejected {
				return -1
			}
			return 1
		}
		if x.ejected {
			return cmp.Compare(x.ejectedAt, y.ejectedAt)
		}
		return cmp.Compare(x.failingSince, y.failingSince)
	})
	for i, m := range want {
		if i >= room {
			m.ejected = false
		} else if !m.ejected {
			m.ejected, m.ejectedAt = true, s.now
		}
	}
}

// currentState is what is to be told of a member.
func (s *EndpointSet) currentState(m *endpoint) Change {
	c := Change{ID: m.id, Endpoint: m.Endpoint, StartedAt: m.startedAt}
	// What a catalogue counts up without another meaning is no change of the engine.
	c.Endpoint.ModifyIndex, c.Endpoint.Passing, c.Endpoint.Drain = 0, !m.failing, m.drain
	switch {
	case m.deregistered && s.now-m.deregisteredAt >= s.settings.Linger:
		c.State, c.Reason = Removed, ReasonDeregistered
	case m.deregistered:
		c.State, c.Reason = Draining, ReasonDeregistered
	case m.drain:
		c.State, c.Reason = Draining, ReasonDrainRequested
	case m.addressConflict != "":
		c.State, c.Reason = Draining, m.addressConflict
	case m.ejected && m.failing:
		c.State, c.Reason = Draining, ReasonCheckFailing
	case m.ejected:
		c.State, c.Reason = Draining, ReasonFlapping
	case m.missing && s.suspicion.empty:
		c.Reason = ReasonMissingEmptyList
	case m.missing:
		c.Reason = ReasonMissingSuspect
	case m.failing:
		c.Reason = ReasonFailingKept
	case m.suppressed:
		c.Reason = ReasonFlappingKept
	case m.cached:
		c.Reason = ReasonCached
	default:
		c.Reason = ReasonPassing
	}
	return c
}

// Next is the earliest time at which Advance may have something to answer; false when nothing is due.
func (s *EndpointSet) Next() (time.Duration, bool) {
	at, any := time.Duration(math.MaxInt64), false
	due := func(t time.Duration) {
		if any = true; t < at {
			at = t
		}
	}
	if s.suspicion.active && !s.suspicion.empty {
		due(s.suspicion.since + s.settings.MaxSuspicion)
	}
	for _, m := range s.endpoints {
		switch {
		case m.deregistered:
			due(m.deregisteredAt + s.settings.Linger)
		case m.suppressed && !m.failing:
			due(m.penalty.reuseAt(&s.settings))
		}
	}
	if any && at <= s.now {
		at = s.now + time.Millisecond
	}
	return at, any
}

// Current lists what is believed of every engine, by key. The slice is the caller's.
func (s *EndpointSet) Current() []Change {
	all := s.sorted()
	out := make([]Change, 0, len(all))
	for _, m := range all {
		out = append(out, m.announced)
	}
	return out
}

// Snapshot lists the engines that are not gone, as Restore takes them.
func (s *EndpointSet) Snapshot() []Endpoint {
	var out []Endpoint
	for _, m := range s.sorted() {
		if !m.deregistered {
			e := m.Endpoint
			e.Drain, e.Passing = m.drain, !m.failing
			out = append(out, e)
		}
	}
	return out
}
