package discovery_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"beechcart/decision/discovery"
	"beechcart/internal/recorded"
)

func traceEndpoint(trace *recorded.Trace, e discovery.Endpoint) {
	trace.Text(e.Key, e.Addr, e.Zone, e.Kind, e.Incarnation)
	trace.Int(e.Cell)
	trace.Float(e.Weight)
	trace.Uint(e.CreateIndex, e.ModifyIndex)
	trace.Time(e.StartedAt)
	trace.Bool(e.Drain, e.Passing)
}

func traceChanges(trace *recorded.Trace, kind string, changes []discovery.Change) {
	trace.Int(len(changes))
	for _, c := range changes {
		trace.Uint(uint64(c.ID))
		traceEndpoint(trace, c.Endpoint)
		trace.Int(int(c.State))
		trace.Text(c.State.String(), string(c.Reason))
		trace.Time(c.StartedAt)
		trace.Count(kind + " " + strconv.Itoa(int(c.State)) + " " + string(c.Reason))
	}
}

func traceUpdate(trace *recorded.Trace, u discovery.Update) {
	traceChanges(trace, "change", u.Changes)
	trace.Int(len(u.Notices))
	for _, n := range u.Notices {
		trace.Text(string(n.Kind), n.Detail)
		trace.Int(n.Count)
		trace.Count("notice " + string(n.Kind))
	}
}

// catalogue simulates a catalogue whose registrations change and whose responses may be faulty.
type catalogue struct {
	rng     *rand.Rand
	index   uint64
	engines []discovery.Endpoint
}

// entry returns endpoint i, in some draws with an unusual or malformed field.
func (c *catalogue) entry(i int) discovery.Endpoint {
	e := discovery.Endpoint{
		Key:         fmt.Sprintf("node-%d/e%d", i/2, i),
		Addr:        fmt.Sprintf("10.0.%d.%d:80", i/8, i+1),
		Zone:        fmt.Sprint("z", i%3),
		Kind:        "std",
		Cell:        i % 4,
		Weight:      1 + float64(i%3)/2,
		CreateIndex: c.index,
		ModifyIndex: c.index,
		Passing:     true,
	}
	switch c.rng.IntN(12) {
	case 0:
		e.Incarnation = fmt.Sprint("start-", c.rng.IntN(4))
	case 1:
		e.StartedAt = time.Duration(c.rng.IntN(1000)) * time.Second
	case 2:
		e.Addr = fmt.Sprintf("10.0.0.%d:80", 1+c.rng.IntN(12)) // may be the address of another endpoint
	case 3:
		e.Weight = []float64{-1, math.NaN(), math.Inf(1), 0}[c.rng.IntN(4)]
	case 4:
		e.Addr = []string{"", "host:80", "10.0.0.1:0", "10.0.0.1"}[c.rng.IntN(4)]
	}
	return e
}

// change applies a random change to the registrations and advances the index.
func (c *catalogue) change() {
	c.index += 1 + c.rng.Uint64N(3)
	switch n := c.rng.IntN(12); {
	case n < 4 && len(c.engines) > 0:
		e := &c.engines[c.rng.IntN(len(c.engines))]
		e.Passing, e.ModifyIndex = !e.Passing, c.index
	case n < 6 && len(c.engines) > 0:
		e := &c.engines[c.rng.IntN(len(c.engines))]
		e.Drain, e.ModifyIndex = c.rng.IntN(3) == 0, c.index
	case n < 8 && len(c.engines) > 4:
		i := c.rng.IntN(len(c.engines))
		c.engines = append(c.engines[:i:i], c.engines[i+1:]...)
	case n < 11 && len(c.engines) < 24:
		c.engines = append(c.engines, c.entry(c.rng.IntN(20)))
	case len(c.engines) > 0:
		i := c.rng.IntN(len(c.engines))
		addr := c.engines[i].Addr
		c.engines[i] = c.entry(c.rng.IntN(20))
		if c.rng.IntN(2) == 0 {
			c.engines[i].Addr = addr
		}
	}
}

// observation returns the current registrations with the given fault, or without a fault if there is none of that
// number.
func (c *catalogue) observation(fault int) discovery.Observation {
	o := discovery.Observation{Index: c.index, HasLeader: true, Endpoints: append([]discovery.Endpoint(nil), c.engines...)}
	switch fault {
	case 1:
		o.HasLeader = false
	case 2:
		o.LastContact = time.Duration(c.rng.IntN(4000)) * time.Millisecond
	case 3:
		o.Index -= min(o.Index, c.rng.Uint64N(30))
	case 4:
		o.Endpoints = nil
	case 5:
		o.Endpoints = o.Endpoints[:c.rng.IntN(len(o.Endpoints)+1)]
	case 6:
		o.Index = 0
	}
	return o
}

// flappingFault makes the checks of some engines flap. The faults 1 to 6 are those of catalogue.observation.
const flappingFault = 7

// run is an EndpointSet that observes a catalogue whose fault changes from time to time.
type run struct {
	rng       *rand.Rand
	trace     *recorded.Trace
	set       *discovery.EndpointSet
	settings  discovery.Settings
	catalogue *catalogue
	now       time.Duration
	fault     int // 0: none
	faultLeft int // number of further steps for which the fault persists
}

func newRun(t *testing.T, trace *recorded.Trace, seed uint64) *run {
	t.Helper()
	r := &run{rng: rand.New(rand.NewPCG(seed, 5)), trace: trace, settings: discovery.Defaults()}
	var err error
	r.set, err = discovery.New(r.settings)
	if err != nil {
		t.Fatal(err)
	}
	r.catalogue = &catalogue{rng: r.rng, index: 1000}
	for i := range 4 + int(seed)%8 {
		r.catalogue.engines = append(r.catalogue.engines, r.catalogue.entry(i))
	}
	r.now = time.Duration(1000+r.rng.IntN(1000)) * time.Second
	return r
}

// restore restores a cached list as the first event of the set.
func (r *run) restore() {
	list := slices.Clone(r.catalogue.engines)
	for i := range list {
		list[i].Drain, list[i].Passing = r.rng.IntN(5) == 0, r.rng.IntN(5) > 0
	}
	traceUpdate(r.trace, r.set.Restore(r.now, list))
}

// stepCatalogue advances the time, may change the fault, and changes the catalogue.
func (r *run) stepCatalogue() {
	step := 3 * time.Second
	if r.fault == flappingFault {
		step = time.Second
		engines := r.catalogue.engines
		for i := range engines[:min(4, len(engines))] {
			engines[i].Passing = !engines[i].Passing
		}
	}
	r.now += time.Duration(r.rng.Int64N(int64(step)))
	if r.faultLeft--; r.faultLeft < 0 {
		if r.fault, r.faultLeft = 0, r.rng.IntN(12); r.rng.IntN(2) == 0 {
			r.fault, r.faultLeft = 1+r.rng.IntN(flappingFault), r.rng.IntN(30)
		}
		if r.rng.IntN(40) == 0 {
			r.catalogue.index = 10 // the catalogue was restored from a backup
		}
	}
	for range r.rng.IntN(3) {
		r.catalogue.change()
	}
}

// applyEvent applies a random event to the set.
func (r *run) applyEvent(t *testing.T) {
	t.Helper()
	switch r.rng.IntN(40) {
	case 0:
		r.set.Switch(r.now)
	case 1:
		r.settings.MaxEjected, r.settings.MaxLoss = r.rng.Float64(), r.rng.Float64()
		if err := r.set.Configure(r.settings); err != nil {
			t.Fatal(err)
		}
	case 2, 3, 4, 5:
		traceUpdate(r.trace, r.set.Advance(r.now))
	default:
		traceUpdate(r.trace, r.set.Observe(r.now, r.catalogue.observation(r.fault)))
	}
}

// traceState adds the state of the set to the trace, and in some steps advances the set to the time that Next returns.
func (r *run) traceState() {
	next, due := r.set.Next()
	r.trace.Bool(due, r.set.Suspicious())
	if due {
		r.trace.Time(next)
		if r.rng.IntN(4) == 0 && next < r.now+time.Minute {
			r.now = next
			traceUpdate(r.trace, r.set.Advance(r.now))
		}
	}
	r.trace.Uint(r.set.Index())
	traceChanges(r.trace, "belief", r.set.Current())
	for _, e := range r.set.Snapshot() {
		traceEndpoint(r.trace, e)
	}
}

// TestRecordedRun compares the updates and states of a seeded run of a catalogue with faults with the recorded ones.
func TestRecordedRun(t *testing.T) {
	trace := recorded.NewTrace()
	for seed := range uint64(24) {
		r := newRun(t, trace, seed)
		if seed%3 == 0 {
			r.restore()
		}
		for range 250 {
			r.stepCatalogue()
			r.applyEvent(t)
			r.traceState()
		}
		trace.Mark()
	}
	for i := range 100 {
		trace.Uint(uint64(discovery.EndpointID(fmt.Sprint("node/", i))))
	}
	trace.Compare(t, "run")
}
