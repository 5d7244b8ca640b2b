package admission

import (
	"fmt"
	"testing"
)

// TestSubsetsShareTheFleet: front ends that hear too little to know all engines draw from a few each, and
// every engine is drawn from by about as many.
func TestSubsetsShareTheFleet(t *testing.T) {
	s := baseSettings()
	s.Replicas = 300
	s.Tenants = nil // no allowance: all front ends count as equal
	from := map[uint32]int{}
	for g, b := range newFrontEnds(t, s, newEngines(60)) {
		used := map[uint32]bool{}
		for i := range 40 {
			for _, snd := range actionsOf[Send](b.step(newRequest(fmt.Sprint(g, "-", i), 0))) {
				used[snd.Engine] = true
				b.step(outcomeOf(snd, 0, OK))
			}
		}
		if len(used) > subsetEngines+1 {
			t.Fatalf("front end %d sent to %d engines", g, len(used))
		}
		for id := range used {
			from[id]++
		}
	}
	for id, n := range from {
		if part := subsetEngines * 300 / 60; n < part*2/3 || n > part*5/3+1 {
			t.Fatalf("engine %d is drawn from by %d front ends of 300, %d are its part", id, n, part)
		}
	}
	if len(from) != 60 {
		t.Fatalf("%d engines of 60 are used", len(from))
	}
}
