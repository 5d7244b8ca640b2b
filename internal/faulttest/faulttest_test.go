package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/fake/engine"
	"beechcart/internal/testbinary"
)

// program is the path of a debug build of the front end, which ends on a broken invariant.
var program string

func TestMain(m *testing.M) { testbinary.Main(m, &program, "-tags", "debug") }

// Every seed must pass. The test draws one, and its failure messages contain the seed.
func TestCatalogueScenarioKeepsRules(t *testing.T) {
	o := Options{Program: program, Seed: rand.Uint64N(1_000_000), Seconds: 10, Rate: 100, Engines: 8, Faults: "all"}
	r, err := Catalogue.Run(context.Background(), o)
	require.NoError(t, err, "seed %d", o.Seed)
	var b bytes.Buffer
	r.WriteViolations(&b)
	assert.True(t, r.Passed, "seed %d\n%s", o.Seed, b.String())
	assert.Greater(t, r.Measurements["served"], 0.9*r.Measurements["requests"], "seed %d", o.Seed)

	b.Reset()
	require.NoError(t, r.WriteJSON(&b))
	var got struct {
		Drill string
		Seed  uint64
		Kept  bool
		Rules map[string]int
	}
	require.NoError(t, json.Unmarshal(b.Bytes(), &got))
	assert.Equal(t, "catalogue", got.Drill)
	assert.Equal(t, o.Seed, got.Seed)
	assert.Len(t, got.Rules, len(Rules))
}

// The naive policy must lose all engines when all checks flap, which proves that the scenario can detect a violation.
func TestNaivePolicyViolatesRules(t *testing.T) {
	r, err := Catalogue.Run(context.Background(), Options{Program: program, Seed: 7, Seconds: 5, Rate: 50, Engines: 6,
		Faults: "flap-all", Policy: "naive"})
	require.NoError(t, err)
	assert.False(t, r.Passed)
	assert.Positive(t, r.Rules[NoEngine])
}

func TestCheckFindsEachViolation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	executed := func(on, id string, from, to int) engine.Execution {
		return engine.Execution{Engine: on, ID: id, Class: "x", ReceivedAt: at(from), EndedAt: at(to), Succeeded: true}
	}
	const lookup, load = 0, 2
	requestWith := func(class int, outcome Outcome, latencyMS int) Request {
		return Request{ID: "a", Class: class, Due: at(0), Sent: at(0), Latency: time.Duration(latencyMS) * time.Millisecond,
			Outcome: outcome}
	}
	for name, c := range map[string]struct {
		request    Request
		executions []engine.Execution
		drains     func(*Drains)
		unexpected []string
		want       string
	}{
		"served": {requestWith(lookup, Served, 20), []engine.Execution{executed("e1", "a", 0, 20)}, nil, nil, ""},
		"retried after the first execution ended": {requestWith(lookup, Served, 50),
			[]engine.Execution{executed("e1", "a", 0, 20), executed("e2", "a", 21, 40)}, nil, nil, ""},
		"overlapping executions": {requestWith(lookup, Served, 50),
			[]engine.Execution{executed("e2", "a", 10, 40), executed("e1", "a", 0, 20)}, nil, nil, OverlappingRuns},
		"load executed twice": {requestWith(load, Served, 50),
			[]engine.Execution{executed("e1", "a", 0, 20), executed("e2", "a", 21, 40)}, nil, nil, DoubleRuns},
		"load rejected after its execution": {requestWith(load, Rejected, 50),
			[]engine.Execution{executed("e1", "a", 0, 20)}, nil, nil, UnsafeRejections},
		"load rejected without execution": {requestWith(load, Rejected, 50), nil, nil, nil, ""},
		"no answer":                       {requestWith(lookup, Unanswered, 4500), nil, nil, nil, UnansweredRequests},
		"answered after the timeout":      {requestWith(lookup, Failed, 2900), nil, nil, nil, UnansweredRequests},
		"wrong rows":                      {requestWith(lookup, Wrong, 20), nil, nil, nil, WrongAnswers},
		"served without execution":        {requestWith(lookup, Served, 20), nil, nil, nil, WrongAnswers},
		"answer without request":          {requestWith(lookup, Rejected, 20), nil, nil, []string{"x"}, DoubleAnswers},
		"sent within the grace": {requestWith(lookup, Served, 20),
			[]engine.Execution{executed("e1", "a", 600, 620)}, func(d *Drains) { d.Commanded("e1", at(200)) }, nil, ""},
		"sent after the grace": {requestWith(lookup, Served, 20),
			[]engine.Execution{executed("e1", "a", 600, 620)},
			func(d *Drains) { d.Commanded("e1", at(0)); d.Commanded("e1", at(300)) }, nil, LateSends},
		"sent after the drain was cancelled": {requestWith(lookup, Served, 20),
			[]engine.Execution{executed("e1", "a", 600, 620)},
			func(d *Drains) { d.Commanded("e1", at(0)); d.Cancelled("e1", at(590)) }, nil, ""},
		"sent after the grace of a second drain": {requestWith(lookup, Served, 20),
			[]engine.Execution{executed("e1", "a", 900, 920)},
			func(d *Drains) { d.Commanded("e1", at(0)); d.Cancelled("e1", at(100)); d.Commanded("e1", at(200)) }, nil,
			LateSends},
	} {
		t.Run(name, func(t *testing.T) {
			var d Drains
			drainsOf := func(string) *Drains { return &d }
			if c.drains != nil {
				c.drains(&d)
			}
			got := Check(Classes, []Request{c.request}, c.executions, drainsOf, c.unexpected)
			if c.want == "" {
				assert.Empty(t, got)
				return
			}
			require.Len(t, got, 1)
			assert.Equal(t, c.want, got[0].Rule)
		})
	}
}

func TestCheckOptions(t *testing.T) {
	valid := Options{Seconds: 10, Rate: 10, Engines: 5, Faults: "all"}
	require.NoError(t, valid.Check(Catalogue))
	for field, invalidate := range map[string]func(*Options){
		"seconds": func(o *Options) { o.Seconds = 0 }, "rate": func(o *Options) { o.Rate = 0 },
		"engines": func(o *Options) { o.Engines = 1 },
		"policy":  func(o *Options) { o.Policy = "x" }, "bad": func(o *Options) { o.BadRelease = "x" },
		"faults": func(o *Options) { o.Faults = "x" },
	} {
		o := valid
		invalidate(&o)
		assert.ErrorContains(t, o.Check(Catalogue), field+": found")
	}
}

func TestDemoServesQueries(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, Demo(context.Background(), DemoOptions{Program: program, Once: true, Out: &b}))
	assert.Equal(t, 6, bytes.Count(b.Bytes(), []byte(" rows in ")))
}
