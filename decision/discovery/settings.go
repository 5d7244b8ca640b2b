package discovery

import (
	"errors"
	"fmt"
	"time"
)

// Settings bound the decisions. [Defaults] has usable values.
type Settings struct {
	MaxStaleness time.Duration // a follower that last heard from its leader longer ago is not trusted
	MaxEjected   float64       // share of the endpoints that health alone may eject, 0 to 1
	MaxLoss      float64       // share of the endpoints whose deregistration is a command, 0 to 1
	LossWindow   time.Duration // losses within this time count together
	ConfirmReads int           // trusted reads that confirm a suspect list, the first included
	ConfirmAfter time.Duration // ... over at least this time
	MaxSuspicion time.Duration // a suspect list is obeyed after this time without confirmation
	ResetAfter   time.Duration // if only earlier indexes are reported for so long, they are a new epoch
	Penalty      float64       // of each change from passing to failing
	HalfLife     time.Duration // of the penalty
	Suppress     float64       // from this penalty an endpoint stays ejected even if it passes ...
	Reuse        float64       // ... until its penalty has decayed to this
	MaxSuppress  time.Duration // no endpoint is suppressed for longer after its last failure
	Linger       time.Duration // from a deregistration until the endpoint is removed
}

// Defaults returns the settings that are in force if nothing else is configured.
func Defaults() Settings {
	return Settings{
		MaxStaleness: 2 * time.Second,
		MaxEjected:   0.25,
		MaxLoss:      0.25,
		LossWindow:   10 * time.Second,
		ConfirmReads: 3,
		ConfirmAfter: 10 * time.Second, // a leader election or a restart of the catalogue is over by then
		MaxSuspicion: 60 * time.Second,
		ResetAfter:   10 * time.Second,
		Penalty:      1,
		HalfLife:     15 * time.Second,
		Suppress:     2.5, // the third failure within a half-life
		Reuse:        0.75,
		MaxSuppress:  60 * time.Second,
		Linger:       30 * time.Second, // longer than any query may take
	}
}

// Check returns an error that names the first setting out of range, by its key in the operators' settings.
func (s Settings) Check() error {
	for _, share := range []struct {
		key   string
		value float64
	}{
		{"max_out", s.MaxEjected},
		{"max_loss", s.MaxLoss},
	} {
		if !(share.value >= 0 && share.value <= 1) {
			return fmt.Errorf("%s: %v is not between 0 and 1", share.key, share.value)
		}
	}
	for _, duration := range []struct {
		key   string
		value time.Duration
	}{
		{"max_lag", s.MaxStaleness},
		{"loss_window", s.LossWindow},
		{"confirm_after", s.ConfirmAfter},
		{"doubt_for", s.MaxSuspicion},
		{"reset_after", s.ResetAfter},
		{"half_life", s.HalfLife},
		{"max_suppress", s.MaxSuppress},
		{"linger", s.Linger},
	} {
		if duration.value <= 0 {
			return fmt.Errorf("%s: %v is not more than 0", duration.key, duration.value)
		}
	}
	switch {
	case s.ConfirmReads < 1:
		return fmt.Errorf("confirm_reads: %d is not at least 1", s.ConfirmReads)
	case s.MaxSuspicion < s.ConfirmAfter:
		return fmt.Errorf("doubt_for: %v is less than confirm_after (%v)", s.MaxSuspicion, s.ConfirmAfter)
	case !(s.Penalty > 0):
		return fmt.Errorf("penalty: %v is not more than 0", s.Penalty)
	case !(s.Reuse > 0):
		return fmt.Errorf("reuse: %v is not more than 0", s.Reuse)
	case !(s.Suppress > s.Reuse):
		return errors.New("suppress: it is not more than reuse")
	}
	return nil
}
