package admission

import (
	"fmt"
	"testing"
)

// TestRequestsOfKeyRunInOrder: requests of one key of an Ordered class run one at a time in order of arrival, and none
// is sent within KeyCooldown of an attempt that may have run.
func TestRequestsOfKeyRunInOrder(t *testing.T) {
	s := baseSettings()
	s.Classes[0].Ordered, s.Classes[0].LatencyObjective = true, 4*sec
	h := startController(t, s, newEngines(4))
	keyed := func(id string) Request { r := newRequest(id, 0); r.Key = "k"; return r }
	first := oneAction[Send](t, h.step(keyed("a"), keyed("b")))
	if first.ID != "a" {
		t.Fatalf("first request sent is %s, want a", first.ID)
	}
	second := oneAction[Send](t, h.step(outcomeOf(first, 0, OK)))
	if second.ID != "b" {
		t.Fatalf("second request sent is %s, want b", second.ID)
	}
	h.step(keyed("c"), ClientDisconnected{ID: "b"})
	if actions := h.step(); len(actionsOf[Send](actions)) > 0 {
		t.Fatal("request sent while an earlier attempt of its key had no outcome")
	}
	if actions := h.step(outcomeOf(second, 0, TimedOut)); len(actionsOf[Send](actions)) > 0 {
		t.Fatal("request sent during the cooldown of its key")
	}
	if actions := h.advance(980 * ms); len(actionsOf[Send](actions)) > 0 {
		t.Fatal("request sent within 980 ms of the start of its key's cooldown of 1 s")
	}
	oneAction[Send](t, h.advance(60*ms))
}

func TestRoundRobinFollowsWeights(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(2))
	h.controller.tenants[0].weight = 2
	inFlight := fillEngines(h)
	sent := [2]int{}
	for n := 0; len(inFlight) > 0 && n < 36; n++ {
		h.now += 10 * ms
		outcome := outcomeOf(inFlight[0], 0, OK)
		outcome.Work, outcome.Latency = 100*ms, 100*ms
		inFlight = inFlight[1:]
		for _, send := range actionsOf[Send](h.step(outcome)) {
			inFlight = append(inFlight, send)
			sent[h.controller.requests[send.ID].Tenant]++
		}
	}
	if ratio := float64(sent[0]) / float64(sent[1]); ratio < 1.5 || ratio > 2.6 {
		t.Fatalf("sends by tenant at weights 2 and 1: %v, want a ratio of 1.5 to 2.6", sent)
	}
}

// TestFloodDoesNotBlockOtherTenants: a request is sent soon although another tenant has filled the engines and the
// queue.
func TestFloodDoesNotBlockOtherTenants(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(2))
	var inFlight []Send
	for i := range 80 {
		request := newRequest(fmt.Sprint("f", i), 1)
		request.Timeout = 20 * sec
		inFlight = append(inFlight, actionsOf[Send](h.step(request))...)
	}
	lone := newRequest("lone", 1)
	lone.Tenant, lone.Timeout = 1, 20*sec
	h.step(lone)
	for n := range 12 {
		for _, send := range actionsOf[Send](h.step(outcomeOf(inFlight[n], 0, OK))) {
			if send.ID == "lone" {
				return
			}
			inFlight = append(inFlight, send)
		}
	}
	t.Fatal("the other tenant's request was not sent within 12 outcomes")
}

func TestQueuedRequestsAreLimited(t *testing.T) {
	h := startController(t, baseSettings(), newEngines(1))
	rejected := 0
	for i := range 2000 {
		request := newRequest(fmt.Sprint("q", i), 1)
		request.Timeout, request.Work = 20*sec, 2*sec
		rejected += len(actionsOf[Reject](h.step(request)))
	}
	if h.controller.queuedRequests > max(minQueueLimit, int(h.controller.fleet.threadLimit*queuedPerThread)) ||
		rejected == 0 {
		t.Fatalf("%d requests queued, limit %d; %d rejected, want at least 1", h.controller.queuedRequests,
			max(minQueueLimit, int(h.controller.fleet.threadLimit*queuedPerThread)), rejected)
	}
}

// TestLateHeadOfKeyIsSentBeforeSuccessors guards against a deadlock within a key. A late head of a key is deferred,
// while its successors are preferred. If the head waited for these preferred requests, which wait for the head, none
// would be sent until all were late.
func TestLateHeadOfKeyIsSentBeforeSuccessors(t *testing.T) {
	s := baseSettings()
	s.Classes[1].Ordered = true
	h := startController(t, s, nil)
	keyed := func(id string) Request {
		return Request{ID: id, Class: 1, Key: "k", Timeout: 20 * sec, TableGroup: -1, Work: 100 * ms}
	}
	h.step(keyed("head"))
	h.advance(3 * sec)
	if head := h.controller.requests["head"]; head == nil || !head.pastObjective {
		t.Fatal("precondition not met: the head of the key is not past its objective")
	}
	h.step(keyed("next"))
	actions := h.step(EndpointsChanged{Kind: Complete, Engines: newEngines(2)})
	if send := oneAction[Send](t, actions); send.ID != "head" {
		t.Fatalf("sent %s, want head", send.ID)
	}
}

// TestWaitingKeysDoNotBlockOtherKeys: requests that wait for an earlier request of their key, or for the cooldown of
// their key, do not keep requests of other keys of the class from being sent.
func TestWaitingKeysDoNotBlockOtherKeys(t *testing.T) {
	s := baseSettings()
	s.Classes[1].Ordered = true
	h := startController(t, s, newEngines(4))
	keyed := func(id, key string) Request {
		return Request{ID: id, Class: 1, Key: key, Timeout: 20 * sec, TableGroup: -1, Work: 100 * ms}
	}
	head := oneAction[Send](t, h.step(keyed("head", "k")))
	for i := range 2 * maxQueueLookahead {
		h.step(keyed(fmt.Sprint("behind", i), "k"))
	}
	oneAction[Send](t, h.step(keyed("other", "l")))
	actions := h.step(Outcome{ID: "head", Engine: head.Engine, Status: TimedOut, Closed: true})
	if sends := len(actionsOf[Send](actions)); sends != 0 {
		t.Fatal("request sent during the cooldown of its key")
	}
	oneAction[Send](t, h.step(keyed("third", "m")))
}

// TestLateHeadOfKeyIsRejectedForSuccessor: a late head of a key is rejected if a request that is not late waits behind
// it, and stays queued otherwise. If late heads always stayed, one request after the other of a busy key would become
// late.
func TestLateHeadOfKeyIsRejectedForSuccessor(t *testing.T) {
	s := baseSettings()
	s.Classes[1].Ordered, s.Classes[1].LateWeight = true, 0.5
	h := startController(t, s, nil)
	keyed := func(id, key string) Request {
		return Request{ID: id, Class: 1, Key: key, Timeout: 20 * sec, TableGroup: -1, Work: 100 * ms}
	}
	h.step(keyed("head", "k"), keyed("alone", "l"))
	h.advance(3 * sec)
	if !h.controller.requests["alone"].pastObjective {
		t.Fatal("precondition not met: the request with ID alone is not past its objective")
	}
	h.step(keyed("next", "k"))
	if reject := oneAction[Reject](t, h.advance(2*housekeepingInterval)); reject.ID != "head" {
		t.Fatalf("rejected %s, want head", reject.ID)
	}
	if sends := actionsOf[Send](h.step(EndpointsChanged{Kind: Complete, Engines: newEngines(4)})); len(sends) != 2 {
		t.Fatalf("sent %v, want next and alone", sends)
	}
}
