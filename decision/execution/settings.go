package execution

import (
	"errors"
	"fmt"
	"time"
)

// Settings bound the registers. [Defaults] has usable values.
type Settings struct {
	Replicas          int           // of each register
	MaxRecords        int           // at one replica
	MaxBytes          int           // at one replica
	MaxResultBytes    int           // of a result that is kept; a larger one is omitted
	Retention         time.Duration // of a final outcome, from its last write
	EngineAbandonTime time.Duration // from the end of a process until no engine executes anything that it has sent
}

// Defaults returns the settings that are in force if nothing else is configured.
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
		return fmt.Errorf("execution: replicas: found %d, allowed is 1, 3, 5 or %d", s.Replicas, maxReplicas)
	case s.MaxRecords < 1 || s.MaxBytes < 1 || s.MaxResultBytes < 0:
		return errors.New("execution: max_records and max_bytes must be at least 1, max_result_bytes at least 0")
	case s.Retention <= 0 || s.EngineAbandonTime <= 0:
		return errors.New("execution: retention and engine_abandon_time must be more than 0")
	}
	return nil
}

// Limits bound one [Execution]. [DefaultLimits] has usable values.
type Limits struct {
	MaxWait        time.Duration // until the attempt is sent, or until the client is told that it is not
	ResendInterval time.Duration // of messages that were not answered
	MaxPrepares    int           // for a retried request, each with a ballot above the one that fenced the last
}

// DefaultLimits returns the limits that are in force if nothing else is configured.
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
		return fmt.Errorf("execution: resend_interval: found %v, allowed is more than 0", l.ResendInterval)
	case l.MaxWait < l.ResendInterval:
		return fmt.Errorf("execution: max_wait: found %v, allowed is resend_interval (%v) or more",
			l.MaxWait, l.ResendInterval)
	case l.MaxPrepares < 1:
		return fmt.Errorf("execution: max_prepares: found %d, allowed is 1 or more", l.MaxPrepares)
	}
	return nil
}
