package admission

import (
	"fmt"
	"testing"
)

func TestEngineIsEjectedAfterFailedHealthChecks(t *testing.T) {
	s := baseSettings()
	s.LoadReporting, s.HealthChecksAllowed = HealthCheckReports, true
	h := startController(t, s, newEngines(4))
	for range 2 {
		h.step(HealthCheckResult{Engine: 1, Status: TimedOut})
	}
	if !h.controller.enginesByID[1].ejected {
		t.Fatal("engine 1 is not ejected after two failed health checks")
	}
	for i := range 30 {
		for _, s := range actionsOf[Send](h.step(newRequest(fmt.Sprint("a", i), 0))) {
			if s.Engine == 1 {
				t.Fatal("request sent to the ejected engine")
			}
		}
	}
	if h.step(HealthCheckResult{Engine: 1, Status: OK}); h.controller.enginesByID[1].ejected {
		t.Fatal("engine 1 is still ejected after a successful health check")
	}
}

// TestHealthChecksArePacedByRequests: a front end sends health checks in proportion to its own requests, and none
// beyond a last burst without requests.
func TestHealthChecksArePacedByRequests(t *testing.T) {
	free := countHealthChecks(t, 400, 0)
	if free == 0 || float64(free) > 400*maxHealthChecksPerRequest+4 {
		t.Fatalf("%d health checks for 400 requests, want at least 1 and no more than requests earn", free)
	}
	// At a cost of 0.1 of the service, a health check for each request costs more than half of what the reports gain
	// (docs/fleet.md).
	if costly := countHealthChecks(t, 400, 0.1); costly == 0 || float64(costly) > 400*healthCheckCostPerRequest/0.1+4 ||
		costly > free*2/3 {
		t.Fatalf("%d health checks for 400 requests where checks are costly, want at most 2/3 of the %d where they are free",
			costly, free)
	}
	if cheap := countHealthChecks(t, 400, 0.01); cheap != free {
		t.Fatalf("%d health checks for 400 requests where checks are cheap, want %d as where they are free", cheap, free)
	}
}

func countHealthChecks(t *testing.T, requests int, cost float64) (checks int) {
	t.Helper()
	s := baseSettings()
	s.LoadReporting, s.HealthChecksAllowed, s.Replicas, s.HealthCheckCost = HealthCheckReports, true, 30, cost
	h := startController(t, s, newEngines(40))
	for i := range requests {
		actions := h.step(newRequest(fmt.Sprint("q", i), 0))
		for _, send := range actionsOf[Send](actions) {
			h.step(outcomeOf(send, 0, OK))
		}
		checks += len(actionsOf[HealthCheck](append(actions, h.advance(200*ms)...)))
	}
	if withoutRequests := len(actionsOf[HealthCheck](h.advance(20 * sec))); withoutRequests > healthCheckBurst {
		t.Fatalf("%d health checks in 20 s without a request, want at most one burst", withoutRequests)
	}
	return checks
}

// TestFrontEndsCheckDifferentEngines: a zone that is cut off is detected soon only if front ends check different
// engines. If each front end checks the engines with the oldest reports, and all receive the same gossip, then all
// check the same few engines at a time.
func TestFrontEndsCheckDifferentEngines(t *testing.T) {
	const frontEnds, fleet = 30, 60
	s := baseSettings()
	s.LoadReporting, s.HealthChecksAllowed, s.GossipAllowed, s.Replicas = HealthCheckReports, true, true, frontEnds
	checked := map[uint32]bool{}
	checks := 0
	for frontEnd := range frontEnds {
		s.Me = frontEnd
		c, err := New(s, uint64(frontEnd))
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, controller: c, now: 100 * sec}
		h.step(EndpointsChanged{Kind: Persisted, Engines: newEngines(fleet)})
		for i := 0; len(h.controller.requests) < 60; i++ {
			actions := actionsOf[HealthCheck](append(h.step(newRequest(fmt.Sprint("q", i), 0)),
				h.advance(housekeepingInterval)...))
			for _, check := range actions {
				checked[check.Engine] = true
			}
			if checks += len(actions); len(actions) > 0 {
				break
			}
		}
	}
	if checks != frontEnds*healthCheckBurst || len(checked) < fleet*2/3 {
		t.Fatalf("%d health checks by %d front ends reached %d of %d engines, want a full burst each and 2/3 of the engines",
			checks, frontEnds, len(checked), fleet)
	}
}
