package discovery

import (
	"errors"
	"fmt"
	"time"
)

// Settings are the bounds of the decisions. [Defaults] gives each with its reason.
type Settings struct {
	MaxStaleness time.Duration // a follower that last heard of its leader longer ago is not trusted
	MaxEjected   float64       // share of the engines that health alone may take out, 0 to 1
	MaxLoss      float64       // share of the engines whose deregistration is a command, 0 to 1
	LossWindow   time.Duration // losses within this time count together
	ConfirmReads int           // trusted reads that confirm a doubted list, the first included
	ConfirmAfter time.Duration // ... over at least this time
	MaxSuspicion time.Duration // a doubted list is obeyed after this time without confirmation
	ResetAfter   time.Duration // an older index told for so long, and nothing newer, is a new epoch
	Penalty      float64       // for each turn from passing to failing
	HalfLife     time.Duration // of the penalty
	Suppress     float64       // an engine of this penalty stays out also while it passes ...
	Reuse        float64       // ... until its penalty has decayed to this
	MaxSuppress  time.Duration // no engine is out longer than this after its last failure
	Linger       time.Duration // from a deregistration until the engine counts as gone
}

// Defaults are the bounds in force where nothing else is set.
func Defaults() Settings {
	return Settings{
		// Followers hear of their leader every 50 to 200 ms; one that has not for 2 s is cut off.
		MaxStaleness: 2 * time.Second,
		// A quarter: with eight engines two may fail by health alone, and the rest can carry an ordinary day.
		MaxEjected: 0.25,
		// A quarter within 10 s: a rolling restart touches one or two of eight at a time.
		MaxLoss: 0.25, LossWindow: 10 * time.Second,
		// Three reads over 10 s: a leader election or a restart of the catalogue is over by then.
		ConfirmReads: 3, ConfirmAfter: 10 * time.Second,
		// Where nobody confirms, waiting on costs little: sends to engines that are gone are refused at once.
		MaxSuspicion: 60 * time.Second,
		// Longer than a lagging follower is served by, shorter than an operator's patience after a restore.
		ResetAfter: 10 * time.Second,
		// Two failures within a half-life are forgiven, a third is flapping; it is over after some 30 s of calm.
		Penalty: 1, HalfLife: 15 * time.Second, Suppress: 2.5, Reuse: 0.75, MaxSuppress: 60 * time.Second,
		// Longer than any query may take (25 s here).
		Linger: 30 * time.Second,
	}
}

// Check names the first bound that can't be used.
func (s Settings) Check() error {
	share := func(name string, v float64) error {
		if !(v >= 0 && v <= 1) {
			return fmt.Errorf("%s: %v is not between 0 and 1", name, v)
		}
		return nil
	}
	positive := func(name string, v time.Duration) error {
		if v <= 0 {
			return fmt.Errorf("%s: %v is not more than 0", name, v)
		}
		return nil
	}
	for _, err := range []error{
		share("max_out", s.MaxEjected), share("max_loss", s.MaxLoss), positive("max_lag", s.MaxStaleness),
		positive("loss_window", s.LossWindow), positive("confirm_after", s.ConfirmAfter),
		positive("doubt_for", s.MaxSuspicion), positive("reset_after", s.ResetAfter),
		positive("half_life", s.HalfLife), positive("max_suppress", s.MaxSuppress), positive("linger", s.Linger),
	} {
		if err != nil {
			return err
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
