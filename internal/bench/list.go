// Package bench measures the front end as a process: what it costs, counted from outside. Each measurement names its
// machine and its spread; counts and ratios of one run are meant to be compared, times are not.
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

// ListOptions are what the measurement of a list takes.
type ListOptions struct {
	Program  string // the front end
	Entries  int    // instances in the catalogue
	Metadata int    // bytes of metadata of each
	Seconds  int    // of the list standing still
	Changes  int    // drains told after it, one at a time
}

// Check tells which option can't be used.
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

// List measures what a list costs a front end that has no other work: to read, to hold and to follow.
func List(ctx context.Context, o ListOptions) (map[string]float64, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	cat, err := consul.Start("127.0.0.1:0", nil)
	if err != nil {
		return nil, err
	}
	defer cat.Close()
	more := strings.Repeat("x", o.Metadata)
	id := func(i int) string { return "e" + strconv.Itoa(i) }
	for i := range o.Entries {
		cat.Register(consul.Node{Node: "n" + strconv.Itoa(i/10), Address: fmt.Sprintf("127.0.%d.%d", 1+i/10/200, 1+i/10%200)},
			consul.Service{ID: id(i), Service: "engine", Port: 1000 + i%10, Meta: map[string]string{"zone": "room-a", "kind": "std-4", "more": more}},
			consul.Check{CheckID: "service:" + id(i), Status: "passing"})
	}
	type line struct {
		faulttest.Listed
		at time.Time // when it was read
	}
	lines := make(chan line, 2*o.Entries+16)
	began := time.Now()
	f, err := faulttest.StartFront(faulttest.FrontOptions{Program: o.Program, Dir: dir, Name: "n0", MemoryMB: 1024, Sockets: 1024,
		Settings: fmt.Sprintf(`{"schema":1,"source":"consul","consul":{"addresses":[%q]}}`, cat.Addr),
		Line: func(text string) {
			if l, ok := faulttest.ParseListed(text); ok {
				lines <- line{l, time.Now()}
			}
		}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Stop() }()
	for range o.Entries {
		select {
		case <-lines:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(30 * time.Second):
			return nil, fmt.Errorf("bench: the list was not taken\n%s", f.Log())
		}
	}
	figures := map[string]float64{"entries": float64(o.Entries), "listed_s": time.Since(began).Seconds()}
	reads, cpu := cat.Reads(), faulttest.CPUSeconds(f.Pid())
	from := time.Now()
	if err := wait(ctx, time.Duration(o.Seconds)*time.Second); err != nil {
		return nil, err
	}
	minutes := time.Since(from).Minutes()
	figures["still_cpu_s_per_min"] = (faulttest.CPUSeconds(f.Pid()) - cpu) / minutes
	figures["still_reads_per_min"] = float64(cat.Reads()-reads) / minutes
	figures["resident_mb"], figures["peak_mb"] = resident(f.Pid())
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range o.Changes {
		on := i%2 == 0
		wrote := time.Now()
		cat.SetMaintenance("n0", id(0), consul.Maintenance{Enabled: on, Reason: "bench"})
		for {
			select {
			case l := <-lines:
				if l.Name == id(0) && (l.State != "ready") == on {
					_ = h.RecordValue(l.at.Sub(wrote).Microseconds())
				} else {
					continue
				}
			case <-time.After(30 * time.Second):
				return nil, fmt.Errorf("bench: change %d did not arrive", i)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			break
		}
	}
	if o.Changes > 0 {
		figures["told_p50_ms"] = float64(h.ValueAtQuantile(50)) / 1000
		figures["told_p99_ms"] = float64(h.ValueAtQuantile(99)) / 1000
		figures["told_max_ms"] = float64(h.Max()) / 1000
	}
	return figures, nil
}
