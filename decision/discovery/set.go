package discovery

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// member is what is believed of one engine.
type member struct {
	Entry
	id      uint32
	started time.Duration
	told    Change // what was last answered; State is Gone before the first answer
	listed  bool   // told has been set

	restored bool // known from the last good list only
	absent   bool // deregistered
	leftAt   time.Duration
	missing  bool // not in the latest trusted list, which is in doubt

	drain   bool
	drainAt uint64 // the latest index that told the drain, in this epoch

	failing bool
	failed  time.Duration // since when
	out     bool          // taken out by health
	outAt   time.Duration
	flaps   penalty
	held    bool // suppressed

	shadow Reason // why an engine that could be ready is not, where that is another's doing
}

// wantsOut tells whether evidence speaks against the engine.
func (m *member) wantsOut() bool { return m.failing || m.held }

// counts tells whether the engine is one of those that only evidence can hold back.
func (m *member) counts() bool { return !m.absent && !m.drain && m.shadow == "" }

// doubt is a list that lost more than can be a command.
type doubt struct {
	on    bool
	since time.Duration
	reads int
	empty bool
}

// Set is the belief of one front end about all engines.
type Set struct {
	set     Settings
	members map[string]*member
	numbers map[uint32]string // whose each number is

	known   bool // anything was told, by a catalogue or a last good list
	fromCat bool // a trusted answer came in this epoch
	index   uint64
	now     time.Duration

	doubt  doubt
	older  time.Duration // when older answers began to be all that comes
	olders int
	losses []time.Duration     // deregistrations obeyed within LossWindow
	warned map[NoticeKind]bool // kinds of trouble that were told, and go on
}

// New returns an empty Set, or an error that names the bound that can't be used.
func New(s Settings) (*Set, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	return &Set{set: s, members: map[string]*member{}, numbers: map[uint32]string{}, warned: map[NoticeKind]bool{}}, nil
}

// Configure replaces the bounds; what is believed stays.
func (s *Set) Configure(bounds Settings) error {
	if err := bounds.Check(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	s.set = bounds
	return nil
}

// Index is the latest index that was trusted in this epoch; 0: none.
func (s *Set) Index() uint64 { return s.index }

// Restore takes a last good list, as the first thing that a Set is told. Its drains hold until a catalogue's
// word lifts them; its engines count as running for long.
func (s *Set) Restore(now time.Duration, list []Entry) Answer {
	s.now = now
	var a Answer
	list, bad := clean(list)
	s.passedOver(&a, bad)
	for _, e := range list {
		m := s.enter(e)
		if m == nil {
			continue
		}
		m.restored, m.drain, m.started = true, e.Drain, e.Started
		if !e.Passing {
			m.failing, m.failed = true, now
		}
	}
	s.known = s.known || len(list) > 0
	return s.answer(a)
}

// Switch tells that the observations to come are another catalogue's: its indexes can't be compared with what was.
func (s *Set) Switch(now time.Duration) {
	s.now = now
	s.epoch()
	s.index, s.fromCat = 0, false
}

// epoch forgets all indexes. Drains stay until a trusted observation lifts them.
func (s *Set) epoch() {
	for _, m := range s.members {
		m.drainAt, m.Created, m.Changed = 0, 0, 0
	}
	s.olders = 0
}

// Observe takes an answer of the catalogue.
func (s *Set) Observe(now time.Duration, o Observation) Answer {
	s.now = now
	var a Answer
	list, bad := clean(o.Entries)
	s.obeyDrains(list, o.Index)
	if !s.trust(&a, o, list) {
		s.passedOver(&a, bad)
		return s.answer(a)
	}
	newer := !s.fromCat || o.Index > s.index
	s.lift(list, o.Index)
	s.index, s.known, s.fromCat = o.Index, true, true
	in, first := make(map[string]bool, len(list)), !s.anyListed()
	for _, e := range list {
		in[e.Key] = true
		if !s.learn(e, first) {
			bad++
		}
	}
	s.passedOver(&a, bad)
	s.lose(&a, in, newer)
	return s.answer(a)
}

// Doubted tells whether a list waits for confirmation: the catalogue should be read again soon.
func (s *Set) Doubted() bool { return s.doubt.on }

// Advance lets time pass: it answers what that alone changes. Next tells when it is due.
func (s *Set) Advance(now time.Duration) Answer {
	s.now = now
	return s.answer(Answer{})
}

// clean sorts a list by key and passes over what can't be used. Of two entries with one key the later registration
// counts, and a drain of either holds: guards against a catalogue that tells an engine twice.
func clean(list []Entry) (out []Entry, bad int) {
	out = make([]Entry, 0, len(list))
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
	slices.SortStableFunc(out, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.Key, y.Key), cmp.Compare(y.Created, x.Created), cmp.Compare(y.Changed, x.Changed))
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

func (s *Set) passedOver(a *Answer, bad int) {
	if bad > 0 {
		s.warn(a, Malformed, bad, "")
	} else {
		delete(s.warned, Malformed)
	}
}

// warn tells of a kind of trouble once for each run of it.
func (s *Set) warn(a *Answer, kind NoticeKind, count int, detail string) {
	if !s.warned[kind] {
		s.warned[kind] = true
		a.Notices = append(a.Notices, Notice{kind, count, detail})
	}
}

// obeyDrains takes the commands of an observation, trusted or not (invariant 1).
func (s *Set) obeyDrains(list []Entry, index uint64) {
	for _, e := range list {
		if m := s.members[e.Key]; m != nil && e.Drain {
			m.drain = true
			m.drainAt = max(m.drainAt, index)
		}
	}
}

// trust decides whether an observation may do more than drain, and finds index resets (invariant 6).
func (s *Set) trust(a *Answer, o Observation, list []Entry) bool {
	entries := len(list)
	sound := o.Index > 0 && o.Leader && o.Lag <= s.set.MaxLag
	if !s.known {
		// Nothing is known yet: any engine is better than none.
		return sound || entries > 0
	}
	if sound && (!s.fromCat || o.Index >= s.index) {
		s.olders = 0
		delete(s.warned, OldWord)
		return true
	}
	s.warn(a, OldWord, entries, fmt.Sprintf("index %d after %d, leader %v, lag %v", o.Index, s.index, o.Leader, o.Lag))
	if !sound {
		return false
	}
	if s.olders++; s.olders == 1 {
		s.older = s.now
	}
	if s.olders < s.set.ConfirmReads || s.now-s.older < s.set.ResetAfter {
		return false
	}
	a.Notices = append(a.Notices, Notice{EpochBegun, entries, fmt.Sprintf("from %d to %d", s.index, o.Index)})
	s.epoch()
	// Guards against a drain that this very observation tells: it belongs to the new epoch.
	s.obeyDrains(list, o.Index)
	s.index = 0
	delete(s.warned, OldWord)
	return true
}

// lift ends the drains that later word no longer tells (invariant 2).
func (s *Set) lift(list []Entry, index uint64) {
	for _, e := range list {
		if m := s.members[e.Key]; m != nil && !e.Drain && index > m.drainAt {
			m.drain = false
		}
	}
}

// enter adds an engine; nil where its number is another's (invariant 10).
func (s *Set) enter(e Entry) *member {
	id := Number(e.Key)
	if _, taken := s.numbers[id]; taken {
		return nil
	}
	m := &member{Entry: e, id: id, drain: e.Drain}
	s.members[e.Key], s.numbers[id] = m, e.Key
	return m
}

// learn takes one entry of a trusted list; false where it has to be left out.
func (s *Set) learn(e Entry, first bool) bool {
	m := s.members[e.Key]
	if m == nil {
		if m = s.enter(e); m == nil {
			return false
		}
		m.drainAt = s.index
		m.started = s.startOf(e, first)
	} else if s.another(m, e) {
		m.started = s.startOf(e, false)
		m.flaps, m.held, m.out, m.failing = penalty{}, false, false, false
	} else if m.Started != e.Started && e.Started > 0 && m.restored {
		m.started = e.Started
	}
	m.Entry, m.restored, m.absent, m.missing = e, false, false, false
	s.judge(m, e.Passing)
	return true
}

// startOf is when a process that is seen for the first time has started. One that is on the very first list may
// have run for long; any other has just come.
func (s *Set) startOf(e Entry, first bool) time.Duration {
	switch {
	case e.Started > 0:
		return e.Started
	case first:
		return 0
	}
	return s.now
}

// another tells whether an entry is another process than the one that is known under its key.
func (s *Set) another(m *member, e Entry) bool {
	switch {
	case m.Addr != e.Addr:
		return true
	case m.Mark != "" || e.Mark != "":
		return m.Mark != e.Mark
	case m.Started > 0 && e.Started > 0:
		return m.Started != e.Started
	}
	return m.Created != e.Created && m.Created > 0 && e.Created > 0
}

func (s *Set) anyListed() bool {
	for _, m := range s.members {
		if m.listed {
			return true
		}
	}
	return false
}

// judge takes the evidence of an engine's checks.
func (s *Set) judge(m *member, passing bool) {
	if !passing && !m.failing {
		m.failed = s.now
		m.flaps.fail(s.now, &s.set)
		m.held = m.held || m.flaps.now(s.now, &s.set) >= s.set.Suppress
	}
	m.failing = !passing
}

// lose deals with the engines that a trusted list no longer names (invariants 4, 5 and 8).
func (s *Set) lose(a *Answer, in map[string]bool, newer bool) {
	var lost []*member
	total, left := 0, 0 // engines listed, and those that left within the window and are not back
	for _, m := range s.members {
		if m.absent {
			if s.now-m.leftAt <= s.set.LossWindow {
				left++
			}
			continue
		}
		total++
		if !in[m.Key] {
			lost = append(lost, m)
		}
	}
	s.losses = slices.DeleteFunc(s.losses, func(at time.Duration) bool { return s.now-at > s.set.LossWindow })
	if len(lost) == 0 {
		if s.doubt.on {
			a.Notices = append(a.Notices, Notice{DoubtCleared, total, ""})
			s.doubt = doubt{}
		}
		return
	}
	most := max(1, int(s.set.MaxLoss*float64(total+left)))
	empty := len(in) == 0
	if newer && !empty && len(lost)+len(s.losses) <= most {
		s.remove(lost)
		if s.doubt.on {
			a.Notices = append(a.Notices, Notice{DoubtCleared, total - len(lost), ""})
			s.doubt = doubt{}
		}
		return
	}
	if !s.doubt.on {
		s.doubt = doubt{on: true, since: s.now}
		a.Notices = append(a.Notices, Notice{DoubtBegun, len(lost), fmt.Sprintf("of %d", total)})
	}
	s.doubt.reads++
	if empty && !s.doubt.empty {
		a.Notices = append(a.Notices, Notice{EmptyKept, len(lost), ""})
	}
	if s.doubt.empty && !empty {
		s.doubt.reads, s.doubt.since = 1, s.now // what an empty list told confirms nothing
	}
	s.doubt.empty = empty
	for _, m := range lost {
		m.missing = true
	}
	if !empty && s.doubt.reads >= s.set.ConfirmReads && s.now-s.doubt.since >= s.set.ConfirmAfter {
		s.settle(a, DoubtSettled)
	}
}

// settle obeys the list in doubt.
func (s *Set) settle(a *Answer, kind NoticeKind) {
	var lost []*member
	for _, m := range s.members {
		if m.missing && !m.absent {
			lost = append(lost, m)
		}
	}
	a.Notices = append(a.Notices, Notice{kind, len(lost), ""})
	s.doubt = doubt{}
	s.remove(lost)
}

func (s *Set) remove(lost []*member) {
	for _, m := range lost {
		m.absent, m.missing, m.leftAt = true, false, s.now
		m.out, m.held, m.failing = false, false, false
		s.losses = append(s.losses, s.now)
	}
}

// answer lets time pass, and tells what differs from what was told before.
func (s *Set) answer(a Answer) Answer {
	if s.doubt.on && !s.doubt.empty && s.now-s.doubt.since >= s.set.DoubtFor {
		s.settle(&a, DoubtExpired)
	}
	all := s.sorted()
	s.share(all)
	s.byHealth(all)
	for _, m := range all {
		c := s.belief(m)
		if m.listed && c == m.told {
			continue
		}
		fresh, plain := !m.listed, m.listed && c.plain() == m.told.plain()
		m.told, m.listed = c, true
		if plain {
			continue // another reason for the same state is nobody's news but Beliefs'
		}
		if c.State == Gone {
			delete(s.members, m.Key)
			delete(s.numbers, m.id)
			if fresh {
				continue
			}
		}
		a.Changes = append(a.Changes, c)
	}
	return a
}

// sorted lists the members by key, so that equal histories give equal answers.
func (s *Set) sorted() []*member {
	all := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(x, y *member) int { return cmp.Compare(x.Key, y.Key) })
	return all
}

// share settles who may be ready where engines share an address (invariant 9).
func (s *Set) share(all []*member) {
	holder := make(map[string]*member, len(all))
	drained := map[string]bool{}
	for _, m := range all {
		m.shadow = ""
		if m.absent {
			continue
		}
		if m.drain {
			drained[m.Addr] = true
		}
		if h := holder[m.Addr]; h == nil || cmp.Or(cmp.Compare(m.Created, h.Created), cmp.Compare(m.Changed, h.Changed)) > 0 {
			holder[m.Addr] = m
		}
	}
	for _, m := range all {
		switch {
		case m.absent || m.drain:
		case holder[m.Addr] != m:
			m.shadow = AddrTaken
		case drained[m.Addr]:
			m.shadow = AddrDrains
		}
	}
}

// byHealth decides whom evidence takes out: those that are out already first, then those that fail for longest,
// as far as the bound allows (invariant 3).
func (s *Set) byHealth(all []*member) {
	counting := 0
	var want []*member
	for _, m := range all {
		if m.held && !m.failing && m.flaps.now(s.now, &s.set) <= s.set.Reuse {
			m.held = false
		}
		if !m.counts() {
			m.out = false
			continue
		}
		counting++
		if m.wantsOut() {
			want = append(want, m)
		} else {
			m.out = false
		}
	}
	room := min(int(s.set.MaxOut*float64(counting)), counting-1)
	slices.SortStableFunc(want, func(x, y *member) int {
		if x.out != y.out {
			if x.out {
				return -1
			}
			return 1
		}
		if x.out {
			return cmp.Compare(x.outAt, y.outAt)
		}
		return cmp.Compare(x.failed, y.failed)
	})
	for i, m := range want {
		if i >= room {
			m.out = false
		} else if !m.out {
			m.out, m.outAt = true, s.now
		}
	}
}

// belief is what is to be told of a member.
func (s *Set) belief(m *member) Change {
	c := Change{ID: m.id, Entry: m.Entry, Started: m.started}
	// What a catalogue counts up without another meaning is no change of the engine.
	c.Entry.Changed, c.Entry.Passing, c.Entry.Drain = 0, !m.failing, m.drain
	switch {
	case m.absent && s.now-m.leftAt >= s.set.Linger:
		c.State, c.Reason = Gone, Deregistered
	case m.absent:
		c.State, c.Reason = Draining, Deregistered
	case m.drain:
		c.State, c.Reason = Draining, Commanded
	case m.shadow != "":
		c.State, c.Reason = Draining, m.shadow
	case m.out && m.failing:
		c.State, c.Reason = Draining, Failing
	case m.out:
		c.State, c.Reason = Draining, Flapping
	case m.missing && s.doubt.empty:
		c.Reason = KeptEmpty
	case m.missing:
		c.Reason = Doubted
	case m.failing:
		c.Reason = Kept
	case m.held:
		c.Reason = KeptFlapping
	case m.restored:
		c.Reason = Restored
	default:
		c.Reason = Passing
	}
	return c
}

// Next is the earliest time at which Advance may have something to answer; false when nothing is due.
func (s *Set) Next() (time.Duration, bool) {
	at, any := time.Duration(math.MaxInt64), false
	due := func(t time.Duration) {
		if any = true; t < at {
			at = t
		}
	}
	if s.doubt.on && !s.doubt.empty {
		due(s.doubt.since + s.set.DoubtFor)
	}
	for _, m := range s.members {
		switch {
		case m.absent:
			due(m.leftAt + s.set.Linger)
		case m.held && !m.failing:
			due(m.flaps.calm(&s.set))
		}
	}
	if any && at <= s.now {
		at = s.now + time.Millisecond
	}
	return at, any
}

// Beliefs lists what is believed of every engine, by key. The slice is the caller's.
func (s *Set) Beliefs() []Change {
	all := s.sorted()
	out := make([]Change, 0, len(all))
	for _, m := range all {
		out = append(out, m.told)
	}
	return out
}

// Entries lists the engines that are not gone, as Restore takes them.
func (s *Set) Entries() []Entry {
	var out []Entry
	for _, m := range s.sorted() {
		if !m.absent {
			e := m.Entry
			e.Drain, e.Passing = m.drain, !m.failing
			out = append(out, e)
		}
	}
	return out
}
