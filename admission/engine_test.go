package admission

import (
	"fmt"
	"testing"
)

func TestNothingIsSentToDrainingEngines(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(2))
	b.step(EndpointsChanged{Kind: Partial, Engines: []Engine{{ID: 1, State: Draining, Kind: 0}}})
	for i := range 40 {
		for _, s := range actionsOf[Send](b.step(newRequest(fmt.Sprint("a", i), 0))) {
			if s.Engine == 1 {
				t.Fatal("sent to a draining engine")
			}
		}
	}
	b.step(EndpointsChanged{Kind: Complete, Engines: newEngines(1)}) // 2 is absent: removed
	if l := actionsOf[Send](b.step(newRequest("z", 0))); len(l) == 1 && l[0].Engine == 2 {
		t.Fatal("sent to a removed engine")
	}
}

func TestDiscoveryIsRetriedAfterAnError(t *testing.T) {
	s := baseSettings()
	s.PollDiscovery = true
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, controller: c, now: 100 * sec}
	oneAction[WatchEndpoints](t, b.step(EndpointsChanged{Kind: Persisted, Engines: newEngines(2)}))
	if again := actionsOf[WatchEndpoints](b.advance(2 * sec)); len(again) > 0 {
		t.Fatal("asked again while subscribed")
	}
	b.step(EndpointsChanged{Kind: ListError})
	oneAction[WatchEndpoints](t, b.advance(2*sec))
}

// TestRemovedEnginesAreForgotten: on a run of replacements all that had ever been listed were looked at in each step.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(2))
	list := newEngines(2)
	list[1].State = Removed
	id := ""
	for i := 0; id == ""; i++ { // one that is out on the engine that goes
		id = fmt.Sprint("r", i)
		if oneAction[Send](t, b.step(Request{ID: id, Timeout: 1000 * sec, TableGroup: -1,
			Work: 50 * ms})).Engine != list[1].ID {
			id = ""
		}
	}
	b.step(EndpointsChanged{Kind: Partial, Engines: list[1:]})
	b.advance(removedEngineRetention / 2)
	if len(b.controller.engines) != 2 {
		t.Fatal("forgotten at once")
	}
	b.advance(removedEngineRetention)
	if len(b.controller.engines) != 2 {
		t.Fatal("forgotten with an attempt out")
	}
	b.step(Outcome{ID: id, Engine: list[1].ID, Status: OK, Closed: true})
	b.advance(sec)
	if len(b.controller.engines) != 1 || len(b.controller.enginesByID) != 1 || len(b.controller.enginesByGossipID) != 1 {
		t.Fatalf("%d engines remembered", len(b.controller.engines))
	}
}
