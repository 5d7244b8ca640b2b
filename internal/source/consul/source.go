// Package consul makes the engine list from a Consul catalogue, by blocking queries on the health of one service
// (GET /v1/health/service/NAME: developer.hashicorp.com/consul/api-docs/health). One answer holds node, service and
// checks of each instance, so that neither the catalogue nor the state of checks is asked apart. When and where to ask
// is decided by decision/poll, what to believe by decision/discovery; this package carries bytes.
package consul

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"beechcart/admission"
	"beechcart/decision/discovery"
	"beechcart/decision/poll"
	"beechcart/internal/endpoints"
	"beechcart/internal/invariant"
	"beechcart/internal/platformconfig"
	"beechcart/internal/source"
)

// tokenEvery is how often a token file is looked at while calls are held.
const tokenEvery = 500 * time.Millisecond

// Store keeps the last good list.
type Store interface {
	// Load returns the list kept last, and when it was kept.
	Load() (list []discovery.Endpoint, kept time.Time, err error)
	// Save keeps a list; it may put it off, and must not block for long.
	Save(list []discovery.Endpoint)
}

// Source follows one catalogue.
type Source struct {
	opt      Options
	addrs    []address
	names    platformconfig.Names
	store    Store // nil: none
	counters *invariant.Counters
	log      *slog.Logger
	now      func() time.Duration // Unix time, monotonic

	mu       sync.Mutex
	set      *discovery.EndpointSet
	restored bool
	before   *Source // the one that this one takes over from

	poller  *poll.Poller
	client  client
	token   string
	lost    bool // calls fail
	denied  bool
	started bool // a list has been handed on
}

// New returns a Source, or an error that names the setting that can't be used. store may be nil.
func New(opt Options, names platformconfig.Names, store Store, counters *invariant.Counters, log *slog.Logger, seed uint64) (*Source, error) {
	s := &Source{opt: opt, names: names, store: store, counters: counters, log: log, now: unixClock()}
	s.client.opt = &s.opt
	if opt.Service == "" {
		return nil, fmt.Errorf("consul: service: no name is given")
	}
	for _, text := range opt.Addresses {
		a, err := parseAddress(text)
		if err != nil {
			return nil, fmt.Errorf("consul: %w", err)
		}
		if a.tls && !canTLS {
			return nil, fmt.Errorf("consul: addresses: %s: this build has no TLS (tag lean)", text)
		}
		s.addrs = append(s.addrs, a)
	}
	if err := opt.Mapping.Check(); err != nil {
		return nil, fmt.Errorf("consul: map: %w", err)
	}
	var err error
	if s.set, err = discovery.New(opt.Membership); err != nil {
		return nil, fmt.Errorf("consul: %w", err)
	}
	if s.poller, err = poll.New(opt.Poll, len(s.addrs), rand.New(rand.NewPCG(seed, 0x6c6973747321))); err != nil {
		return nil, fmt.Errorf("consul: %w", err)
	}
	if _, err := opt.readToken(); err != nil {
		return nil, fmt.Errorf("consul: %w", err)
	}
	return s, nil
}

// Inherit takes over what another Source believes once this one runs; the other must have returned from Run by then.
// Drains, doubts and penalties hold on: another catalogue's first answer may be wrong like any other.
func (s *Source) Inherit(old *Source) { s.before = old }

func (s *Source) inherit() {
	old := s.before
	if s.before = nil; old == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old.mu.Lock()
	defer old.mu.Unlock()
	s.set, s.now, s.started, s.restored = old.set, old.now, old.started, true
	_ = s.set.Configure(s.opt.Membership) // New has checked it
	s.set.Switch(s.now())
	s.poller.RetryNow(s.now())
}

// unixClock is Unix time that never jumps.
func unixClock() func() time.Duration {
	start := time.Now()
	base := time.Duration(start.UnixNano())
	return func() time.Duration { return base + time.Since(start) }
}

// Statuses tells what is believed of each engine, by name.
func (s *Source) Statuses() []source.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []source.EngineStatus
	for _, c := range s.set.Current() {
		out = append(out, source.EngineStatus{Name: c.Key, ID: c.ID, Address: c.Addr, State: c.State.String(), Reason: string(c.Reason),
			Zone: c.Zone, Kind: c.Kind, Cell: c.Cell, Weight: c.Weight, SinceMS: c.StartedAt.Milliseconds()})
	}
	return out
}

// Run reads the catalogue until ctx ends.
func (s *Source) Run(ctx context.Context, take func(endpoints.List)) {
	defer s.client.close()
	s.inherit()
	s.restore(take)
	s.token, _ = s.opt.readToken()
	for ctx.Err() == nil {
		call := s.poller.Next()
		s.wait(ctx, call.NotBefore, take)
		if ctx.Err() != nil {
			return
		}
		if call = s.poller.Next(); call.NotBefore > s.now() {
			continue
		}
		s.ask(ctx, call, take)
	}
}

// restore begins with the last good list, so that a start needs no catalogue.
func (s *Source) restore(take func(endpoints.List)) {
	if s.store == nil || s.restored {
		return
	}
	s.restored = true
	list, kept, err := s.store.Load()
	if err != nil {
		s.log.Warn("last good list not used", "error", err)
		return
	}
	if len(list) == 0 {
		return
	}
	s.log.Info("last good list used", "engines", len(list), "age", time.Since(kept).Round(time.Millisecond).String())
	s.mu.Lock()
	a := s.set.Restore(s.now(), list)
	s.mu.Unlock()
	s.carry(a, take)
}

// wait sleeps until a call is due, and carries out what time alone changes.
func (s *Source) wait(ctx context.Context, due time.Duration, take func(endpoints.List)) {
	for ctx.Err() == nil {
		now := s.now()
		s.advance(now, take)
		if now >= due {
			return
		}
		until := due
		if next, ok := s.set.Next(); ok && next < until {
			until = next
		}
		if s.denied && s.opt.TokenFile != "" {
			until = min(until, now+tokenEvery)
		}
		timer := time.NewTimer(until - now)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		if s.denied && s.newToken() {
			s.poller.RetryNow(s.now())
			return
		}
	}
}

func (s *Source) newToken() bool {
	token, err := s.opt.readToken()
	if err != nil || token == s.token {
		return false
	}
	s.token = token
	return true
}

func (s *Source) advance(now time.Duration, take func(endpoints.List)) {
	s.mu.Lock()
	var a discovery.Update
	if next, ok := s.set.Next(); ok && next <= now {
		a = s.set.Advance(now)
	}
	s.mu.Unlock()
	s.carry(a, take)
}

// ask makes one call. What time alone changes meanwhile is carried out while it waits.
func (s *Source) ask(ctx context.Context, call poll.Request, take func(endpoints.List)) {
	s.newToken()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type ended struct {
		r   reply
		err error
	}
	done := make(chan ended, 1)
	token := s.token
	go func() {
		r, err := s.client.ask(ctx, s.addrs[call.Address], call, token)
		done <- ended{r, err}
	}()
	s.counters.Add("catalogue_calls", 1)
	for {
		var due <-chan time.Time
		if next, ok := s.set.Next(); ok {
			timer := time.NewTimer(max(next-s.now(), time.Millisecond))
			defer timer.Stop()
			due = timer.C
		}
		select {
		case <-due:
			s.advance(s.now(), take)
		case e := <-done:
			if ctx.Err() != nil {
				return // the source ends
			}
			s.ended(call, e.r, e.err, take)
			return
		}
	}
}

func (s *Source) ended(call poll.Request, r reply, err error, take func(endpoints.List)) {
	at := s.addrs[call.Address].hostPort
	if err != nil {
		s.counters.Add("catalogue_failed", 1)
		var late net.Error
		result := poll.Result{Outcome: poll.Failed, TimedOut: errors.As(err, &late) && late.Timeout()}
		if denied(err) {
			result.Outcome = poll.Denied
			s.counters.Add("catalogue_denied", 1)
			if !s.denied {
				s.log.Error("catalogue denies the read", "address", at, "error", err)
			}
			s.denied = true
		} else if !s.lost {
			s.log.Warn("catalogue lost", "address", at, "error", err)
		}
		s.lost = true
		s.poller.HandleResult(s.now(), result)
		return
	}
	if s.lost || s.denied {
		s.log.Info("catalogue back", "address", at)
		s.lost, s.denied = false, false
	}
	s.mu.Lock()
	a := s.set.Observe(s.now(), r.Observation)
	doubt := s.set.Suspicious()
	s.mu.Unlock()
	s.carry(a, take)
	if len(a.Changes) > 0 && s.store != nil && !doubt {
		s.store.Save(s.set.Snapshot())
	}
	s.poller.HandleResult(s.now(), poll.Result{Index: r.Index, BusyTime: time.Since(r.began), Latency: r.took, AwaitsConfirmation: doubt})
}

// carry hands an answer on: the first as a whole list, the later ones as changes.
func (s *Source) carry(a discovery.Update, take func(endpoints.List)) {
	for _, n := range a.Notices {
		s.counters.Add("notice_"+counterName(n.Kind), 1)
		s.log.Warn("catalogue", "says", string(n.Kind), "engines", n.Count, "detail", n.Detail)
	}
	if len(a.Changes) == 0 {
		return
	}
	s.counters.Add("catalogue_changes", int64(len(a.Changes)))
	list := endpoints.List{Complete: !s.started}
	s.started = true
	for _, c := range a.Changes {
		list.Endpoints = append(list.Endpoints, endpoints.Endpoint{
			Engine: admission.Engine{ID: c.ID, Kind: platformconfig.IndexOf(s.names.Kinds, c.Kind), Zone: platformconfig.IndexOf(s.names.Zones, c.Zone),
				Cell: c.Cell, State: states[c.State], Units: c.Weight, Started: c.StartedAt},
			Name: c.Key, Address: c.Addr, Reason: string(c.Reason),
		})
	}
	take(list)
}

var states = map[discovery.State]admission.State{
	discovery.Ready: admission.Ready, discovery.Draining: admission.Draining, discovery.Removed: admission.Removed,
}

// counterName makes one word of a notice.
func counterName(k discovery.NoticeKind) string {
	switch k {
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
	}
	return "malformed"
}
