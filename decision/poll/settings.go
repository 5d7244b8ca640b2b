package poll

import (
	"fmt"
	"time"
)

// Settings configures a [Poller]. [Defaults] returns usable values.
type Settings struct {
	Wait               time.Duration // how long the catalogue may hold a request until the list changes
	ResponseTimeout    time.Duration // allowed for the response in addition to Wait
	MaxResponseTimeout time.Duration // upper bound of ResponseTimeout when it grows after timeouts
	ConfirmInterval    time.Duration // Wait while a list awaits confirmation; the interval if responses have no index
	MinInterval        time.Duration // from a success to the next request
	MaxBusyShare       float64       // share of the time that reading may take, above 0, at most 1
	MinBackoff         time.Duration // after the first round of failures at all addresses
	MaxBackoff         time.Duration // upper bound of the backoff
	DeniedBackoff      time.Duration // after a denied request
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Wait:               5 * time.Second, // short, as a partitioned connection is detected only after the wait
		ResponseTimeout:    1500 * time.Millisecond,
		MaxResponseTimeout: 12 * time.Second,
		ConfirmInterval:    2 * time.Second,
		MinInterval:        10 * time.Millisecond,
		MaxBusyShare:       0.2,
		MinBackoff:         100 * time.Millisecond,
		MaxBackoff:         3 * time.Second,
		DeniedBackoff:      30 * time.Second,
	}
}

// Check returns an error for the first setting that is out of range. The error names the key in the operators'
// settings.
func (s Settings) Check() error {
	for _, duration := range []struct {
		key   string
		value time.Duration
	}{
		{"wait", s.Wait},
		{"slack", s.ResponseTimeout},
		{"confirm", s.ConfirmInterval},
		{"min_gap", s.MinInterval},
		{"min_pause", s.MinBackoff},
		{"max_pause", s.MaxBackoff},
		{"hold_for", s.DeniedBackoff},
	} {
		if duration.value <= 0 {
			return fmt.Errorf("%s: found %v, must be greater than 0", duration.key, duration.value)
		}
	}
	switch {
	case s.MaxResponseTimeout < s.ResponseTimeout:
		return fmt.Errorf("max_slack: found %v, must be at least slack (%v)", s.MaxResponseTimeout, s.ResponseTimeout)
	case s.MaxBackoff < s.MinBackoff:
		return fmt.Errorf("max_pause: %v is less than min_pause (%v)", s.MaxBackoff, s.MinBackoff)
	case !(s.MaxBusyShare > 0 && s.MaxBusyShare <= 1):
		return fmt.Errorf("max_share: found %v, must be greater than 0 and at most 1", s.MaxBusyShare)
	}
	return nil
}
