package rollout

import (
	"fmt"
	"time"
)

// Budget bounds how many may be out at once. A bound of 0 is not set; where a count and a share are both set, the lower
// one holds. A share allows one at the least.
type Budget struct {
	Max          int     `json:"most"`
	MaxShare     float64 `json:"share"`
	ZoneMax      int     `json:"room_most"`
	ZoneMaxShare float64 `json:"room_share"`
	KindMax      int     `json:"kind_most"`
	KindMaxShare float64 `json:"kind_share"`
	Headroom     float64 `json:"headroom"` // of the load, that must be left after one more loss
}

// Analyzer says how a release is judged.
type Analyzer struct {
	Alpha       float64 `json:"alpha"`      // the chance that a healthy release is halted
	Tolerance   float64 `json:"tolerance"`  // times the old revision's failures that are borne
	MinRequests int64   `json:"least"`      // requests on the new revision before a wave may end
	Dispersion  float64 `json:"dispersion"` // failures that come together count as one
}

// Settings are what the fleet has agreed on. [Defaults] gives each with its reason.
type Settings struct {
	FrontEnds             Budget        `json:"front_ends"`
	Engines               Budget        `json:"engines"`
	Rollback              Budget        `json:"way_back"` // front ends, while a release is taken back
	Analyzer              Analyzer      `json:"judge"`
	ReturnTimeout         time.Duration `json:"not_back"`     // a member that went out for a release and is not back by then halts it
	CrashLoop             int           `json:"crash_loop"`   // processes of one member that end unannounced ...
	CrashWindow           time.Duration `json:"crash_window"` // ... within this halt the release that it serves on
	AbandonedQueryTimeout time.Duration `json:"protocol"`     // after which an engine has given up the queries of a process that is over
	KeepResults           int           `json:"keep_ids"`
	KeepAudit             int           `json:"keep_audit"`
	KeepRemoved           int           `json:"keep_gone"`
}

// Defaults are the settings of a fleet that has said nothing else.
func Defaults() Settings {
	return Settings{
		// One in ten may be out, and one room never loses more than one in five: what is left bears the loss of one more.
		FrontEnds: Budget{MaxShare: 0.1, ZoneMaxShare: 0.2, Headroom: 0.1},
		// Engines are few, and what one holds warm is cold on the next.
		Engines: Budget{Max: 1, ZoneMax: 1, Headroom: 0.1},
		// A bad revision costs more than a hasty return.
		Rollback:      Budget{MaxShare: 0.25, ZoneMaxShare: 0.34},
		Analyzer:      Analyzer{Alpha: 0.01, Tolerance: 1.25, MinRequests: 200, Dispersion: 2},
		ReturnTimeout: 60 * time.Second, CrashLoop: 3, CrashWindow: 2 * time.Minute,
		// An engine gives up what nobody asks for after 2 s; clocks and calls on their way have the rest.
		AbandonedQueryTimeout: 2500 * time.Millisecond,
		KeepResults:           2000, KeepAudit: 1000, KeepRemoved: 2000,
	}
}

// auditText spells the settings as audit entries store them. The names in it are those of the stored form.
func (s *Settings) auditText() string {
	return fmt.Sprintf("{FrontEnds:%s Engines:%s WayBack:%s Judge:{Alpha:%v Tolerance:%v Least:%d Dispersion:%v} "+
		"NotBack:%v CrashLoop:%d CrashWindow:%v Protocol:%v KeepIDs:%d KeepAudit:%d KeepGone:%d}",
		s.FrontEnds.auditText(), s.Engines.auditText(), s.Rollback.auditText(),
		s.Analyzer.Alpha, s.Analyzer.Tolerance, s.Analyzer.MinRequests, s.Analyzer.Dispersion,
		s.ReturnTimeout, s.CrashLoop, s.CrashWindow, s.AbandonedQueryTimeout, s.KeepResults, s.KeepAudit, s.KeepRemoved)
}

func (b Budget) auditText() string {
	return fmt.Sprintf("{Most:%d Share:%v RoomMost:%d RoomShare:%v KindMost:%d KindShare:%v Headroom:%v}",
		b.Max, b.MaxShare, b.ZoneMax, b.ZoneMaxShare, b.KindMax, b.KindMaxShare, b.Headroom)
}

// Check names the first setting that can't be used.
func (s *Settings) Check() error {
	for _, b := range []struct {
		name string
		b    Budget
	}{{"front_ends", s.FrontEnds}, {"engines", s.Engines}, {"way_back", s.Rollback}} {
		if b.b.Max <= 0 && b.b.MaxShare <= 0 {
			return fmt.Errorf("rollout: %s: most or share is needed, or nothing bounds who is out", b.name)
		}
		for _, v := range []struct {
			name string
			v    float64
		}{{"share", b.b.MaxShare}, {"room_share", b.b.ZoneMaxShare}, {"kind_share", b.b.KindMaxShare}} {
			if !(v.v >= 0 && v.v <= 1) {
				return fmt.Errorf("rollout: %s.%s: found %v, allowed is 0 to 1", b.name, v.name, v.v)
			}
		}
		if b.b.Max < 0 || b.b.ZoneMax < 0 || b.b.KindMax < 0 || !(b.b.Headroom >= 0) {
			return fmt.Errorf("rollout: %s: counts and headroom must not be negative", b.name)
		}
	}
	switch j := s.Analyzer; {
	case !(j.Alpha > 0 && j.Alpha < 1):
		return fmt.Errorf("rollout: judge.alpha: found %v, allowed is between 0 and 1", j.Alpha)
	case !(j.Tolerance >= 1 && j.Tolerance <= 100):
		return fmt.Errorf("rollout: judge.tolerance: found %v, allowed is 1 to 100", j.Tolerance)
	case !(j.Dispersion >= 1 && j.Dispersion <= 1000):
		return fmt.Errorf("rollout: judge.dispersion: found %v, allowed is 1 to 1000", j.Dispersion)
	case j.MinRequests < 0:
		return fmt.Errorf("rollout: judge.least: found %d, allowed is 0 or more", j.MinRequests)
	case s.ReturnTimeout <= 0 || s.CrashWindow <= 0 || s.AbandonedQueryTimeout <= 0:
		return fmt.Errorf("rollout: not_back, crash_window and protocol must be more than 0")
	case s.CrashLoop < 1 || s.KeepResults < 1 || s.KeepAudit < 1 || s.KeepRemoved < 1:
		return fmt.Errorf("rollout: crash_loop, keep_ids, keep_audit and keep_gone must be at least 1")
	}
	return nil
}
