package scale

import (
	"cmp"
	"fmt"
	"os"
	"runtime"
	"runtime/metrics"
	"slices"
	"syscall"
	"time"

	"beechcart/internal/fleet"
)

// heapMetric names the bytes of objects on the heap, live or not yet collected.
const heapMetric = "/memory/classes/heap/objects:bytes"

// report returns the current state of the host.
func (h *host) report() HostReport {
	r := HostReport{UnixNanos: time.Now().UnixNano(), CPUSeconds: cpuSeconds(), HeapBytes: heapBytes(),
		ResidentBytes: residentBytes(),
		Goroutines:    runtime.NumGoroutine()}
	drains := map[string]*DrainState{}
	for _, member := range h.members {
		r.Gossip.add(member.wire.Gossip())
		r.Calls.add(member.wire.Calls())
		r.Served.add(member.wire.Served())
		r.Log.add(member.wire.Log())
		running := member.current()
		if running.member == nil {
			continue
		}
		r.addHeard(running.member.AliveMembers())
		r.Members++
		if running.known() {
			r.Known++
		}
		for engine, since := range running.front.excludedSince() {
			if drains[engine] == nil {
				drains[engine] = &DrainState{Engine: engine}
			}
			drains[engine].add(since.UnixNano())
		}
	}
	for _, state := range drains {
		r.Drains = append(r.Drains, *state)
	}
	slices.SortFunc(r.Drains, func(a, b DrainState) int { return cmp.Compare(a.Engine, b.Engine) })
	return r
}

// addHeard adds the number of members that one more member hears of. Call it before r.Members counts that member.
func (r *HostReport) addHeard(heard int) {
	if r.Members == 0 {
		r.HeardLeast = heard
	}
	r.HeardLeast, r.HeardMost = min(r.HeardLeast, heard), max(r.HeardMost, heard)
	r.HeardMean += (float64(heard) - r.HeardMean) / float64(r.Members+1)
}

func (d *DrainState) add(nanos int64) {
	d.InForce++
	if d.InForce == 1 || nanos < d.FirstNanos {
		d.FirstNanos = nanos
	}
	d.LatestNanos = max(d.LatestNanos, nanos)
	d.EachNanos = append(d.EachNanos, nanos)
}

func (t *Traffic) add(more fleet.Traffic) {
	t.SentBytes += more.SentBytes
	t.ReceivedBytes += more.ReceivedBytes
	t.SentMessages += more.SentMessages
	t.ReceivedMessages += more.ReceivedMessages
	t.Connections += more.Connections
}

// cpuSeconds returns the user and system time of the process since its start; 0 if it cannot be read.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// residentBytes returns the resident set size of the process; 0 if it cannot be read.
func residentBytes() uint64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var total, resident uint64
	if _, err := fmt.Sscan(string(text), &total, &resident); err != nil {
		return 0
	}
	return resident * uint64(os.Getpagesize())
}
