package poll

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Request is the next request to the catalogue.
type Request struct {
	NotBefore     time.Duration
	Address       int           // place in the list of addresses
	Index         uint64        // of the blocking query; 0: respond at once
	Wait          time.Duration // if Index is set: how long the catalogue may hold the request
	HeaderTimeout time.Duration // for the head of the response
	ReadTimeout   time.Duration // for each further piece of it
}

// Outcome is how a request ended.
type Outcome int

// The outcomes of a request.
const (
	Succeeded Outcome = iota // a complete, readable response of status 200
	Failed                   // no response, an unreadable one, 429, 5xx
	Denied                   // 403 and other statuses that a retry won't change
	Cancelled                // given up, as the token or the addresses have changed
)

// Result is the outcome of a request, with what its caller knows about it.
type Result struct {
	Outcome Outcome

	// If it Succeeded.
	Index              uint64        // of the response; 0: it has none
	BusyTime           time.Duration // from its first byte until its last change was carried out
	Latency            time.Duration // from the request to its last byte
	AwaitsConfirmation bool          // its list does

	// If it Failed.
	TimedOut bool
}

// Poller decides the requests to one catalogue.
type Poller struct {
	settings  Settings
	addresses int // number of them
	rng       *rand.Rand

	next               Request
	index              uint64 // of the latest response; 0: none, or it went backwards
	failures           int    // in a row
	timedOut           bool   // a request of this round of addresses did
	responseTimeout    time.Duration
	awaitsConfirmation bool
}

// New returns a Poller for a number of addresses, whose first request is due at once, or an error that names the
// setting out of range.
func New(settings Settings, addresses int, rng *rand.Rand) (*Poller, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("poll: %w", err)
	}
	if addresses < 1 {
		return nil, fmt.Errorf("poll: addresses: %d is not at least 1", addresses)
	}
	p := &Poller{settings: settings, addresses: addresses, rng: rng, responseTimeout: settings.ResponseTimeout}
	p.schedule(0, rng.IntN(addresses)) // front ends that start together begin at different addresses
	return p, nil
}

// Next returns the request to make now, or at its time.
func (p *Poller) Next() Request { return p.next }

// Part of the wait by which it is varied at random, and which Consul adds to it.
const (
	waitVariation    = 0.1
	serverJitterPart = 16 // one in so many
)

// schedule sets the next request.
func (p *Poller) schedule(at time.Duration, address int) {
	request := Request{
		NotBefore:     at,
		Address:       address,
		HeaderTimeout: p.responseTimeout,
		ReadTimeout:   p.responseTimeout,
	}
	if p.index > 0 {
		request.Index = p.index
		request.Wait = p.drawWait()
		request.HeaderTimeout += request.Wait + request.Wait/serverJitterPart
	}
	p.next = request
}

// drawWait returns how long the catalogue may hold the next request. The request blocks also while a list awaits
// confirmation: a drain must not wait for the read after.
func (p *Poller) drawWait() time.Duration {
	wait := p.settings.Wait
	if p.awaitsConfirmation {
		wait = min(wait, p.settings.ConfirmInterval)
	}
	return time.Duration(float64(wait) * (1 - waitVariation + 2*waitVariation*p.rng.Float64()))
}

// HandleResult takes the result of the request in flight.
func (p *Poller) HandleResult(now time.Duration, result Result) {
	address := p.next.Address
	nextAddress := (address + 1) % p.addresses
	switch result.Outcome {
	case Succeeded:
		p.handleSuccess(result)
		p.schedule(now+p.interval(result), address)
	case Denied:
		p.failures++
		p.schedule(now+p.settings.DeniedBackoff, nextAddress)
	case Cancelled:
		p.failures = 0
		p.schedule(now, address)
	case Failed:
		p.handleFailure(result)
		p.schedule(now+p.backoff(), nextAddress)
	}
}

// handleSuccess takes over what a response tells.
func (p *Poller) handleSuccess(result Result) {
	p.failures, p.timedOut = 0, false
	p.awaitsConfirmation = result.AwaitsConfirmation
	for p.responseTimeout/2 >= max(p.settings.ResponseTimeout, 2*result.Latency) {
		p.responseTimeout /= 2
	}
	if result.Index < p.index {
		p.index = 0 // it went backwards (invariant 2)
	} else {
		p.index = result.Index
	}
}

// interval returns the time until the request after a success (invariant 5).
func (p *Poller) interval(result Result) time.Duration {
	busy := time.Duration(float64(result.BusyTime) * (1/p.settings.MaxBusyShare - 1))
	interval := max(p.settings.MinInterval, busy)
	if result.Index == 0 {
		interval = max(interval, p.settings.ConfirmInterval) // without an index nothing blocks
	}
	return interval
}

// handleFailure counts a failure, and doubles the timeouts after a round of addresses in which a request timed out
// (invariant 8).
func (p *Poller) handleFailure(result Result) {
	p.failures++
	p.timedOut = p.timedOut || result.TimedOut
	if p.timedOut && p.failures%p.addresses == 0 {
		p.responseTimeout = min(2*p.responseTimeout, p.settings.MaxResponseTimeout)
		p.timedOut = false
	}
}

// maxDoublings bounds the shift of the backoff.
const maxDoublings = 16

// backoff returns the time until the request after the failures so far: none until all addresses were tried (invariants
// 3 and 6).
func (p *Poller) backoff() time.Duration {
	rounds := p.failures / p.addresses
	if rounds == 0 || p.failures%p.addresses != 0 {
		return 0
	}
	backoff := p.settings.MaxBackoff
	if rounds <= maxDoublings {
		backoff = min(backoff, p.settings.MinBackoff<<(rounds-1))
	}
	return backoff/2 + time.Duration(p.rng.Int64N(int64(backoff/2)+1))
}

// RetryNow tells that the token has changed, or that an operator wants a fresh read: the next request is due at once.
func (p *Poller) RetryNow(now time.Duration) {
	p.failures = 0
	p.schedule(now, p.next.Address)
}

// Reset tells that another catalogue, with a number of addresses, is polled from now on.
func (p *Poller) Reset(now time.Duration, addresses int) {
	p.addresses = addresses
	p.index, p.failures = 0, 0
	p.awaitsConfirmation, p.timedOut = false, false
	p.responseTimeout = p.settings.ResponseTimeout
	p.schedule(now, p.rng.IntN(addresses))
}
