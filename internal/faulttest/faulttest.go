// Package faulttest injects faults into the real front end under load and checks that the front end keeps its rules. It
// runs front end processes, fake engines and fake catalogues on loopback addresses, draws faults from a seed, and sends
// requests by open arrivals. The checker observes sockets only. The package imports no internals of the front end, so
// that the program under test is the delivered one.
//
// A [Scenario] is one fault test: catalogue.go runs one front end on a faulty catalogue, rollout.go a cluster of front
// ends through releases. load.go and session.go contain the clients, checker.go the rules, and frontend.go starts front
// end processes.
package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Options are the options of a run of any scenario.
type Options struct {
	Program   string // path of the front end to start
	Seed      uint64
	Seconds   int
	Rate      float64 // requests a second
	Engines   int
	FrontEnds int    // in scenarios with several; 0: the scenario's default
	Faults    string // "all", "none" or one of Scenario.Faults
	Policy    string // one of Scenario.Policies; empty: the program's own decisions
	// defect of the release that must be halted, one of Scenario.BadReleases; empty: the first of them
	BadRelease string
	Progress   func(done, all int)           // called with seconds of the run; may be nil
	Logf       func(format string, a ...any) // logs events of the run as they occur; may be nil
}

// Report is the result of a run.
type Report struct {
	Scenario     string             `json:"drill"`
	Seed         uint64             `json:"seed"`
	Passed       bool               `json:"kept"`
	Rules        map[string]int     `json:"rules"`   // violations by rule
	Measurements map[string]float64 `json:"figures"` // by name, which ends in the unit
	Violations   []Violation        `json:"-"`
}

// Scenario is one fault test.
type Scenario struct {
	Name, Short string
	Faults      []string // names of the faults that the scenario injects
	Policies    []string // baselines in place of the program's own decisions
	BadReleases []string // possible defects of the bad release
	FrontEnds   int      // default number; 0: the scenario has exactly one
	Run         func(ctx context.Context, o Options) (*Report, error)
}

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Catalogue, Rollout}

// The allowed ranges of options.
const (
	minSeconds, maxSeconds     = 2, 3600
	minRate, maxRate           = 1, 5000
	minEngines, maxEngines     = 3, 64
	minFrontEnds, maxFrontEnds = 6, 96
)

// maxShownViolations is the largest number of violations that WriteViolations prints.
const maxShownViolations = 10

// Check returns an error for the first option that is out of range or unknown to a scenario.
func (o *Options) Check(s Scenario) error {
	switch {
	case o.Seconds < minSeconds || o.Seconds > maxSeconds:
		return fmt.Errorf("seconds: found %d, allowed is %d to %d", o.Seconds, minSeconds, maxSeconds)
	case math.IsNaN(o.Rate) || o.Rate < minRate || o.Rate > maxRate:
		return fmt.Errorf("rate: found %v, allowed is %d to %d", o.Rate, minRate, maxRate)
	case o.Engines < minEngines || o.Engines > maxEngines:
		return fmt.Errorf("engines: found %d, allowed is %d to %d", o.Engines, minEngines, maxEngines)
	case o.FrontEnds != 0 && (s.FrontEnds == 0 || o.FrontEnds < minFrontEnds || o.FrontEnds > maxFrontEnds):
		return fmt.Errorf("fronts: found %d, allowed is %d to %d, in scenarios with several front ends", o.FrontEnds,
			minFrontEnds, maxFrontEnds)
	case o.Policy != "" && !slices.Contains(s.Policies, o.Policy):
		return fmt.Errorf("policy: found %q, allowed is %s", o.Policy, strings.Join(s.Policies, ", "))
	case o.BadRelease != "" && !slices.Contains(s.BadReleases, o.BadRelease):
		return fmt.Errorf("bad: found %q, allowed is %s", o.BadRelease, strings.Join(s.BadReleases, ", "))
	case o.Faults != "all" && o.Faults != "none" && !slices.Contains(s.Faults, o.Faults):
		return fmt.Errorf("faults: found %q, allowed is all, none, %s", o.Faults, strings.Join(s.Faults, ", "))
	}
	return nil
}

func (o *Options) logf(format string, a ...any) {
	if o.Logf != nil {
		o.Logf(format, a...)
	}
}

// newReport returns the report of a run, with its violations counted by rule.
func newReport(scenario string, seed uint64, violations []Violation, measurements map[string]float64) *Report {
	r := &Report{
		Scenario:     scenario,
		Seed:         seed,
		Passed:       len(violations) == 0,
		Rules:        map[string]int{},
		Measurements: measurements,
		Violations:   violations,
	}
	for _, rule := range Rules {
		r.Rules[rule] = 0
	}
	for _, v := range violations {
		r.Rules[v.Rule]++
	}
	return r
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes the report as a table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	verdict := "every rule kept"
	if !r.Passed {
		verdict = fmt.Sprintf("%d violations", len(r.Violations))
	}
	fmt.Fprintf(t, "%s, seed %d\t%s\n", r.Scenario, r.Seed, verdict)
	for _, rule := range Rules {
		fmt.Fprintf(t, "  %s\t%d\n", rule, r.Rules[rule])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Measurements)) {
		fmt.Fprintf(t, "  %s\t%.4g\n", name, r.Measurements[name])
	}
	return t.Flush()
}

// WriteViolations writes the first maxShownViolations violations, and the number of the others.
func (r *Report) WriteViolations(w io.Writer) {
	for i, v := range r.Violations {
		if i == maxShownViolations {
			_, _ = fmt.Fprintf(w, "... and %d more\n", len(r.Violations)-maxShownViolations)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s id=%s %s\n", v.At.Format("15:04:05.000"), v.Rule, v.ID, v.Text)
	}
}

// injects reports whether the options select a fault.
func (o *Options) injects(fault string) bool { return o.Faults == "all" || o.Faults == fault }

// showProgress calls Progress after each second of a run that started at began, until ctx ends.
func showProgress(ctx context.Context, began time.Time, o Options) {
	for second := 1; second <= o.Seconds; second++ {
		if !sleep(ctx, time.Until(began.Add(time.Duration(second)*time.Second))) {
			return
		}
		if o.Progress != nil {
			o.Progress(second, o.Seconds)
		}
	}
}

// drawDuration draws a duration from low to high, both inclusive.
func drawDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)+1))
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
