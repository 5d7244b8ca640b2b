package admission

import (
	"fmt"
	"testing"
)

// TestMalformedGossipChangesNothing checks that a gossip message is sent once a burst of health checks has ended, that
// its receiver ignores messages that are empty, too short, from an invalid sender or for an unknown engine, and that
// the receiver applies a valid message as a load report.
func TestMalformedGossipChangesNothing(t *testing.T) {
	settings := baseSettings()
	settings.LoadReporting, settings.HealthChecksAllowed, settings.GossipAllowed, settings.Replicas = HealthCheckReports,
		true, true, 4
	sender := startController(t, settings, newEngines(4))
	var actions []Action
	for i := range 40 {
		actions = append(sender.step(newRequest(fmt.Sprint("q", i), 0)), sender.advance(housekeepingInterval)...)
		if len(actionsOf[HealthCheck](actions)) > 0 {
			break
		}
	}
	if n := len(actionsOf[HealthCheck](actions)); n != 4 {
		t.Fatalf("%d engines got a health check, must be 4", n)
	}
	sender.step(HealthCheckResult{Engine: 1, Status: OK, Report: &Report{Utilization: 0.5, InFlight: -1, Queued: -1,
		MemoryUtilization: -1,
		DiskUtilization:   -1}})
	if early := sender.advance(5 * housekeepingInterval); len(actionsOf[SendGossip](early)) > 0 {
		t.Fatal("gossip was sent before the burst of health checks had ended")
	}
	for id := range uint32(3) {
		sender.step(HealthCheckResult{Engine: 2 + id, Status: TimedOut})
	}
	message := oneAction[SendGossip](t, sender.advance(5*housekeepingInterval)).Data
	if len(message) != 4*gossipEntrySize || message[5] != gossipFailure {
		t.Fatalf("gossip message lacks the failed health checks: %v", message)
	}
	receiver := startController(t, settings, newEngines(4))
	for _, event := range []GossipReceived{{From: 9, Data: message}, {From: -1, Data: message},
		{From: 1, Data: message[:1]}, {From: 1}, {From: 1, Data: []byte{1, 2, 3}}, {From: 0, Data: message}} {
		if receiver.step(event); receiver.controller.enginesByID[1].reportedAt >= 0 {
			t.Fatalf("invalid gossip %v was applied", event)
		}
	}
	if receiver.step(GossipReceived{From: 1, Data: message}); receiver.controller.enginesByID[1].reportedAt < 0 ||
		receiver.controller.reportedLoad(receiver.controller.enginesByID[1]) != 0.5 {
		t.Fatal("valid gossip was not applied, or not with load 0.5")
	}
}
