package admission

import (
	"testing"
	"time"
)

// TestShutdown: requests that were open as the process was killed got no answer at all.
func TestShutdown(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed = true
	s.Classes = append(s.Classes, Class{LatencyObjective: 2 * sec, Deadline: 20 * sec, PriorityWeight: 8, Threads: 2,
		Idempotency: NonIdempotent})
	b := startController(t, s, newEngines(2))
	ask := func(id string, class int, work time.Duration) Request {
		return Request{ID: id, Class: class, Timeout: 20 * sec, TableGroup: -1, Work: work}
	}
	oneAction[Send](t, b.step(ask("out", 1, sec)))
	oneAction[Send](t, b.step(ask("non-idempotent", 2, sec)))
	b.step(ShutdownRequested{Timeout: 3 * sec})
	oneAction[Send](t, b.step(ask("short", 0, 50*ms)))
	if r := oneAction[Reject](t, b.step(ask("long", 1, 60*sec))); r.ID != "long" {
		t.Fatalf("rejected %s", r.ID)
	}
	for _, a := range actionsOf[Cancel](b.advance(3*sec - shutdownMargin - housekeepingInterval)) {
		t.Fatalf("%s was called back long before the end", a.ID)
	}
	called := map[string]bool{}
	for _, a := range actionsOf[Cancel](b.advance(2 * housekeepingInterval)) {
		called[a.ID] = true
	}
	if !called["out"] || called["non-idempotent"] {
		t.Fatalf("called back: %v", called)
	}
	e := b.controller.requests["out"].attempts[0].engine.ID
	if r := oneAction[Reject](t, b.step(Outcome{ID: "out", Engine: e, Status: Cancelled})); r.ID != "out" {
		t.Fatalf("rejected %s", r.ID)
	}
}
