package rollout

import (
	"errors"
	"fmt"
	"time"
)

// Budget bounds how many front ends or engines may be unavailable at once. A bound of 0 is not set; where a count and a
// share are both set, the lower one holds. A share allows at least one.
type Budget struct {
	Max          int     `json:"most"`
	MaxShare     float64 `json:"share"`
	ZoneMax      int     `json:"room_most"`
	ZoneMaxShare float64 `json:"room_share"`
	KindMax      int     `json:"kind_most"`
	KindMaxShare float64 `json:"kind_share"`
	Headroom     float64 `json:"headroom"` // spare capacity after one more loss, as a share of the load
}

// Analyzer holds the parameters by which a release is compared with the previous revision.
type Analyzer struct {
	Alpha       float64 `json:"alpha"`      // the probability that a healthy release is halted
	Tolerance   float64 `json:"tolerance"`  // acceptable failure rate, as a multiple of the previous revision's
	MinRequests int64   `json:"least"`      // requests on the new revision before a wave may end
	Dispersion  float64 `json:"dispersion"` // size of a burst of failures that counts as one failure
}

// Settings are the parameters of the state machine, and part of its replicated state. [Defaults] has the values of a
// fleet that has not configured any.
type Settings struct {
	FrontEnds Budget   `json:"front_ends"`
	Engines   Budget   `json:"engines"`
	Rollback  Budget   `json:"way_back"` // of front ends, in place of FrontEnds during a rollback
	Analyzer  Analyzer `json:"judge"`
	// ReturnTimeout is how long a member that shut down for a release may stay away before the release is halted.
	ReturnTimeout time.Duration `json:"not_back"`
	// CrashLoop is how many unannounced ends of one member's processes within CrashWindow halt a release.
	CrashLoop   int           `json:"crash_loop"`
	CrashWindow time.Duration `json:"crash_window"`
	// AbandonedQueryTimeout is how long after the end of a front end's process its queries may still run on engines.
	AbandonedQueryTimeout time.Duration `json:"protocol"`
	KeepResults           int           `json:"keep_ids"`   // commands whose results are kept for repeats
	KeepAudit             int           `json:"keep_audit"` // audit entries
	KeepRemoved           int           `json:"keep_gone"`  // members that were removed
}

// Defaults returns the settings of a fleet that has not configured any.
func Defaults() Settings {
	return Settings{
		FrontEnds: Budget{MaxShare: 0.1, ZoneMaxShare: 0.2, Headroom: 0.1},
		// Engines are few, and the cache of an unavailable engine is lost to the others.
		Engines: Budget{Max: 1, ZoneMax: 1, Headroom: 0.1},
		// A bad revision does more harm than a fast rollback, so that the rollback has a wider budget.
		Rollback:      Budget{MaxShare: 0.25, ZoneMaxShare: 0.34},
		Analyzer:      Analyzer{Alpha: 0.01, Tolerance: 1.25, MinRequests: 200, Dispersion: 2},
		ReturnTimeout: 60 * time.Second,
		CrashLoop:     3,
		CrashWindow:   2 * time.Minute,
		// An engine abandons a query after 2 s without a poll; the rest allows for clock differences and calls in flight.
		AbandonedQueryTimeout: 2500 * time.Millisecond,
		KeepResults:           2000,
		KeepAudit:             1000,
		KeepRemoved:           2000,
	}
}

// auditText formats the settings for audit entries, under their stored names.
func (s *Settings) auditText() string {
	return fmt.Sprintf("{FrontEnds:%s Engines:%s WayBack:%s Judge:{Alpha:%v Tolerance:%v Least:%d Dispersion:%v} "+
		"NotBack:%v CrashLoop:%d CrashWindow:%v Protocol:%v KeepIDs:%d KeepAudit:%d KeepGone:%d}",
		s.FrontEnds.auditText(), s.Engines.auditText(), s.Rollback.auditText(),
		s.Analyzer.Alpha, s.Analyzer.Tolerance, s.Analyzer.MinRequests, s.Analyzer.Dispersion,
		s.ReturnTimeout, s.CrashLoop, s.CrashWindow, s.AbandonedQueryTimeout,
		s.KeepResults, s.KeepAudit, s.KeepRemoved)
}

func (b Budget) auditText() string {
	return fmt.Sprintf("{Most:%d Share:%v RoomMost:%d RoomShare:%v KindMost:%d KindShare:%v Headroom:%v}",
		b.Max, b.MaxShare, b.ZoneMax, b.ZoneMaxShare, b.KindMax, b.KindMaxShare, b.Headroom)
}

// Check returns an error that names the first setting that can't be used, by its stored name.
func (s *Settings) Check() error {
	for _, named := range []struct {
		name   string
		budget Budget
	}{{"front_ends", s.FrontEnds}, {"engines", s.Engines}, {"way_back", s.Rollback}} {
		if err := named.budget.check(named.name); err != nil {
			return err
		}
	}
	if err := s.Analyzer.check(); err != nil {
		return err
	}
	switch {
	case s.ReturnTimeout <= 0 || s.CrashWindow <= 0 || s.AbandonedQueryTimeout <= 0:
		return errors.New("rollout: not_back, crash_window and protocol must be more than 0")
	case s.CrashLoop < 1 || s.KeepResults < 1 || s.KeepAudit < 1 || s.KeepRemoved < 1:
		return errors.New("rollout: crash_loop, keep_ids, keep_audit and keep_gone must be at least 1")
	}
	return nil
}

// check returns an error where the budget of that name can't be used. The negated comparisons reject NaN, too.
func (b Budget) check(name string) error {
	if b.Max <= 0 && b.MaxShare <= 0 {
		return fmt.Errorf("rollout: %s: most or share is needed, or nothing bounds who is out", name)
	}
	for _, share := range []struct {
		name  string
		value float64
	}{{"share", b.MaxShare}, {"room_share", b.ZoneMaxShare}, {"kind_share", b.KindMaxShare}} {
		if !(share.value >= 0 && share.value <= 1) {
			return fmt.Errorf("rollout: %s.%s: found %v, allowed is 0 to 1", name, share.name, share.value)
		}
	}
	if b.Max < 0 || b.ZoneMax < 0 || b.KindMax < 0 || !(b.Headroom >= 0) {
		return fmt.Errorf("rollout: %s: counts and headroom must not be negative", name)
	}
	return nil
}

func (a Analyzer) check() error {
	switch {
	case !(a.Alpha > 0 && a.Alpha < 1):
		return fmt.Errorf("rollout: judge.alpha: found %v, allowed is between 0 and 1", a.Alpha)
	case !(a.Tolerance >= 1 && a.Tolerance <= 100):
		return fmt.Errorf("rollout: judge.tolerance: found %v, allowed is 1 to 100", a.Tolerance)
	case !(a.Dispersion >= 1 && a.Dispersion <= 1000):
		return fmt.Errorf("rollout: judge.dispersion: found %v, allowed is 1 to 1000", a.Dispersion)
	case a.MinRequests < 0:
		return fmt.Errorf("rollout: judge.least: found %d, allowed is 0 or more", a.MinRequests)
	}
	return nil
}
