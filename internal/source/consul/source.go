// Package consul obtains the endpoint list from a Consul catalogue, by blocking queries on the health of one service
// (GET /v1/health/service/NAME: developer.hashicorp.com/consul/api-docs/health). One response holds the node, the
// service and the checks of each instance. decision/poll decides when to send a request and to which server,
// decision/discovery which changes in a response to accept. This package does the I/O and the decoding.
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

	"beechcart/decision/discovery"
	"beechcart/decision/poll"
	"beechcart/internal/endpoints"
	"beechcart/internal/invariant"
	"beechcart/internal/platformconfig"
	"beechcart/internal/source"
)

// tokenCheckInterval is the interval at which the token file is read while requests are denied.
const tokenCheckInterval = 500 * time.Millisecond

// pollerStream is the second half of the poller's random seed.
const pollerStream = 0x6c6973747321

// Store persists the last good list: the latest accepted list. While a list awaits confirmation, none is saved.
type Store interface {
	// Load returns the list that was stored last, and the time at which it was stored.
	Load() (list []discovery.Endpoint, stored time.Time, err error)
	// Save stores a list. It may defer the write, and does not block for long.
	Save(list []discovery.Endpoint)
}

// Source follows one catalogue.
type Source struct {
	options   Options
	addresses []address
	names     platformconfig.Names
	store     Store // nil: lists are not stored
	counters  *invariant.Counters
	log       *slog.Logger
	now       func() time.Duration // Unix time, monotonic

	mu          sync.Mutex
	set         *discovery.EndpointSet // changed under mu, by Run alone
	restored    bool                   // the stored list has been loaded, or a predecessor's state inherited
	predecessor *Source                // Run inherits its state; nil: none

	// Used only by Run and, after Run has returned, by a successor that inherits the state.
	poller    *poll.Poller
	client    client
	token     string
	lost      bool // the last request failed
	denied    bool // the catalogue denies requests
	published bool // a list has been passed on
}

// New returns a Source, or an error that names the invalid setting. store may be nil.
func New(
	options Options, names platformconfig.Names, store Store, counters *invariant.Counters, log *slog.Logger, seed uint64,
) (*Source, error) {
	s := &Source{options: options, names: names, store: store, counters: counters, log: log, now: unixClock()}
	s.client.options = &s.options
	if err := s.configure(seed); err != nil {
		return nil, fmt.Errorf("consul: %w", err)
	}
	return s, nil
}

// configure checks the options and creates the parts of the Source that depend on them.
func (s *Source) configure(seed uint64) (err error) {
	if s.options.Service == "" {
		return errNoService
	}
	if s.addresses, err = s.options.parseAddresses(); err != nil {
		return err
	}
	if err = s.options.Mapping.Check(); err != nil {
		return fmt.Errorf("map: %w", err)
	}
	if s.set, err = discovery.New(s.options.Membership); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(seed, pollerStream))
	if s.poller, err = poll.New(s.options.Poll, len(s.addresses), random); err != nil {
		return err
	}
	_, err = s.options.readToken()
	return err
}

// Inherit makes Run begin with the state of predecessor, whose Run must have returned by then. The drains, suspicions
// and penalties of predecessor stay in force, because the first response of the new catalogue may be as wrong as any
// later one.
func (s *Source) Inherit(predecessor *Source) { s.predecessor = predecessor }

func (s *Source) inherit() {
	old := s.predecessor
	if s.predecessor = nil; old == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old.mu.Lock()
	defer old.mu.Unlock()
	s.set, s.now, s.published, s.restored = old.set, old.now, old.published, true
	_ = s.set.Configure(s.options.Membership) // New has checked the settings
	s.set.Switch(s.now())
	s.poller.RetryNow(s.now())
}

// unixClock returns a monotonic clock of Unix time, which steps of the system clock do not affect.
func unixClock() func() time.Duration {
	start := time.Now()
	startUnix := time.Duration(start.UnixNano())
	return func() time.Duration { return startUnix + time.Since(start) }
}

// Statuses returns the status of each engine, ordered by name. It is safe for concurrent use.
func (s *Source) Statuses() []source.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var statuses []source.EngineStatus
	for _, c := range s.set.Current() {
		statuses = append(statuses, source.EngineStatus{
			Name: c.Key, ID: c.ID, Address: c.Addr, State: c.State.String(), Reason: string(c.Reason), Zone: c.Zone,
			Kind: c.Kind, Cell: c.Cell, Weight: c.Weight, SinceMS: c.StartedAt.Milliseconds(),
		})
	}
	return statuses
}

// Run polls the catalogue until ctx ends. It begins with the state of a predecessor or, without one, the stored list.
func (s *Source) Run(ctx context.Context, take func(endpoints.List)) {
	defer s.client.close()
	s.inherit()
	s.restore(take)
	s.token, _ = s.options.readToken()
	for ctx.Err() == nil {
		request := s.poller.Next()
		s.wait(ctx, request.NotBefore, take)
		if ctx.Err() != nil {
			return
		}
		if request = s.poller.Next(); request.NotBefore > s.now() {
			continue
		}
		s.poll(ctx, request, take)
	}
}

// restore publishes the last good list, so that a front end can start without the catalogue.
func (s *Source) restore(take func(endpoints.List)) {
	if s.store == nil || s.restored {
		return
	}
	s.restored = true
	list, stored, err := s.store.Load()
	if err != nil {
		s.log.Warn("last good list not used", "error", err)
		return
	}
	if len(list) == 0 {
		return
	}
	age := time.Since(stored).Round(time.Millisecond).String()
	s.log.Info("last good list used", "engines", len(list), "age", age)
	s.mu.Lock()
	update := s.set.Restore(s.now(), list)
	s.mu.Unlock()
	s.publish(update, take)
}

// wait waits until a request is due, and meanwhile applies the changes that come due without a response, such as the
// end of a suspicion.
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
		if s.denied && s.options.TokenFile != "" {
			until = min(until, now+tokenCheckInterval)
		}
		timer := time.NewTimer(until - now)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		if s.denied && s.updateToken() {
			s.poller.RetryNow(s.now())
			return
		}
	}
}

// updateToken reads the token file, and reports whether the token has changed.
func (s *Source) updateToken() bool {
	token, err := s.options.readToken()
	if err != nil || token == s.token {
		return false
	}
	s.token = token
	return true
}

// advance applies the changes that are due at now without a response, such as the end of a suspicion.
func (s *Source) advance(now time.Duration, take func(endpoints.List)) {
	s.mu.Lock()
	var update discovery.Update
	if next, ok := s.set.Next(); ok && next <= now {
		update = s.set.Advance(now)
	}
	s.mu.Unlock()
	s.publish(update, take)
}

// pollOutcome is the result of one request.
type pollOutcome struct {
	response response
	err      error
}

// poll sends one request, and applies the changes that come due while the response is awaited.
func (s *Source) poll(ctx context.Context, request poll.Request, take func(endpoints.List)) {
	s.updateToken()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan pollOutcome, 1)
	token := s.token
	go func() { // ends with the request: ctx aborts the request, and done is buffered
		r, err := s.client.do(ctx, s.addresses[request.Address], request, token)
		done <- pollOutcome{r, err}
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
		case outcome := <-done:
			if ctx.Err() != nil {
				return // the source stops
			}
			s.handleOutcome(request, outcome, take)
			return
		}
	}
}

func (s *Source) handleOutcome(request poll.Request, outcome pollOutcome, take func(endpoints.List)) {
	server := s.addresses[request.Address].hostPort
	if outcome.err != nil {
		s.handleFailure(server, outcome.err)
		return
	}
	if s.lost || s.denied {
		s.log.Info("catalogue back", "address", server)
		s.lost, s.denied = false, false
	}
	s.handleResponse(outcome.response, take)
}

func (s *Source) handleFailure(server string, err error) {
	s.counters.Add("catalogue_failed", 1)
	var netError net.Error
	result := poll.Result{Outcome: poll.Failed, TimedOut: errors.As(err, &netError) && netError.Timeout()}
	if isDenied(err) {
		result.Outcome = poll.Denied
		s.counters.Add("catalogue_denied", 1)
		if !s.denied {
			s.log.Error("catalogue denies the read", "address", server, "error", err)
		}
		s.denied = true
	} else if !s.lost {
		s.log.Warn("catalogue lost", "address", server, "error", err)
	}
	s.lost = true
	s.poller.HandleResult(s.now(), result)
}

func (s *Source) handleResponse(r response, take func(endpoints.List)) {
	s.mu.Lock()
	update := s.set.Observe(s.now(), r.Observation)
	suspicious := s.set.Suspicious()
	s.mu.Unlock()
	s.publish(update, take)
	if len(update.Changes) > 0 && s.store != nil && !suspicious {
		s.store.Save(s.set.Snapshot())
	}
	s.poller.HandleResult(s.now(), poll.Result{
		Index: r.Index, BusyTime: time.Since(r.headAt), Latency: r.latency, AwaitsConfirmation: suspicious,
	})
}
