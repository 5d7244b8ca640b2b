package admission

import (
	"fmt"
	"testing"
)

func TestNothingIsSentToDrainingEngines(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(2))
	h.step(EndpointsChanged{Kind: Partial, Engines: []Engine{{ID: 1, State: Draining, Kind: 0}}})
	for i := range 40 {
		for _, send := range actionsOf[Send](h.step(newRequest(fmt.Sprint("a", i), 0))) {
			if send.Engine == 1 {
				t.Fatal("sent to a draining engine")
			}
		}
	}
	h.step(EndpointsChanged{Kind: Complete, Engines: newEngines(1)}) // engine 2 is absent, so it is removed
	if sends := actionsOf[Send](h.step(newRequest("z", 0))); len(sends) == 1 && sends[0].Engine == 2 {
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
	h := &harness{t: t, controller: c, now: 100 * sec}
	oneAction[WatchEndpoints](t, h.step(EndpointsChanged{Kind: Persisted, Engines: newEngines(2)}))
	if repeated := actionsOf[WatchEndpoints](h.advance(2 * sec)); len(repeated) > 0 {
		t.Fatal("engine list requested again while subscribed")
	}
	h.step(EndpointsChanged{Kind: ListError})
	oneAction[WatchEndpoints](t, h.advance(2*sec))
}

// TestRemovedEnginesAreForgotten: on a run that kept replacing engines, each step iterated over all engines that had
// ever been listed.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(2))
	list := newEngines(2)
	list[1].State = Removed
	id := ""
	for i := 0; id == ""; i++ { // until an attempt is in flight on the engine to be removed
		id = fmt.Sprint("r", i)
		if oneAction[Send](t, h.step(Request{ID: id, Timeout: 1000 * sec, TableGroup: -1,
			Work: 50 * ms})).Engine != list[1].ID {
			id = ""
		}
	}
	h.step(EndpointsChanged{Kind: Partial, Engines: list[1:]})
	h.advance(removedEngineRetention / 2)
	if len(h.controller.engines) != 2 {
		t.Fatal("removed engine was forgotten before the end of its retention")
	}
	h.advance(removedEngineRetention)
	if len(h.controller.engines) != 2 {
		t.Fatal("removed engine was forgotten with an attempt in flight")
	}
	h.step(Outcome{ID: id, Engine: list[1].ID, Status: OK, Closed: true})
	h.advance(sec)
	if len(h.controller.engines) != 1 || len(h.controller.enginesByID) != 1 || len(h.controller.enginesByGossipID) != 1 {
		t.Fatalf("%d engines kept, want 1, also by ID and by gossip ID", len(h.controller.engines))
	}
}
