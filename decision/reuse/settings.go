package reuse

import (
	"errors"
	"fmt"
	"time"
)

// Settings configures a [Policy]. [Defaults] returns usable values.
type Settings struct {
	Disabled                  bool          // no connection is kept
	QuietPeriod               time.Duration // without a byte after the last response
	ProofConnections          int           // consecutive quiet connections that permit reuse
	ProofConnectionsPerEngine int           // consecutive quiet connections to one process of an engine
	DistrustPeriod            time.Duration // after malformed or surplus data
	MaxDistrustPeriod         time.Duration // upper bound of the doubled distrust period
	FaultMemory               time.Duration // a further fault within this time doubles the distrust period
	MaxQueries                int           // of one connection
	MaxIdleTime               time.Duration // of one connection
	MaxEngineSilence          time.Duration // since the last sign of life from the engine
	MaxIdlePerEngine          int           // kept connections to one engine
	MaxIdleTotal              int           // kept connections to all engines
	ConfirmResponses          bool          // reuse untrusted connections if the response is confirmed (invariant 7)
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		QuietPeriod:               20 * time.Millisecond, // many round trips within a site
		ProofConnections:          12,
		ProofConnectionsPerEngine: 1,
		DistrustPeriod:            time.Minute,
		MaxDistrustPeriod:         time.Hour,
		FaultMemory:               2 * time.Hour,
		MaxQueries:                1000,
		MaxIdleTime:               3 * time.Second, // far below the idle timeouts of engines and network devices
		MaxEngineSilence:          2 * time.Second,
		MaxIdlePerEngine:          16,
		MaxIdleTotal:              64,
		ConfirmResponses:          true,
	}
}

// Check returns an error that names the first setting that is out of range.
func (s Settings) Check() error {
	switch {
	case s.QuietPeriod <= 0:
		return fmt.Errorf("quiet_period: found %v, must be greater than 0", s.QuietPeriod)
	case s.ProofConnections < 1:
		return fmt.Errorf("proof_connections: found %d, must be at least 1", s.ProofConnections)
	case s.ProofConnectionsPerEngine < 0 || s.ProofConnectionsPerEngine > s.ProofConnections:
		return fmt.Errorf("proof_connections_per_engine: found %d, must be from 0 to proof_connections (%d)",
			s.ProofConnectionsPerEngine, s.ProofConnections)
	case s.DistrustPeriod <= 0:
		return fmt.Errorf("distrust_period: found %v, must be greater than 0", s.DistrustPeriod)
	case s.MaxDistrustPeriod < s.DistrustPeriod:
		return fmt.Errorf("max_distrust_period: found %v, must be at least distrust_period (%v)",
			s.MaxDistrustPeriod, s.DistrustPeriod)
	case s.FaultMemory <= 0:
		return fmt.Errorf("fault_memory: found %v, must be greater than 0", s.FaultMemory)
	case s.MaxQueries < 1:
		return fmt.Errorf("max_queries: found %d, must be at least 1", s.MaxQueries)
	case s.MaxIdleTime <= s.QuietPeriod:
		return fmt.Errorf("max_idle_time: found %v, must be greater than quiet_period (%v)", s.MaxIdleTime, s.QuietPeriod)
	case s.MaxEngineSilence <= 0:
		return fmt.Errorf("max_engine_silence: found %v, must be greater than 0", s.MaxEngineSilence)
	case s.MaxIdlePerEngine < 0 || s.MaxIdleTotal < 0:
		return errors.New("max_idle_per_engine: found a negative number, must be at least 0")
	}
	return nil
}
