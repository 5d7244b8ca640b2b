package execution

import (
	"errors"
	"fmt"
	"time"
)

// Settings are the limits of the registers. [Defaults] returns usable values.
type Settings struct {
	Replicas          int           // of each register
	MaxRecords        int           // at one replica
	MaxBytes          int           // at one replica
	MaxResultBytes    int           // of a stored result; a larger result is omitted
	Retention         time.Duration // of a final outcome, from its last write
	EngineAbandonTime time.Duration // from the end of a front end process until no engine executes an attempt of it
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Replicas:          3,
		MaxRecords:        20_000,
		MaxBytes:          64 << 20,
		MaxResultBytes:    4 << 10,
		Retention:         5 * time.Minute,
		EngineAbandonTime: 2500 * time.Millisecond,
	}
}

// maxReplicas is the largest replica set.
const maxReplicas = 7

// Check returns an error that names the first setting out of range.
func (s Settings) Check() error {
	switch {
	case s.Replicas < 1 || s.Replicas%2 == 0 || s.Replicas > maxReplicas:
		return fmt.Errorf("execution: replicas: found %d, must be 1, 3, 5 or %d", s.Replicas, maxReplicas)
	case s.MaxRecords < 1 || s.MaxBytes < 1 || s.MaxResultBytes < 0:
		return errors.New("execution: max_records and max_bytes must be at least 1, max_result_bytes at least 0")
	case s.Retention <= 0 || s.EngineAbandonTime <= 0:
		return errors.New("execution: retention and engine_abandon_time must be more than 0")
	}
	return nil
}

// Limits are the limits of one [Execution]. [DefaultLimits] returns usable values.
type Limits struct {
	MaxWait        time.Duration // from Begin until the attempt is sent or a final decision is made
	ResendInterval time.Duration // of an unanswered message
	MaxPrepares    int           // for a retried request, each under a ballot above the last one that fenced
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxWait:        300 * time.Millisecond,
		ResendInterval: 40 * time.Millisecond,
		MaxPrepares:    4,
	}
}

// Check returns an error that names the first limit out of range.
func (l Limits) Check() error {
	switch {
	case l.ResendInterval <= 0:
		return fmt.Errorf("execution: resend_interval: found %v, must be more than 0", l.ResendInterval)
	case l.MaxWait < l.ResendInterval:
		return fmt.Errorf("execution: max_wait: found %v, must be at least resend_interval (%v)",
			l.MaxWait, l.ResendInterval)
	case l.MaxPrepares < 1:
		return fmt.Errorf("execution: max_prepares: found %d, must be at least 1", l.MaxPrepares)
	}
	return nil
}
