package poll

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newTestPoller(t *testing.T, addresses int) *Poller {
	t.Helper()
	p, err := New(Defaults(), addresses, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return p
}

// tableRows lists results of a request and the request that must follow.
var tableRows = []struct {
	name         string
	index        uint64 // of the previous response; 0: there was no previous response
	result       Result
	interval     time.Duration // until the next request
	nextIndex    uint64
	otherAddress bool // the next request goes to the other of the two addresses
}{
	{name: "first response", result: Result{Index: 7}, interval: Defaults().MinInterval, nextIndex: 7},
	{name: "index has advanced", index: 7, result: Result{Index: 9}, interval: Defaults().MinInterval, nextIndex: 9},
	{name: "wait ends, no change", index: 7, result: Result{Index: 7}, interval: Defaults().MinInterval, nextIndex: 7},
	{name: "index goes backwards", index: 7, result: Result{Index: 5}, interval: Defaults().MinInterval},
	{name: "response without an index", index: 7, result: Result{}, interval: Defaults().ConfirmInterval},
	{
		name:      "response that takes long to process",
		index:     7,
		result:    Result{Index: 9, BusyTime: time.Second},
		interval:  4 * time.Second,
		nextIndex: 9,
	},
	{
		name:      "list awaits confirmation",
		index:     7,
		result:    Result{Index: 9, AwaitsConfirmation: true},
		interval:  Defaults().MinInterval,
		nextIndex: 9,
	},
	{name: "failed", index: 7, result: Result{Outcome: Failed}, nextIndex: 7, otherAddress: true},
	{
		name:         "denied",
		index:        7,
		result:       Result{Outcome: Denied},
		interval:     Defaults().DeniedBackoff,
		nextIndex:    7,
		otherAddress: true,
	},
	{name: "cancelled", index: 7, result: Result{Outcome: Cancelled}, nextIndex: 7},
}

func TestNextRequestAfterResult(t *testing.T) {
	settings := Defaults()
	for _, row := range tableRows {
		t.Run(row.name, func(t *testing.T) {
			p := newTestPoller(t, 2)
			if row.index > 0 {
				p.HandleResult(time.Second, Result{Index: row.index})
			}
			address := p.Next().Address
			p.HandleResult(time.Minute, row.result)
			next := p.Next()
			assert.Equal(t, time.Minute+row.interval, next.NotBefore)
			assert.Equal(t, row.nextIndex, next.Index)
			assert.Equal(t, row.otherAddress, next.Address != address)
			if row.nextIndex == 0 {
				assert.Zero(t, next.Wait)
				return
			}
			wait := settings.Wait
			if row.result.AwaitsConfirmation {
				wait = settings.ConfirmInterval
			}
			assert.InDelta(t, float64(wait), float64(next.Wait), float64(wait)/10)
			assert.Equal(t, next.Wait+next.Wait/16+settings.ResponseTimeout, next.HeaderTimeout)
		})
	}
}

func TestRetryNowAndResetEndTheBackoff(t *testing.T) {
	p := newTestPoller(t, 1)
	p.HandleResult(time.Second, Result{Outcome: Denied})
	require.Equal(t, 31*time.Second, p.Next().NotBefore)
	p.RetryNow(2 * time.Second)
	assert.Equal(t, 2*time.Second, p.Next().NotBefore)
	p.HandleResult(3*time.Second, Result{Index: 4})
	p.Reset(5*time.Second, 3)
	assert.Equal(t, 5*time.Second, p.Next().NotBefore)
	assert.Zero(t, p.Next().Index, "indexes of two catalogues are not comparable")
}

// history records the requests so far, as far as the invariants depend on them.
type history struct {
	index    uint64       // of the latest response; 0: the index went backwards or there is none
	failures int          // consecutive
	failed   map[int]bool // addresses that failed since the last success
}

// TestInvariants runs random sequences of results. Each failure message begins with the number of the invariant in the
// package comment.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addresses := rapid.IntRange(1, 5).Draw(t, "addresses")
		p, err := New(Defaults(), addresses, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		if err != nil {
			t.Fatal(err)
		}
		now, h := time.Duration(0), history{failed: map[int]bool{}}
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			request := p.Next()
			now = max(now, request.NotBefore)
			checkRequest(t, p, request)
			result := Result{
				Outcome:  Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
				Index:    rapid.Uint64Range(0, 9).Draw(t, "index"),
				BusyTime: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "busy time")),
			}
			p.HandleResult(now, result)
			h.check(t, p, request, result, p.Next().NotBefore-now)
		}
	})
}

// checkRequest checks invariants 1 and 7.
func checkRequest(t *rapid.T, p *Poller, request Request) {
	if request != p.Next() {
		t.Fatal("1: Next changed without HandleResult")
	}
	if request.Address < 0 || request.Address >= p.addresses {
		t.Fatalf("address %d is out of range, there are %d addresses", request.Address, p.addresses)
	}
	wait := p.settings.Wait
	if request.Index > 0 && (request.Wait < wait*9/10 || request.Wait > wait*11/10) {
		t.Fatalf("7: requested wait is %v, must be within a tenth of the setting", request.Wait)
	}
}

// check checks the next request after a result. That request is due after the given interval.
func (h *history) check(t *rapid.T, p *Poller, request Request, result Result, interval time.Duration) {
	settings := p.settings
	switch result.Outcome {
	case Succeeded:
		h.checkSuccess(t, p, request, result, interval)
	case Denied:
		h.failures++
		if interval != settings.DeniedBackoff {
			t.Fatalf("4: interval is %v after a denied request", interval)
		}
	case Failed:
		h.failures++
		h.failed[request.Address] = true
		if interval > 0 && len(h.failed) < p.addresses && h.failures <= len(h.failed) {
			t.Fatalf("6: backoff after only %d of %d addresses have failed", len(h.failed), p.addresses)
		}
		if interval > settings.MaxBackoff {
			t.Fatalf("3: backoff of %v exceeds MaxBackoff", interval)
		}
	case Cancelled:
	}
}

func (h *history) checkSuccess(t *rapid.T, p *Poller, request Request, result Result, interval time.Duration) {
	h.failures = 0
	clear(h.failed)
	maxBusy := (p.settings.MaxBusyShare + 1e-6) * float64(interval+result.BusyTime)
	if interval < p.settings.MinInterval || float64(result.BusyTime) > maxBusy {
		t.Fatalf("5: interval is only %v after a read with busy time %v", interval, result.BusyTime)
	}
	next := p.Next()
	if result.Index < h.index && next.Index != 0 {
		t.Fatalf("2: index %d is sent although the response's index went backwards from %d to %d",
			next.Index, h.index, result.Index)
	}
	h.index = result.Index
	if next.Index == 0 {
		h.index = 0
	}
	if next.Address != request.Address {
		t.Fatal("6: address changed after a success")
	}
}

func TestBackoffDoublesUpToMaximum(t *testing.T) {
	p, settings := newTestPoller(t, 3), Defaults()
	var backoffs []time.Duration
	for range 60 {
		at := p.Next().NotBefore
		p.HandleResult(at, Result{Outcome: Failed})
		if backoff := p.Next().NotBefore - at; backoff > 0 {
			backoffs = append(backoffs, backoff)
		}
	}
	require.Len(t, backoffs, 20, "one backoff for each round of three addresses")
	for i, backoff := range backoffs {
		longest := min(settings.MaxBackoff, settings.MinBackoff<<min(i, 20))
		assert.GreaterOrEqual(t, backoff, longest/2, i)
		assert.LessOrEqual(t, backoff, longest, i)
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"wait":      func(s *Settings) { s.Wait = 0 },
		"max_pause": func(s *Settings) { s.MaxBackoff = s.MinBackoff / 2 },
		"max_share": func(s *Settings) { s.MaxBusyShare = 1.5 },
		"min_gap":   func(s *Settings) { s.MinInterval = -1 },
	} {
		settings := Defaults()
		invalidate(&settings)
		_, err := New(settings, 1, rand.New(rand.NewPCG(1, 1)))
		require.ErrorContains(t, err, "poll: "+key+":")
	}
	_, err := New(Defaults(), 0, rand.New(rand.NewPCG(1, 1)))
	assert.ErrorContains(t, err, "addresses")
}

// A list that the catalogue needs longer than ResponseTimeout to produce is eventually read (invariant 8).
func TestTimeoutsGrowAfterRequestsTimeOut(t *testing.T) {
	settings := Defaults()
	p := newTestPoller(t, 2)
	now := time.Duration(0)
	const latency = 5 * time.Second
	requests, wasted := 0, time.Duration(0)
	for ; p.Next().HeaderTimeout < latency; requests++ {
		require.Less(t, requests, 20, "the timeout does not reach the latency")
		now = max(now, p.Next().NotBefore) + p.Next().HeaderTimeout
		wasted += p.Next().HeaderTimeout
		p.HandleResult(now, Result{Outcome: Failed, TimedOut: true})
	}
	assert.Equal(t, 4, requests, "two rounds of two addresses")
	assert.Less(t, wasted, 10*time.Second)
	p.HandleResult(now, Result{Index: 1, Latency: latency})
	assert.Equal(t, 6*time.Second, p.Next().ReadTimeout, "the timeout stays raised after a slow response")
	p.HandleResult(now, Result{Index: 2, Latency: 10 * time.Millisecond})
	assert.Equal(t, settings.ResponseTimeout, p.Next().ReadTimeout)
	for range 40 {
		p.HandleResult(now, Result{Outcome: Failed, TimedOut: true})
	}
	assert.Equal(t, settings.MaxResponseTimeout, p.Next().ReadTimeout, "the timeout is bounded")
	p.HandleResult(now, Result{Index: 3})
	p.HandleResult(now, Result{Outcome: Failed})
	p.HandleResult(now, Result{Outcome: Failed})
	assert.Equal(t, settings.ResponseTimeout, p.Next().ReadTimeout, "other failures do not raise the timeout")
}
