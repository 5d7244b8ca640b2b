package admission

import (
	"fmt"
	"testing"
)

// TestMalformedGossipChangesNothing: lost, malformed and unknown messages change nothing, a good one is a report.
func TestMalformedGossipChangesNothing(t *testing.T) {
	s := baseSettings()
	s.LoadReporting, s.HealthChecksAllowed, s.GossipAllowed, s.Replicas = HealthCheckReports, true, true, 4
	b := startController(t, s, newEngines(4))
	var asked []Action
	for i := range 40 {
		asked = append(b.step(newRequest(fmt.Sprint("q", i), 0)), b.advance(housekeepingInterval)...)
		if len(actionsOf[HealthCheck](asked)) > 0 {
			break
		}
	}
	if n := len(actionsOf[HealthCheck](asked)); n != 4 {
		t.Fatalf("%d engines were asked", n)
	}
	b.step(HealthCheckResult{Engine: 1, Status: OK, Report: &Report{Utilization: 0.5, InFlight: -1, Queued: -1,
		MemoryUtilization: -1,
		DiskUtilization:   -1}})
	if early := b.advance(5 * housekeepingInterval); len(actionsOf[SendGossip](early)) > 0 {
		t.Fatal("told before the burst was in")
	}
	for id := range uint32(3) {
		b.step(HealthCheckResult{Engine: 2 + id, Status: TimedOut})
	}
	message := oneAction[SendGossip](t, b.advance(5*housekeepingInterval)).Data
	if len(message) != 4*gossipEntrySize || message[5] != gossipFailure {
		t.Fatalf("failed health checks are not told: %v", message)
	}
	o := startController(t, s, newEngines(4))
	for _, ev := range []GossipReceived{{From: 9, Data: message}, {From: -1, Data: message}, {From: 1, Data: message[:1]},
		{From: 1},
		{From: 1, Data: []byte{1, 2, 3}}, {From: 0, Data: message}} {
		if o.step(ev); o.controller.enginesByID[1].reportedAt >= 0 {
			t.Fatalf("%v was taken", ev)
		}
	}
	if o.step(GossipReceived{From: 1, Data: message}); o.controller.enginesByID[1].reportedAt < 0 ||
		o.controller.reportedLoad(o.controller.enginesByID[1]) != 0.5 {
		t.Fatal("a good message was not taken")
	}
}
