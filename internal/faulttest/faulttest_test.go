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

// program is a debug build of the front end, so that a broken invariant ends it.
var program string

func TestMain(m *testing.M) { testbinary.Main(m, &program, "-tags", "debug") }

// Any seed must pass; the one that was drawn is told where it does not.
func TestCatalogueDrillKeepsTheRules(t *testing.T) {
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

// Guards against a drill that can't fail: the naive reading loses all engines when all checks flap.
func TestNaiveReadingBreaksTheRules(t *testing.T) {
	r, err := Catalogue.Run(context.Background(), Options{Program: program, Seed: 7, Seconds: 5, Rate: 50, Engines: 6,
		Faults: "flap-all", Policy: "naive"})
	require.NoError(t, err)
	assert.False(t, r.Passed)
	assert.Positive(t, r.Rules[NoEngine])
}

func TestCheckFindsEachViolation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	run := func(on, id string, from, to int) engine.Execution {
		return engine.Execution{Engine: on, ID: id, Class: "x", ReceivedAt: at(from), EndedAt: at(to), Succeeded: true}
	}
	const lookup, load = 0, 2
	ask := func(class int, o Outcome, latency int) Request {
		return Request{ID: "a", Class: class, Due: at(0), Sent: at(0), Latency: time.Duration(latency) * time.Millisecond,
			Outcome: o}
	}
	for name, k := range map[string]struct {
		r      Request
		runs   []engine.Execution
		drains func(*Drains)
		extra  []string
		want   string
	}{
		"well": {ask(lookup, Served, 20), []engine.Execution{run("e1", "a", 0, 20)}, nil, nil, ""},
		"repeated in turn": {ask(lookup, Served, 50), []engine.Execution{run("e1", "a", 0, 20), run("e2", "a",
			21, 40)}, nil, nil, ""},
		"two out": {ask(lookup, Served, 50), []engine.Execution{run("e2", "a", 10, 40), run("e1", "a",
			0, 20)}, nil, nil, OverlappingRuns},
		"load twice": {ask(load, Served, 50), []engine.Execution{run("e1", "a", 0, 20), run("e2", "a", 21,
			40)}, nil, nil, DoubleRuns},
		"load refused after it ran": {ask(load, Rejected, 50), []engine.Execution{run("e1", "a", 0, 20)}, nil, nil,
			FalsePromises},
		"load refused, never ran": {ask(load, Rejected, 50), nil, nil, nil, ""},
		"no answer":               {ask(lookup, Unanswered, 4500), nil, nil, nil, UnansweredRequests},
		"answered too late":       {ask(lookup, Failed, 2900), nil, nil, nil, UnansweredRequests},
		"wrong rows":              {ask(lookup, Wrong, 20), nil, nil, nil, WrongAnswers},
		"served by nobody":        {ask(lookup, Served, 20), nil, nil, nil, WrongAnswers},
		"surplus":                 {ask(lookup, Rejected, 20), nil, nil, []string{"x"}, DoubleAnswers},
		"sent within the grace": {ask(lookup, Served, 20), []engine.Execution{run("e1", "a", 600, 620)},
			func(d *Drains) { d.Commanded("e1", at(200)) }, nil, ""},
		"sent late": {ask(lookup, Served, 20), []engine.Execution{run("e1", "a", 600, 620)},
			func(d *Drains) { d.Commanded("e1", at(0)); d.Commanded("e1", at(300)) }, nil, LateSends},
		"sent after the drain": {ask(lookup, Served, 20), []engine.Execution{run("e1", "a", 600, 620)},
			func(d *Drains) { d.Commanded("e1", at(0)); d.Cancelled("e1", at(590)) }, nil, ""},
		"sent late in a second drain": {ask(lookup, Served, 20), []engine.Execution{run("e1", "a", 900, 920)},
			func(d *Drains) { d.Commanded("e1", at(0)); d.Cancelled("e1", at(100)); d.Commanded("e1", at(200)) }, nil,
			LateSends},
	} {
		t.Run(name, func(t *testing.T) {
			var d Drains
			told := func(string) *Drains { return &d }
			if k.drains != nil {
				k.drains(&d)
			}
			got := Check(Classes, []Request{k.r}, k.runs, told, k.extra)
			if k.want == "" {
				assert.Empty(t, got)
				return
			}
			require.Len(t, got, 1)
			assert.Equal(t, k.want, got[0].Rule)
		})
	}
}

func TestOptionsAreChecked(t *testing.T) {
	good := Options{Seconds: 10, Rate: 10, Engines: 5, Faults: "all"}
	require.NoError(t, good.Check(Catalogue))
	for field, spoil := range map[string]func(*Options){
		"seconds": func(o *Options) { o.Seconds = 0 }, "rate": func(o *Options) { o.Rate = 0 },
		"engines": func(o *Options) { o.Engines = 1 },
		"policy":  func(o *Options) { o.Policy = "x" }, "bad": func(o *Options) { o.BadRelease = "x" },
		"faults": func(o *Options) { o.Faults = "x" },
	} {
		o := good
		spoil(&o)
		assert.ErrorContains(t, o.Check(Catalogue), field+": found")
	}
}

func TestDemoServes(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, Demo(context.Background(), DemoOptions{Program: program, Once: true, Out: &b}))
	assert.Equal(t, 6, bytes.Count(b.Bytes(), []byte(" rows in ")))
}
