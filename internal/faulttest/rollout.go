package faulttest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"beechcart/internal/fake/changelog"
	"beechcart/internal/fake/engine"
	"beechcart/internal/faulttest/cluster"
)

// Rollout injects faults into a test cluster of front ends through two releases, one of them bad, and drains of
// engines.
var Rollout = Scenario{
	Name:      "rollout",
	Short:     "Front ends in three zones that are killed, stopped, cut off and lose disks through releases and drains",
	Faults:    memberFaultKinds(),
	FrontEnds: rolloutFronts,
	// Without judgement a bad release continues until the operator of this test halts it.
	Policies:    []string{policyUnjudged},
	BadReleases: []string{badErrors, badSlow},
	Run:         runRollout,
}

const policyUnjudged = "unjudged"

// What is wrong with the bad revision: its engines fail three queries in five, or take 0.7 s longer for each.
const (
	badErrors = "errors"
	badSlow   = "slow"
)

// The revisions that the test runs: the first, a good successor, and one that must be halted.
const (
	firstRevision = "r1"
	goodRevision  = "r2"
	badRevision   = "bad"
)

// The cluster, and the budgets that are configured in it and checked.
const (
	rolloutFronts         = 12
	controlReplicas       = 3
	maxUnavailable        = 2 // front ends
	maxUnavailableInZone  = 1
	maxUnavailableEngines = 1
)

// failureDetection is the time by which every member must know that a front end is unavailable that has not reported
// so.
const failureDetection = 4 * time.Second

var rolloutZones = []string{"room-a", "room-b", "room-c"}

// Streams of the pseudo-random generator of a seed. Each goroutine that draws has its own, so that its sequence does
// not depend on the scheduling of the others.
const (
	streamLoad   = 2
	streamPick   = 3
	streamFaults = 10 // and those that follow, one for each fault injector
	streamDrains = 30
)

// Time limits of a run beyond the seconds asked for.
const (
	operatorTimeout = 90 * time.Second // for the releases and drains to complete
	loadTimeout     = 5 * time.Minute  // for everything up to the end of the load
)

const drainsPerRun = 3

// rolloutRun is one run of the rollout fault test: the test cluster, its fake servers, and what was observed.
type rolloutRun struct {
	options Options
	cluster *cluster.Cluster
	network *cluster.Network
	goodLog *changelog.Log // endpoints for the good revisions
	badLog  *changelog.Log // endpoints for the bad revision
	engines []*managedEngine
	closers []func() // in the order in which the resources were acquired

	mu           sync.Mutex
	retired      []*engine.Engine // engine processes that were stopped after a drain
	emptyPeriods []emptyPeriod
	haltPeriods  []period
	faulted      memberSet          // members that a fault has claimed
	drains       map[string]*Drains // drains that each front end has learnt of, by its address
	figures      map[string]float64
	commands     int // operator commands so far, for their ids
}

// period is a span of time.
type period struct{ from, to time.Time }

// emptyPeriod is the time between the permission to stop a drained engine and its stop. No query may run in it.
type emptyPeriod struct {
	engine string
	period
}

// memberSet is a set of member names.
type memberSet map[string]bool

func newRolloutRun(o Options) *rolloutRun {
	return &rolloutRun{
		options: o,
		network: cluster.NewNetwork(o.Seed),
		faulted: memberSet{},
		drains:  map[string]*Drains{},
		figures: map[string]float64{},
	}
}

// random returns the generator of a stream of the run's seed.
func (r *rolloutRun) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, stream))
}

// count adds to a figure of the report.
func (r *rolloutRun) count(name string, n float64) {
	r.mu.Lock()
	r.figures[name] += n
	r.mu.Unlock()
}

func runRollout(ctx context.Context, o Options) (*Report, error) {
	if o.FrontEnds == 0 {
		o.FrontEnds = rolloutFronts
	}
	run, err := startRollout(ctx, o)
	if err != nil {
		return nil, err
	}
	defer run.close()
	return run.play(ctx)
}

// play injects faults under load for the time asked for, waits until the cluster has recovered, and checks the rules.
func (r *rolloutRun) play(ctx context.Context) (*Report, error) {
	duration := time.Duration(r.options.Seconds) * time.Second
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	injectors := r.startFaultInjectors(faultCtx)
	operatorCtx, cancelOperators := context.WithTimeout(ctx, duration+operatorTimeout)
	defer cancelOperators()
	operators := r.startOperators(operatorCtx)

	load := r.newLoad()
	began := time.Now()
	go r.measureTraffic(faultCtx)
	go showProgress(faultCtx, began, r.options)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	finished := make(chan []Request, 1)
	go func() { finished <- load.Run(loadCtx, duration+loadTimeout) }()

	sleep(ctx, duration)
	stopFaults()
	injectors.Wait() // each fault is undone when it ends
	r.network.Each(allLinks, restoreLink)
	operators.Wait()
	unsettled := r.waitSettled(ctx)
	r.measureCPU()
	stopLoad()
	requests := <-finished
	ended := time.Now()
	r.cluster.Stop()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return r.report(observations{requests, load.unexpected, unsettled, period{began, ended}}), nil
}

// startOperators starts those who release revisions and drain engines.
func (r *rolloutRun) startOperators(ctx context.Context) *sync.WaitGroup {
	var operators sync.WaitGroup
	operators.Go(func() {
		r.release(ctx, goodRevision, true)
		r.release(ctx, badRevision, false)
	})
	operators.Go(func() {
		rng := r.random(streamDrains)
		for range drainsPerRun {
			sleep(ctx, drawDuration(rng, time.Second, 4*time.Second))
			r.drainEngine(ctx, rng)
		}
	})
	return &operators
}
