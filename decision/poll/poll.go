package poll

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Request is the next request to the catalogue.
type Request struct {
	NotBefore     time.Duration // earliest time to send the request
	Address       int           // index into the list of addresses
	Index         uint64        // of the blocking query; 0: the catalogue responds at once
	Wait          time.Duration // how long the catalogue may hold the request; 0 if Index is 0
	HeaderTimeout time.Duration // until the header of the response has arrived
	ReadTimeout   time.Duration // for each read of the response's body
}

// Outcome classifies how a request ended.
type Outcome int

// The outcomes of a request.
const (
	Succeeded Outcome = iota // a complete, well-formed response with status 200
	Failed                   // no response, a malformed response, or status 429 or 5xx
	Denied                   // status 403, or another status that a retry does not change
	Cancelled                // cancelled by the caller because the token or the addresses changed
)

// Result describes how a request ended.
type Result struct {
	Outcome Outcome

	// Set if Outcome is Succeeded.
	Index              uint64        // of the response; 0: the response has no index
	BusyTime           time.Duration // from the first byte of the response until the last change is applied
	Latency            time.Duration // from sending the request to the last byte of the response
	AwaitsConfirmation bool          // the list needs further reads before the front end accepts it

	// Set if Outcome is Failed.
	TimedOut bool
}

// Poller schedules the requests to one catalogue.
type Poller struct {
	settings  Settings
	addresses int // number of addresses
	rng       *rand.Rand

	next               Request
	index              uint64        // of the latest response; 0: no index, or the index went backwards
	failures           int           // consecutive
	timedOut           bool          // a request timed out in the current round, which tries each address once
	responseTimeout    time.Duration // current value; grows after timeouts (invariant 8)
	awaitsConfirmation bool          // from the latest successful result
}

// New returns a Poller for the given number of addresses, whose first request is due at once. The error names a setting
// that is out of range.
func New(settings Settings, addresses int, rng *rand.Rand) (*Poller, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("poll: %w", err)
	}
	if addresses < 1 {
		return nil, fmt.Errorf("poll: addresses: found %d, must be at least 1", addresses)
	}
	p := &Poller{settings: settings, addresses: addresses, rng: rng, responseTimeout: settings.ResponseTimeout}
	p.schedule(0, rng.IntN(addresses)) // front ends that start together begin at different addresses
	return p, nil
}

// Next returns the next request, to be sent at its NotBefore or as soon as possible afterwards.
func (p *Poller) Next() Request { return p.next }

const (
	// waitVariation is the fraction of the wait by which the requested wait varies at random in either direction.
	waitVariation = 0.1
	// serverJitterDivisor is the ratio of a wait to the longest jitter that Consul adds to the wait.
	serverJitterDivisor = 16
)

// schedule sets the next request, to be sent at the given time.
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
		request.HeaderTimeout += request.Wait + request.Wait/serverJitterDivisor
	}
	p.next = request
}

// drawWait returns how long the catalogue may hold the next request, varied at random. While a list
// awaits confirmation, the request still blocks, but for about ConfirmInterval at most. A drain that is set during that
// interval is therefore received at once.
func (p *Poller) drawWait() time.Duration {
	wait := p.settings.Wait
	if p.awaitsConfirmation {
		wait = min(wait, p.settings.ConfirmInterval)
	}
	return time.Duration(float64(wait) * (1 - waitVariation + 2*waitVariation*p.rng.Float64()))
}

// HandleResult records the result of the request in flight and schedules the next request.
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

// handleSuccess resets the failures, shortens the timeouts after a fast response and stores the index.
func (p *Poller) handleSuccess(result Result) {
	p.failures, p.timedOut = 0, false
	p.awaitsConfirmation = result.AwaitsConfirmation
	for p.responseTimeout/2 >= max(p.settings.ResponseTimeout, 2*result.Latency) {
		p.responseTimeout /= 2
	}
	if result.Index < p.index {
		p.index = 0 // the index went backwards: the next request has no index (invariant 2)
	} else {
		p.index = result.Index
	}
}

// interval returns the delay of the next request after a success (invariant 5).
func (p *Poller) interval(result Result) time.Duration {
	busy := time.Duration(float64(result.BusyTime) * (1/p.settings.MaxBusyShare - 1))
	interval := max(p.settings.MinInterval, busy)
	if result.Index == 0 {
		interval = max(interval, p.settings.ConfirmInterval) // a request without an index does not block
	}
	return interval
}

// handleFailure counts a failure. After a round of failures at all addresses in which a request timed out,
// handleFailure doubles the timeouts (invariant 8).
func (p *Poller) handleFailure(result Result) {
	p.failures++
	p.timedOut = p.timedOut || result.TimedOut
	if p.timedOut && p.failures%p.addresses == 0 {
		p.responseTimeout = min(2*p.responseTimeout, p.settings.MaxResponseTimeout)
		p.timedOut = false
	}
}

// maxDoublings limits the doublings of the backoff, so that the shift does not overflow.
const maxDoublings = 16

// backoff returns the delay of the next request after a failure. The delay is 0 unless the failure completes a round of
// all addresses (invariants 3 and 6).
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

// RetryNow makes the next request due at once and resets the count of failures. The caller uses RetryNow after the
// token has changed, or when an operator asks for a fresh read.
func (p *Poller) RetryNow(now time.Duration) {
	p.failures = 0
	p.schedule(now, p.next.Address)
}

// Reset starts polling another catalogue, which has the given number of addresses. The index, the failures and the
// adapted timeouts are discarded.
func (p *Poller) Reset(now time.Duration, addresses int) {
	p.addresses = addresses
	p.index, p.failures = 0, 0
	p.awaitsConfirmation, p.timedOut = false, false
	p.responseTimeout = p.settings.ResponseTimeout
	p.schedule(now, p.rng.IntN(addresses))
}
