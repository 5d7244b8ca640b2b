package source

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"beechcart/admission"
	"beechcart/internal/endpoints"
)

// Handover is the reason of engines that the source before named and the new one does not.
const Handover = "not named by the new source"

// Feed follows one source at a time and hands its lists on. Its methods are for one goroutine.
type Feed struct {
	ctx    context.Context
	take   func(endpoints.List)
	log    *slog.Logger
	linger time.Duration

	leave context.CancelFunc
	left  chan struct{} // closed when the source in hand has returned

	mu    sync.Mutex
	known map[uint32]listed // the engines that are not gone
	gen   int               // of the source in hand
	tells StatusReporter    // the source in hand, where it tells more than its lists
	moved bool              // its first list is still to come, and another source's engines are known
	veto  map[string]bool   // names of engines that get nothing more, whatever the list says
}

type listed struct {
	endpoints.Endpoint
	gen int
}

// NewFeed returns a Feed that hands lists to take, one at a time. Engines that a new source does not name drain for
// linger, so that what runs there can still be asked for, and are gone then.
func NewFeed(ctx context.Context, take func(endpoints.List), linger time.Duration, log *slog.Logger) *Feed {
	return &Feed{ctx: ctx, take: take, log: log, linger: linger, known: map[uint32]listed{}}
}

// Publish hands on a list from before the first source.
func (f *Feed) Publish(l endpoints.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hand(l)
}

// Excluded is the reason of engines that the fleet drains.
const Excluded = "drained by word of the fleet"

// Exclude lets the engines of these names drain, whatever the list says, until a later call leaves them out. It may be called from
// any goroutine.
func (f *Feed) Exclude(names map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if maps.Equal(names, f.veto) {
		return
	}
	was := f.veto
	f.veto = maps.Clone(names)
	var l endpoints.List
	for _, e := range f.known {
		if was[e.Name] != names[e.Name] {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	if len(l.Endpoints) > 0 {
		slices.SortFunc(l.Endpoints, func(a, b endpoints.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
		f.hand(l)
	}
}

// vetoed is the list as the planner may have it.
func (f *Feed) vetoed(l endpoints.List) endpoints.List {
	if len(f.veto) == 0 {
		return l
	}
	l.Endpoints = slices.Clone(l.Endpoints)
	for i, e := range l.Endpoints {
		if f.veto[e.Name] && e.State == admission.Ready {
			l.Endpoints[i].State, l.Endpoints[i].Reason = admission.Draining, Excluded
		}
	}
	return l
}

// Endpoints lists the engines that are not gone, as their source tells. It may be called from any goroutine.
func (f *Feed) Endpoints() []endpoints.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]endpoints.Endpoint, 0, len(f.known))
	for _, e := range f.known {
		out = append(out, e.Endpoint)
	}
	slices.SortFunc(out, func(a, b endpoints.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Follow moves to a source at once. continues tells that it goes on where the one before left off, as the same change
// log at another address does; otherwise its first list replaces all that is known.
func (f *Feed) Follow(s Source, continues bool) {
	if f.leave != nil {
		f.leave()
		<-f.left
	}
	f.mu.Lock()
	if !continues {
		f.gen++
		f.moved = len(f.known) > 0
	}
	gen := f.gen
	f.tells, _ = s.(StatusReporter)
	f.mu.Unlock()
	ctx, leave := context.WithCancel(f.ctx)
	left := make(chan struct{})
	f.leave, f.left = leave, left
	go func() {
		defer close(left)
		s.Run(ctx, func(l endpoints.List) { f.from(gen, l) })
	}()
}

// Stop ends the source in hand and returns once it has.
func (f *Feed) Stop() {
	if f.leave != nil {
		f.leave()
		<-f.left
	}
}

func (f *Feed) from(gen int, l endpoints.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.moved && l.Complete {
		f.moved = false
		l = f.handover(gen, l)
	}
	f.hand(l)
}

// handover makes the first list of a new source a change of what is known. Guards against attempts that lose their
// engine only because another authority names it otherwise.
func (f *Feed) handover(gen int, l endpoints.List) endpoints.List {
	l.Complete = false
	l.Endpoints = slices.Clone(l.Endpoints)
	named := map[uint32]bool{}
	for _, e := range l.Endpoints {
		named[e.ID] = true
	}
	var old []uint32
	for id, e := range f.known {
		if !named[id] {
			e.State, e.Reason = admission.Draining, Handover
			l.Endpoints = append(l.Endpoints, e.Endpoint)
			old = append(old, id)
		}
	}
	f.log.Info("another source of the list", "engines", len(named), "draining", len(old))
	if len(old) > 0 {
		time.AfterFunc(f.linger, func() { f.forget(gen, old) })
	}
	return l
}

// forget drops the engines of a source before that the one in hand has not named since.
func (f *Feed) forget(gen int, old []uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l endpoints.List
	for _, id := range old {
		if e, ok := f.known[id]; ok && e.gen < gen && f.ctx.Err() == nil {
			e.State, e.Reason = admission.Removed, Handover
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	if len(l.Endpoints) > 0 {
		f.hand(l)
	}
}

// hand logs a list, remembers it and hands it on.
func (f *Feed) hand(l endpoints.List) {
	if l.Complete {
		clear(f.known)
	}
	told := f.vetoed(l)
	for i, e := range l.Endpoints {
		args := []any{"engine", e.Name, "id", e.ID, "state", told.Endpoints[i].State.String(), "address", e.Address}
		if reason := told.Endpoints[i].Reason; reason != "" {
			args = append(args, "reason", reason)
		}
		f.log.Info("engine listed", args...)
		gen := f.gen
		if e.Reason == Handover {
			gen = f.known[e.ID].gen
		}
		f.known[e.ID] = listed{e, gen}
		if e.State == admission.Removed {
			delete(f.known, e.ID)
		}
	}
	f.take(told)
}

// Statuses tells what is believed of each engine: by the source in hand, and for engines that it does not tell of, by
// the lists so far. It may be called from any goroutine.
func (f *Feed) Statuses() []EngineStatus {
	f.mu.Lock()
	tells := f.tells
	f.mu.Unlock()
	var out []EngineStatus
	if tells != nil {
		out = tells.Statuses()
	}
	told := map[uint32]bool{}
	for _, b := range out {
		told[b.ID] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.known {
		if told[e.ID] {
			continue
		}
		out = append(out, EngineStatus{Name: e.Name, ID: e.ID, Address: e.Address, State: e.State.String(), Reason: e.Reason,
			Cell: e.Cell, Weight: e.Units, SinceMS: e.Started.Milliseconds()})
	}
	slices.SortFunc(out, func(a, b EngineStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
