package reuse

import (
	"errors"
	"fmt"
	"time"
)

// Settings bound the decisions. [Defaults] has usable values.
type Settings struct {
	Disabled                  bool          // no connection is kept
	QuietPeriod               time.Duration // without a byte after the last response
	ProofConnections          int           // in a row that stayed quiet
	ProofConnectionsPerEngine int           // of them to one process of an engine
	DistrustPeriod            time.Duration // after a malformed response
	MaxDistrustPeriod         time.Duration
	FaultMemory               time.Duration // malformed responses within this time double the distrust
	MaxQueries                int           // of one connection
	MaxIdleTime               time.Duration // of one connection
	MaxEngineSilence          time.Duration // since anything was heard from the engine
	MaxIdlePerEngine          int           // connections that are kept
	MaxIdleTotal              int           // connections that are kept
	ConfirmResponses          bool          // of connections that are not trusted
}

// Defaults returns the settings that are in force if nothing else is configured.
func Defaults() Settings {
	return Settings{
		QuietPeriod:               20 * time.Millisecond, // many round trips within a site
		ProofConnections:          12,
		ProofConnectionsPerEngine: 1,
		DistrustPeriod:            time.Minute,
		MaxDistrustPeriod:         time.Hour,
		FaultMemory:               2 * time.Hour,
		MaxQueries:                1000,
		MaxIdleTime:               3 * time.Second, // far under the idle timeouts of engines and of what stands between
		MaxEngineSilence:          2 * time.Second,
		MaxIdlePerEngine:          16,
		MaxIdleTotal:              64,
		ConfirmResponses:          true,
	}
}

// Check returns an error that names the first setting out of range.
func (s Settings) Check() error {
	switch {
	case s.QuietPeriod <= 0:
		return fmt.Errorf("quiet_period: %v is not more than 0", s.QuietPeriod)
	case s.ProofConnections < 1:
		return fmt.Errorf("proof_connections: %d is not at least 1", s.ProofConnections)
	case s.ProofConnectionsPerEngine < 0 || s.ProofConnectionsPerEngine > s.ProofConnections:
		return fmt.Errorf("proof_connections_per_engine: %d is not from 0 to proof_connections (%d)",
			s.ProofConnectionsPerEngine, s.ProofConnections)
	case s.DistrustPeriod <= 0:
		return fmt.Errorf("distrust_period: %v is not more than 0", s.DistrustPeriod)
	case s.MaxDistrustPeriod < s.DistrustPeriod:
		return fmt.Errorf("max_distrust_period: %v is less than distrust_period (%v)", s.MaxDistrustPeriod, s.DistrustPeriod)
	case s.FaultMemory <= 0:
		return fmt.Errorf("fault_memory: %v is not more than 0", s.FaultMemory)
	case s.MaxQueries < 1:
		return fmt.Errorf("max_queries: %d is not at least 1", s.MaxQueries)
	case s.MaxIdleTime <= s.QuietPeriod:
		return fmt.Errorf("max_idle_time: %v is not more than quiet_period (%v)", s.MaxIdleTime, s.QuietPeriod)
	case s.MaxEngineSilence <= 0:
		return fmt.Errorf("max_engine_silence: %v is not more than 0", s.MaxEngineSilence)
	case s.MaxIdlePerEngine < 0 || s.MaxIdleTotal < 0:
		return errors.New("max_idle_per_engine: it is negative")
	}
	return nil
}
