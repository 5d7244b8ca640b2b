package admission

import (
	"fmt"
	"testing"
)

// TestSubsetsShareTheFleet checks that front ends that cannot learn the load of all engines send to a few engines each,
// and that every engine gets requests from about equally many front ends.
func TestSubsetsShareTheFleet(t *testing.T) {
	settings := baseSettings()
	settings.Replicas = 300
	settings.Tenants = nil // without quotas, all front ends count as having equal shares of the clients
	senders := map[uint32]int{}
	for frontEnd, h := range newFrontEnds(t, settings, newEngines(60)) {
		used := map[uint32]bool{}
		for i := range 40 {
			for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint(frontEnd, "-", i), 0))) {
				used[send.Engine] = true
				h.step(outcomeOf(send, 0, OK))
			}
		}
		if len(used) > subsetEngines+1 {
			t.Fatalf("front end %d sent to %d engines, must be at most subsetEngines+1", frontEnd, len(used))
		}
		for id := range used {
			senders[id]++
		}
	}
	for id, n := range senders {
		if expected := subsetEngines * 300 / 60; n < expected*2/3 || n > expected*5/3+1 {
			t.Fatalf("engine %d got requests from %d front ends of 300, must be about %d (2/3 to 5/3)", id, n, expected)
		}
	}
	if len(senders) != 60 {
		t.Fatalf("%d engines of 60 got requests, must be all", len(senders))
	}
}
