// The decisions of the admission controller. Its types (settings, events, actions) are in api.go;
// what it remembers, and the bookkeeping on it, in state.go.
//
// The ordinary path: a request joins its tenant's queue; tenants leave their queues by weighted deficit
// round robin, oldest first; an admission is checked against the tenant's running and memory caps; the
// engine is drawn at random among those with room, weighted against reported load plus own sends since.
// The departures from that path are named in docs/design.md under the names used here.

package admission

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"beechcart/decision/slowstart"
)

// The tuned values. Each says what it is for; none is fitted to one deployment.
const (
	wake        = 20 * time.Millisecond  // housekeeping while anything waits
	idleWake    = 250 * time.Millisecond // housekeeping otherwise
	reportLag   = 150 * time.Millisecond // a report that arrives now does not show sends younger than this
	reportFade  = 1500 * time.Millisecond
	paceFade    = 5 * time.Second        // the pace of an engine not heard from goes to that of all
	usualFade   = 3 * time.Second        // own threads at an engine are smoothed over so long
	probeShare  = 0.3                    // probes for each own query at the most, in bursts of so many ...
	probeSpend  = 0.012                  // ... and points of service that they may cost
	probeBurst  = 6                      // ... kept until so many go at once
	askFor      = 500 * time.Millisecond // the word of a burst waits so long for all its probes
	tellBytes   = 160.0                  // bytes for each own query at the most, over all receivers
	tellSize    = 3                      // bytes of a word: two for the engine, one for load or failure
	tellScale   = 160                    // parts in which a load is told
	tellFailed  = 255
	luckFor     = 2000 * time.Millisecond // how long a chance that was drawn holds
	stretch     = 2                       // engines to draw from, where only own answers bring reports
	stretchFrom = 10                      // gateways from which on; fewer see enough of all engines each
	leanFew     = 4.0                     // power of the room in the draw: homes outweighed the square
	leanMany    = 2.0                     // ... where many hear the same reports, and jam what looks idle
	busyLevel   = 0.85                    // load above which an engine, or the fleet, is under pressure
	factorStart = 1.4                     // threads per core
	factorLow   = 0.7
	factorHigh  = 2.2
	calmSpare   = 2.0  // deviations of own threads that our part of the fleet's bound may be passed by
	busySpare   = 1.2  // the same when the fleet's reports show pressure
	smallSpare  = 1.5  // bounds are wider by this for small classes: the rare heavy must not starve them
	calmLevel   = 0.6  // load under which answers show the usual pace of a class
	calmSlow    = 0.3  // logarithm of the slowdown assumed on calm engines before any was seen
	slowGoal    = 2.4  // slowdown, against calm engines, that the thread factor steers to
	memoryFill  = 0.95 // share of an engine's memory that own grants may fill
	ownGrant    = 1.25 // grant over the estimate where the engine alone decides
	grantSpare  = 1.5  // over the corrected estimate: at 1.15 over 40% spilled, at 2.0 memory ran short
	overdueBy   = 4.0  // an attempt is overdue after this many times its expected time, and overdueMin
	overdueMin  = 300 * time.Millisecond
	silentCount = 2    // overdue attempts, with no answer since, that make an engine silent
	badBy       = 4.0  // times the expected time foretold that tell a bad plan ...
	badGain     = 2.0  // ... and expected times that another attempt must save
	vainPart    = 0.7  // of the time foretold to be left: notes are rough
	errorFade   = 0.1  // how fast an engine's share of errors falls with answers
	errorStep   = 0.25 // ... and rises with errors: few of own queries tell of them
	errorMany   = 0.5  // share from which an engine gets nothing that an error would end
	resets      = 2    // in a row eject an engine: one alone may be a lost answer
	probeMisses = 2    // failed probes in a row that eject
	lossRate    = 0.04 // how fast the share of lost answers follows
	lossy       = 0.08 // that share, from which small attempts are not waited for ...
	lossWait    = 2.5  // ... longer than this many times their expected time
	ejectFirst  = 1 * time.Second
	ejectMost   = 8 * time.Second
	coldFine    = 0.5             // part of the cold budget for work finer than our part of it ...
	coldLeaving = 0.5             // ... of our part while we end: our successor may run beside us ...
	coldTurn    = 0.27            // ... and for each of the two turns that any window holds
	coldSlot    = 0.55            // slots of turns in windows: half a one, and the time that a turn lasts
	lateKeep    = 0.25            // late worth from which a late request stays in the queue
	lateMargin  = 2.5             // a waiting request is late once so many times its service no longer fits
	fitMargin   = 1.5             // times the expected time that must fit before the client leaves ...
	fitCalm     = 0.5             // ... and while the fleet is calm: an idle engine may as well try
	metBias     = 0.02            // for an engine where the request would stand behind a holder of its group
	middleBias  = 0.3             // for the engine between those of holders and of those that wait for them
	homeBias    = 2.0             // how far a table group bends the draw to its home engine: 4 cost more
	guessFor    = 3 * time.Second // an engine that was lost counts as cold until the list had time to tell
	fullRest    = 200 * time.Millisecond
	askAgain    = 500 * time.Millisecond // after discovery failed
	fixRate     = 0.03                   // how fast the correction of estimates follows
	fixAfter    = 5                      // answers before it is used
	spareTokens = 3.0                    // reserve of a tenant beyond two seconds of its rate, for chance
	rateFade    = 15 * time.Second       // own arrivals are smoothed over so long: longer than most bursts
	stopMargin  = 600 * time.Millisecond // before the gateway's end: for cancels to be proved
	goneFor     = 2 * time.Minute        // engines that are gone are remembered for, lest they come back
	lookAhead   = 8                      // requests of one list looked at behind one that has no room
	queueFactor = 12                     // queue depth per own thread, of at least queueLeast
	queueLeast  = 32
)

// prior is the work assumed of a class before its first answers: its aim tells the scale.
func prior(cl *Class) float64 { return cl.LatencyObjective.Seconds() * float64(cl.Threads) / 3 }

func (c *Controller) startCold(e *engine, at time.Duration) {
	e.coldFrom, e.repAt, e.guess, e.lost, e.rest = at, -1, 0, false, 0
	clear(e.mutes)
	e.ejected, e.strikes, e.pace, e.factor, e.lastOK = false, 0, 1, factorStart, c.now
}

// ready is what an engine can do now, as a share of what it can do warm.
func (c *Controller) ready(e *engine) float64 {
	age := float64(c.now-e.coldFrom) / math.Max(float64(c.set.Cold), 1)
	if e.coldFrom >= 0 && (age >= 1 || (e.guess > 0 && c.now-e.guess > guessFor)) {
		e.coldFrom, e.spent, e.guess = -1, nil, 0
	}
	if e.coldFrom < 0 {
		return 1
	}
	return c.set.ColdFrom + (1-c.set.ColdFrom)*math.Max(age, 0)
}

// coldRoom guards against pushing a cold engine over: all gateways together stay within its budget in any
// window, in the usual work of the classes, against the least it can do (ColdFrom). Work much finer than our
// part goes within that part. Heavier work goes in turns: each gateway whose stretch reaches it has one, by
// the list and the clock, and no window meets more than two (decision/slowstart). When it went by chance, never
// beside fine work, it stood for 15 s while new engines idled (docs/fleet.md). Those that came past engines
// ejected or erring leave it alone, and so does one that started within the window and does not know what its
// last run spent; one that ends may have its successor beside it. May harm where no gateway near it has
// anything to send, and after a change of the list; where clocks differ, turns meet by chance.
func (c *Controller) coldRoom(e *engine, work float64) bool {
	if c.ready(e) >= 1 || c.set.FallMultiple <= 0 {
		return true
	}
	if c.now < c.startedAt+c.set.FallWindow || e.share.PartAt(c.now, c.set.FallWindow) == 0 {
		return false
	}
	budget, fine, heavy := c.coldBudget(e, work)
	if c.stopAt > 0 {
		fine *= coldLeaving
	}
	if !heavy {
		return work+e.spentSince(c.now-c.set.FallWindow, false) <= fine
	}
	slot := time.Duration(coldSlot * float64(c.set.FallWindow))
	if c.stopAt > 0 || !e.share.Turn(c.now, slot) {
		return false
	}
	if c.now >= e.luckUntil {
		e.luck, e.luckUntil = c.rand(), c.now+slot
	}
	spent := e.spentSince(c.now-slot, true)
	window := slowstart.Window{Budget: budget, Mean: c.meanWork(), Fine: coldFine, Turn: coldTurn}
	return spent+work <= budget*coldTurn || (spent == 0 && e.luck < window.HeavyChance(work, c.now, slot))
}

// coldBudget is what a cold engine may get in a window, at the least, our part of it for fine work, and
// whether this work is too heavy for that part.
func (c *Controller) coldBudget(e *engine, work float64) (all, fine float64, heavy bool) {
	all = c.set.FallMultiple * (c.set.ColdFrom + c.ready(e)) / 2 * e.cores * c.set.FallWindow.Seconds()
	fine = all * coldFine * e.share.PartAt(c.now, c.set.FallWindow)
	return all, fine, work > fine/2
}

func (c *Controller) request(ev Request) {
	if c.reqs[ev.ID] != nil || ev.Class < 0 || ev.Class >= len(c.set.Classes) {
		return
	}
	cl, k := &c.set.Classes[ev.Class], &c.classes[ev.Class]
	r := &request{Request: ev, cls: cl, arrived: c.now, due: c.dueBy(c.now + ev.Timeout)}
	if c.set.Budgeted {
		c.takenAt = append(c.takenAt, c.now)
	}
	if ev.Tenant < 0 || ev.Tenant >= len(c.tens) {
		r.Tenant = 0
	}
	r.ten = c.tens[r.Tenant]
	r.MemMB = math.Max(r.MemMB, 0)
	if k.estN++; r.Work > 0 && k.n < fixAfter { // before answers tell, estimates do
		k.work += (r.Work.Seconds() - k.work) / k.estN
	}
	// A try with less time left than any first try is of an older request, unless its caller marks such.
	spent := max(0, cl.Deadline*3/4-ev.Timeout)
	if c.set.MarksRetry && !ev.Retry {
		spent = 0
	}
	stretch := time.Duration(cl.ObjectivePerWork * c.workOf(r) / float64(cl.Threads) * float64(time.Second))
	r.aim = min(c.now+cl.LatencyObjective+stretch-spent, r.due)
	c.arrivals(r.ten)
	r.ten.rate += 1 / rateFade.Seconds()
	r.over = c.beyondShare(r)
	c.probes = math.Min(c.probes+c.probeRate(), probeBurst)
	c.bytes = math.Min(c.bytes+tellBytes, 64*tellBytes)
	c.reqs[r.ID] = r
	c.open = append(c.open, r)
	if cl.Ordered && r.Key != "" {
		if c.keys[r.Key] == nil {
			c.keys[r.Key] = &keyLine{}
		}
		c.keys[r.Key].line = append(c.keys[r.Key].line, r)
	}
	c.enqueue(r, false)
	if !c.fits(r, 1) { // it may come with no time left at all
		c.giveUp(r)
	} else if c.queued > max(queueLeast, int(c.fleet.run*queueFactor)) {
		c.shed()
	}
}

// stop caps all waits by the gateway's end: what can't be served before is refused while its client has time
// to ask another gateway (fits), and what may be repeated is called back shortly before (callBack).
func (c *Controller) stop(ev ShutdownRequested) {
	c.stopAt = c.now + ev.Timeout
	for _, r := range c.open {
		r.due = c.dueBy(r.due)
	}
}

func (c *Controller) dueBy(due time.Duration) time.Duration {
	if c.stopAt > 0 {
		due = min(due, c.stopAt)
	}
	return due
}

// ending tells that the gateway is about to end: what ends without an answer now goes to another gateway.
func (c *Controller) ending() bool { return c.stopAt > 0 && c.now >= c.stopAt-stopMargin }

// callBack ends what is out and may be repeated elsewhere, once the gateway is about to end: else its clients
// would wait out their time for an answer that never comes.
func (c *Controller) callBack() {
	if !c.ending() {
		return
	}
	for _, r := range c.open {
		if r.cls.Idempotency == Idempotent && !r.streaming {
			c.recall(r)
		}
	}
}

// beyondShare meters a tenant against this gateway's part of its allowance.
func (c *Controller) beyondShare(r *request) bool {
	if r.Tenant >= len(c.set.Tenants) || c.set.Tenants[r.Tenant].RequestsPerSecond <= 0 {
		return false
	}
	t, rate := r.ten, c.set.Tenants[r.Tenant].RequestsPerSecond/float64(c.set.Replicas)
	rate *= c.uneven(c.arrivals(t), rate)
	t.tokens = math.Min(t.tokens+rate*(c.now-t.filled).Seconds(), 2*rate+spareTokens)
	over := t.tokens < 1
	if t.filled = c.now; !over {
		t.tokens--
	}
	return over
}

// uneven is how many times an equal part our own part is, by what arrives here against an equal part of what
// the allowances let through. Overload and repeats of clients come to 2.5 at equal gateways (from 1.5 on, an
// overload lost 0.15); more is a gateway with more clients. The sum over all stays under the equal parts and
// what arrives. Covers clients that stick to a gateway; may harm in a tenant's burst of longer than rateFade.
func (c *Controller) uneven(rate, equal float64) float64 {
	if c.set.Replicas < stretchFrom || equal <= 0 {
		return 1
	}
	x := rate / equal
	return math.Max(1, math.Min(x, 2*(x-2)))
}

// rank is 1 for what is served only when nothing of rank 0 waits in its class.
func (c *Controller) rank(r *request) int {
	if !r.over && !r.late {
		return 0
	}
	return 1
}

// shed refuses one request when the queue is full: over-share and late first, then least worth per work,
// then the youngest of the longest list.
func (c *Controller) shed() {
	var worst *request
	low, long := math.Inf(1), 0
	for _, t := range c.tens {
		for i := range t.lists {
			for rank, list := range t.lists[i] {
				if len(list) == 0 {
					continue
				}
				r := list[len(list)-1]
				d := r.cls.PriorityWeight/c.workOf(r) - float64(rank)*1e9
				if d < low || (d == low && len(list) > long) {
					low, long, worst = d, len(list), r
				}
			}
		}
	}
	c.giveUp(worst)
}

// workOf is the expected work of a request, in seconds over all its threads.
func (c *Controller) workOf(r *request) float64 {
	work := c.classes[r.Class].work
	if r.Work > 0 {
		work = r.Work.Seconds() * c.classes[r.Class].workFix
	}
	return math.Max(work, 0.001)
}

// memOf is the memory that a request will hold: our grant or the engine's own; 0 when nothing tells it.
func (c *Controller) memOf(r *request) float64 {
	k := &c.classes[r.Class]
	switch {
	case r.MemMB <= 0:
		return k.mem * grantSpare
	case c.set.Grants:
		return r.MemMB * k.memFix * grantSpare
	}
	return r.MemMB * ownGrant
}

// admit runs the deficit round robin, rank by rank: within the share and in time first.
func (c *Controller) admit() {
	for rank := range 2 {
		for idle, pass := 0, 0; idle < len(c.tens) && pass < 400*len(c.tens); pass++ {
			idle++
			if c.serve(c.tens[c.turn%len(c.tens)], rank) {
				idle = 0
			}
			c.turn++
		}
	}
}

// serve gives one tenant its quantum and sends what it covers; false when the tenant has nothing to send.
func (c *Controller) serve(t *tenant, rank int) bool {
	r, e := c.candidate(t, rank)
	if r == nil {
		if t.idle() {
			t.deficit = 0 // credit is kept for want of room, not for want of requests
		}
		return false
	}
	most := 4 * c.heaviest() * t.weight // no query is larger than any deficit can grow to
	t.deficit = math.Min(t.deficit+most/32, most)
	for cost := 0.0; r != nil; r, e = c.candidate(t, rank) {
		if cost = math.Min(c.workOf(r), most); cost > t.deficit {
			break
		}
		t.deficit -= cost
		c.send(r, e)
	}
	return true
}

// candidate is the tenant's next request that may go, and its engine: by worth per work, then oldest first.
func (c *Controller) candidate(t *tenant, rank int) (*request, *engine) {
	for _, class := range c.order {
		list := t.lists[class][rank]
		if rank > 0 && c.waiting(class) {
			continue
		}
		looked := 0
		for _, r := range list {
			if !c.inTurn(r) {
				continue
			}
			if looked++; looked > lookAhead {
				break
			}
			if c.mayGo(r) {
				if e := c.draw(r); e != nil {
					return r, e
				}
			}
		}
	}
	return nil, nil
}

// inTurn holds the order by key, and the budget of further attempts. What is not in turn holds back nothing:
// else a late head of a key would wait for its own successors, and eight behind a key at rest hold up all.
func (c *Controller) inTurn(r *request) bool {
	if k := c.keys[r.Key]; r.cls.Ordered && r.Key != "" && (k == nil || k.line[0] != r || c.now < k.rest) {
		return false
	}
	return len(r.tries) == 0 || c.inBudget(r, 0)
}

// mayGo holds the caps that do not depend on the engine: our part of the fleet's bound, the tenant's running
// and memory caps. Small classes are capped among themselves: our part may be less than one heavy query.
func (c *Controller) mayGo(r *request) bool {
	f, lump := &c.fleet, float64(r.cls.Threads)/math.Max(c.fleet.run, 1e-3)
	most := 1 + calmSpare*math.Sqrt(lump) // chance brings some gateways more, the fewer queries a part holds
	if f.avg > busyLevel {
		most = busySpare
	}
	run, mem := c.running, r.ten.mem
	if c.small(r.Class) {
		most *= smallSpare
		run, mem = c.smallRun, r.ten.smallMem
	}
	return run+c.chance()*float64(r.cls.Threads) <= most*f.run &&
		(r.ten.running == 0 || r.ten.running < f.cap) &&
		(f.mem == 0 || mem == 0 || mem+c.memOf(r) <= math.Min(most, float64(c.set.Replicas))*f.mem)
}

// chance is our draw for what comes in parts of a query; it holds, so that asking again wins nothing.
func (c *Controller) chance() float64 {
	if c.now >= c.luckUntil {
		c.luck, c.luckUntil = c.rand(), c.now+luckFor
	}
	return c.luck
}

// survey sums the fleet up, once a step: its load, its pace, and what own caps come to.
func (c *Controller) survey() {
	c.paces = c.paces[:0]
	f := fleet{}
	rate, equal := 0.0, 0.0
	for i, t := range c.set.Tenants {
		rate, equal = rate+c.arrivals(c.tens[i]), equal+t.RequestsPerSecond/float64(c.set.Replicas)
	}
	c.ours = c.uneven(rate, equal)
	out := 0.0
	sum, heard := 0.5e-3, 1e-3 // before anything was heard, half
	for _, e := range c.engines {
		if !e.gone {
			f.all++
			f.cores += e.cores
		}
		if e.gone || e.ejected {
			continue
		}
		f.used++
		e.pace += (c.all.pace - e.pace) * math.Min(float64(c.now-c.surveyed)/float64(paceFade), 1)
		out += float64(len(e.outs))
		e.usual += (e.threads - e.usual) * math.Min(float64(c.now-c.surveyed)/float64(usualFade), 1)
		c.paces = append(c.paces, e.pace)
		if e.repAt >= 0 || c.set.LoadReporting == NoLoadReports {
			w := e.cores * math.Max(c.fresh(e), 1e-3)
			sum, heard = sum+w*c.reported(e), heard+w
		}
	}
	if out > 0 {
		c.meanTh += (c.running/out - c.meanTh) * math.Min(float64(c.now-c.surveyed)/float64(rateFade), 1)
	}
	f.avg, f.pace = math.Min(sum/heard, 2), median(c.paces, 1)
	for _, e := range c.engines {
		limit := c.limit(e)
		switch {
		case e.gone || e.ejected:
			// What is stuck there takes nothing from the others: it must not fill the caps.
			f.run, f.cap, f.mem = f.run+e.threads, f.cap+e.threads, f.mem+e.mem
			continue
		case c.calm(e, 1, f.avg):
			f.cap += math.Max(limit, e.threads+e.cores)
		default:
			f.cap += limit
		}
		f.run += limit / c.part / float64(c.set.Replicas) * c.ours
		f.mem += e.memory / float64(c.set.Replicas) * c.ours
	}
	c.fleet, c.surveyed = f, c.now
	slices.SortStableFunc(c.order, func(a, b int) int {
		return cmp.Compare(
			c.set.Classes[b].PriorityWeight/c.classes[b].work,
			c.set.Classes[a].PriorityWeight/c.classes[a].work)
	})
	c.arc()
}

// arc gives each gateway its own stretch of a ring of the engines, where it can't hear enough of all. They
// start evenly over the capacity and are of equal capacity, so that all engines get as much, each from fewer.
// With more clients a stretch is longer by as much, and the part of each engine the same.
func (c *Controller) arc() {
	c.subset, c.base, c.part = math.Inf(1), math.Inf(1), 1/float64(c.set.Replicas)
	share := stretch / math.Max(float64(c.fleet.all), 1)
	if !c.set.GossipAllowed && c.set.Replicas >= stretchFrom && share < 1 {
		c.base, c.part = c.fleet.cores*share, math.Min(1, c.part/share)
		c.subset = c.base * c.ours
	}
	c.divide()
}

// fresh is how far a report still counts: it fades by its age.
func (c *Controller) fresh(e *engine) float64 {
	if e.repAt < 0 {
		return 0
	}
	return math.Exp(-float64(max(0, c.now-e.repAt-reportLag)) / float64(reportFade))
}

// inBudget tells whether a further attempt of the request stays within the budget, where there is one, beside
// so many others that are promised. The last one is kept for classes worth more than the request's.
func (c *Controller) inBudget(r *request, promised int) bool {
	if !c.set.Budgeted {
		return true
	}
	c.slide(c.now - c.set.TrySpan)
	if slices.ContainsFunc(c.set.Classes, func(o Class) bool { return o.PriorityWeight > 2*r.cls.PriorityWeight }) {
		promised++
	}
	most := c.set.SpareTries + c.set.TryRatio*float64(len(c.takenAt))
	return float64(len(c.extraAt)+promised+1) <= most
}

// load estimates an engine's load: its report, faded by age to the average, plus own sends since.
func (c *Controller) load(e *engine, avg float64) float64 {
	since, _ := e.sentSince(reportLag)
	fade := c.fresh(e)
	return fade*c.reported(e) + (1-fade)*avg + since/e.cores
}

// reported is the load that the last report tells: use or, which tells a jam, threads held over what is well
// carried, the greater. Where neither is told, own threads, smoothed, over our part stand in.
func (c *Controller) reported(e *engine) float64 {
	threads := e.usual / c.part
	if e.rep.Held >= 0 {
		threads = e.rep.Held * c.meanTh
	} else if e.rep.Util >= 0 {
		return e.rep.Util
	}
	return math.Max(e.rep.Util, threads/e.cores/c.all.factor)
}

// limit is the bound on own threads at an engine: its cores, this gateway's part, the threads a core that
// the engine has lately carried well, and what a cold start leaves of it.
func (c *Controller) limit(e *engine) float64 {
	return e.cores * math.Min(e.factor, c.all.factor) * c.ready(e) * c.part
}

// calm tells an engine that is not under pressure, with so many threads more, in as far as the load is ours.
func (c *Controller) calm(e *engine, th, avg float64) bool {
	load := c.load(e, avg) + th*math.Min(1, 3*c.part)/e.cores
	return load <= busyLevel*c.ready(e) && e.rep.Disks < busyLevel && e.rep.Queue <= 0 && e.pace < slowGoal
}

// room tells whether an engine takes one more of the request. The bound binds only under pressure, and where
// it is under one query, only on fresh word of the engine's own.
func (c *Controller) room(e *engine, r *request, avg float64) bool {
	th, limit, fill, held := float64(r.cls.Threads), c.limit(e), memoryFill, e.mem
	if c.small(r.Class) {
		limit, held = limit*smallSpare, e.smallMem
	} else {
		fill *= 0.85 // what the heavy leave is room for the small, which would wait long for it
	}
	if (limit >= th || c.fresh(e) > 0.5) && !c.calm(e, th, avg) && e.threads+c.chance()*th > limit {
		return false
	}
	need, free := c.memOf(r), e.memory*fill*c.part-held
	if e.rep.Memory >= 0 && c.fresh(e) > 0.4 {
		_, since := e.sentSince(reportLag)
		free = math.Max(free, e.memory*(fill-e.rep.Memory)-since)
	}
	return e.threads == 0 || e.memory <= 0 || need <= free
}

// small tells a class whose work is well under the mean of the heaviest.
func (c *Controller) small(class int) bool {
	return c.classes[class].work < c.heaviest()/4
}

// allowed holds the rules that bind a request to engines: keyed groups and windows, and the cold budget;
// drains and placement are kept by nearby. It also keeps the rest of an engine for a class (quieten).
func (c *Controller) allowed(e *engine, r *request) bool {
	if r.doubt && r.cls.Idempotency == IdempotentWithKey && (c.now >= r.doubtSent+r.cls.DeduplicationWindow ||
		(r.cls.DeduplicationScope == ScopeZone && e.Zone != r.doubtAt.Zone) ||
		(r.cls.DeduplicationScope == ScopeCell && e.Cell != r.doubtAt.Cell)) {
		return false
	}
	return c.now >= e.mutes[r.Class].until && c.coldRoom(e, c.classes[r.Class].work)
}

// nearby gathers the engines the request may be drawn from: along the own stretch, neither draining nor gone,
// and where its class is placed.
func (c *Controller) nearby(r *request) {
	c.along(c.subset, func(e *engine) (float64, bool) {
		ok := within(r.cls.OnlyZones, e.Zone) && within(r.cls.OnlyKinds, e.Kind)
		ok = ok && (!e.ejected || c.healthy(e, r))
		return e.cores * math.Max(0, 1-3*e.erring()), ok // the own stretch goes on behind one of errors
	})
	c.homes, c.clean = c.homes[:0], false
	for _, e := range c.near {
		c.clean = c.clean || e.errs <= errorMany
		c.homes = append(c.homes, homeHash(r.Group, e.ID))
	}
	slices.Sort(c.homes)
}

// draw picks an engine at random among those with room, weighted against load.
func (c *Controller) draw(r *request) (picked *engine) {
	c.nearby(r)
	c.weights = c.weights[:0]
	avg, sum, lean := c.fleet.avg, 0.0, leanFew
	if c.set.GossipAllowed && c.set.Replicas >= stretchFrom {
		lean = leanMany
	}
	for _, e := range c.near {
		w := 0.0
		fits := c.fits(r, math.Max(e.pace, c.fleet.pace))
		if fits && c.allowed(e, r) && c.healthy(e, r) && c.room(e, r, avg) {
			w = e.cores * c.ready(e) * math.Pow(math.Max(0.03, 1.3-c.load(e, avg)), lean)
			w *= math.Pow(math.Min(1, c.fleet.pace/e.pace), 3) * c.tablesBias(e, r)
			w *= math.Pow(1-e.erring(), 4)
			if c.set.Zone >= 0 && e.Zone == c.set.Zone {
				w *= 1.5
			}
			for n := range r.tries {
				if r.tries[n].eng == e {
					w *= 0.01
				}
			}
		}
		c.weights = append(c.weights, w)
		sum += w
	}
	x := c.rand() * sum
	for i, w := range c.weights {
		if w > 0 && x >= 0 {
			picked = c.near[i]
			x -= w
		}
	}
	return picked
}

// tablesBias ranks the engines for each table group, alike at all gateways: readers bend to the first, and
// holders and those that wait for them part.
func (c *Controller) tablesBias(e *engine, r *request) float64 {
	if r.Group < 0 {
		return 1
	}
	at, _ := slices.BinarySearch(c.homes, homeHash(r.Group, e.ID))
	bias, before := 1.0, len(c.homes)-1-at
	apart := c.anyWaits() && (r.cls.LocksTables || r.cls.WaitsForLocks) && len(c.homes) >= 4
	switch far := 2*before >= len(c.homes); {
	case apart && 2*before == len(c.homes)-1: // the middle one of an odd number is open to both
		bias = middleBias
	case apart && far != r.cls.LocksTables:
		return 0 // on a hot group a holder follows on the last, and waiters would fill the engine
	case before == 0 && !r.cls.LocksTables:
		bias = homeBias
	case before == 1 && !r.cls.LocksTables:
		bias = math.Sqrt(homeBias)
	}
	for _, a := range e.outs {
		o := a.req.cls
		if a.req.Group == r.Group && ((o.LocksTables && (r.cls.WaitsForLocks || r.cls.LocksTables)) ||
			(o.WaitsForLocks && r.cls.LocksTables)) {
			bias *= metBias
		}
	}
	return bias
}

// send starts an attempt, terms first, with no time-out short of the client's: such cut costly queries.
func (c *Controller) send(r *request, e *engine) {
	c.dequeue(r)
	a := attempt{
		eng: e, sent: c.now, threads: float64(r.cls.Threads), mem: c.memOf(r), open: true,
		small: c.small(r.Class), base: c.load(e, c.fleet.avg) < calmLevel && c.ready(e) >= 1,
		expect: c.service(r, math.Max(e.pace, c.fleet.pace)),
	}
	c.terms(r, &a)
	c.settle(r)
	if len(r.tries) > 0 && c.set.Budgeted {
		c.extraAt = append(c.extraAt, c.now)
	}
	if c.ready(e) < 1 {
		work := c.classes[r.Class].work
		_, _, heavy := c.coldBudget(e, work)
		e.spend(spend{c.now, work, heavy}, c.set.FallWindow)
	}
	r.tries = append(r.tries, a)
	e.outs = append(e.outs, &attemptRef{r, len(r.tries) - 1})
	c.hold(r, &a, 1)
	if e.ejected {
		e.trickle++
	}
	if m := &e.mutes[r.Class]; m.hold > 0 {
		m.hold = min(2*m.hold, ejectMost)
		m.until = c.now + m.hold
	}
	c.do(Send{ID: r.ID, Engine: e.ID, Cap: r.due - c.now})
}

// terms sets priority by worth per expected work, and the grant from the corrected estimate.
func (c *Controller) terms(r *request, a *attempt) {
	pri, grant := 1, 0.0
	switch {
	case !c.set.Priorities:
	case r.cls.LocksTables && c.anyWaits():
		pri = 2 // a holder that crawls would hold up all that wait behind it
	case c.rank(r) > 0:
		pri = 0
	case c.small(r.Class) || c.workOf(r)*1.5 < c.classes[r.Class].work:
		pri = 2 // not 3: small ones ran at full speed while the heavy, with less slack, took 3.4 times theirs
	}
	if c.set.Grants && a.mem > 0 {
		grant = math.Ceil(a.mem)
		if a.eng.memory > 0 && c.set.MostGrant > 0 {
			grant = math.Min(grant, math.Floor(a.eng.memory*c.set.MostGrant))
		}
		a.mem = grant
	}
	if pri != 1 || grant > 0 {
		c.do(Terms{ID: r.ID, Priority: pri, GrantMB: grant})
	}
}

// outcome releases the attempt first, then learns from it, then decides what follows: another attempt, or the
// final answer at once.
func (c *Controller) outcome(ev Outcome) {
	if e := c.byID[ev.Engine]; e != nil && ev.Report != nil {
		e.rep, e.repAt = *ev.Report, c.now
	}
	r := c.reqs[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].open {
		return
	}
	a := &r.tries[ev.Attempt]
	c.release(r, a)
	if ev.Status == OK {
		c.learn(r, a, ev)
	}
	c.health(a.eng, a, ev)
	if ev.Status == OK || ev.Status == Errored {
		c.classes[r.Class].answered, a.eng.mutes[r.Class] = c.now, mute{answered: c.now}
	}
	if !ev.Status.NeverRan() && ev.Status != OK {
		if !r.doubt {
			r.doubt, r.doubtSent, r.doubtAt = true, a.sent, a.eng
		}
		if k := c.keys[r.Key]; k != nil && ev.Status != Errored && r.cls.Ordered {
			k.rest = max(k.rest, c.now+c.set.KeyCooldown)
		}
	}
	switch {
	case ev.Closed || ev.Status == OK:
		c.close(r)
	case r.done:
		c.forget(r)
	case r.out > 0:
	case r.streaming || c.ending() || !c.fits(r, 1) || len(r.tries) >= c.set.MaxAttempts || !c.mayRepeat(r):
		c.giveUp(r)
	default:
		c.enqueue(r, true)
	}
}

// mayRepeat: an unsafe attempt in doubt is never sent again, a keyed one only within its window.
func (c *Controller) mayRepeat(r *request) bool {
	return !r.doubt || r.cls.Idempotency == Idempotent ||
		(r.cls.Idempotency == IdempotentWithKey && c.now < r.doubtSent+r.cls.DeduplicationWindow)
}

// learn takes the work, memory and pace from an answer.
func (c *Controller) learn(r *request, a *attempt, ev Outcome) {
	k, th := &c.classes[r.Class], float64(r.cls.Threads)
	work := ev.Work.Seconds()
	if work <= 0 && a.base {
		// Nothing tells the cost: times on calm engines stand for it.
		work = math.Min(ev.Latency.Seconds()*th, 20*k.work)
	}
	if r.Work > 0 && ev.Work > 0 { // a bad plan is not the usual work of its class
		work = math.Min(work, badBy*c.workOf(r))
		k.workFix = k.fixWork.add(work, r.Work.Seconds())
	}
	if work > 0 {
		k.n++
		k.work += (work - k.work) * math.Max(0.01, 1/(k.n+4))
	}
	if ev.NeedMB > 0 {
		k.memN++
		k.mem += (ev.NeedMB - k.mem) * math.Max(0.01, 1/k.memN)
		if r.MemMB > 0 {
			k.memFix = k.fixMem.add(ev.NeedMB, r.MemMB)
		}
	}
	if ev.Work <= 0 {
		work = k.work
	}
	if ev.Work > 0 {
		work = ev.Work.Seconds()
	}
	slow := math.Log(math.Min(math.Max(ev.Latency.Seconds()*th/math.Max(work, 1e-3), 0.2), 8))
	if a.base {
		k.slow += (slow - k.slow) * 0.03
	}
	c.steer(a.eng, slow-k.slow)
	c.steer(&c.all, slow-k.slow)
}

// steer moves the thread factor by the slowdown of answers against that of the class on calm engines: up a
// little while they are quick, down by a part when they are slow. It answers whatever takes capacity.
func (c *Controller) steer(e *engine, slow float64) {
	e.pace *= math.Exp((slow - math.Log(e.pace)) * 0.12)
	if e.pace <= slowGoal {
		e.factor = math.Min(factorHigh, e.factor+0.01)
	} else if c.now-e.cutAt > 400*time.Millisecond {
		e.factor, e.cutAt = math.Max(factorLow, e.factor*0.9), c.now
	}
}

// health counts what an outcome says of the engine: an answer clears it, failed connects and resets eject it.
// A lost connection to an engine that answers on the next one says nothing of it.
func (c *Controller) health(e *engine, a *attempt, ev Outcome) {
	if ev.Alive {
		return
	}
	switch s := ev.Status; s {
	case OK, Errored:
		// Errors come fast and leave an engine idle, so that reports draw more to it (i326ad6). Covers a bad
		// release, a full disk; may harm where requests are at fault.
		e.errs -= e.errs * errorFade
		if s == Errored {
			e.errs += (1 - e.errs) * errorStep
		}
		e.lastOK, c.all.lastOK, e.strikes = c.now, c.now, 0
		c.loss -= c.loss * lossRate
		if e.ejected && a.sent >= e.until {
			c.readmit(e)
		}
	case Reset:
		c.loss += (1 - c.loss) * lossRate
		if e.strikes++; e.strikes >= resets {
			c.eject(e)
		}
	case ConnectFailed:
		c.eject(e)
		e.lost = true
	case Overloaded:
		e.factor, e.rest = math.Max(factorLow, e.factor*0.9), c.now+fullRest
	}
}

// erring is the share of errors that counts against an engine: a single one does not.
func (e *engine) erring() float64 { return math.Max(0, e.errs-errorStep) }

// eject takes an engine out of the draw, for longer each time, never more than half of the fleet.
func (c *Controller) eject(e *engine) {
	if e.ejected {
		if c.now >= e.until {
			e.strikes++
			e.until = c.now + min(ejectFirst<<min(e.strikes, 3), ejectMost)
		}
		return
	}
	if 2*(c.fleet.all-c.fleet.used+1) > c.fleet.all {
		return
	}
	c.fleet.used--
	e.ejected, e.strikes, e.until, e.trickle = true, 0, c.now+ejectFirst, 0
	c.do(Log{Text: fmt.Sprintf("engine %d ejected, %d own attempts out", e.ID, len(e.outs))})
	c.takeBackAll(e, -1)
}

// takeBack withdraws an attempt out for longer than expected that may be repeated, so that it goes elsewhere.
// Where further attempts are rationed, none is withdrawn whose repeat could not follow (inBudget).
func (c *Controller) takeBack(o *attemptRef) {
	t := &o.req.tries[o.n]
	if c.mayMove(o) && c.now-t.sent > t.expect {
		c.withdraw(o)
	}
}

// mayMove tells whether an attempt may be withdrawn for another in its place.
func (c *Controller) mayMove(o *attemptRef) bool {
	r, t := o.req, &o.req.tries[o.n]
	return c.set.CancellationAllowed && t.open && !t.recalled &&
		r.cls.Idempotency == Idempotent && !r.streaming && !r.done &&
		len(r.tries) < c.set.MaxAttempts && c.inBudget(r, c.promised)
}

func (c *Controller) withdraw(o *attemptRef) {
	r, t := o.req, &o.req.tries[o.n]
	t.recalled, r.promised = true, true
	c.promised++
	c.do(Cancel{ID: r.ID, Attempt: o.n})
}

// badPlan ends an attempt whose notes foretell many times the expected time at the pace of its engine, where
// another should end well before it. The plan is drawn anew for each attempt while the cost stays: a query
// that showed as much before is costly, and left to run. Covers also an engine grown slow, and long waits for
// memory. May harm where estimates of one class scatter by more than badBy. What can't end before its client
// leaves and can't be repeated is ended too: its work is lost in any case.
func (c *Controller) badPlan(o *attemptRef, done float64) {
	r, t := o.req, &o.req.tries[o.n]
	out := float64(c.now - t.sent)
	total := out / math.Max(done, 1e-3)
	usual := float64(c.service(r, math.Max(t.eng.pace, c.fleet.pace)))
	again := float64(c.service(r, c.fleet.pace))
	bad := total >= badBy*usual && total-out >= badGain*again
	bad = bad && (r.foretold == 0 || total < float64(r.foretold)/2)
	switch vain := out+(total-out)*vainPart > float64(r.due-t.sent); {
	case bad && c.mayMove(o) && c.fits(r, c.fleet.pace):
		r.foretold = time.Duration(total)
		c.withdraw(o)
	case vain && c.set.CancellationAllowed && t.open && !t.recalled && r.cls.Idempotency == Idempotent && !r.streaming:
		t.recalled = true
		c.do(Cancel{ID: r.ID, Attempt: o.n})
	}
}

// healthy lets an ejected engine have one small safe request at a time once its wait is over. One that errs
// in most of its answers gets what may be sent again, as errors cost little there and it still serves some,
// and what an error would end only where no other is near.
func (c *Controller) healthy(e *engine, r *request) bool {
	if !e.ejected {
		ends := r.cls.Idempotency != Idempotent || len(r.tries)+1 >= c.set.MaxAttempts
		return c.now >= e.rest && (e.errs <= errorMany || !ends || !c.clean)
	}
	return c.now >= e.until && e.trickle == 0 && r.cls.Idempotency == Idempotent && len(r.tries) == 0 && c.rank(r) == 0
}

// probeRate is what a query earns for probes. Guards against as many at any price: on days that price them
// tenfold they cost 0.025 to 0.037 of G, more than they told. May harm where reports alone tell a jam.
func (c *Controller) probeRate() float64 {
	if c.set.HealthCheckCost <= 0 {
		return probeShare
	}
	return math.Min(probeShare, probeSpend/c.set.HealthCheckCost)
}

// probe asks engines of the own stretch, as own queries have earned it, and tells peers what the last burst
// brought once all has come: a failed probe ends late, and is the word that counts most. Those least heard of
// go first, but the more gateways share the work the more at random, or all ask the same few (if08b63: a cut
// zone was known after 16 s). May harm: at random some engine stays unheard for longer.
func (c *Controller) probe() {
	if c.asking > 0 && c.now-c.askedAt < askFor {
		return
	}
	cost := float64(len(c.news) * (c.set.Replicas - 1))
	if len(c.news) > 0 && c.set.GossipAllowed && cost > 0 && c.bytes >= cost {
		c.bytes -= cost
		c.do(SendGossip{To: -1, Data: c.news})
	}
	c.news, c.asking = nil, 0
	c.along(c.subset, func(e *engine) (float64, bool) { return e.cores, true })
	if c.set.LoadReporting != HealthCheckReports || !c.set.HealthChecksAllowed ||
		c.probes < math.Min(probeBurst, float64(len(c.near))) {
		return
	}
	slices.SortStableFunc(c.near, func(a, b *engine) int { return cmp.Compare(a.heard, b.heard) })
	skip := float64(max(len(c.near)-probeBurst, 0)) * (1 - 1/float64(c.set.Replicas))
	for _, e := range c.near[int(c.rand()*skip):] {
		if c.probes >= 1 {
			c.probes, e.heard = c.probes-1, c.now
			c.asking, c.askedAt = c.asking+1, c.now
			c.do(HealthCheck{Engine: e.ID})
		}
	}
}

func (c *Controller) probed(ev HealthCheckResult) {
	e := c.byID[ev.Engine]
	if e == nil {
		return
	}
	c.asking--
	word := byte(tellFailed)
	if ev.Status == OK {
		c.alive(e)
	} else {
		c.miss(e, ev.Status == ConnectFailed)
	}
	if ev.Report != nil {
		e.rep, e.repAt = *ev.Report, c.now
		word = byte(min(max(c.reported(e)*tellScale, 0), tellFailed-1))
	}
	if ev.Report != nil || ev.Status != OK {
		c.news = append(c.news, byte(e.hash), byte(e.hash>>8), word)
	}
}

// alive takes an answered probe for a sign of life.
func (c *Controller) alive(e *engine) {
	if e.misses, e.lastOK = 0, c.now; e.ejected {
		c.readmit(e)
	}
}

// miss counts a failed probe, own or told. A process that hangs answers none, while a busy one does.
func (c *Controller) miss(e *engine, refused bool) {
	if !e.ejected {
		e.heard = 0 // asked again first
	}
	if e.misses++; refused || e.misses >= probeMisses {
		c.eject(e)
		e.lost = e.lost || refused
	}
}

// readmit takes an engine back. One that was lost may have restarted before the list says so: for a while
// it is taken for cold.
func (c *Controller) readmit(e *engine) {
	e.ejected = false
	c.fleet.used++
	if e.lost {
		c.startCold(e, c.now)
		e.guess = c.now
	}
}

// note takes word of an attempt that is out, and as a sign of life of its engine.
func (c *Controller) note(ev Progress) {
	if r := c.reqs[ev.ID]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.tries) {
		a := &r.tries[ev.Attempt]
		if a.noted = c.now; ev.Kind == ProgressFraction {
			a.eng.lastOK = c.now
			c.badPlan(&attemptRef{r, ev.Attempt}, ev.Value)
		}
	}
}

// giveUp gives the final answer at once: refused where a repeat is harmless, failed where it may not be.
func (c *Controller) giveUp(r *request) {
	if r.done || r.out > 0 {
		return
	}
	if c.mayRepeat(r) && !r.streaming &&
		(!r.doubt || r.cls.Idempotency == Idempotent || r.cls.DeduplicationScope == ScopeAll) {
		c.do(Reject{ID: r.ID, RetryAfter: min(c.set.MaxRetryAfter, r.cls.LatencyObjective)})
	} else {
		c.do(Fail{ID: r.ID})
	}
	c.close(r)
}

// housekeep gives up what can no longer be served, watches for silence and paces probes and discovery.
func (c *Controller) housekeep() {
	c.open = slices.DeleteFunc(c.open, func(r *request) bool { return r.done })
	for _, r := range c.open {
		c.expire(r)
	}
	for _, e := range c.engines {
		c.watch(e)
	}
	c.forgetGone()
	c.callBack()
	for key, k := range c.keys { // order does not reach an action
		if len(k.line) == 0 && c.now >= k.rest {
			delete(c.keys, key)
		}
	}
	c.probe()
	if c.set.PollDiscovery && !c.asked && c.now >= c.retryAt {
		c.asked = true
		c.do(WatchEndpoints{On: true})
	}
}

// fits guards against work that nobody waits for: what is not expected with some margin, at that pace, before
// its client leaves holds an engine in vain, the more so where none stops it (L9eba4f). It covers callers of
// little patience, waits near their end, engines grown slow. May harm where expected times are far too high.
func (c *Controller) fits(r *request, pace float64) bool {
	margin := fitMargin
	if c.fleet.avg < calmLevel {
		margin = fitCalm
	}
	return c.now+max(2*wake, time.Duration(margin*float64(c.service(r, pace)))) <= r.due
}

// expire refuses a waiting request as soon as it cannot be served in time; where late answers still earn well
// it stays, behind those in time, unless it is ahead of one in the order of a key: all of that would be late.
func (c *Controller) expire(r *request) {
	if !r.queued {
		return
	}
	need := c.service(r, math.Min(c.fleet.pace, 2))
	late := !r.late && c.now+time.Duration(lateMargin*float64(need)) > r.aim
	drop := (late && (r.cls.LateWeight < lateKeep || r.over)) || ((late || r.late) && c.holdsUp(r))
	switch {
	case drop || !c.fits(r, math.Min(c.fleet.pace, 2)) || !c.mayRepeat(r):
		c.giveUp(r)
	case late:
		c.dequeue(r)
		r.late = true
		c.enqueue(r, false)
	}
}

// watch looks at what is out on an engine. One that answers none is told by several own attempts overdue, not
// all of one table group (a holder would explain that); lost answers by notes that stopped or small attempts.
func (c *Controller) watch(e *engine) {
	due := overdue{}
	for _, o := range e.outs {
		t, small := &o.req.tries[o.n], c.small(o.req.Class)
		out := float64(c.now - t.sent)
		if out > overdueBy*float64(max(t.expect, c.service(o.req, c.fleet.pace)))+float64(overdueMin) {
			if t.sent > e.mutes[o.req.Class].answered {
				c.classes[o.req.Class].late.add(o.req.Group, t.sent)
			}
			if t.sent > e.lastOK {
				due.add(o.req.Group, t.sent)
			} else if small && !t.overdue {
				t.overdue = true
				c.loss += (1 - c.loss) * lossRate
			}
		}
		if (c.loss > lossy && small && o.n == 0 && out > lossWait*float64(t.expect)+float64(wake)) ||
			(c.set.ProgressInterval > 0 && c.now-max(t.sent, t.noted) > 3*c.set.ProgressInterval) {
			c.takeBack(o)
		}
	}
	if due.n >= silentCount && due.several && c.now-e.lastOK > 3*(c.now-c.all.lastOK)+3*overdueMin {
		c.eject(e)
	}
	for class := range c.classes {
		c.quieten(e, class)
	}
}

// quieten rests an engine for a class of which it answers none while others do, and then lets one go at a
// time, further apart each time. Guards against a class that hangs at engines that answer the rest: they look
// idle, draw more, and hold what they get until clients leave. Never for most; may harm where one is slow.
func (c *Controller) quieten(e *engine, class int) {
	k, m := &c.classes[class], &e.mutes[class]
	late := k.late
	if k.late = (overdue{}); late.n < silentCount || !late.several || m.hold > 0 ||
		e.lastOK < late.first || c.now-late.first <= 3*(c.now-k.answered)+3*overdueMin ||
		2*(c.muted(class)+1) > c.fleet.used {
		return
	}
	m.hold, m.until = ejectFirst, c.now+ejectFirst
	c.do(Log{Text: fmt.Sprintf("engine %d answers nothing of class %d", e.ID, class)})
}

// told takes a peer's words of engines; what does not read, or names no engine, is passed over.
func (c *Controller) told(ev GossipReceived) {
	if ev.From < 0 || ev.From >= c.set.Replicas || ev.From == c.set.Me {
		return
	}
	for d := ev.Data; len(d) >= tellSize; d = d[tellSize:] {
		e := c.byHash[uint16(d[0])|uint16(d[1])<<8]
		switch word := float64(d[2]); {
		case e == nil || e.gone:
		case word == tellFailed:
			c.miss(e, false)
		default:
			e.rep = Report{Held: -1, Queue: -1, Util: word / tellScale, Memory: -1, Disks: -1}
			e.repAt, e.heard = c.now, c.now
			c.alive(e)
		}
	}
}
