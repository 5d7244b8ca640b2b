package admission

import (
	"fmt"
	"testing"
)

func TestHealthChecksFindAHungEngine(t *testing.T) {
	s := baseSettings()
	s.LoadReporting, s.HealthChecksAllowed = HealthCheckReports, true
	b := startController(t, s, newEngines(4))
	for range 2 {
		b.step(HealthCheckResult{Engine: 1, Status: TimedOut})
	}
	if !b.controller.enginesByID[1].ejected {
		t.Fatal("not ejected after two misses")
	}
	for i := range 30 {
		for _, s := range actionsOf[Send](b.step(newRequest(fmt.Sprint("a", i), 0))) {
			if s.Engine == 1 {
				t.Fatal("sent to the hung engine")
			}
		}
	}
	if b.step(HealthCheckResult{Engine: 1, Status: OK}); b.controller.enginesByID[1].ejected {
		t.Fatal("not in use again after a good health check")
	}
}

// TestHealthChecksFollowRequests: health checks are paced by own requests, and cease without them.
func TestHealthChecksFollowRequests(t *testing.T) {
	free := healthChecksFor(t, 400, 0)
	if free == 0 || float64(free) > 400*maxHealthChecksPerRequest+4 {
		t.Fatalf("%d health checks for 400 requests", free)
	}
	// A health check for each request at 0.1 of all service costs more than half of what the health checks told
	// (docs/fleet.md).
	if dear := healthChecksFor(t, 400, 0.1); dear == 0 || float64(dear) > 400*healthCheckCostPerRequest/0.1+4 ||
		dear > free*2/3 {
		t.Fatalf("%d health checks for 400 requests where they are dear, %d where they are free", dear, free)
	}
	if cheap := healthChecksFor(t, 400, 0.01); cheap != free {
		t.Fatalf("%d health checks for 400 requests where they are cheap, %d where they are free", cheap, free)
	}
}

func healthChecksFor(t *testing.T, requests int, price float64) (checks int) {
	t.Helper()
	s := baseSettings()
	s.LoadReporting, s.HealthChecksAllowed, s.Replicas, s.HealthCheckCost = HealthCheckReports, true, 30, price
	b := startController(t, s, newEngines(40))
	for i := range requests {
		acts := b.step(newRequest(fmt.Sprint("q", i), 0))
		for _, snd := range actionsOf[Send](acts) {
			b.step(outcomeOf(snd, 0, OK))
		}
		checks += len(actionsOf[HealthCheck](append(acts, b.advance(200*ms)...)))
	}
	if n := len(actionsOf[HealthCheck](b.advance(20 * sec))); n > healthCheckBurst {
		t.Fatalf("%d health checks without a request", n)
	}
	return checks
}

// A cut zone is known soon only if front ends ask different engines: where each asks the few that were heard of
// least lately, and hears the others' messages, all ask the same few at a time.
func TestFrontEndsCheckDifferentEngines(t *testing.T) {
	const frontEnds, fleet = 30, 60
	s := baseSettings()
	s.LoadReporting, s.HealthChecksAllowed, s.GossipAllowed, s.Replicas = HealthCheckReports, true, true, frontEnds
	asked := map[uint32]bool{}
	checks := 0
	for g := range frontEnds {
		s.Me = g
		c, err := New(s, uint64(g))
		if err != nil {
			t.Fatal(err)
		}
		b := &harness{t: t, controller: c, now: 100 * sec}
		b.step(EndpointsChanged{Kind: Persisted, Engines: newEngines(fleet)})
		for i := 0; len(b.controller.requests) < 60; i++ {
			acts := actionsOf[HealthCheck](append(b.step(newRequest(fmt.Sprint("q", i), 0)), b.advance(housekeepingInterval)...))
			for _, p := range acts {
				asked[p.Engine] = true
			}
			if checks += len(acts); len(acts) > 0 {
				break
			}
		}
	}
	if checks != frontEnds*healthCheckBurst || len(asked) < fleet*2/3 {
		t.Fatalf("%d health checks of %d front ends reached %d of %d engines", checks, frontEnds, len(asked), fleet)
	}
}
