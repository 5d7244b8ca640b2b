package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechcart/internal/fake/consul"
	"beechcart/internal/fake/engine"
)

// Catalogue injects faults into the Consul catalogue that one front end reads its engines from, and into the engines.
var Catalogue = Scenario{
	Name:     catalogueName,
	Short:    "One front end on a Consul catalogue that is slow, wrong or down, with engines that drain, fail and move",
	Faults:   catalogueFaultNames(),
	Policies: []string{policyNaive},
	Run:      runCatalogue,
}

const catalogueName = "catalogue"

// policyNaive is the policy of naiveSource: every response of the catalogue is obeyed unchanged.
const policyNaive = "naive"

// Streams of the pseudo-random generator, for a seed.
const (
	streamCatalogueLoad   = 2
	streamCatalogueFaults = 10 // the first of one stream for each injector
)

const (
	// sameListGap is the longest time between the log lines of one list. A front end logs the engines of a list one after
	// the other, so a list without a ready engine counts only if it lasts longer.
	sameListGap = 3 * time.Millisecond
	// lowService is the service share below which a second of the run is logged.
	lowService = 0.9
	// maxPropagation is the upper limit of the histogram of propagation times.
	maxPropagation = time.Minute
)

// catalogueRun is one run of the scenario, with the catalogue, its engines and the observations of the run.
type catalogueRun struct {
	options Options
	consul  *consul.Server
	drains  Drains

	mu          sync.Mutex
	engines     []*testEngine
	killed      []*engine.Engine
	writtenAt   map[string]time.Time    // time of the last change that the front end has not logged yet, by engine
	propagation *hdrhistogram.Histogram // time from a change in the catalogue to the front end's log, in microseconds
	ready       map[string]bool         // by engine, according to the front end's log
	outages     []Violation             // times without an engine that is ready
	changes     int                     // number of list changes that the front end has logged
}

// startCatalogue starts a catalogue with engines. The caller must close the run, also after an error.
func startCatalogue(o Options) (*catalogueRun, error) {
	r := &catalogueRun{
		options:     o,
		writtenAt:   map[string]time.Time{},
		propagation: hdrhistogram.New(1, maxPropagation.Microseconds(), 3),
		ready:       map[string]bool{},
	}
	var err error
	if r.consul, err = consul.Start("127.0.0.1:0", nil); err != nil {
		return r, fmt.Errorf("faulttest: %w", err)
	}
	for i := range o.Engines {
		e := &testEngine{name: fmt.Sprintf("e%d", i)}
		if err := r.startProcess(e); err != nil {
			return r, err
		}
		r.engines = append(r.engines, e)
		r.register(e)
	}
	r.consul.OnAnswer(r.recordDrains)
	return r, nil
}

// close stops the engines and the catalogue.
func (r *catalogueRun) close() {
	for _, e := range r.engines {
		e.fake.Kill()
	}
	if r.consul != nil {
		r.consul.Close()
	}
}

// recordDrains records the drains that a response of the catalogue commands. A drain in a stale response that has been
// cancelled is not a command.
func (r *catalogueRun) recordDrains(_ string, list []consul.Instance) {
	now := time.Now()
	r.mu.Lock()
	draining := map[string]bool{}
	for _, e := range r.engines {
		draining[e.name] = e.draining
	}
	r.mu.Unlock()
	for _, instance := range list {
		if draining[instance.Service.ID] && slices.ContainsFunc(instance.Checks, isMaintenance) {
			r.drains.Commanded(instance.Service.ID, now)
		}
	}
}

func isMaintenance(c consul.Check) bool { return strings.HasPrefix(c.CheckID, "_service_maintenance:") }

// followLog reads one line of the front end's log. From the states of the listed engines it records the times without a
// ready engine and the propagation times of changes.
func (r *catalogueRun) followLog(line string) {
	listed, ok := ParseEngineListed(line)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes++
	readyBefore := r.readyCount()
	r.ready[listed.Name] = listed.State == "ready"
	if n := len(r.outages); n > 0 && r.readyCount() > 0 && listed.At.Sub(r.outages[n-1].At) < sameListGap {
		r.outages = r.outages[:n-1]
	}
	if writtenAt, ok := r.writtenAt[listed.Name]; ok {
		delete(r.writtenAt, listed.Name)
		if d := time.Since(writtenAt); d >= 0 && r.options.Faults == "drain" {
			_ = r.propagation.RecordValue(d.Microseconds())
		}
	}
	if readyBefore > 0 && r.readyCount() == 0 {
		r.outages = append(r.outages, Violation{NoEngine, listed.At, "", "the front end lists no engine as ready"})
	}
}

// readyCount returns the number of ready engines. The caller must hold mu.
func (r *catalogueRun) readyCount() (n int) {
	for _, ready := range r.ready {
		if ready {
			n++
		}
	}
	return n
}

// waitListed waits until the front end lists n engines as ready. It returns false if that takes longer than 5 s or ctx
// ends.
func (r *catalogueRun) waitListed(ctx context.Context, n int) bool {
	const attempts, interval = 1000, 5 * time.Millisecond
	for range attempts {
		r.mu.Lock()
		ready := r.readyCount()
		r.mu.Unlock()
		if ready == n {
			return true
		}
		if !sleep(ctx, interval) {
			return false
		}
	}
	return false
}

func runCatalogue(ctx context.Context, o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "faulttest")
	if err != nil {
		return nil, fmt.Errorf("faulttest: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := startCatalogue(o)
	defer r.close()
	if err != nil {
		return nil, err
	}
	frontEnd := FrontEndOptions{
		Program: o.Program, Dir: dir, Name: "n0", MemoryMB: 192, Descriptors: 1024, OnLogLine: r.followLog,
	}
	if o.Policy == policyNaive {
		naive, err := newNaiveSource(r.consul.Addr)
		if err != nil {
			return nil, err
		}
		defer naive.close()
		frontEnd.ChangeLog = naive.log.Addr
	} else {
		frontEnd.OperatorSettings = fmt.Sprintf(
			`{"schema":1,"source":"consul","consul":{"addresses":[%q],"service":%q,"hold_ms":2000}}`, r.consul.Addr, serviceName)
	}
	f, err := StartFrontEnd(frontEnd)
	if err != nil {
		return nil, err
	}
	if !r.waitListed(ctx, o.Engines) {
		return nil, fmt.Errorf("faulttest: the front end did not list all engines as ready in time: %w\n%s",
			f.Stop(), f.Log())
	}
	return r.play(ctx, f)
}

// play injects faults under load, stops the front end and checks the rules.
func (r *catalogueRun) play(ctx context.Context, f *FrontEnd) (*Report, error) {
	load := &Load{
		Addrs: []string{f.Addr}, Rate: r.options.Rate, Classes: Classes,
		Rand: rand.New(rand.NewPCG(r.options.Seed, streamCatalogueLoad)),
	}
	injecting, stopInjecting := context.WithCancel(ctx)
	defer stopInjecting()
	var background sync.WaitGroup
	for n, target := range []faultTarget{oneEngine, oneEngine, wholeCatalogue} {
		i := &catalogueInjector{r, rand.New(rand.NewPCG(r.options.Seed, uint64(streamCatalogueFaults+n)))}
		background.Go(func() { i.run(injecting, target) })
	}
	began := time.Now()
	background.Go(func() { showProgress(injecting, began, r.options) })
	requests := load.Run(ctx, time.Duration(r.options.Seconds)*time.Second)
	stopInjecting()
	background.Wait()
	cpuSeconds := CPUSeconds(f.Pid())
	stopErr := f.Stop()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return r.report(catalogueObservations{requests, load.unexpected, began, cpuSeconds, stopErr}), nil
}

// catalogueObservations are the observations that are complete at the end of a run.
type catalogueObservations struct {
	requests   []Request
	unexpected []string // descriptions of answers without a request
	began      time.Time
	cpuSeconds float64 // of the front end
	stopErr    error   // result of the stop of the front end
}

// report checks the rules and returns the result.
func (r *catalogueRun) report(observed catalogueObservations) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := r.executions()
	drains := func(string) *Drains { return &r.drains }
	violations := append(Check(Classes, observed.requests, executions, drains, observed.unexpected), r.outages...)
	if observed.stopErr != nil {
		violations = append(violations, Violation{Crashes, time.Now(), "", observed.stopErr.Error()})
	}
	sortByTime(violations)
	ended := observed.began.Add(time.Duration(r.options.Seconds) * time.Second)
	for at := observed.began; at.Before(ended); at = at.Add(time.Second) {
		if share := ServiceShare(Classes, observed.requests, at, at.Add(time.Second)); share < lowService {
			r.options.logf("service share %.2f in the second from %s", share, at.Format("15:04:05.000"))
		}
	}
	latencies := Latencies(observed.requests, 0)
	measurements := map[string]float64{
		"requests":        float64(len(observed.requests)),
		"executions":      float64(len(executions)),
		"service":         ServiceShare(Classes, observed.requests, observed.began, ended),
		"lookup_p50_ms":   quantileMillis(latencies, 50),
		"lookup_p99_ms":   quantileMillis(latencies, 99),
		"list_changes":    float64(r.changes),
		"catalogue_reads": float64(r.consul.Reads()),
		"cpu_s":           observed.cpuSeconds,
	}
	if r.propagation.TotalCount() > 0 {
		measurements["told_p50_ms"] = quantileMillis(r.propagation, 50)
		measurements["told_p99_ms"] = quantileMillis(r.propagation, 99)
		measurements["told_count"] = float64(r.propagation.TotalCount())
	}
	countOutcomes(measurements, observed.requests)
	return newReport(catalogueName, r.options.Seed, violations, measurements)
}

// quantileMillis returns a quantile of a histogram of microseconds, in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
