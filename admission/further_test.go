package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestLateHeadOfAKeyGoesBeforeItsSuccessors: a head grown late has the second rank, its successors the first.
// Waiting for those, which wait for it, it stood still until all of them were late.
func TestLateHeadOfAKeyGoesBeforeItsSuccessors(t *testing.T) {
	s := base()
	s.Classes[1].Ordered = true
	b := start(t, s, nil)
	keyed := func(id string) Request {
		return Request{ID: id, Class: 1, Key: "k", Timeout: 20 * sec, Group: -1, Work: 100 * ms}
	}
	b.step(keyed("head"))
	b.pass(3 * sec)
	if r := b.c.requests["head"]; r == nil || !r.pastObjective {
		t.Fatal("the head is not late: the test shows nothing")
	}
	b.step(keyed("next"))
	acts := b.step(EndpointsChanged{Kind: Complete, Engines: engines(2)})
	if snd := one[Send](t, acts); snd.ID != "head" {
		t.Fatalf("sent %s", snd.ID)
	}
}

// TestWaitingKeysHoldNothingBack: what waits behind its key, or for a key at rest, does not keep other keys of
// its class from being looked at.
func TestWaitingKeysHoldNothingBack(t *testing.T) {
	s := base()
	s.Classes[1].Ordered = true
	b := start(t, s, engines(4))
	keyed := func(id, key string) Request {
		return Request{ID: id, Class: 1, Key: key, Timeout: 20 * sec, Group: -1, Work: 100 * ms}
	}
	head := one[Send](t, b.step(keyed("head", "k")))
	for i := range 2 * maxQueueLookahead {
		b.step(keyed(fmt.Sprint("behind", i), "k"))
	}
	one[Send](t, b.step(keyed("other", "l")))
	acts := b.step(Outcome{ID: "head", Engine: head.Engine, Status: TimedOut, Closed: true})
	if n := len(pick[Send](acts)); n != 0 {
		t.Fatal("sent while the key rests")
	}
	one[Send](t, b.step(keyed("third", "m")))
}

// TestNoCancelWithoutARepeat: an ejected engine's attempts are withdrawn only as far as the budget lets others
// follow them.
func TestNoCancelWithoutARepeat(t *testing.T) {
	s := base()
	s.CancellationAllowed, s.RetryBudget = true, &RetryBudget{MinRetries: 2, Window: 5 * sec}
	b := start(t, s, engines(4))
	for i := range 12 {
		b.step(Request{ID: fmt.Sprint("r", i), Class: 1, Timeout: 20 * sec, Group: -1, Work: 50 * ms})
	}
	b.pass(200 * ms)
	b.now += 6 * sec // the arrivals leave the window: two further attempts are all there is
	b.c.now = b.now
	var all []Cancel
	for _, e := range b.c.engines[:2] {
		b.c.actions = nil
		b.c.eject(e)
		all = append(all, pick[Cancel](b.c.actions)...)
	}
	if len(all) != 2 {
		t.Fatalf("%d attempts withdrawn, two can be repeated", len(all))
	}
	for _, x := range all {
		r := b.c.requests[x.ID]
		one[Send](t, b.step(Outcome{ID: x.ID, Engine: r.attempts[0].engine.ID, Status: Cancelled}))
	}
	if b.c.retryBudget.reserved != 0 {
		t.Fatalf("%d repeats still promised", b.c.retryBudget.reserved)
	}
}

// TestLastRepeatIsKeptForTheDear: classes worth little do not use the budget up.
func TestLastRepeatIsKeptForTheDear(t *testing.T) {
	s := base()
	s.RetryBudget = &RetryBudget{MinRetries: 1, Window: 5 * sec}
	b := start(t, s, engines(4))
	cheap := one[Send](t, b.step(req("cheap", 0)))
	if acts := b.step(end(cheap, 0, ConnectFailed)); len(pick[Send](acts)) != 0 {
		t.Fatal("the last repeat went to the cheap class")
	}
	dear := one[Send](t, b.step(Request{ID: "dear", Class: 1, Timeout: 20 * sec, Group: -1, Work: 100 * ms}))
	one[Send](t, b.step(end(dear, 0, ConnectFailed)))
}

// TestColdEnginesAreLeftToTheirOwnGateways: the parts of a cold budget are those of the gateways whose stretch
// begins near the engine. Others that come to it past ejected engines, and those just restarted, leave it be.
func TestColdEnginesAreLeftToTheirOwnGateways(t *testing.T) {
	s := base()
	s.Replicas, s.SlowStart.Duration = 60, 60*sec
	list := engines(12)
	list[4].Started = 100 * sec
	open := func(struck int, wait, long time.Duration) (n int) {
		for _, b := range crowd(t, s, list) {
			b.now += wait
			b.step()
			for i := range struck {
				if e := b.c.engines[i*2]; e.ID != 5 {
					b.c.eject(e)
				}
			}
			b.c.randomDrawUntil = b.now + sec
			e, r := b.c.enginesByID[5], &requestState{Request: req("a", 0), classSettings: &s.Classes[0]}
			e.randomDraw, e.randomDrawUntil = 0, b.now+sec
			b.c.collectCandidates(r)
			near := slices.Contains(b.c.candidates.engines, e)
			may := false
			for end := b.now + long; b.c.now < end; b.c.now += housekeepingInterval { // each has its turn
				may = may || (near && b.c.permits(e, r))
			}
			if may {
				n++
			}
		}
		return n
	}
	all, some := open(0, 2*sec, 10*s.SlowStart.OverloadWindow), open(6, 2*sec, 10*s.SlowStart.OverloadWindow)
	if all == 0 || some != all {
		t.Fatalf("%d gateways may draw the cold engine, %d when others are ejected", all, some)
	}
	if n := open(0, 0, s.SlowStart.OverloadWindow-housekeepingInterval); n != 0 {
		t.Fatalf("%d gateways draw a cold engine within a window of their own start", n)
	}
}

// TestOwnThreadsStandInForUse: where reports tell only the line for memory, one own query of one gateway among
// many does not read as a full engine, while threads that stay do.
func TestOwnThreadsStandInForUse(t *testing.T) {
	s := base()
	s.Replicas = 60
	b := start(t, s, engines(12))
	e := b.c.engines[b.c.subset.first]
	e.loadReport, e.reportedAt = Report{Held: -1, Queue: 0, Util: -1, Memory: -1, Disks: -1}, b.now
	b.step(req("a", 0))
	b.pass(100 * ms)
	if load := b.c.reportedLoad(e); load > 0.3 {
		t.Fatalf("one query reads as a load of %.2f", load)
	}
	e.threads = e.cores * 2 * b.c.engineShare
	b.pass(3 * averageThreadsDecay)
	if load := b.c.reportedLoad(e); load < 1 {
		t.Fatalf("two threads a core read as a load of %.2f", load)
	}
}

// TestUnequalGateways: a gateway with ten times its equal part of the clients is not taken for a flood and runs as
// much more, over a longer stretch; one with an equal part, or with a little, has what it had.
func TestUnequalGateways(t *testing.T) {
	s := base()
	s.Replicas = 100
	s.Tenants = []Tenant{{Quota: 1, RequestsPerSecond: 100}}
	load := func(every time.Duration) (over, n int, c *Controller) {
		b := start(t, s, engines(40))
		for ; b.now < 130*sec; b.now += every {
			id := fmt.Sprint(b.now)
			acts := b.step(req(id, 0))
			if r := b.c.requests[id]; b.now > 110*sec && r != nil && r.overQuota {
				over++
			}
			n++
			for _, snd := range pick[Send](acts) {
				b.step(end(snd, 0, OK))
			}
		}
		return over, n, b.c
	}
	over, n, busy := load(100 * ms)
	if over*10 > n {
		t.Errorf("%d of %d are over the share at a busy gateway", over, n)
	}
	_, _, usual := load(sec)
	_, _, idle := load(5 * sec)
	if busy.subset.quotaShare < 8 || busy.subset.quotaShare > 12 || usual.subset.quotaShare != 1 || idle.subset.quotaShare != 1 {
		t.Errorf("parts of %.1f, %.1f and %.1f times an equal one", busy.subset.quotaShare, usual.subset.quotaShare, idle.subset.quotaShare)
	}
	if busy.fleet.threadLimit < 5*usual.fleet.threadLimit || busy.subset.size < 5*usual.subset.size {
		t.Errorf("the bound is %.1f against %.1f, the stretch %.0f against %.0f",
			busy.fleet.threadLimit, usual.fleet.threadLimit, busy.subset.size, usual.subset.size)
	}
	if busy.engineShare != usual.engineShare || busy.subset.equalSize != usual.subset.equalSize {
		t.Error("the part of an engine, which bounds a cold one, has grown")
	}
}

// TestHeavyQueryDoesNotLockTheSmallOut: one heavy query is more than this gateway's part of the fleet's threads and
// memory, and small ones still go.
func TestHeavyQueryDoesNotLockTheSmallOut(t *testing.T) {
	s := base()
	s.Replicas, s.Classes[1].Threads = 60, 4
	b := start(t, s, engines(12))
	for _, e := range b.c.engines {
		e.loadReport, e.reportedAt = Report{Held: -1, Queue: 0, Util: 1, Memory: -1, Disks: -1}, b.now
	}
	b.c.randomDrawUntil, b.c.randomDraw = b.now+20*sec, 0.1
	b.step(Request{ID: "heavy", Class: 1, Timeout: 20 * sec, Group: -1, Work: 8 * sec, MemMB: 4000})
	if b.c.threads < b.c.fleet.threadLimit {
		t.Fatal("the heavy query is within our part: the test shows nothing")
	}
	small := req("small", 0)
	small.MemMB = 100
	one[Send](t, b.step(small))
}

// TestThreadsHeldTellAJam: use ends at full; an engine that holds more threads than it carries well is under more
// pressure than its use tells, also where it jams at little use.
func TestThreadsHeldTellAJam(t *testing.T) {
	s := base()
	b := start(t, s, engines(4))
	b.c.meanThreads = 2
	for _, x := range []struct{ util, held, least, most float64 }{
		{1, 2, 1, 1}, {1, 20, 2, 4}, {0.3, 20, 2, 4}, {-1, 20, 2, 4}, {0.3, -1, 0.3, 0.3},
	} {
		e := b.c.engines[0]
		e.loadReport, e.reportedAt = Report{Held: x.held, Queue: -1, Util: x.util, Memory: -1, Disks: -1}, b.now
		if load := b.c.reportedLoad(e); load < x.least || load > x.most {
			t.Errorf("use %.1f and %.0f held read as %.2f", x.util, x.held, load)
		}
	}
}

// TestLateOfAKeyGivesWay: in a crowded key the first would be late one after the other; a late one is refused where
// one in time waits behind it, and kept where none does.
func TestLateOfAKeyGivesWay(t *testing.T) {
	s := base()
	s.Classes[1].Ordered, s.Classes[1].LateWeight = true, 0.5
	b := start(t, s, nil)
	keyed := func(id, key string) Request {
		return Request{ID: id, Class: 1, Key: key, Timeout: 20 * sec, Group: -1, Work: 100 * ms}
	}
	b.step(keyed("head", "k"), keyed("alone", "l"))
	b.pass(3 * sec)
	if !b.c.requests["alone"].pastObjective {
		t.Fatal("not late: the test shows nothing")
	}
	b.step(keyed("next", "k"))
	if r := one[Reject](t, b.pass(2*housekeepingInterval)); r.ID != "head" {
		t.Fatalf("refused %s", r.ID)
	}
	if snd := pick[Send](b.step(EndpointsChanged{Kind: Complete, Engines: engines(4)})); len(snd) != 2 {
		t.Fatalf("want next and alone sent: %v", snd)
	}
}

// TestSmallHaveTheirOwnMemory: a heavy query holds more than our part of an engine's memory, and more than half of
// the tenant's, and small ones still go there, until they hold as much themselves.
func TestSmallHaveTheirOwnMemory(t *testing.T) {
	s := base()
	s.Replicas = 60
	b := start(t, s, engines(12))
	e := b.c.engines[b.c.subset.first]
	r := &requestState{Request: req("s", 0), classSettings: &b.c.settings.Classes[0], tenant: b.c.tenants[0]}
	r.MemMB = 100
	part := e.memoryMB * b.c.engineShare
	b.c.estimates[1].work = 4
	e.threads, e.memory = 2, 2*part
	if !b.c.hasCapacity(e, r) {
		t.Fatal("a heavy query keeps the small out")
	}
	if e.smallMemory = part; b.c.hasCapacity(e, r) {
		t.Fatal("the small pass our part by themselves")
	}
}

// TestOwnStallJudgesNoEngine: after a turn far later than its timer all that came is taken in first, so no engine
// is ejected for what was answered in the stall, and what came in it is sent.
func TestOwnStallJudgesNoEngine(t *testing.T) {
	s := base()
	s.CancellationAllowed, s.ProgressInterval = true, 2*sec
	b := start(t, s, engines(4))
	var evs []Event
	for i := range 12 {
		for _, snd := range pick[Send](b.step(req(fmt.Sprint("q", i), 0))) {
			if i%3 != 0 {
				evs = append(evs, end(snd, 0, OK))
			}
		}
	}
	b.now += 1700 * ms
	evs = append(evs, Timer{Token: uint64(b.c.housekeepingAt)}, req("late", 0))
	acts := b.step(evs...)
	if n := len(pick[Send](acts)); n == 0 {
		t.Error("nothing was sent")
	}
	for _, e := range b.c.engines {
		if e.ejected {
			t.Errorf("engine %d ejected", e.ID)
		}
	}
	if b.c.requests["late"] == nil || b.c.requests["late"].inFlight != 1 {
		t.Error("what came in the stall was not sent")
	}
}

// TestOddEventsAreTakenCalmly: notes and outcomes of what has ended, repeated or unknown, change nothing.
func TestOddEventsAreTakenCalmly(t *testing.T) {
	s := base()
	s.CancellationAllowed, s.ProgressInterval = true, 2*sec
	b := start(t, s, engines(4))
	snd := one[Send](t, b.step(req("a", 0)))
	b.step(end(snd, 0, OK))
	b.now += 3 * sec
	acts := b.step(
		Progress{ID: "a", Engine: snd.Engine, Kind: ProgressFraction, Value: 0.01}, end(snd, 0, OK), end(snd, 5, TimedOut),
		Progress{ID: "none", Engine: 99, Kind: ProgressFraction}, Outcome{ID: "none", Engine: 99, Status: OK}, ClientDisconnected{ID: "a"},
		HealthCheckResult{Engine: 99}, FirstByte{ID: "none"},
	)
	for _, a := range acts {
		if _, ok := a.(SetTimer); !ok {
			t.Errorf("did %T", a)
		}
	}
	if b.c.threads != 0 || b.c.smallThreads != 0 {
		t.Errorf("%v and %v threads are still held", b.c.threads, b.c.smallThreads)
	}
}

// TestResetsOfConnectionsAreNoStrikes: resets of single connections, after which the engine answered, ejected
// engines that were well on a day with many.
func TestResetsOfConnectionsAreNoStrikes(t *testing.T) {
	for _, alive := range []bool{true, false} {
		b := start(t, base(), engines(1))
		for i := range ejectAfterResets {
			id := fmt.Sprint("r", i)
			b.step(Request{ID: id, Timeout: 4 * sec, Group: -1, Work: 50 * ms})
			b.step(Outcome{ID: id, Engine: 1, Status: Reset, Alive: alive})
			b.step(ClientDisconnected{ID: id})
		}
		if e := b.c.engines[0]; alive != (e.consecutiveFailures == 0) {
			t.Fatalf("alive %v: %d strikes", alive, e.consecutiveFailures)
		}
	}
}

// TestStopping: requests that were open as the process was killed got no answer at all.
func TestStopping(t *testing.T) {
	s := base()
	s.CancellationAllowed = true
	s.Classes = append(s.Classes, Class{LatencyObjective: 2 * sec, Deadline: 20 * sec, PriorityWeight: 8, Threads: 2, Idempotency: NonIdempotent})
	b := start(t, s, engines(2))
	ask := func(id string, class int, work time.Duration) Request {
		return Request{ID: id, Class: class, Timeout: 20 * sec, Group: -1, Work: work}
	}
	one[Send](t, b.step(ask("out", 1, sec)))
	one[Send](t, b.step(ask("unsafe", 2, sec)))
	b.step(ShutdownRequested{Timeout: 3 * sec})
	one[Send](t, b.step(ask("short", 0, 50*ms)))
	if r := one[Reject](t, b.step(ask("long", 1, 60*sec))); r.ID != "long" {
		t.Fatalf("refused %s", r.ID)
	}
	for _, a := range pick[Cancel](b.pass(3*sec - shutdownMargin - housekeepingInterval)) {
		t.Fatalf("%s was called back long before the end", a.ID)
	}
	called := map[string]bool{}
	for _, a := range pick[Cancel](b.pass(2 * housekeepingInterval)) {
		called[a.ID] = true
	}
	if !called["out"] || called["unsafe"] {
		t.Fatalf("called back: %v", called)
	}
	e := b.c.requests["out"].attempts[0].engine.ID
	if r := one[Reject](t, b.step(Outcome{ID: "out", Engine: e, Status: Cancelled})); r.ID != "out" {
		t.Fatalf("refused %s", r.ID)
	}
}

// TestTheMiddleEngineIsOpenToBoth: with few engines, holders of a group stood in line on two of five for seconds,
// while those that wait for them had time to spare on the other three.
func TestTheMiddleEngineIsOpenToBoth(t *testing.T) {
	s := base()
	s.Classes[0].WaitsForLocks, s.Classes[1].LocksTables = true, true
	for n, both := range map[int]int{4: 0, 5: 1, 6: 0, 7: 1} {
		b := start(t, s, engines(n))
		used := [2]map[uint32]bool{{}, {}}
		for i := range 400 {
			id, class := fmt.Sprint("r", i), i%2
			snd := one[Send](t, b.step(Request{ID: id, Class: class, Timeout: 4 * sec, Group: 7, Work: 50 * ms}))
			used[class][snd.Engine] = true
			b.step(Outcome{ID: id, Engine: snd.Engine, Status: OK, Closed: true})
		}
		common := 0
		for e := range used[0] {
			if used[1][e] {
				common++
			}
		}
		if common != both || len(used[0])+len(used[1]) != n+both {
			t.Fatalf("%d engines: waiters on %v, holders on %v", n, used[0], used[1])
		}
	}
}

// TestEnginesLongGoneAreForgotten: on a day of replacements all that had ever been listed were looked at in each step.
func TestEnginesLongGoneAreForgotten(t *testing.T) {
	b := start(t, base(), engines(2))
	list := engines(2)
	list[1].State = Removed
	id := ""
	for i := 0; id == ""; i++ { // one that is out on the engine that goes
		id = fmt.Sprint("r", i)
		if one[Send](t, b.step(Request{ID: id, Timeout: 1000 * sec, Group: -1, Work: 50 * ms})).Engine != list[1].ID {
			id = ""
		}
	}
	b.step(EndpointsChanged{Kind: Partial, Engines: list[1:]})
	b.pass(removedEngineRetention / 2)
	if len(b.c.engines) != 2 {
		t.Fatal("forgotten at once")
	}
	b.pass(removedEngineRetention)
	if len(b.c.engines) != 2 {
		t.Fatal("forgotten with an attempt out")
	}
	b.step(Outcome{ID: id, Engine: list[1].ID, Status: OK, Closed: true})
	b.pass(sec)
	if len(b.c.engines) != 1 || len(b.c.enginesByID) != 1 || len(b.c.enginesByGossipID) != 1 {
		t.Fatalf("%d engines remembered", len(b.c.engines))
	}
}

// hangingDay plays four engines of which the first so many hang on the heavy class and answer the rest, until it ends.
// It returns what went to those of the heavy class in each of the last windows of 5 s.
func hangingDay(t *testing.T, hanging, windows int, until time.Duration) (sends []int, b *bed) {
	s := base()
	s.Replicas, s.ProgressInterval = 3, 0
	b = start(t, s, engines(4))
	type answer struct {
		at time.Duration
		ev Outcome
	}
	var due []answer
	sends = make([]int, windows)
	began := b.now
	for n := 0; b.now < began+time.Duration(windows)*5*sec; n++ {
		b.now += 10 * ms
		var ev []Event
		for i := 0; i < len(due); i++ {
			if due[i].at <= b.now {
				ev = append(ev, due[i].ev)
				due = append(due[:i], due[i+1:]...)
				i--
			}
		}
		if n%2 == 0 {
			class := 0
			if n%10 == 0 {
				class = 1
			}
			ev = append(ev, Request{ID: fmt.Sprint(n), Class: class, Tenant: n % 2, Timeout: 4 * sec, Group: n % 7, Work: time.Duration(1+2*class) * 20 * ms})
		}
		for _, snd := range pick[Send](b.step(ev...)) {
			r := b.c.requests[snd.ID]
			o := Outcome{ID: snd.ID, Engine: snd.Engine, Attempt: len(r.attempts) - 1, Status: OK, Latency: 40 * ms, Work: r.Work, Report: &Report{Held: 1, Queue: -1, Util: 0.1, Memory: -1, Disks: -1}}
			at := b.now + 40*ms
			if r.Class == 1 && int(snd.Engine) <= hanging {
				sends[int((b.now-began)/(5*sec))]++
				if b.now < began+until {
					at = b.now + 4*sec + 100*ms // its client has left, and it was asked for no more
					o.Status, o.Closed = Cancelled, true
				}
			}
			due = append(due, answer{at, o})
		}
	}
	return sends, b
}

// TestAClassThatHangsIsKeptFromItsEngine: an engine that answers the other classes reads as idle and well. Without the rest
// it drew more of the class that hangs there than any other, until that filled every bound.
func TestAClassThatHangsIsKeptFromItsEngine(t *testing.T) {
	sends, b := hangingDay(t, 1, 6, 20*sec)
	if sends[1] > 4 || sends[2] > 2 || sends[3] > 2 {
		t.Fatalf("%v heavy queries in windows of 5 s to an engine on which they hang", sends)
	}
	if sends[5] < 5 {
		t.Fatalf("%v heavy queries in windows of 5 s: it is well since 20 s, and not used", sends)
	}
	for _, e := range b.c.engines {
		if e.ejected {
			t.Fatalf("engine %d is ejected, and answers", e.ID)
		}
	}
}

// TestAClassIsNeverKeptFromMostEngines: one engine alone can't serve what all others are kept from.
func TestAClassIsNeverKeptFromMostEngines(t *testing.T) {
	_, b := hangingDay(t, 3, 1, 5*sec)
	if n := b.c.restingEngines(1); n != 2 {
		t.Fatalf("%d of 4 engines rest for the class, which hangs at 3", n)
	}
}
