// Package parts measures the cost of single parts of the program as the fleet grows: within one process, at one
// control replica, or at one front end. Package scale measures whole fleets. Each part is measured at several fleet
// sizes and several times, and returns samples of named quantities (package record). Package capacity derives laws
// and totals from the samples.
package parts

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"beechcart/internal/scale/record"
)

// The fleet size for which docs/CAPACITY.md plans.
const (
	PlannedMembers = 710
	PlannedEngines = 810
	// PlannedSessions is the number of client connections of one front end: 1.4 million in the whole fleet.
	PlannedSessions = 1972
	// PlannedRate is one front end's share of 540,000 statements per second.
	PlannedRate = 760
)

// DefaultMembers lists the fleet sizes, in front ends, that are measured by default.
var DefaultMembers = []int{50, 100, 200, 400, PlannedMembers}

// Options sets the sizes, rates and durations of a measurement.
type Options struct {
	Program     string        // the front end's executable; needed only if Part.StartsFrontEnd
	ReplicaArgs []string      // command line of a process that calls ServeReplica; only the part "replica" needs it
	Sizes       []record.Size // fleet sizes; only Members and Engines are read
	// Client connections of one front end, in ascending order. The last number is open while statements and logins
	// are sent.
	Sessions      []int
	Rates         []int // statements per second to one front end
	LoginRates    []int // new connections per second to one front end
	Repeats       int
	Window        time.Duration // duration of each measurement at a constant load
	Starts        int           // starts of a front end, at each size and repeat
	TrafficFronts int           // maximum number of front ends that are simulated at the full rate, at each size
	TrafficTime   time.Duration // simulated time of those front ends
	FleetTime     time.Duration // simulated time of whole fleets
	Progress      func(string)  // receives a line of text at each step; may be nil
}

// Defaults returns the options for a recording.
func Defaults() Options {
	o := Options{
		Sessions: []int{250, 500, 1000, 1500, PlannedSessions}, Rates: []int{100, 200, 400, 600, PlannedRate},
		LoginRates: []int{50, 100, 200, 400}, Repeats: 3, Window: 4 * time.Second, Starts: 7, TrafficFronts: 4,
		TrafficTime: 10 * time.Second, FleetTime: 15 * time.Second,
	}
	for _, members := range DefaultMembers {
		o.Sizes = append(o.Sizes, SizeOf(members))
	}
	return o
}

// SizeOf returns the size of a fleet with the given number of front ends, and databases in the planned proportion.
func SizeOf(members int) record.Size {
	return record.Size{Members: members, Engines: (members*PlannedEngines + PlannedMembers/2) / PlannedMembers}
}

// Check returns an error that names the first invalid option.
func (o *Options) Check() error {
	switch {
	case len(o.Sizes) == 0:
		return errors.New("parts: sizes: found none, allowed is at least one")
	case o.Repeats < 1 || o.Repeats > 100:
		return fmt.Errorf("parts: repeats: found %d, allowed is 1 to 100", o.Repeats)
	case o.Window <= 0 || o.TrafficTime <= 0 || o.FleetTime <= 0:
		return errors.New("parts: window, traffic time and fleet time: found one of 0 or less, allowed is more than 0")
	case o.Starts < 1 || o.TrafficFronts < 1:
		return errors.New("parts: starts and traffic front ends: found one below 1, allowed is at least 1")
	}
	for _, s := range o.Sizes {
		if s.Members < 1 || s.Members > 5000 || s.Engines < 1 || s.Engines > 5000 {
			return fmt.Errorf("parts: sizes: found %d front ends and %d databases, allowed are 1 to 5000", s.Members, s.Engines)
		}
	}
	return nil
}

// Part is one measurement that can be run on its own.
type Part struct {
	Name           string
	Summary        string
	StartsFrontEnd bool // whether Options.Program must be set
	measure        func(ctx context.Context, o *Options, c *collector) error
}

// All returns all parts, in the order of the command line's help.
func All() []Part {
	return []Part{
		{Name: "state", Summary: "the control log's state: bytes, and CPU of commands", measure: measureState},
		{Name: "replica", Summary: "one control replica over HTTP: status, watches, reports, the drain of a database",
			measure: measureReplica},
		{Name: "lists", Summary: "endpoint lists: bytes at their source, CPU at a front end", measure: measureLists},
		{Name: "traffic", Summary: "databases that a front end sends to and probes, from a simulation of the admission " +
			"controllers", measure: measureTraffic},
		{Name: "frontend", StartsFrontEnd: true, Summary: "one front end: memory of sessions, CPU of statements and " +
			"logins", measure: measureFrontEnd},
		{Name: "frontlist", StartsFrontEnd: true, Summary: "one front end: memory and CPU by the length of its endpoint list",
			measure: measureFrontEndByList},
		{Name: "start", StartsFrontEnd: true, Summary: "one front end: time from start to ready", measure: measureStart},
		{Name: "reload", StartsFrontEnd: true, Summary: "one front end: time from SIGHUP until a new list source is in use",
			measure: measureReload},
	}
}

// Find returns the part with a name, or an error that lists the allowed names.
func Find(name string) (Part, error) {
	var names []string
	for _, p := range All() {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return Part{}, fmt.Errorf("parts: name: found %q, allowed is one of %s", name, strings.Join(names, ", "))
}

// Result holds the samples of a measurement, and notes on how they were taken.
type Result struct {
	Samples []record.Sample
	Notes   []string
}

// Measure runs the measurement. On an error it also returns the samples taken so far.
func (p Part) Measure(ctx context.Context, o Options) (Result, error) {
	if err := o.Check(); err != nil {
		return Result{}, err
	}
	c := &collector{progress: o.Progress}
	err := p.measure(ctx, &o, c)
	return c.Result, err
}

// collector gathers samples and notes, and reports progress.
type collector struct {
	Result
	progress func(string)
}

// sizeRun identifies the role, size and repeat to which the samples of one step belong.
type sizeRun struct {
	c      *collector
	role   record.Role
	size   record.Size
	repeat int
}

func (p sizeRun) add(quantity string, value float64) {
	p.c.Samples = append(p.c.Samples, record.Sample{Quantity: quantity, Role: p.role, Size: p.size, Repeat: p.repeat,
		Value: value})
}

// withRole returns a copy of p for samples of another role.
func (p sizeRun) withRole(role record.Role) sizeRun {
	p.role = role
	return p
}

func (c *collector) note(format string, args ...any) {
	c.Notes = append(c.Notes, fmt.Sprintf(format, args...))
}

func (c *collector) reportStep(format string, args ...any) {
	if c.progress != nil {
		c.progress(fmt.Sprintf(format, args...))
	}
}

// forEachSize calls measure for each repeat and size, and stops at the first error.
func (o *Options) forEachSize(ctx context.Context, c *collector, role record.Role, measure func(sizeRun) error) error {
	for repeat := 1; repeat <= o.Repeats; repeat++ {
		for _, size := range o.Sizes {
			if err := ctx.Err(); err != nil {
				return err
			}
			c.reportStep("%d front ends, %d databases, repeat %d", size.Members, size.Engines, repeat)
			if err := measure(sizeRun{c, role, size, repeat}); err != nil {
				return fmt.Errorf("parts: %d front ends, repeat %d: %w", size.Members, repeat, err)
			}
		}
	}
	return nil
}

// pause waits for d, or returns the context's error if the context ends first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
