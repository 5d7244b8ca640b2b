package discovery

import (
	"errors"
	"fmt"
	"time"
)

// Settings configures an [EndpointSet]. [Defaults] returns usable values.
type Settings struct {
	MaxStaleness time.Duration // a follower that last heard from its leader longer ago is not trusted
	MaxEjected   float64       // share of the endpoints that evidence alone may eject, 0 to 1
	MaxLoss      float64       // share of the endpoints that may be deregistered without suspicion, 0 to 1
	LossWindow   time.Duration // deregistrations within this time are added up for MaxLoss
	ConfirmReads int           // trusted reads that confirm a suspect list, including the first
	ConfirmAfter time.Duration // minimum time over which these reads are made
	MaxSuspicion time.Duration // a suspect list is obeyed after this time without confirmation
	ResetAfter   time.Duration // a new epoch begins after only earlier indexes are reported for this time
	Penalty      float64       // added with each change from passing to failing
	HalfLife     time.Duration // of the penalty
	Suppress     float64       // penalty from which an endpoint stays ejected even if it passes
	Reuse        float64       // penalty at which the suppression ends
	MaxSuppress  time.Duration // maximum duration of a suppression after the last failure
	Linger       time.Duration // from the deregistration of an endpoint until its removal
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		MaxStaleness: 2 * time.Second,
		MaxEjected:   0.25,
		MaxLoss:      0.25,
		LossWindow:   10 * time.Second,
		ConfirmReads: 3,
		ConfirmAfter: 10 * time.Second, // longer than a leader election or a restart of the catalogue
		MaxSuspicion: 60 * time.Second,
		ResetAfter:   10 * time.Second,
		Penalty:      1,
		HalfLife:     15 * time.Second,
		Suppress:     2.5, // the third failure within a half-life
		Reuse:        0.75,
		MaxSuppress:  60 * time.Second,
		Linger:       30 * time.Second, // longer than the longest query
	}
}

// Check returns an error for the first setting that is out of range. The error names the key in the operators'
// settings.
func (s Settings) Check() error {
	for _, share := range []struct {
		key   string
		value float64
	}{
		{"max_out", s.MaxEjected},
		{"max_loss", s.MaxLoss},
	} {
		if !(share.value >= 0 && share.value <= 1) {
			return fmt.Errorf("%s: found %v, must be from 0 to 1", share.key, share.value)
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
			return fmt.Errorf("%s: found %v, must be greater than 0", duration.key, duration.value)
		}
	}
	switch {
	case s.ConfirmReads < 1:
		return fmt.Errorf("confirm_reads: found %d, must be at least 1", s.ConfirmReads)
	case s.MaxSuspicion < s.ConfirmAfter:
		return fmt.Errorf("doubt_for: found %v, must be at least confirm_after (%v)", s.MaxSuspicion, s.ConfirmAfter)
	case !(s.Penalty > 0):
		return fmt.Errorf("penalty: found %v, must be greater than 0", s.Penalty)
	case !(s.Reuse > 0):
		return fmt.Errorf("reuse: found %v, must be greater than 0", s.Reuse)
	case !(s.Suppress > s.Reuse):
		return errors.New("suppress: it is not more than reuse")
	}
	return nil
}
