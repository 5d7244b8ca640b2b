package admission

import (
	"fmt"
	"testing"
)

func TestOrderByKey(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Ordered, s.Classes[0].LatencyObjective = true, 4*sec
	b := startController(t, s, newEngines(4))
	keyed := func(id string) Request { r := newRequest(id, 0); r.Key = "k"; return r }
	snd := oneAction[Send](t, b.step(keyed("a"), keyed("b")))
	if snd.ID != "a" {
		t.Fatalf("first out is %s", snd.ID)
	}
	nxt := oneAction[Send](t, b.step(outcomeOf(snd, 0, OK)))
	if nxt.ID != "b" {
		t.Fatalf("second out is %s", nxt.ID)
	}
	b.step(keyed("c"), ClientDisconnected{ID: "b"})
	if acts := b.step(); len(actionsOf[Send](acts)) > 0 {
		t.Fatal("sent while an earlier attempt had no outcome")
	}
	if acts := b.step(outcomeOf(nxt, 0, TimedOut)); len(actionsOf[Send](acts)) > 0 {
		t.Fatal("sent before the key had rested")
	}
	if acts := b.advance(980 * ms); len(actionsOf[Send](acts)) > 0 {
		t.Fatal("sent before the key had rested")
	}
	oneAction[Send](t, b.advance(60*ms))
}

func TestRoundRobinFollowsWeights(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(2))
	b.controller.tenants[0].weight = 2
	out := fillEngines(b)
	got := [2]int{}
	for n := 0; len(out) > 0 && n < 36; n++ {
		b.now += 10 * ms
		o := outcomeOf(out[0], 0, OK)
		o.Work, o.Latency = 100*ms, 100*ms
		out = out[1:]
		for _, s := range actionsOf[Send](b.step(o)) {
			out = append(out, s)
			got[b.controller.requests[s.ID].Tenant]++
		}
	}
	if r := float64(got[0]) / float64(got[1]); r < 1.5 || r > 2.6 {
		t.Fatalf("weights 2 to 1 gave %v", got)
	}
}

func TestFloodDoesNotLockOthersOut(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(2))
	var out []Send
	for i := range 80 {
		r := newRequest(fmt.Sprint("f", i), 1)
		r.Timeout = 20 * sec
		out = append(out, actionsOf[Send](b.step(r))...)
	}
	lone := newRequest("lone", 1)
	lone.Tenant, lone.Timeout = 1, 20*sec
	b.step(lone)
	for n := range 12 {
		for _, s := range actionsOf[Send](b.step(outcomeOf(out[n], 0, OK))) {
			if s.ID == "lone" {
				return
			}
			out = append(out, s)
		}
	}
	t.Fatal("the other tenant's request did not go within 12 ends")
}

func TestSharedQueueIsBounded(t *testing.T) {
	b := startController(t, baseSettings(), newEngines(1))
	refused := 0
	for i := range 2000 {
		r := newRequest(fmt.Sprint("q", i), 1)
		r.Timeout, r.Work = 20*sec, 2*sec
		refused += len(actionsOf[Reject](b.step(r)))
	}
	if b.controller.queuedRequests > max(minQueueLimit, int(b.controller.fleet.threadLimit*queuedPerThread)) ||
		refused == 0 {
		t.Fatalf("%d queued, depth %d, %d rejected", b.controller.queuedRequests,
			max(minQueueLimit, int(b.controller.fleet.threadLimit*queuedPerThread)), refused)
	}
}

// TestLateHeadOfAKeyGoesBeforeItsSuccessors: a head grown late has the second rank, its successors the first.
// Waiting for those, which wait for it, it stood still until all of them were late.
func TestLateHeadOfAKeyGoesBeforeItsSuccessors(t *testing.T) {
	s := baseSettings()
	s.Classes[1].Ordered = true
	b := startController(t, s, nil)
	keyed := func(id string) Request {
		return Request{ID: id, Class: 1, Key: "k", Timeout: 20 * sec, TableGroup: -1, Work: 100 * ms}
	}
	b.step(keyed("head"))
	b.advance(3 * sec)
	if r := b.controller.requests["head"]; r == nil || !r.pastObjective {
		t.Fatal("the head is not late: the test shows nothing")
	}
	b.step(keyed("next"))
	acts := b.step(EndpointsChanged{Kind: Complete, Engines: newEngines(2)})
	if snd := oneAction[Send](t, acts); snd.ID != "head" {
		t.Fatalf("sent %s", snd.ID)
	}
}

// TestWaitingKeysHoldNothingBack: what waits behind its key, or for a key at rest, does not keep other keys of
// its class from being looked at.
func TestWaitingKeysHoldNothingBack(t *testing.T) {
	s := baseSettings()
	s.Classes[1].Ordered = true
	b := startController(t, s, newEngines(4))
	keyed := func(id, key string) Request {
		return Request{ID: id, Class: 1, Key: key, Timeout: 20 * sec, TableGroup: -1, Work: 100 * ms}
	}
	head := oneAction[Send](t, b.step(keyed("head", "k")))
	for i := range 2 * maxQueueLookahead {
		b.step(keyed(fmt.Sprint("behind", i), "k"))
	}
	oneAction[Send](t, b.step(keyed("other", "l")))
	acts := b.step(Outcome{ID: "head", Engine: head.Engine, Status: TimedOut, Closed: true})
	if n := len(actionsOf[Send](acts)); n != 0 {
		t.Fatal("sent while the key rests")
	}
	oneAction[Send](t, b.step(keyed("third", "m")))
}

// TestLateRequestOfAKeyGivesWay: in a crowded key the first would be late one after the other; a late one is rejected
// where one in time waits behind it, and kept where none does.
func TestLateRequestOfAKeyGivesWay(t *testing.T) {
	s := baseSettings()
	s.Classes[1].Ordered, s.Classes[1].LateWeight = true, 0.5
	b := startController(t, s, nil)
	keyed := func(id, key string) Request {
		return Request{ID: id, Class: 1, Key: key, Timeout: 20 * sec, TableGroup: -1, Work: 100 * ms}
	}
	b.step(keyed("head", "k"), keyed("alone", "l"))
	b.advance(3 * sec)
	if !b.controller.requests["alone"].pastObjective {
		t.Fatal("not late: the test shows nothing")
	}
	b.step(keyed("next", "k"))
	if r := oneAction[Reject](t, b.advance(2*housekeepingInterval)); r.ID != "head" {
		t.Fatalf("rejected %s", r.ID)
	}
	if snd := actionsOf[Send](b.step(EndpointsChanged{Kind: Complete, Engines: newEngines(4)})); len(snd) != 2 {
		t.Fatalf("want next and alone sent: %v", snd)
	}
}
