package bench

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechcart/internal/fake/consul"
	"beechcart/internal/faulttest"
)

const (
	// listLineTimeout is the timeout of the wait for the next log line about an engine.
	listLineTimeout = 30 * time.Second

	instancesPerNode = 10
	nodesPerSubnet   = 200
	firstEnginePort  = 1000
)

// ListOptions are the options of List.
type ListOptions struct {
	Program  string // path of the front end
	Entries  int    // instances in the catalogue
	Metadata int    // bytes of metadata of each instance
	Seconds  int    // duration of the measurement with an unchanged list
	Changes  int    // subsequent changes of one engine, which is drained and undrained in turn
}

// Check returns an error that names the first option that is out of range.
func (o *ListOptions) Check() error {
	switch {
	case o.Entries < 1 || o.Entries > 50_000:
		return fmt.Errorf("entries: found %d, allowed is 1 to 50000", o.Entries)
	case o.Metadata < 0 || o.Metadata > 64<<10:
		return fmt.Errorf("metadata: found %d, allowed is 0 to 65536", o.Metadata)
	case o.Seconds < 1 || o.Seconds > 3600:
		return fmt.Errorf("seconds: found %d, allowed is 1 to 3600", o.Seconds)
	case o.Changes < 0 || o.Changes > 100_000:
		return fmt.Errorf("changes: found %d, allowed is 0 to 100000", o.Changes)
	}
	return nil
}

// listRun is one measurement: a catalogue, a front end that watches it, and the log lines of the front end.
type listRun struct {
	options   ListOptions
	catalogue *consul.Server
	frontEnd  *faulttest.FrontEnd
	lines     chan listedLine
	results   map[string]float64
}

// listedLine is a log line about one engine.
type listedLine struct {
	faulttest.EngineListed
	readAt time.Time
}

// List measures the cost of an engine list on a front end without other work: of reading the list, of holding it
// unchanged, and of following its changes. The results are by name.
func List(ctx context.Context, o ListOptions) (map[string]float64, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &listRun{options: o, lines: make(chan listedLine, 2*o.Entries+16), results: map[string]float64{}}
	if r.catalogue, err = consul.Start("127.0.0.1:0", nil); err != nil {
		return nil, err
	}
	defer r.catalogue.Close()
	r.register()
	if err := r.measureRead(ctx, dir); err != nil {
		return nil, err
	}
	defer func() { _ = r.frontEnd.Stop() }()
	if err := r.measureUnchanged(ctx); err != nil {
		return nil, err
	}
	if err := r.measureChanges(ctx); err != nil {
		return nil, err
	}
	return r.results, nil
}

func engineID(i int) string { return "e" + strconv.Itoa(i) }

// register adds all engines to the catalogue.
func (r *listRun) register() {
	metadata := strings.Repeat("x", r.options.Metadata)
	for i := range r.options.Entries {
		node := i / instancesPerNode
		r.catalogue.Register(
			consul.Node{
				Node:    "n" + strconv.Itoa(node),
				Address: fmt.Sprintf("127.0.%d.%d", 1+node/nodesPerSubnet, 1+node%nodesPerSubnet),
			},
			consul.Service{
				ID:      engineID(i),
				Service: "engine",
				Port:    firstEnginePort + i%instancesPerNode,
				Meta:    map[string]string{"zone": "room-a", "kind": "std-4", "more": metadata},
			},
			consul.Check{CheckID: "service:" + engineID(i), Status: "passing"},
		)
	}
}

// measureRead starts the front end and measures the time until the front end has logged all engines. The caller must
// stop the front end unless an error is returned.
func (r *listRun) measureRead(ctx context.Context, dir string) (err error) {
	began := time.Now()
	r.frontEnd, err = faulttest.StartFrontEnd(faulttest.FrontEndOptions{
		Program:          r.options.Program,
		Dir:              dir,
		Name:             "n0",
		MemoryMB:         1024,
		Descriptors:      1024,
		OperatorSettings: fmt.Sprintf(`{"schema":1,"source":"consul","consul":{"addresses":[%q]}}`, r.catalogue.Addr),
		OnLogLine: func(text string) {
			if l, ok := faulttest.ParseEngineListed(text); ok {
				r.lines <- listedLine{l, time.Now()}
			}
		},
	})
	if err != nil {
		return err
	}
	for range r.options.Entries {
		if _, err := r.nextLine(ctx); err != nil {
			err = fmt.Errorf("bench: front end did not log all engines of the list: %w\n%s", err, r.frontEnd.Log())
			_ = r.frontEnd.Stop()
			return err
		}
	}
	r.results["entries"] = float64(r.options.Entries)
	r.results["listed_s"] = time.Since(began).Seconds()
	return nil
}

// nextLine returns the next log line about an engine.
func (r *listRun) nextLine(ctx context.Context) (listedLine, error) {
	select {
	case l := <-r.lines:
		return l, nil
	case <-ctx.Done():
		return listedLine{}, ctx.Err()
	case <-time.After(listLineTimeout):
		return listedLine{}, fmt.Errorf("found no log line about an engine within %v", listLineTimeout)
	}
}

// measureUnchanged measures the CPU time, catalogue reads and memory for a list that does not change.
func (r *listRun) measureUnchanged(ctx context.Context) error {
	pid := r.frontEnd.Pid()
	reads, cpu := r.catalogue.Reads(), faulttest.CPUSeconds(pid)
	began := time.Now()
	if err := wait(ctx, time.Duration(r.options.Seconds)*time.Second); err != nil {
		return err
	}
	minutes := time.Since(began).Minutes()
	r.results["still_cpu_s_per_min"] = (faulttest.CPUSeconds(pid) - cpu) / minutes
	r.results["still_reads_per_min"] = float64(r.catalogue.Reads()-reads) / minutes
	r.results["resident_mb"], r.results["peak_mb"] = resident(pid)
	return nil
}

// measureChanges drains and undrains one engine in turn, and measures the time until the front end has logged each
// change.
func (r *listRun) measureChanges(ctx context.Context) error {
	if r.options.Changes == 0 {
		return nil
	}
	propagation := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i := range r.options.Changes {
		draining := i%2 == 0
		writtenAt := time.Now()
		r.catalogue.SetMaintenance("n0", engineID(0), consul.Maintenance{Enabled: draining, Reason: "bench"})
		line, err := r.nextLine(ctx)
		for err == nil && (line.Name != engineID(0) || (line.State != "ready") != draining) {
			line, err = r.nextLine(ctx)
		}
		if err != nil {
			return fmt.Errorf("bench: front end did not log change %d: %w", i, err)
		}
		_ = propagation.RecordValue(line.readAt.Sub(writtenAt).Microseconds())
	}
	r.results["told_p50_ms"] = float64(propagation.ValueAtQuantile(50)) / 1000
	r.results["told_p99_ms"] = float64(propagation.ValueAtQuantile(99)) / 1000
	r.results["told_max_ms"] = float64(propagation.Max()) / 1000
	return nil
}
