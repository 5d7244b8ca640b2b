// Package parts measures what single parts of the program cost as the fleet grows: what can be seen in one process,
// at one control replica or at one front end. Whole fleets are measured elsewhere. Each part is measured at several
// sizes, several times, and gives samples of named quantities (package record); laws and totals are worked out from
// those.
package parts

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"beechcart/internal/scale/record"
)

// The size that the capacity page plans for.
const (
	PlannedMembers = 710
	PlannedEngines = 810
	// PlannedSessions are the client connections of one front end: 1.4 million over all of them.
	PlannedSessions = 1972
	// PlannedRate is one front end's part of 540,000 statements a second.
	PlannedRate = 760
)

// DefaultMembers are the fleet sizes that are measured where nothing else is asked for.
var DefaultMembers = []int{50, 100, 200, 400, PlannedMembers}

// Options are what a measurement takes.
type Options struct {
	Program     string        // the front end's executable; only the parts that start one need it
	ReplicaArgs []string      // command line of a process that calls ServeReplica; only the part "replica" needs it
	Sizes       []record.Size // fleets; only members and engines are read
	// client connections of one front end, rising; the last is held while statements and logins are sent
	Sessions      []int
	Rates         []int // statements a second to one front end
	LoginRates    []int // new connections a second to one front end
	Repeats       int
	Window        time.Duration // of each measurement that goes on for a time
	Starts        int           // of a front end, at each size and repeat
	TrafficFronts int           // most front ends whose traffic is simulated at each size
	TrafficTime   time.Duration // simulated, of those
	FleetTime     time.Duration // simulated, of whole fleets
	Progress      func(string)  // gets each step; may be nil
}

// Defaults are the options of a recording.
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

// SizeOf is a fleet with so many front ends, and databases in the planned proportion.
func SizeOf(members int) record.Size {
	return record.Size{Members: members, Engines: (members*PlannedEngines + PlannedMembers/2) / PlannedMembers}
}

// Check names the first option that cannot be used.
func (o *Options) Check() error {
	switch {
	case len(o.Sizes) == 0:
		return errors.New("parts: sizes: none given")
	case o.Repeats < 1 || o.Repeats > 100:
		return fmt.Errorf("parts: repeats: found %d, allowed is 1 to 100", o.Repeats)
	case o.Window <= 0 || o.TrafficTime <= 0 || o.FleetTime <= 0:
		return errors.New("parts: window and traffic time must be more than 0")
	case o.Starts < 1 || o.TrafficFronts < 1:
		return errors.New("parts: starts and traffic front ends must be at least 1")
	}
	for _, s := range o.Sizes {
		if s.Members < 1 || s.Members > 5000 || s.Engines < 1 || s.Engines > 5000 {
			return fmt.Errorf("parts: sizes: found %d front ends and %d databases, allowed are 1 to 5000", s.Members, s.Engines)
		}
	}
	return nil
}

// Part is one part that can be measured.
type Part struct {
	Name           string
	Summary        string
	StartsFrontEnd bool // it needs Options.Program
	measure        func(ctx context.Context, o *Options, c *collector) error
}

// All lists the parts.
func All() []Part {
	return []Part{
		{Name: "state", Summary: "the control log's state: bytes, and CPU of commands", measure: measureState},
		{Name: "replica", Summary: "one control replica over HTTP: status, watches, reports, the drain of a database",
			measure: measureReplica},
		{Name: "lists", Summary: "lists of databases: bytes at their source, CPU at a front end", measure: measureLists},
		{Name: "traffic", Summary: "databases that a front end sends to and probes, by simulation of the admission " +
			"controllers", measure: measureTraffic},
		{Name: "frontend", StartsFrontEnd: true, Summary: "one front end: memory of sessions, CPU of statements and " +
			"logins", measure: measureFrontEnd},
		{Name: "frontlist", StartsFrontEnd: true, Summary: "one front end: memory and CPU by the length of its list",
			measure: measureFrontEndByList},
		{Name: "start", StartsFrontEnd: true, Summary: "one front end: from start to ready", measure: measureStart},
		{Name: "reload", StartsFrontEnd: true, Summary: "one front end: from SIGHUP to a new source of the list in force",
			measure: measureReload},
	}
}

// Find returns the part of that name, or an error that lists the names.
func Find(name string) (Part, error) {
	var names []string
	for _, p := range All() {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return Part{}, fmt.Errorf("parts: found %q, allowed is one of %s", name, strings.Join(names, ", "))
}

// Result is what a measurement gave.
type Result struct {
	Samples []record.Sample
	Notes   []string
}

// Measure measures the part. Where it fails, the samples so far come with the error.
func (p Part) Measure(ctx context.Context, o Options) (Result, error) {
	if err := o.Check(); err != nil {
		return Result{}, err
	}
	c := &collector{progress: o.Progress}
	err := p.measure(ctx, &o, c)
	return c.Result, err
}

// collector gathers samples.
type collector struct {
	Result
	progress func(string)
}

// sizeRun is where the samples of one step belong.
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

// as is the same place for another role.
func (p sizeRun) as(role record.Role) sizeRun {
	p.role = role
	return p
}

func (c *collector) note(format string, args ...any) {
	c.Notes = append(c.Notes, fmt.Sprintf(format, args...))
}

func (c *collector) step(format string, args ...any) {
	if c.progress != nil {
		c.progress(fmt.Sprintf(format, args...))
	}
}

// each calls measure for each size and repeat until it fails.
func (o *Options) each(ctx context.Context, c *collector, role record.Role, measure func(sizeRun) error) error {
	for repeat := 1; repeat <= o.Repeats; repeat++ {
		for _, size := range o.Sizes {
			if err := ctx.Err(); err != nil {
				return err
			}
			c.step("%d front ends, %d databases, repeat %d", size.Members, size.Engines, repeat)
			if err := measure(sizeRun{c, role, size, repeat}); err != nil {
				return fmt.Errorf("parts: %d front ends, repeat %d: %w", size.Members, repeat, err)
			}
		}
	}
	return nil
}

// pause waits, or returns the context's error.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
