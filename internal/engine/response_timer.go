package engine

import "time"

const (
	// partialResponseTimeout is how long a response that has begun may pause.
	partialResponseTimeout = 150 * time.Millisecond
	// maxTransferPause is how long a response whose transfer is extended may pause.
	maxTransferPause = 2 * partialResponseTimeout
	// maxResponsePause bounds the pause after it has been doubled.
	maxResponsePause = 600 * time.Millisecond
	// slowResponseGrace and minResponseRate bound the time of a whole response: a response that has begun may take
	// slowResponseGrace, and the time that its bytes take at minResponseRate.
	slowResponseGrace = time.Second
	minResponseRate   = 500 // bytes a second
)

// responseTimer decides until when the next bytes of a response must arrive.
type responseTimer struct {
	deadline time.Time // for the next byte

	pause     time.Duration   // between two reads, once the response has begun
	end       time.Time       // of the whole response; zero: partialResponseTimeout after the first byte
	cancelled <-chan struct{} // once closed, the rest must arrive within partialResponseTimeout; nil: never closed
	begunAt   time.Time       // zero: no byte has arrived
	transfer  time.Duration   // without an end: how long the rest of the response may take at least
}

// received notes that the response has n bytes now and is incomplete.
func (t *responseTimer) received(n int) {
	now := time.Now()
	begun := t.begunAt.IsZero()
	if begun {
		t.begunAt = now
	}
	select {
	case <-t.cancelled:
		t.end, t.cancelled = time.Time{}, nil
		begun = true
	default:
	}
	if t.end.IsZero() {
		if end := now.Add(partialResponseTimeout); begun && end.Before(t.deadline) {
			t.deadline = end
		}
		t.extendTo(t.begunAt.Add(t.transfer), now.Add(maxTransferPause))
		return
	}
	t.deadline = now.Add(t.pause)
	transfer := time.Duration(n) * time.Second / minResponseRate
	for _, limit := range []time.Time{t.begunAt.Add(slowResponseGrace + transfer), t.end} {
		if limit.Before(t.deadline) {
			t.deadline = limit
		}
	}
}

// extendTo extends the deadline to the earlier one of two times.
func (t *responseTimer) extendTo(a, b time.Time) {
	if b.Before(a) {
		a = b
	}
	if a.After(t.deadline) {
		t.deadline = a
	}
}
