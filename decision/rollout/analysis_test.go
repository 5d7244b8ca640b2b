package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	windowLength    = 10 * time.Second
	zoneRequests    = 2000  // in a window
	baseFailureRate = 0.005 // of either revision
	burstRate       = 0.1   // of either revision, in a window with a failing engine
	slowRate        = 0.02  // of served requests
)

// waveTraffic is the new revision's share of a zone's requests, by wave.
var waveTraffic = []float64{0.05, 0.3, 0.6}

// zoneWindow draws the counts of a zone in a window. The new revision fails at factor times the rate of the previous
// one. A burst raises the rates of both.
func zoneWindow(rng *rand.Rand, zone string, wave int, factor float64) ZoneCounts {
	drawn := ZoneCounts{Zone: zone}
	rate := baseFailureRate
	if rng.IntN(10) == 0 {
		rate = burstRate
	}
	for range zoneRequests {
		counts, failureRate := &drawn.Old, rate
		if rng.Float64() < waveTraffic[min(wave, len(waveTraffic)-1)] {
			counts, failureRate = &drawn.New, rate*factor
		}
		counts.Requests++
		if rng.Float64() < failureRate {
			counts.Failed++
		} else if rng.Float64() < slowRate {
			counts.Slow++
		}
	}
	return drawn
}

// playRelease plays a release for at most the given number of windows and returns the number of windows until the
// release was halted, or 0 if the release was not halted. The factor of a window is the failure rate of the new
// revision over that of the previous one.
func playRelease(rng *rand.Rand, f *testFleet, factor func(window int) float64, windows int) int {
	for window := range windows {
		release := f.machine.Release
		health := &Health{Release: release.Number, Window: uint64(window + 1)}
		for _, zone := range testZones {
			health.Zones = append(health.Zones, zoneWindow(rng, zone, release.Wave, factor(window)))
		}
		f.now += windowLength
		f.apply(Command{Health: health})
		if state := f.machine.Release.State; state == Halting || state == Halted {
			return window + 1
		}
		if f.restartAll(); f.machine.Release.State == Done {
			return 0
		}
	}
	return 0
}

// newReleasingFleet returns a fleet with a release that has restarted the first member.
func newReleasingFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(t, 12, func(s *Settings) { s.FrontEnds, s.Analyzer.MinRequests = Budget{Max: 6}, 200 })
	f.apply(Command{StartRelease: &StartRelease{
		Revision: "new", Waves: []float64{0.05, 0.4, 1}, Soak: 60 * time.Second,
	}})
	f.restartAll()
	return f
}

// Invariant 11, over releases of at most 30 windows.
func TestFalseHaltsAreRare(t *testing.T) {
	releases := 1000
	if raceDetector {
		releases = 60
	}
	rng := rand.New(rand.NewPCG(11, 1))
	halts := 0
	for range releases {
		f := newReleasingFleet(t)
		if playRelease(rng, f, func(int) float64 { return 1 }, 30) > 0 {
			halts++
			t.Log(f.machine.Release.HaltCause)
		}
	}
	t.Logf("%d of %d healthy releases were halted", halts, releases)
	assert.LessOrEqual(t, float64(halts), Defaults().Analyzer.Alpha*float64(releases))
}

func TestBadRevisionIsHaltedAtTheCanary(t *testing.T) {
	failsLate := func(window int) float64 {
		if window < 3 {
			return 1
		}
		return 40
	}
	for name, c := range map[string]struct {
		factor     func(int) float64
		maxWindows int // until the halt
	}{
		"one query in five fails":         {func(int) float64 { return 40 }, 2},
		"fails from the fourth window on": {failsLate, 6},
		"fails four times as often":       {func(int) float64 { return 4 }, 40},
	} {
		t.Run(name, func(t *testing.T) {
			worst := 0
			for seed := range uint64(20) {
				f := newReleasingFleet(t)
				at := playRelease(rand.New(rand.NewPCG(seed, 5)), f, c.factor, 60)
				require.Positive(t, at, "seed %d: not halted", seed)
				worst = max(worst, at)
				if c.maxWindows < 10 {
					assert.LessOrEqual(t, f.revisions()["new"], 1, "seed %d: only the canary may run the new revision", seed)
				}
				assert.Contains(t, f.machine.Release.HaltCause, "failures on new")
			}
			t.Logf("every release halted within %d windows", worst)
			assert.LessOrEqual(t, worst, c.maxWindows)
		})
	}
}
