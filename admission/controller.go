package admission

import (
	"slices"
	"time"
)

// The intervals of housekeeping: while any request lacks its final answer, and otherwise.
const (
	housekeepingInterval     = 20 * time.Millisecond
	idleHousekeepingInterval = 250 * time.Millisecond
)

// Controller makes the admission decisions of one front end. It is not safe for concurrent use: one goroutine owns it.
type Controller struct {
	settings Settings
	random   splitMix64
	now      time.Duration // time of the current step
	actions  []Action      // actions emitted in the current step

	started        bool
	startedAt      time.Duration // time of the first step
	shutdownAt     time.Duration // when the front end stops; 0: no shutdown requested
	housekeepingAt time.Duration // when housekeeping is next due
	timerArmed     bool          // a timer for housekeepingAt is set
	discovery      discoveryState

	engines           []*engineState // in ring order, which is the same on all front ends
	enginesByID       map[uint32]*engineState
	enginesByGossipID map[uint16]*engineState

	requests       map[string]*requestState // requests that are unanswered or have an attempt in flight
	unanswered     []*requestState          // in order of arrival; housekeeping drops answered requests
	tenants        []*tenantState
	nextTenant     int   // next tenant of the round robin, modulo the number of tenants
	classOrder     []int // classes in descending order of priority weight per work
	keyQueues      map[string]*keyQueue
	queuedRequests int

	threads         float64 // held by attempts in flight
	smallThreads    float64 // held by attempts of small classes
	meanThreads     float64 // threads per attempt, smoothed
	randomDraw      float64 // see fractionDraw
	randomDrawUntil time.Duration

	estimates      []classEstimate // by class
	allEngines     engineState     // slowdown, thread factor and last answer over all engines
	lostAnswerRate float64         // fraction of answers lost, smoothed
	fleet          fleetSummary
	summarizedAt   time.Duration
	slowdowns      []float64 // buffer of summarizeFleet
	engineShare    float64   // this front end's fraction of each engine that it sends to

	subset       subsetState
	candidates   candidateSet
	retryBudget  retryBudgetState
	healthChecks healthCheckState
	gossip       gossipState
}

// New returns a controller for the settings. The seed determines its random draws. Any error is a [*SettingsError].
func New(settings Settings, seed uint64) (*Controller, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	c := &Controller{
		settings:          settings,
		random:            splitMix64(seed),
		enginesByID:       map[uint32]*engineState{},
		enginesByGossipID: map[uint16]*engineState{},
		keyQueues:         map[string]*keyQueue{},
		requests:          map[string]*requestState{},
		meanThreads:       1,
		engineShare:       1 / float64(settings.Replicas),
	}
	c.settings.Classes = slices.Clone(settings.Classes)
	if settings.RetryBudget != nil {
		budget := *settings.RetryBudget
		c.settings.RetryBudget = &budget
	}
	c.allEngines.slowdown = 1
	c.allEngines.threadFactor = initialThreadFactor
	c.healthChecks.credit = c.random.float64() * healthCheckBurst // staggers the health checks of the front ends
	for i := range c.settings.Classes {
		class := &c.settings.Classes[i]
		class.Threads = max(class.Threads, 1)
		c.classOrder = append(c.classOrder, i)
		c.estimates = append(c.estimates, newClassEstimate(class))
	}
	for range max(len(settings.Tenants), 1) {
		c.tenants = append(c.tenants, newTenant(len(settings.Classes)))
	}
	return c, nil
}

// Step handles the events in order and returns the actions to carry out, in order. The time must not decrease between
// steps.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = now, nil
	if !c.started {
		c.started = true
		c.housekeepingAt, c.discovery.retryAt, c.startedAt = now, now, now
	}
	for _, event := range events {
		c.handle(event)
	}
	c.summarizeFleet()
	c.admit()
	if c.now >= c.housekeepingAt {
		c.housekeep()
		c.admit()
	}
	c.armTimer()
	return c.actions
}

func (c *Controller) handle(event Event) {
	switch event := event.(type) {
	case EndpointsChanged:
		c.handleEndpointsChanged(event)
	case Request:
		c.handleRequest(event)
	case FirstByte:
		if request := c.requests[event.ID]; request != nil {
			request.streaming = true
		}
	case Outcome:
		c.handleOutcome(event)
	case ClientDisconnected:
		if request := c.requests[event.ID]; request != nil {
			c.closeRequest(request)
			c.cancelAttempts(request)
		}
	case Timer:
		if c.now >= c.housekeepingAt {
			c.timerArmed = false
		}
	case HealthCheckResult:
		c.handleHealthCheckResult(event)
	case GossipReceived:
		c.handleGossip(event)
	case Progress:
		c.handleProgress(event)
	case ShutdownRequested:
		c.handleShutdownRequested(event)
	}
}

// armTimer requests a timer for the next housekeeping, unless the timer already set fires no later.
func (c *Controller) armTimer() {
	next := idleHousekeepingInterval
	if len(c.unanswered) > 0 {
		next = housekeepingInterval
	}
	if c.timerArmed && c.housekeepingAt <= c.now+next {
		return
	}
	c.timerArmed, c.housekeepingAt = true, c.now+next
	c.emit(SetTimer{Delay: next, Token: uint64(c.housekeepingAt)})
}

// housekeep does the periodic work: it answers requests that can no longer be served in time, detects engines that do
// not answer, discards state no longer needed, and paces health checks and discovery.
func (c *Controller) housekeep() {
	c.unanswered = slices.DeleteFunc(c.unanswered, func(request *requestState) bool { return request.answered })
	for _, request := range c.unanswered {
		c.expireWaiting(request)
	}
	for _, engine := range c.engines {
		c.checkOverdueAttempts(engine)
	}
	c.forgetRemovedEngines()
	c.cancelBeforeShutdown()
	c.forgetIdleKeys()
	c.sendHealthChecks()
	c.watchEndpoints()
}

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }
