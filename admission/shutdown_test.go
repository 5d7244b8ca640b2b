package admission

import (
	"testing"
	"time"
)

// TestShutdown guards against requests without a final answer: requests that were still open when the process was
// killed got none. Requests that cannot end before the shutdown are rejected at once, and idempotent attempts are
// cancelled shortly before it.
func TestShutdown(t *testing.T) {
	s := baseSettings()
	s.CancellationAllowed = true
	s.Classes = append(s.Classes, Class{LatencyObjective: 2 * sec, Deadline: 20 * sec, PriorityWeight: 8, Threads: 2,
		Idempotency: NonIdempotent})
	h := startController(t, s, newEngines(2))
	requestOf := func(id string, class int, work time.Duration) Request {
		return Request{ID: id, Class: class, Timeout: 20 * sec, TableGroup: -1, Work: work}
	}
	oneAction[Send](t, h.step(requestOf("idempotent", 1, sec)))
	oneAction[Send](t, h.step(requestOf("non-idempotent", 2, sec)))
	h.step(ShutdownRequested{Timeout: 3 * sec})
	oneAction[Send](t, h.step(requestOf("short", 0, 50*ms)))
	if reject := oneAction[Reject](t, h.step(requestOf("long", 1, 60*sec))); reject.ID != "long" {
		t.Fatalf("rejected %s, want long", reject.ID)
	}
	for _, cancel := range actionsOf[Cancel](h.advance(3*sec - shutdownMargin - housekeepingInterval)) {
		t.Fatalf("%s cancelled before shutdownMargin", cancel.ID)
	}
	cancelled := map[string]bool{}
	for _, cancel := range actionsOf[Cancel](h.advance(2 * housekeepingInterval)) {
		cancelled[cancel.ID] = true
	}
	if !cancelled["idempotent"] || cancelled["non-idempotent"] {
		t.Fatalf("cancelled %v, want the idempotent request and not the non-idempotent one", cancelled)
	}
	engineID := h.controller.requests["idempotent"].attempts[0].engine.ID
	if reject := oneAction[Reject](t, h.step(Outcome{ID: "idempotent", Engine: engineID,
		Status: Cancelled})); reject.ID != "idempotent" {
		t.Fatalf("rejected %s, want idempotent", reject.ID)
	}
}
