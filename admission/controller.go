package admission

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	wake     = 20 * time.Millisecond  // housekeeping while anything waits
	idleWake = 250 * time.Millisecond // housekeeping otherwise
)

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
		set:  set, rng: seed, byID: map[uint32]*engine{}, byHash: map[uint16]*engine{},
		reqs: map[string]*request{}, keys: map[string]*keyLine{},
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

func (c *Controller) do(a Action) { c.acts = append(c.acts, a) }
