// Package faulttest plays faults against the real front end and checks the rules: front end processes, stand-in engines and
// catalogues on loopback addresses, faults drawn from a seed, open arrivals, and one checker that sees sockets only. A
// drill imports nothing of the front end's inside: what it checks is the program that is delivered.
package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Options are what every drill takes.
type Options struct {
	Program string // the front end to start
	Seed    uint64
	Seconds int
	Rate    float64 // requests a second
	Engines int
	Fronts  int                           // front ends, in drills of several; 0: the drill's own number
	Faults  string                        // "all", "none" or one of the drill's kinds
	Policy  string                        // the drill's own; empty: the program as it is
	Bad     string                        // what is wrong with a release that must be halted; empty: the first of the drill's
	Step    func(done, all int)           // progress; may be nil
	Note    func(format string, a ...any) // what happens, as it happens; may be nil
}

// Report is how a drill ended.
type Report struct {
	Drill      string             `json:"drill"`
	Seed       uint64             `json:"seed"`
	Passed     bool               `json:"kept"`
	Rules      map[string]int     `json:"rules"`
	Figures    map[string]float64 `json:"figures"`
	Violations []Violation        `json:"-"`
}

// Drill is one drill.
type Drill struct {
	Name, Short string
	Kinds       []string // of faults
	Policies    []string
	Bads        []string // what may be wrong with a release
	Fronts      int      // front ends where none are asked for; 0: the drill has one
	Run         func(ctx context.Context, o Options) (*Report, error)
}

// All lists the drills.
var All = []Drill{Catalogue, Rollout}

// Check tells which option can't be used.
func (o *Options) Check(d Drill) error {
	switch {
	case o.Seconds < 2 || o.Seconds > 3600:
		return fmt.Errorf("seconds: found %d, allowed is 2 to 3600", o.Seconds)
	case !(o.Rate >= 1 && o.Rate <= 5000):
		return fmt.Errorf("rate: found %v, allowed is 1 to 5000", o.Rate)
	case o.Engines < 3 || o.Engines > 64:
		return fmt.Errorf("engines: found %d, allowed is 3 to 64", o.Engines)
	case o.Fronts != 0 && (d.Fronts == 0 || o.Fronts < 6 || o.Fronts > 96):
		return fmt.Errorf("fronts: found %d, allowed is 6 to 96, in drills of several", o.Fronts)
	case o.Policy != "" && !slices.Contains(d.Policies, o.Policy):
		return fmt.Errorf("policy: found %q, allowed is %s", o.Policy, strings.Join(d.Policies, ", "))
	case o.Bad != "" && !slices.Contains(d.Bads, o.Bad):
		return fmt.Errorf("bad: found %q, allowed is %s", o.Bad, strings.Join(d.Bads, ", "))
	case o.Faults != "all" && o.Faults != "none" && !slices.Contains(d.Kinds, o.Faults):
		return fmt.Errorf("faults: found %q, allowed is all, none, %s", o.Faults, strings.Join(d.Kinds, ", "))
	}
	return nil
}

func (o *Options) note(format string, a ...any) {
	if o.Note != nil {
		o.Note(format, a...)
	}
}

// newReport counts violations by rule.
func newReport(drill string, seed uint64, violations []Violation, figures map[string]float64) *Report {
	r := &Report{Drill: drill, Seed: seed, Passed: len(violations) == 0, Rules: map[string]int{}, Figures: figures, Violations: violations}
	for _, rule := range Rules {
		r.Rules[rule] = 0
	}
	for _, b := range violations {
		r.Rules[b.Rule]++
	}
	return r
}

// WriteJSON prints the report as one object.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable prints the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	verdict := "every rule kept"
	if !r.Passed {
		verdict = fmt.Sprintf("%d breaches", len(r.Violations))
	}
	fmt.Fprintf(t, "drill %s, seed %d\t%s\n", r.Drill, r.Seed, verdict)
	for _, rule := range Rules {
		fmt.Fprintf(t, "  %s\t%d\n", rule, r.Rules[rule])
	}
	var names []string
	for name := range r.Figures {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(t, "  %s\t%.4g\n", name, r.Figures[name])
	}
	return t.Flush()
}

// WriteViolations prints the first ten violations.
func (r *Report) WriteViolations(w io.Writer) {
	for i, b := range r.Violations {
		if i == 10 {
			fmt.Fprintf(w, "... and %d more\n", len(r.Violations)-10)
			return
		}
		fmt.Fprintf(w, "%s %s id=%s %s\n", b.At.Format("15:04:05.000"), b.Rule, b.ID, b.Text)
	}
}

// plays tells whether faults of a kind are asked for.
func (o *Options) plays(kind string) bool { return o.Faults == "all" || o.Faults == kind }

// showProgress reports each second of a drill that began then, until ctx ends.
func showProgress(ctx context.Context, began time.Time, o Options) {
	for second := 1; second <= o.Seconds; second++ {
		if !pause(ctx, time.Until(began.Add(time.Duration(second)*time.Second))) {
			return
		}
		if o.Step != nil {
			o.Step(second, o.Seconds)
		}
	}
}

// between draws a duration from low to high, both included.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)+1))
}

// pause waits; false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
