package admission

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"beechcart/decision/slowstart"
)

// This file holds what a controller remembers and the bookkeeping on it. It decides nothing.

type attempt struct {
	eng      *engine
	sent     time.Duration
	threads  float64
	mem      float64
	expect   time.Duration // expected time from sending to answer
	open     bool
	recalled bool
	noted    time.Duration // last word of it
	overdue  bool
	small    bool // of a small class when it was sent
	base     bool // sent while the engine was calm: its time serves as a base
}

type request struct {
	Request
	cls       *Class
	ten       *tenant
	arrived   time.Duration
	due       time.Duration // the client gives up
	aim       time.Duration // full worth until here
	over      bool          // beyond its tenant's share
	late      bool
	queued    bool
	done      bool
	streaming bool
	tries     []attempt
	out       int
	promised  bool          // withdrawn, and its repeat not yet sent
	foretold  time.Duration // what the notes of an attempt that was ended for it foretold
	doubt     bool          // an attempt may have run
	doubtSent time.Duration // when the first such attempt was sent
	doubtAt   *engine
}

type tenant struct {
	lists    [][2][]*request // by class; [1] holds over-share and late requests
	deficit  float64
	weight   float64
	running  float64 // threads of its attempts that are out
	mem      float64
	smallMem float64 // ... that of small classes
	tokens   float64 // of its share
	rate     float64 // own arrivals a second, smoothed
	ratedAt  time.Duration
	filled   time.Duration
}

type engine struct {
	Engine
	cores, memory float64
	gone          bool
	goneAt        time.Duration  // when it went
	coldFrom      time.Duration  // when it started, as far as we know; negative: long ago
	spent         []spend        // own work sent while it is cold
	share         slowstart.Held // our share of what it may get while it is cold
	rep           Report
	repAt         time.Duration // negative: never
	errs          float64       // share of errors in its answers
	misses        int           // failed probes in a row
	lost          bool          // ejected for failed connects or resets: its process may have died
	guess         time.Duration // since when it is taken for cold without word from the list
	rest          time.Duration // full: nothing before this
	heard         time.Duration // when last asked or told of
	hash          uint16        // its name among peers
	outs          []*attemptRef
	threads       float64
	mem           float64
	smallMem      float64 // ... that of small classes
	usual         float64 // own threads, smoothed
	factor        float64 // threads per core
	pace          float64 // slowdown seen, smoothed
	luck          float64 // draw for a part under one query of its cold budget
	luckUntil     time.Duration
	cutAt         time.Duration
	lastOK        time.Duration
	strikes       int
	ejected       bool
	until         time.Duration // no trickle before this
	trickle       int           // attempts out since ejection
	mutes         []mute        // by class
}

// mute is what an engine makes of one class.
type mute struct {
	answered time.Duration // when it answered it last
	until    time.Duration // nothing of it goes there before
	hold     time.Duration // the rest in force; 0: none
}

// overdue counts attempts that are overdue.
type overdue struct {
	n, group int
	several  bool          // they are not all of one group of tables
	first    time.Duration // when the first of them was sent
}

func (t *overdue) add(group int, sent time.Duration) {
	t.several = t.several || group < 0 || (t.n > 0 && group != t.group)
	if t.n == 0 || sent < t.first {
		t.first = sent
	}
	t.group = group
	t.n++
}

type attemptRef struct {
	req *request
	n   int
}

type spend struct {
	at    time.Duration
	work  float64
	heavy bool // went in a turn
}

type learned struct {
	work, mem       float64 // mean seconds of work over all threads; mean MB
	workFix, memFix float64 // truth over estimate
	n, memN         float64
	estN            float64
	fixWork, fixMem ratio
	answered        time.Duration // when any engine answered it last
	late            overdue       // of the engine that is looked at
	slow            float64       // usual slowdown on calm engines, as a logarithm
}

// fleet is what the engines in use come to.
type fleet struct {
	avg, pace     float64 // mean load, median slowdown
	run, cap, mem float64 // own threads in all, a tenant's threads, a tenant's memory
	all, used     int
	cores         float64 // ready by now
}

// Controller decides for one gateway.
type Controller struct {
	set       Settings
	rng       uint64
	now       time.Duration
	acts      []Action
	byID      map[uint32]*engine
	byHash    map[uint16]*engine
	engines   []*engine
	reqs      map[string]*request
	open      []*request // requests without a final answer, oldest first
	tens      []*tenant
	turn      int
	classes   []learned
	keys      map[string]*keyLine
	queued    int
	timer     time.Duration // when the next housekeeping is due
	armed     bool
	meanTh    float64 // mean threads of what is out
	promised  int     // repeats promised to what was withdrawn
	began     bool
	startedAt time.Duration // when this gateway started
	stopAt    time.Duration // when it ends; 0: not for now
	retryAt   time.Duration // when to ask discovery again
	asked     bool
	takenAt   []time.Duration // arrivals and further attempts within the budget's window
	extraAt   []time.Duration

	fleet         fleet
	surveyed      time.Duration
	running       float64       // own threads out
	smallRun      float64       // ... those of small classes
	probes, bytes float64       // what own queries have earned for probes and messages
	asking        int           // probes of the last burst that have not come back
	askedAt       time.Duration // when it went
	news          []byte        // what the last probes brought
	paces         []float64
	loss          float64 // share of answers that are lost
	all           engine  // what the answers of all engines tell together
	luck          float64 // draw for what comes in parts of a query
	luckUntil     time.Duration
	part          float64   // our part of an engine: of those gateways that draw from it
	first         int       // where the own stretch of the ring begins
	capacity      []float64 // cores of the engines along the ring; 0: gone
	relisted      bool      // the list has changed since the shares were last worked out
	subset        float64   // its capacity
	base          float64   // what it would be for a gateway with an equal part of the clients
	ours          float64   // our part against an equal one
	weights       []float64
	near          []*engine // the own stretch, for the request in hand
	homes         []uint64  // its hashes, for the ranking
	clean         bool      // not all of it errs in most of its answers
	order         []int     // classes by worth per work
}

type keyLine struct {
	line []*request
	rest time.Duration
}

func (c *Controller) do(a Action) { c.acts = append(c.acts, a) }

func (c *Controller) enqueue(r *request, front bool) {
	list := &r.ten.lists[r.Class][c.rank(r)]
	if front {
		*list = append([]*request{r}, *list...)
	} else {
		*list = append(*list, r)
	}
	r.queued = true
	c.queued++
}

func (c *Controller) dequeue(r *request) {
	if !r.queued {
		return
	}
	list := &r.ten.lists[r.Class][c.rank(r)]
	for i, q := range *list {
		if q == r {
			*list = append((*list)[:i], (*list)[i+1:]...)
			break
		}
	}
	r.queued = false
	c.queued--
}

// waiting tells whether a request of rank 0 and in turn waits in the class.
func (c *Controller) waiting(class int) bool {
	for _, t := range c.tens {
		if slices.ContainsFunc(t.lists[class][0], c.inTurn) {
			return true
		}
	}
	return false
}

// along gathers in near the engines of the ring from our own place on, neither draining nor gone, that count,
// until what they come to makes up the size.
func (c *Controller) along(size float64, count func(*engine) (float64, bool)) {
	c.near = c.near[:0]
	for i, seen := 0, 0.0; i < len(c.engines) && seen < size; i++ {
		e := c.engines[(c.first+i)%len(c.engines)]
		if e.gone {
			continue
		}
		if w, ok := count(e); ok {
			seen += w
			c.near = append(c.near, e)
		}
	}
}

// divide finds where the own stretch begins and, after a change of the list, our shares of the engines while they are
// cold, with all engines well and an equal part of the clients.
func (c *Controller) divide() {
	c.capacity = c.capacity[:0]
	for _, e := range c.engines {
		cores := e.cores
		if e.gone {
			cores = 0
		}
		c.capacity = append(c.capacity, cores)
	}
	if c.first = 0; !math.IsInf(c.base, 1) {
		c.first = slowstart.First(c.capacity, c.set.Me, c.set.Replicas)
	}
	if !c.relisted {
		return
	}
	c.relisted = false
	for i, share := range slowstart.Shares(c.capacity, c.set.Me, c.set.Replicas, c.base) {
		e := c.engines[i]
		if math.IsInf(c.base, 1) {
			e.share = slowstart.Fixed(share)
		} else {
			e.share = e.share.Change(share, c.now, c.set.FallWindow)
		}
	}
}

// meanWork is the mean work of the requests that came here, by what is known now of their classes.
func (c *Controller) meanWork() float64 {
	work, requests := 0.0, 0.0
	for i := range c.classes {
		k := &c.classes[i]
		work, requests = work+k.estN*k.work, requests+k.estN
	}
	return work / math.Max(requests, 1)
}

// arrivals is a tenant's own rate, smoothed, and right from the start on.
func (c *Controller) arrivals(t *tenant) float64 {
	t.rate *= math.Exp(-float64(c.now-t.ratedAt) / float64(rateFade))
	t.ratedAt = c.now
	return t.rate / (1 - math.Exp(-max(c.now-c.startedAt, 2*time.Second).Seconds()/rateFade.Seconds()))
}

// holdsUp tells whether a request in time waits behind this one for their key.
func (c *Controller) holdsUp(r *request) bool {
	k := c.keys[r.Key]
	if !r.cls.Ordered || r.Key == "" || k == nil {
		return false
	}
	at := slices.Index(k.line, r)
	return at >= 0 && slices.ContainsFunc(k.line[at+1:], func(o *request) bool { return !o.late && !o.done })
}

// slide lets what is older leave the window of the budget; an arrival at its edge no longer counts.
func (c *Controller) slide(from time.Duration) {
	for len(c.takenAt) > 0 && c.takenAt[0] <= from {
		c.takenAt = c.takenAt[1:]
	}
	for len(c.extraAt) > 0 && c.extraAt[0] < from {
		c.extraAt = c.extraAt[1:]
	}
}

func within(only []int, v int) bool {
	for _, o := range only {
		if o == v && v >= 0 {
			return true
		}
	}
	return len(only) == 0
}

func (c *Controller) rand() float64 { return float64(c.next()>>11) / (1 << 53) }

func (c *Controller) next() uint64 {
	c.rng += 0x9e3779b97f4a7c15
	z := c.rng
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// hold books what an attempt holds, with sign 1, and gives it back, with sign -1.
func (c *Controller) hold(r *request, a *attempt, sign float64) {
	r.out += int(sign)
	c.running += sign * a.threads
	a.eng.threads, a.eng.mem = a.eng.threads+sign*a.threads, a.eng.mem+sign*a.mem
	if a.small {
		a.eng.smallMem += sign * a.mem
		c.smallRun, r.ten.smallMem = c.smallRun+sign*a.threads, r.ten.smallMem+sign*a.mem
	}
	r.ten.running, r.ten.mem = r.ten.running+sign*a.threads, r.ten.mem+sign*a.mem
}

func (c *Controller) release(r *request, a *attempt) {
	e := a.eng
	a.open = false
	for i, o := range e.outs {
		if o.req == r && &r.tries[o.n] == a {
			e.outs = append(e.outs[:i], e.outs[i+1:]...)
			break
		}
	}
	c.hold(r, a, -1)
	if e.ejected && e.trickle > 0 {
		e.trickle--
	}
}

// forget drops a request that is over and has nothing out, and lets the next of its key go.
func (c *Controller) forget(r *request) {
	if r.out > 0 || c.reqs[r.ID] != r {
		return
	}
	delete(c.reqs, r.ID)
	if k := c.keys[r.Key]; k != nil && r.cls.Ordered && r.Key != "" {
		for i, o := range k.line {
			if o == r {
				k.line = append(k.line[:i], k.line[i+1:]...)
				break
			}
		}
	}
}

// New returns a controller for the settings; the error names the field that is not valid.
func New(set Settings, seed uint64) (*Controller, error) {
	if set.Replicas < 1 {
		return nil, errors.New("settings: Replicas: must be at least 1")
	}
	if len(set.Classes) == 0 {
		return nil, errors.New("settings: Classes: must not be empty")
	}
	if set.Budgeted && set.TrySpan <= 0 {
		return nil, errors.New("settings: TrySpan: must be positive where attempts are budgeted")
	}
	for i, k := range set.Kinds {
		if k.Cores < 0 || k.MemoryMB < 0 {
			return nil, fmt.Errorf("settings: Kinds[%d]: cores and memory must not be negative", i)
		}
	}
	c := &Controller{
		part: 1 / float64(set.Replicas),
		set:  set, rng: seed, byID: map[uint32]*engine{}, byHash: map[uint16]*engine{}, reqs: map[string]*request{}, keys: map[string]*keyLine{},
		meanTh: 1, classes: make([]learned, len(set.Classes)),
	}
	c.all.pace, c.all.factor = 1, factorStart
	c.probes = c.rand() * probeBurst // so that gateways do not ask in step
	c.set.Classes = append([]Class(nil), set.Classes...)
	for i := range c.set.Classes {
		cl := &c.set.Classes[i]
		if cl.Deadline <= 0 {
			return nil, fmt.Errorf("settings: Classes[%d].Deadline: must be positive", i)
		}
		cl.Threads = max(cl.Threads, 1)
		c.order = append(c.order, i)
		c.classes[i] = learned{work: prior(cl), workFix: 1, memFix: 1, slow: calmSlow}
	}
	for i := range max(len(set.Tenants), 1) {
		t := &tenant{lists: make([][2][]*request, len(set.Classes)), weight: 1, tokens: math.Inf(1)}
		if i < len(set.Tenants) && set.Tenants[i].RequestsPerSecond < 0 {
			return nil, fmt.Errorf("settings: Tenants[%d].AllowPerS: must not be negative", i)
		}
		c.tens = append(c.tens, t)
	}
	return c, nil
}

// Step takes the events in, in order, and returns what to do, in order.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.now, c.acts = now, nil
	if !c.began {
		c.began = true
		c.timer, c.retryAt, c.startedAt = now, now, now
	}
	for _, ev := range events {
		c.take(ev)
	}
	c.survey()
	c.admit()
	if c.now >= c.timer {
		c.housekeep()
		c.admit()
	}
	c.arm()
	return c.acts
}

func (c *Controller) arm() {
	next := idleWake
	if len(c.open) > 0 {
		next = wake
	}
	if c.armed && c.timer <= c.now+next {
		return
	}
	c.armed, c.timer = true, c.now+next
	c.do(SetTimer{Delay: next, Token: uint64(c.timer)})
}

func (c *Controller) take(ev Event) {
	switch ev := ev.(type) {
	case EndpointsChanged:
		c.members(ev)
	case Request:
		c.request(ev)
	case FirstByte:
		if r := c.reqs[ev.ID]; r != nil {
			r.streaming = true
		}
	case Outcome:
		c.outcome(ev)
	case ClientDisconnected:
		if r := c.reqs[ev.ID]; r != nil {
			c.close(r)
			c.recall(r)
		}
	case Timer:
		if c.now >= c.timer {
			c.armed = false
		}
	case HealthCheckResult:
		c.probed(ev)
	case GossipReceived:
		c.told(ev)
	case Progress:
		c.note(ev)
	case ShutdownRequested:
		c.stop(ev)
	}
}

// members applies a list, or a change to it, and starts the clocks of drains and cold starts.
func (c *Controller) members(ev EndpointsChanged) {
	if ev.Kind == ListError {
		c.asked, c.retryAt = false, c.now+askAgain
		return
	}
	seen := map[uint32]bool{}
	for _, en := range ev.Engines {
		seen[en.ID] = true
		c.listed(en)
	}
	if ev.Kind == Partial {
		return
	}
	for _, e := range c.engines {
		if !seen[e.ID] && !e.gone {
			en := e.Engine
			en.State = Removed
			c.listed(en)
		}
	}
}

// forgetGone drops engines that left long ago and hold nothing. Guards against days on which engines are replaced
// all the time: each step looks at all that are remembered. One that drains may still come back.
func (c *Controller) forgetGone() {
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool {
		old := e.State == Removed && len(e.outs) == 0 && c.now-e.goneAt > goneFor
		if old {
			delete(c.byID, e.ID)
			if c.byHash[e.hash] == e {
				delete(c.byHash, e.hash)
			}
		}
		return old
	})
}

// service is the expected time from sending to answer.
func (c *Controller) service(r *request, pace float64) time.Duration {
	pace *= math.Exp(c.classes[r.Class].slow)
	return time.Duration(c.workOf(r) / float64(r.cls.Threads) * pace * float64(time.Second))
}

// heaviest is the largest mean work of a class.
func (c *Controller) heaviest() (top float64) {
	for i := range c.classes {
		top = max(top, c.classes[i].work)
	}
	return top
}

// close marks the request as answered; its attempts that are still out keep their caps until they end.
func (c *Controller) close(r *request) {
	if !r.done {
		r.done = true
		c.settle(r)
		c.dequeue(r)
	}
	c.forget(r)
}

func (c *Controller) recall(r *request) {
	for n := range r.tries {
		if a := &r.tries[n]; a.open && !a.recalled && c.set.CancellationAllowed {
			a.recalled = true
			c.do(Cancel{ID: r.ID, Attempt: n})
		}
	}
}

// settle takes the promise of a repeat off the books, once it is sent or the request is over.
func (c *Controller) settle(r *request) {
	if r.promised {
		r.promised = false
		c.promised--
	}
}

func (t *tenant) idle() bool {
	for i := range t.lists {
		if len(t.lists[i][0])+len(t.lists[i][1]) > 0 {
			return false
		}
	}
	return true
}

// homeHash ranks engines for a table group, alike at every gateway.
func homeHash(group int, id uint32) uint64 {
	h := &Controller{rng: uint64(group)<<32 | uint64(id)}
	return h.next()
}

func (c *Controller) anyWaits() bool {
	for i := range c.set.Classes {
		if c.set.Classes[i].WaitsForLocks {
			return true
		}
	}
	return false
}

// median is the lower median, or none where there are no values.
func median(v []float64, none float64) float64 {
	if len(v) == 0 {
		return none
	}
	sort.Float64s(v)
	return v[(len(v)-1)/2]
}

func (c *Controller) listed(en Engine) {
	c.relisted = true
	e := c.byID[en.ID]
	fresh := e == nil
	if fresh {
		e = &engine{Engine: en, repAt: -1, coldFrom: -1, factor: factorStart, pace: 1, lastOK: c.now, mutes: make([]mute, len(c.classes)), hash: uint16(homeHash(0, en.ID))}
		c.byHash[e.hash] = e
		c.byID[en.ID] = e
		at := sort.Search(len(c.engines), func(i int) bool {
			return homeHash(1, c.engines[i].ID) >= homeHash(1, e.ID)
		})
		c.engines = slices.Insert(c.engines, at, e)
	}
	restarted := en.Started > 0 && (fresh || en.Started != e.Started)
	back := e.gone && en.State == Ready
	e.Engine = en
	e.cores, e.memory = 1, 0
	if en.Kind >= 0 && en.Kind < len(c.set.Kinds) {
		e.cores, e.memory = math.Max(float64(c.set.Kinds[en.Kind].Cores), 1), c.set.Kinds[en.Kind].MemoryMB
	}
	if !e.gone && en.State != Ready {
		e.goneAt = c.now
	}
	e.gone = en.State != Ready
	if restarted && c.now-en.Started < c.set.Cold {
		c.startCold(e, en.Started)
	} else if back && !restarted {
		c.startCold(e, c.now)
	}
}

// ratio relates truths to their estimates.
type ratio struct{ n, truth, estimate float64 }

func (q *ratio) add(truth, estimate float64) float64 {
	q.n++
	rate := math.Max(fixRate, 1/q.n)
	q.truth += (truth - q.truth) * rate
	q.estimate += (estimate - q.estimate) * rate
	if q.n < fixAfter {
		return 1
	}
	return q.truth / math.Max(q.estimate, 1e-6)
}

// sentSince sums the threads and the memory of own attempts that the last report does not show yet.
func (e *engine) sentSince(lag time.Duration) (threads, mem float64) {
	for _, a := range e.outs {
		if t := &a.req.tries[a.n]; e.repAt < 0 || t.sent > e.repAt-lag {
			threads += t.threads
			mem += t.mem
		}
	}
	return threads, mem
}

// spentSince sums the own work sent since then, heavy or fine.
func (e *engine) spentSince(from time.Duration, heavy bool) (sum float64) {
	for _, s := range e.spent {
		if s.at > from && s.heavy == heavy {
			sum += s.work
		}
	}
	return sum
}

// spend books own work, and forgets what no window of that length holds any more.
func (e *engine) spend(s spend, window time.Duration) {
	e.spent = append(slices.DeleteFunc(e.spent, func(o spend) bool { return o.at <= s.at-window }), s)
}

// muted is how many engines in use rest for a class.
func (c *Controller) muted(class int) (n int) {
	for _, e := range c.engines {
		if !e.gone && !e.ejected && e.mutes[class].hold > 0 {
			n++
		}
	}
	return n
}

// takeBackAll looks at what is out on an engine, of one class or of all where that is negative.
func (c *Controller) takeBackAll(e *engine, class int) {
	for _, o := range e.outs {
		if class < 0 || o.req.Class == class {
			c.takeBack(o)
		}
	}
}
