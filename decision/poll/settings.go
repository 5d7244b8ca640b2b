package poll

import (
	"fmt"
	"time"
)

// Settings bound the decisions. [Defaults] has usable values.
type Settings struct {
	Wait               time.Duration // how long the catalogue may hold a request until something changes
	ResponseTimeout    time.Duration // how much later than that its response may come
	MaxResponseTimeout time.Duration // the same after requests that timed out
	ConfirmInterval    time.Duration // Wait while a list awaits confirmation; the interval if responses have no index
	MinInterval        time.Duration // between two requests that succeed
	MaxBusyShare       float64       // of the time that reading may take, 0 to 1
	MinBackoff         time.Duration // after a first round of failures
	MaxBackoff         time.Duration // after many
	DeniedBackoff      time.Duration // after a request that was denied
}

// Defaults returns the settings that are in force if nothing else is configured.
func Defaults() Settings {
	return Settings{
		Wait:               5 * time.Second, // short: a connection into a partition is noticed only after it
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

// Check returns an error that names the first setting out of range, by its key in the operators' settings.
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
			return fmt.Errorf("%s: %v is not more than 0", duration.key, duration.value)
		}
	}
	switch {
	case s.MaxResponseTimeout < s.ResponseTimeout:
		return fmt.Errorf("max_slack: %v is less than slack (%v)", s.MaxResponseTimeout, s.ResponseTimeout)
	case s.MaxBackoff < s.MinBackoff:
		return fmt.Errorf("max_pause: %v is less than min_pause (%v)", s.MaxBackoff, s.MinBackoff)
	case !(s.MaxBusyShare > 0 && s.MaxBusyShare <= 1):
		return fmt.Errorf("max_share: %v is not between 0 and 1", s.MaxBusyShare)
	}
	return nil
}
