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

// Catalogue injects faults into a Consul that one front end takes its engines from.
var Catalogue = Scenario{
	Name:     catalogueName,
	Short:    "A Consul catalogue that is slow, wrong, flapping or gone, with engines that drain, die and move",
	Faults:   catalogueFaultNames(),
	Policies: []string{policyNaive},
	Run:      runCatalogue,
}

const catalogueName = "catalogue"

// policyNaive obeys every answer of the catalogue.
const policyNaive = "naive"

// Streams of the pseudo-random generator of a seed.
const (
	streamCatalogueLoad   = 2
	streamCatalogueFaults = 10 // and those that follow, one for each injector
)

const (
	// sameListGap is how far apart the log lines of one list are at most. They come one by one: no engine between two of
	// them is no instant without engines.
	sameListGap = 3 * time.Millisecond
	// lowService is the share of the service below which a second is logged.
	lowService = 0.9
	// maxPropagation is the longest time that the histogram of changes holds.
	maxPropagation = time.Minute
)

// catalogueRun is one run of the scenario: the catalogue, its engines, and what was observed.
type catalogueRun struct {
	options Options
	consul  *consul.Server
	drains  Drains

	mu          sync.Mutex
	engines     []*testEngine
	killed      []*engine.Engine
	writtenAt   map[string]time.Time    // of changes that the front end has not logged yet, by engine
	propagation *hdrhistogram.Histogram // from a change in the catalogue to the front end's log, in microseconds
	ready       map[string]bool         // by engine, as the front end has logged
	outages     []Violation             // instants without an engine that is ready
	changes     int                     // that the front end has logged
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

// close ends the engines and the catalogue.
func (r *catalogueRun) close() {
	for _, e := range r.engines {
		e.fake.Kill()
	}
	if r.consul != nil {
		r.consul.Close()
	}
}

// recordDrains records which drains an answer of the catalogue commands. A stale answer may name a drain that was
// cancelled, which is no command.
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

// followLog reads what the front end logs of its list: instants without engines, and how soon changes arrive.
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
		r.outages = append(r.outages, Violation{NoEngine, listed.At, "", "the front end has no engine left"})
	}
}

// readyCount counts the engines that are ready. The caller must hold mu.
func (r *catalogueRun) readyCount() (n int) {
	for _, ready := range r.ready {
		if ready {
			n++
		}
	}
	return n
}

// waitListed waits until the front end has listed so many engines as ready; false where it does not.
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
		return nil, fmt.Errorf("faulttest: the front end has not taken the list: %w\n%s", f.Stop(), f.Log())
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

// catalogueObservations are what a run has seen from its end.
type catalogueObservations struct {
	requests   []Request
	unexpected []string // answers that nobody asked for
	began      time.Time
	cpuSeconds float64 // of the front end
	stopErr    error   // how the front end ended
}

// report checks the rules and returns the result.
func (r *catalogueRun) report(seen catalogueObservations) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := r.executions()
	drains := func(string) *Drains { return &r.drains }
	violations := append(Check(Classes, seen.requests, executions, drains, seen.unexpected), r.outages...)
	if seen.stopErr != nil {
		violations = append(violations, Violation{Crashes, time.Now(), "", seen.stopErr.Error()})
	}
	sortByTime(violations)
	ended := seen.began.Add(time.Duration(r.options.Seconds) * time.Second)
	for at := seen.began; at.Before(ended); at = at.Add(time.Second) {
		if share := ServiceShare(Classes, seen.requests, at, at.Add(time.Second)); share < lowService {
			r.options.logf("service %.2f in the second from %s", share, at.Format("15:04:05.000"))
		}
	}
	latencies := Latencies(seen.requests, 0)
	measurements := map[string]float64{
		"requests":        float64(len(seen.requests)),
		"executions":      float64(len(executions)),
		"service":         ServiceShare(Classes, seen.requests, seen.began, ended),
		"lookup_p50_ms":   quantileMillis(latencies, 50),
		"lookup_p99_ms":   quantileMillis(latencies, 99),
		"list_changes":    float64(r.changes),
		"catalogue_reads": float64(r.consul.Reads()),
		"cpu_s":           seen.cpuSeconds,
	}
	if r.propagation.TotalCount() > 0 {
		measurements["told_p50_ms"] = quantileMillis(r.propagation, 50)
		measurements["told_p99_ms"] = quantileMillis(r.propagation, 99)
		measurements["told_count"] = float64(r.propagation.TotalCount())
	}
	countOutcomes(measurements, seen.requests)
	return newReport(catalogueName, r.options.Seed, violations, measurements)
}

// quantileMillis returns a quantile of a histogram of microseconds, in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
