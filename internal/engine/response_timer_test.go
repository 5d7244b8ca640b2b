package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestResponseTimer(t *testing.T) {
	const accuracy = 50 * time.Millisecond
	ended := make(chan struct{})
	close(ended)
	for name, c := range map[string]struct {
		end       time.Duration // of the whole response, from now; 0: none
		begunAgo  time.Duration // 0: these are the first bytes
		bytes     int
		cancelled <-chan struct{}
		want      time.Duration // from now
	}{
		"first bytes, without an end": {
			bytes: 1, want: partialResponseTimeout,
		},
		"further bytes, without an end": {
			begunAgo: time.Second, bytes: 9000, want: 2 * time.Second,
		},
		"first bytes": {
			end: time.Minute, bytes: 1, want: maxResponsePause,
		},
		"bytes that come fast enough": {
			end: time.Minute, begunAgo: 10 * time.Second, bytes: 6000, want: maxResponsePause,
		},
		"bytes that come too slowly": {
			end: time.Minute, begunAgo: 10 * time.Second, bytes: 100, want: -8800 * time.Millisecond,
		},
		"near the end": {
			end: 20 * time.Millisecond, begunAgo: time.Second, bytes: 6000, want: 20 * time.Millisecond,
		},
		"cancelled": {
			end: time.Minute, begunAgo: time.Second, bytes: 6000, cancelled: ended, want: partialResponseTimeout,
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			timer := responseTimer{deadline: now.Add(2 * time.Second), pause: maxResponsePause, cancelled: c.cancelled}
			if c.end > 0 {
				timer.end = now.Add(c.end)
			}
			if c.begunAgo > 0 {
				timer.begunAt = now.Add(-c.begunAgo)
			}
			timer.received(c.bytes)
			assert.WithinDuration(t, now.Add(c.want), timer.deadline, accuracy)
		})
	}
}

// A response of a change log that writes slowly may take as long as its transfer, and stop for maxTransferPause.
func TestTransferExtendsTheDeadline(t *testing.T) {
	const accuracy = 50 * time.Millisecond
	for name, c := range map[string]struct {
		transfer, begunAgo time.Duration
		want               time.Duration // from now
	}{
		"fast log":        {want: 75 * time.Millisecond},
		"slow log":        {transfer: 3 * time.Second, begunAgo: time.Second, want: maxTransferPause},
		"end of transfer": {transfer: 3 * time.Second, begunAgo: 2900 * time.Millisecond, want: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			timer := responseTimer{deadline: now.Add(75 * time.Millisecond), transfer: c.transfer}
			if c.begunAgo > 0 {
				timer.begunAt = now.Add(-c.begunAgo)
			}
			timer.received(100)
			assert.WithinDuration(t, now.Add(c.want), timer.deadline, accuracy)
		})
	}
}
