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
