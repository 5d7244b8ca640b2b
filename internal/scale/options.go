package scale

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of a run on one machine.
const (
	MaxMembers   = 1000
	MaxReal      = 20
	MaxProcesses = 200
	MaxMemory    = 12 << 30 // bytes, of all processes together
	maxPerHost   = 50
	maxSeconds   = 600
)

// The estimate of a run's resident memory, in bytes. Options whose estimate exceeds MaxMemory are rejected. The
// estimate is rounded up from the memory that runs used.
const (
	memoryPerMember  = 8 << 20
	memoryPerProcess = 25 << 20
	memoryPerReal    = 200 << 20
	memoryPerEngine  = 300 << 10 // a fake database and the connections that real front ends open to it
)

// descriptorsPerMember is an estimate of the descriptors that a simulated front end holds open, for gossip sockets,
// calls and push-pull streams.
const descriptorsPerMember = 40

// Options are the settings of a run.
type Options struct {
	Members int // all front ends: real and simulated; the control replicas are simulated ones with a log
	Engines int
	Real    int // gateway processes among the members
	Control int // replicas of the control log, each in a process of its own
	Zones   int
	Regions int
	PerHost int // simulated members of a host process
	Seconds int // length of the quiet window
	Seed    uint64

	Changes        int           // number of measured drains of an engine
	PrimaryChanges int           // number of measured kills of the leader
	Settle         time.Duration // wait between the formation of the fleet and the quiet window
	RevertWindow   time.Duration // time after which a drain that came into force everywhere is checked for reverts
	FormWithin     time.Duration // limit for each step of the fleet's formation
	StartPace      time.Duration // wait between the starts of host processes
	ChangeWithin   time.Duration // a drain that is not in force at every live member by then is lost
	Faults         []string
	PauseShare     float64 // share of the members that the pause fault stops
	PauseMillis    int
	NoticeWithin   time.Duration // a member that is not suspected by then counts as not noticed

	Program     string   // the gateway program; required if Real is more than 0
	HostCommand []string // program and arguments of a process that calls RunHost
	Logf        func(format string, a ...any)
}

// Defaults returns the options of a run at planning size.
func Defaults() Options {
	return Options{Members: 710, Engines: 810, Real: 4, Control: 5, Zones: 7, Regions: 2, PerHost: 15, Seconds: 60,
		Changes:        5,
		PrimaryChanges: 2, FormWithin: 90 * time.Second, ChangeWithin: 15 * time.Second, StartPace: 500 * time.Millisecond,
		PauseShare: 0.1, PauseMillis: 1500,
		NoticeWithin: 15 * time.Second, Settle: 5 * time.Second, RevertWindow: 2 * time.Second}
}

// SizeError names an invalid option, its value and the allowed values.
type SizeError struct{ Option, Found, Allowed string }

func (e *SizeError) Error() string {
	return fmt.Sprintf("scale: --%s: found %s, allowed is %s", e.Option, e.Found, e.Allowed)
}

// Check returns an error that names the first invalid option.
func (o *Options) Check() error {
	for _, b := range []struct {
		option             string
		found, least, most int
	}{
		{"members", o.Members, 1, MaxMembers}, {"real", o.Real, 0, MaxReal}, {"engines", o.Engines, 1, 2000},
		{"control", o.Control, 1, 7}, {"zones", o.Zones, 1, 50}, {"regions", o.Regions, 1, o.Zones},
		{"per-host", o.PerHost, 1, maxPerHost}, {"seconds", o.Seconds, 1, maxSeconds}, {"changes", o.Changes, 0, 100},
		{"primary-changes", o.PrimaryChanges, 0, 20}, {"pause-millis", o.PauseMillis, 1, 60_000},
	} {
		if b.found < b.least || b.found > b.most {
			return &SizeError{b.option, strconv.Itoa(b.found), fmt.Sprintf("%d to %d", b.least, b.most)}
		}
	}
	switch {
	case o.Control%2 == 0:
		return &SizeError{"control", strconv.Itoa(o.Control), "1, 3, 5 or 7"}
	case o.Members < o.Real+o.Control:
		return &SizeError{"members", strconv.Itoa(o.Members),
			fmt.Sprintf("at least %d: %d real front ends and %d control replicas are among them", o.Real+o.Control, o.Real,
				o.Control)}
	case !(o.PauseShare > 0 && o.PauseShare <= 1):
		return &SizeError{"pause-share", fmt.Sprint(o.PauseShare), "more than 0, up to 1"}
	case o.FormWithin <= 0 || o.ChangeWithin <= 0:
		return &SizeError{"form-within and --change-within", fmt.Sprint(o.FormWithin, " and ", o.ChangeWithin), "more than 0"}
	case o.NoticeWithin <= 0:
		return &SizeError{"notice-within", fmt.Sprint(o.NoticeWithin), "more than 0"}
	case o.processes() > MaxProcesses:
		return &SizeError{"per-host", strconv.Itoa(o.PerHost),
			fmt.Sprintf("what needs at most %d processes; this needs %d", MaxProcesses, o.processes())}
	case o.memory() > MaxMemory:
		return &SizeError{"members", strconv.Itoa(o.Members),
			fmt.Sprintf("a number that fits into %d MB; this one is estimated at %d MB", MaxMemory>>20, o.memory()>>20)}
	case o.Real > 0 && o.Program == "":
		return &SizeError{"beechcart", "none", "the program of the front end, if --real is more than 0"}
	case len(o.HostCommand) == 0:
		return errors.New("scale: host command: found none, allowed is a program and its arguments")
	}
	for _, name := range o.Faults {
		if !slices.Contains(FaultNames(), name) {
			return &SizeError{"faults", name, "none, all, or of " + strings.Join(FaultNames(), ", ")}
		}
	}
	return o.checkDescriptors()
}

// processes returns the number of processes of a run: hosts, one host without members, real front ends and the runner.
func (o *Options) processes() int {
	simulated := o.Members - o.Real - o.Control
	return (simulated+o.PerHost-1)/o.PerHost + o.Control + 1 + o.Real + 1
}

// memory returns the estimated memory of a run, in bytes.
func (o *Options) memory() int {
	return o.Members*memoryPerMember + o.processes()*memoryPerProcess + o.Real*memoryPerReal + o.Engines*memoryPerEngine
}

// checkDescriptors compares the descriptors that the runner, a host and a replica need with the limit of a process.
func (o *Options) checkDescriptors() error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	fakeDescriptors := 0
	if o.Real > 0 {
		fakeDescriptors = o.Engines * (1 + 2*o.Real)
	}
	need := max(200+6*o.processes()+fakeDescriptors, 200+o.PerHost*descriptorsPerMember, 200+4*o.Members)
	if uint64(need) > limit.Max {
		return &SizeError{"members", strconv.Itoa(o.Members),
			fmt.Sprintf("a number that needs at most %d descriptors in a process (ulimit -n); this one needs %d",
				limit.Max, need)}
	}
	return nil
}
