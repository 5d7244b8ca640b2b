package source

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"beechcart/admission"
	"beechcart/internal/endpoints"
)

// Feed follows one source at a time and passes its lists on. Its methods must be called from one goroutine, except
// those that are documented as safe for concurrent use.
type Feed struct {
	ctx         context.Context // its end stops the current source
	take        func(endpoints.List)
	log         *slog.Logger
	drainPeriod time.Duration // how long engines that a new source does not list drain before they are removed

	stopCurrent    context.CancelFunc // nil before the first source
	currentStopped chan struct{}      // closed when the current source's Run has returned

	mu              sync.Mutex
	known           map[uint32]knownEndpoint // guarded by mu; the endpoints that have not been removed, by ID
	generation      int                      // guarded by mu; number of the current source, which Follow increments
	reporter        StatusReporter           // guarded by mu; the current source; nil if it reports no statuses
	handoverPending bool                     // guarded by mu; the first complete list of a new source is awaited
	excluded        NameSet                  // guarded by mu; names of the engines that Exclude drains
}

// knownEndpoint is an endpoint with the generation of the source that last listed it.
type knownEndpoint struct {
	endpoints.Endpoint
	generation int
}

// NewFeed returns a Feed that passes lists to take, one at a time. Engines that a new source does not list drain for
// drainPeriod, so that queries running on them can still be polled, and are then removed.
func NewFeed(
	ctx context.Context, take func(endpoints.List), drainPeriod time.Duration, log *slog.Logger,
) *Feed {
	return &Feed{ctx: ctx, take: take, log: log, drainPeriod: drainPeriod, known: map[uint32]knownEndpoint{}}
}

// Publish passes on a list that the caller knows without a running source, before the first call of Follow or Continue.
func (f *Feed) Publish(l endpoints.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(l)
}

// Follow stops the current source and follows another one. The first complete list of the new source replaces the known
// endpoints: those that the list omits drain and are then removed.
func (f *Feed) Follow(s Source) {
	f.Stop()
	f.mu.Lock()
	f.generation++
	f.handoverPending = len(f.known) > 0
	generation := f.generation
	f.reporter, _ = s.(StatusReporter)
	f.mu.Unlock()
	f.run(s, generation)
}

// Continue stops the current source and follows one that resumes where the current one stopped, such as the same change
// log at another address.
func (f *Feed) Continue(s Source) {
	f.Stop()
	f.mu.Lock()
	generation := f.generation
	f.reporter, _ = s.(StatusReporter)
	f.mu.Unlock()
	f.run(s, generation)
}

// Stop stops the current source and waits until its Run method has returned.
func (f *Feed) Stop() {
	if f.stopCurrent != nil {
		f.stopCurrent()
		<-f.currentStopped
	}
}

// run starts a source, which runs until Stop is called or the feed's context ends.
func (f *Feed) run(s Source, generation int) {
	ctx, stop := context.WithCancel(f.ctx)
	stopped := make(chan struct{})
	f.stopCurrent, f.currentStopped = stop, stopped
	go func() {
		defer close(stopped)
		s.Run(ctx, func(l endpoints.List) { f.receive(generation, l) })
	}()
}

// receive processes a list from the source of the given generation.
func (f *Feed) receive(generation int, l endpoints.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handoverPending && l.Complete {
		f.handoverPending = false
		l = f.handover(generation, l)
	}
	f.publish(l)
}

// publish logs a list, records its endpoints as known and passes the list on. The caller holds f.mu.
func (f *Feed) publish(l endpoints.List) {
	if l.Complete {
		clear(f.known)
	}
	effective := f.applyExclusions(l)
	for i, e := range l.Endpoints {
		f.logEndpoint(effective.Endpoints[i])
		generation := f.generation
		if e.Reason == Handover { // the current source has not listed the engine
			generation = f.known[e.ID].generation
		}
		f.known[e.ID] = knownEndpoint{e, generation}
		if e.State == admission.Removed {
			delete(f.known, e.ID)
		}
	}
	f.take(effective)
}

func (f *Feed) logEndpoint(e endpoints.Endpoint) {
	args := []any{"engine", e.Name, "id", e.ID, "state", e.State.String(), "address", e.Address}
	if e.Reason != "" {
		args = append(args, "reason", e.Reason)
	}
	f.log.Info("engine listed", args...)
}

// Endpoints returns the endpoints that have not been removed, sorted by name. Their states do not show the drains that
// Exclude causes. Endpoints is safe for concurrent use.
func (f *Feed) Endpoints() []endpoints.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]endpoints.Endpoint, 0, len(f.known))
	for _, e := range f.known {
		list = append(list, e.Endpoint)
	}
	sortByName(list)
	return list
}

// Statuses returns the status of each engine, sorted by name: as the current source reports it or, for engines that the
// current source does not report, as last listed. It is safe for concurrent use.
func (f *Feed) Statuses() []EngineStatus {
	f.mu.Lock()
	reporter := f.reporter
	f.mu.Unlock()
	var statuses []EngineStatus
	if reporter != nil {
		statuses = reporter.Statuses()
	}
	reported := map[uint32]bool{}
	for _, s := range statuses {
		reported[s.ID] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.known {
		if !reported[e.ID] {
			statuses = append(statuses, statusOf(e.Endpoint))
		}
	}
	slices.SortFunc(statuses, func(a, b EngineStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}

func statusOf(e endpoints.Endpoint) EngineStatus {
	return EngineStatus{
		Name: e.Name, ID: e.ID, Address: e.Address, State: e.State.String(), Reason: e.Reason, Cell: e.Cell,
		Weight: e.Units, SinceMS: e.Started.Milliseconds(),
	}
}

func sortByName(list []endpoints.Endpoint) {
	slices.SortFunc(list, func(a, b endpoints.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}
