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

// Rollout injects faults into a test cluster of front ends during two releases, one of them bad, and drains of engines.
var Rollout = Scenario{
	Name:      "rollout",
	Short:     "Front ends in three zones that are killed, stopped, cut off or lose disks during releases and drains",
	Faults:    memberFaultKinds(),
	FrontEnds: rolloutFronts,
	// Under policyUnjudged the analysis halts no release, so that a bad one continues until the test's operator halts it.
	Policies:    []string{policyUnjudged},
	BadReleases: []string{badErrors, badSlow},
	Run:         runRollout,
}

const policyUnjudged = "unjudged"

// The defects of the bad revision: its engines fail three queries in five, or take 0.7 s longer for each query.
const (
	badErrors = "errors"
	badSlow   = "slow"
)

// The revisions of the test: the first, a good successor, and a bad one whose release must be halted.
const (
	firstRevision = "r1"
	goodRevision  = "r2"
	badRevision   = "bad"
)

// The size of the cluster, and the budgets that the cluster is configured with and the checker applies.
const (
	rolloutFronts         = 12
	controlReplicas       = 3
	maxUnavailable        = 2 // front ends
	maxUnavailableInZone  = 1
	maxUnavailableEngines = 1
)

// failureDetection is the time in which all members must detect a front end that became unavailable without reporting
// so.
const failureDetection = 4 * time.Second

var rolloutZones = []string{"room-a", "room-b", "room-c"}

// Streams of the pseudo-random generator, for a seed. Each goroutine that draws has a stream of its own, so that its
// sequence does not depend on the scheduling of the others.
const (
	streamLoad   = 2
	streamPick   = 3
	streamFaults = 10 // the first of one stream for each fault injector
	streamDrains = 30
)

// Time limits of a run, in addition to Options.Seconds.
const (
	operatorTimeout = 90 * time.Second // for the releases and drains to complete
	loadTimeout     = 5 * time.Minute  // for everything up to the end of the load
)

const drainsPerRun = 3

// rolloutRun is one run of the rollout scenario, with the test cluster, its fake servers and the observations of the
// run.
type rolloutRun struct {
	options Options
	cluster *cluster.Cluster
	network *cluster.Network
	goodLog *changelog.Log // endpoint list for front ends of the good revisions
	badLog  *changelog.Log // endpoint list for front ends of the bad revision
	engines []*managedEngine
	closers []func() // in the order in which the resources were acquired

	mu           sync.Mutex
	retired      []*engine.Engine // engine processes that were stopped after a drain
	emptyPeriods []emptyPeriod
	haltPeriods  []period
	faulted      memberSet          // members claimed by a fault injector
	drains       map[string]*Drains // drains in each front end's log, by the front end's address
	measurements map[string]float64
	commands     int // number of operator commands so far, for their ids
}

// period is the time between two instants.
type period struct{ from, to time.Time }

// emptyPeriod is the time from the permission to stop a drained engine to its stop, in which no query may run on the
// engine.
type emptyPeriod struct {
	engine string
	period
}

// memberSet is a set of member names.
type memberSet map[string]bool

func newRolloutRun(o Options) *rolloutRun {
	return &rolloutRun{
		options:      o,
		network:      cluster.NewNetwork(o.Seed),
		faulted:      memberSet{},
		drains:       map[string]*Drains{},
		measurements: map[string]float64{},
	}
}

// random returns the pseudo-random generator of a stream for the run's seed.
func (r *rolloutRun) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, stream))
}

// count adds n to a measurement of the report.
func (r *rolloutRun) count(name string, n float64) {
	r.mu.Lock()
	r.measurements[name] += n
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

// play injects faults under load for Options.Seconds, waits until the cluster has recovered, and checks the rules.
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
	injectors.Wait() // each injection undoes its fault
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

// startOperators starts the operators: one releases revisions, the other drains engines.
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
