package discovery_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"beechcart/decision/discovery"
	"beechcart/internal/recorded"
)

func traceEntry(trace *recorded.Trace, e discovery.Endpoint) {
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
		traceEntry(trace, c.Endpoint)
		trace.Int(int(c.State))
		trace.Text(c.State.String(), string(c.Reason))
		trace.Time(c.StartedAt)
		trace.Count(kind + " " + strconv.Itoa(int(c.State)) + " " + string(c.Reason))
	}
}

func traceAnswer(trace *recorded.Trace, a discovery.Update) {
	traceChanges(trace, "change", a.Changes)
	trace.Int(len(a.Notices))
	for _, n := range a.Notices {
		trace.Text(string(n.Kind), n.Detail)
		trace.Int(n.Count)
		trace.Count("notice " + string(n.Kind))
	}
}

// catalogue is a registry that behaves now well, now badly.
type catalogue struct {
	rng     *rand.Rand
	index   uint64
	engines []discovery.Endpoint
}

func (c *catalogue) entry(i int) discovery.Endpoint {
	e := discovery.Endpoint{Key: fmt.Sprintf("node-%d/e%d", i/2, i), Addr: fmt.Sprintf("10.0.%d.%d:80", i/8, i+1), Zone: fmt.Sprint("z", i%3),
		Kind: "std", Cell: i % 4, Weight: 1 + float64(i%3)/2, CreateIndex: c.index, ModifyIndex: c.index, Passing: true}
	switch c.rng.IntN(12) {
	case 0:
		e.Incarnation = fmt.Sprint("start-", c.rng.IntN(4))
	case 1:
		e.StartedAt = time.Duration(c.rng.IntN(1000)) * time.Second
	case 2:
		e.Addr = fmt.Sprintf("10.0.0.%d:80", 1+c.rng.IntN(12)) // perhaps another's
	case 3:
		e.Weight = []float64{-1, math.NaN(), math.Inf(1), 0}[c.rng.IntN(4)]
	case 4:
		e.Addr = []string{"", "host:80", "10.0.0.1:0", "10.0.0.1"}[c.rng.IntN(4)]
	}
	return e
}

// turn lets something happen in the catalogue.
func (c *catalogue) turn() {
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
		at := c.engines[i].Addr
		c.engines[i] = c.entry(c.rng.IntN(20))
		if c.rng.IntN(2) == 0 {
			c.engines[i].Addr = at
		}
	}
}

// answer is an observation, which may be wrong.
func (c *catalogue) answer(bad int) discovery.Observation {
	o := discovery.Observation{Index: c.index, HasLeader: true, Endpoints: append([]discovery.Endpoint(nil), c.engines...)}
	switch bad {
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

// What a seeded run of a catalogue with faults leads to is the recorded answer, event by event.
func TestRecordedRun(t *testing.T) {
	trace := recorded.NewTrace()
	for seed := range uint64(24) {
		rng := rand.New(rand.NewPCG(seed, 5))
		bounds := discovery.Defaults()
		set, err := discovery.New(bounds)
		if err != nil {
			t.Fatal(err)
		}
		c := &catalogue{rng: rng, index: 1000}
		for i := range 4 + int(seed)%8 {
			c.engines = append(c.engines, c.entry(i))
		}
		now := time.Duration(1000+rng.IntN(1000)) * time.Second
		if seed%3 == 0 {
			list := append([]discovery.Endpoint(nil), c.engines...)
			for i := range list {
				list[i].Drain, list[i].Passing = rng.IntN(5) == 0, rng.IntN(5) > 0
			}
			traceAnswer(trace, set.Restore(now, list))
		}
		mood, left := 0, 0 // a kind of fault, and for how many more answers it goes on
		for range 250 {
			step := 3 * time.Second
			if mood == 7 { // checks that flap
				step = time.Second
				for i := range c.engines[:min(4, len(c.engines))] {
					c.engines[i].Passing = !c.engines[i].Passing
				}
			}
			now += time.Duration(rng.Int64N(int64(step)))
			if left--; left < 0 {
				if mood, left = 0, rng.IntN(12); rng.IntN(2) == 0 {
					mood, left = 1+rng.IntN(7), rng.IntN(30)
				}
				if rng.IntN(40) == 0 {
					c.index = 10 // a restored catalogue
				}
			}
			for range rng.IntN(3) {
				c.turn()
			}
			switch rng.IntN(40) {
			case 0:
				set.Switch(now)
			case 1:
				bounds.MaxEjected, bounds.MaxLoss = rng.Float64(), rng.Float64()
				if err := set.Configure(bounds); err != nil {
					t.Fatal(err)
				}
			case 2, 3, 4, 5:
				traceAnswer(trace, set.Advance(now))
			default:
				traceAnswer(trace, set.Observe(now, c.answer(mood)))
			}
			at, due := set.Next()
			trace.Bool(due, set.Suspicious())
			if due {
				trace.Time(at)
				if rng.IntN(4) == 0 && at < now+time.Minute {
					now = at
					traceAnswer(trace, set.Advance(now))
				}
			}
			trace.Uint(set.Index())
			traceChanges(trace, "belief", set.Current())
			for _, e := range set.Snapshot() {
				traceEntry(trace, e)
			}
		}
		trace.Mark()
	}
	for i := range 100 {
		trace.Uint(uint64(discovery.EndpointID(fmt.Sprint("node/", i))))
	}
	trace.Compare(t, "run")
}
