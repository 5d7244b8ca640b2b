// Package poll decides when, where and how a catalogue is read next: blocking queries by index, several addresses,
// further calls after failures, and how hard a catalogue may be asked.
//
// A [Poller] is told how each call ended and answers with the next one. It does no I/O, keeps no clock and starts no
// goroutine; time and randomness are passed in. It is not safe for concurrent use.
//
// # Invariants
//
//  1. One call is out at a time: Next answers the same call until Done, Renew or Switch is told.
//  2. An index that is 0 or goes backwards is never asked with again: the next call asks without one.
//  3. After failures at every address in turn, the pause doubles up to MaxPause, and is drawn from its upper half, so
//     that front ends that failed together don't come back together.
//  4. A call that is denied (403) is held for HoldFor at every address, and ended early only by Renew.
//  5. Calls that succeed are MinGap apart at least, and so far apart that reading takes at most MaxShare of the time.
//  6. Each address is tried before any pause of a failure; after a success the same one is asked again.
//  7. The wait asked for lies within a tenth of Wait (of Confirm while a list is in doubt), so that front ends that started together spread out.
//  8. A call whose time ran out at every address in turn has twice the time in the next round, up to MaxSlack, and Slack
//     again only as answers come quicker: a list that takes longer than Slack to make is read all the same.
//
// # What it gives up
//
// Only one address is asked at a time. A catalogue that hangs is noticed when Wait and Slack have passed; asking two
// at once would halve that, at twice the load on the catalogue of every installation, every day.
//
// Source: Consul's blocking queries (developer.hashicorp.com/consul/api-docs/features/blocking), which ask clients to
// reset the index when it goes backwards, to never use 0 as one that has been seen, and to limit their rate.
package poll

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Settings are the bounds of the decisions. [Defaults] gives each with its reason.
type Settings struct {
	Wait               time.Duration // how long a call may wait at the catalogue for news
	ResponseTimeout    time.Duration // how much later than that its answer may come
	MaxResponseTimeout time.Duration // ... after calls whose time ran out
	ConfirmInterval    time.Duration // the wait while a list is in doubt, and the gap where answers carry no index
	MinInterval        time.Duration // between two calls that succeed
	MaxBusyShare       float64       // the most of the time that reading may take, 0 to 1
	MinBackoff         time.Duration // after a first round of failures
	MaxBackoff         time.Duration // after many
	DeniedBackoff      time.Duration // after a call that was denied
}

// Defaults are the bounds in force where nothing else is set.
func Defaults() Settings {
	return Settings{
		// A connection into a cut says nothing: it is noticed within Wait and Slack, so both are short.
		Wait: 5 * time.Second, ResponseTimeout: 1500 * time.Millisecond,
		// A list of 10 MB on a slow link or a busy machine; a catalogue that hangs at every address costs no more than this.
		MaxResponseTimeout: 12 * time.Second,
		ConfirmInterval:    2 * time.Second,
		// A change is read within 10 ms of the one before, and a flapping catalogue costs a fifth of a core at most.
		MinInterval: 10 * time.Millisecond, MaxBusyShare: 0.2,
		MinBackoff: 100 * time.Millisecond, MaxBackoff: 3 * time.Second,
		DeniedBackoff: 30 * time.Second,
	}
}

// Check names the first bound that can't be used.
func (s Settings) Check() error {
	for _, d := range []struct {
		name string
		v    time.Duration
	}{
		{"wait", s.Wait}, {"slack", s.ResponseTimeout}, {"confirm", s.ConfirmInterval}, {"min_gap", s.MinInterval},
		{"min_pause", s.MinBackoff}, {"max_pause", s.MaxBackoff}, {"hold_for", s.DeniedBackoff},
	} {
		if d.v <= 0 {
			return fmt.Errorf("%s: %v is not more than 0", d.name, d.v)
		}
	}
	if s.MaxResponseTimeout < s.ResponseTimeout {
		return fmt.Errorf("max_slack: %v is less than slack (%v)", s.MaxResponseTimeout, s.ResponseTimeout)
	}
	if s.MaxBackoff < s.MinBackoff {
		return fmt.Errorf("max_pause: %v is less than min_pause (%v)", s.MaxBackoff, s.MinBackoff)
	}
	if !(s.MaxBusyShare > 0 && s.MaxBusyShare <= 1) {
		return fmt.Errorf("max_share: %v is not between 0 and 1", s.MaxBusyShare)
	}
	return nil
}

// Request is what to ask next.
type Request struct {
	NotBefore     time.Duration // not before
	Address       int           // place in the list of addresses
	Index         uint64        // 0: answer at once
	Wait          time.Duration // with Index: how long the catalogue may wait
	HeaderTimeout time.Duration // how long the head of the answer is waited for
	ReadTimeout   time.Duration // how long each further piece of it is
}

// Outcome is how a call ended.
type Outcome int

// The endings of a call.
const (
	Succeeded Outcome = iota // a whole, readable answer of status 200
	Failed                   // no answer, an unreadable one, 429, 5xx
	Denied                   // 403 and other refusals that asking again won't change
	Cancelled                // given up, as the token or the addresses have changed
)

// Result tells how a call ended.
type Result struct {
	Outcome            Outcome
	Index              uint64        // of the answer; Read only
	BusyTime           time.Duration // from its first byte to its last change carried out; Read only
	Latency            time.Duration // from the call to its last byte; Read only
	AwaitsConfirmation bool          // what it told waits for confirmation; Read only
	TimedOut           bool          // its time ran out; Failed only
}

// Poller decides the calls to one catalogue.
type Poller struct {
	settings  Settings
	addresses int
	rng       *rand.Rand

	next               Request
	index              uint64 // of the latest answer; 0: none, or it went backwards
	failures           int    // in a row
	timedOut           bool   // one of this round's calls ran out of time
	responseTimeout    time.Duration
	awaitsConfirmation bool
}

// New returns a Poller for so many addresses whose first call is due at once, or an error that names the bound
// that can't be used.
func New(set Settings, addresses int, rng *rand.Rand) (*Poller, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("poll: %w", err)
	}
	if addresses < 1 {
		return nil, fmt.Errorf("poll: addresses: %d is not at least 1", addresses)
	}
	p := &Poller{settings: set, addresses: addresses, rng: rng, responseTimeout: set.ResponseTimeout}
	// Front ends that start together begin at different addresses.
	p.schedule(0, rng.IntN(addresses))
	return p, nil
}

// Next is the call to make now, or at its time.
func (p *Poller) Next() Request { return p.next }

// schedule sets the next call.
func (p *Poller) schedule(at time.Duration, address int) {
	c := Request{NotBefore: at, Address: address, HeaderTimeout: p.responseTimeout, ReadTimeout: p.responseTimeout}
	if p.index > 0 {
		wait := p.settings.Wait
		if p.awaitsConfirmation {
			wait = min(wait, p.settings.ConfirmInterval) // a blocking call all the same: a drain must not wait for the next read
		}
		c.Index = p.index
		c.Wait = time.Duration(float64(wait) * (0.9 + 0.2*p.rng.Float64()))
		// The catalogue adds up to a sixteenth of the wait by itself.
		c.HeaderTimeout += c.Wait + c.Wait/16
	}
	p.next = c
}

// HandleResult takes the end of the call in hand.
func (p *Poller) HandleResult(now time.Duration, r Result) {
	address := p.next.Address
	switch r.Outcome {
	case Succeeded:
		p.failures, p.awaitsConfirmation, p.timedOut = 0, r.AwaitsConfirmation, false
		for p.responseTimeout/2 >= max(p.settings.ResponseTimeout, 2*r.Latency) {
			p.responseTimeout /= 2
		}
		gap := p.settings.MinInterval
		if busy := time.Duration(float64(r.BusyTime) * (1/p.settings.MaxBusyShare - 1)); busy > gap {
			gap = busy
		}
		if r.Index == 0 && p.settings.ConfirmInterval > gap {
			gap = p.settings.ConfirmInterval // without an index nothing blocks: the rate is ours to keep
		}
		if r.Index < p.index {
			r.Index = 0
		}
		p.index = r.Index
		p.schedule(now+gap, address)
	case Denied:
		p.failures++
		p.schedule(now+p.settings.DeniedBackoff, (address+1)%p.addresses)
	case Cancelled:
		p.failures = 0
		p.schedule(now, address)
	default:
		p.failures++
		p.timedOut = p.timedOut || r.TimedOut
		if p.timedOut && p.failures%p.addresses == 0 {
			p.responseTimeout, p.timedOut = min(2*p.responseTimeout, p.settings.MaxResponseTimeout), false
		}
		p.schedule(now+p.backoff(), (address+1)%p.addresses)
	}
}

// backoff is how long to wait after the failures so far: nothing until all addresses have been tried.
func (p *Poller) backoff() time.Duration {
	rounds := p.failures / p.addresses
	if rounds == 0 || p.failures%p.addresses != 0 {
		return 0
	}
	d := p.settings.MaxBackoff
	if rounds <= 16 {
		d = min(d, p.settings.MinBackoff<<(rounds-1))
	}
	return d/2 + time.Duration(p.rng.Int64N(int64(d/2)+1))
}

// RetryNow tells that the token has changed, or that an operator asks for a fresh read: what is held is asked at once.
func (p *Poller) RetryNow(now time.Duration) {
	p.failures = 0
	p.schedule(now, p.next.Address)
}

// Reset tells that another catalogue, with so many addresses, is asked from now on.
func (p *Poller) Reset(now time.Duration, addresses int) {
	p.addresses, p.index, p.failures, p.awaitsConfirmation, p.timedOut, p.responseTimeout = addresses, 0, 0, false, false, p.settings.ResponseTimeout
	p.schedule(now, p.rng.IntN(addresses))
}
