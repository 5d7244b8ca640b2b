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

// The bounds of a run on one machine.
const (
	MostMembers  = 1000
	MostReal     = 20
	MaxProcesses = 200
	MaxMemory    = 12 << 30 // bytes, of all processes together
	mostPerHost  = 50
	mostSeconds  = 600
)

// The estimate of a run's memory, from which a size that does not fit is rejected: resident bytes, rounded up from
// what runs took.
const (
	memoryPerMember  = 8 << 20
	memoryPerProcess = 25 << 20
	memoryPerReal    = 200 << 20
	memoryPerEngine  = 300 << 10 // a fake database and its connections from the real front ends
)

// descriptorsPerMember estimates what a hollow front end holds open: its gossip sockets, its calls and push-pull
// streams.
const descriptorsPerMember = 40

// Options are what a run is made of.
type Options struct {
	Members int // front ends in all: real, hollow, and the control replicas, which are hollow ones with a log
	Engines int
	Real    int // gateway processes among the members
	Control int // replicas of the control log, each in a process of its own
	Zones   int
	Regions int
	PerHost int // hollow members of a host process
	Seconds int // of the quiet window
	Seed    uint64

	Changes        int           // drains of an engine that are measured
	PrimaryChanges int           // kills of the leading replica that are measured
	Settle         time.Duration // from the end of forming to the quiet window
	ChangeStands   time.Duration // how long a drain that is in force everywhere is watched for going out of force
	FormWithin     time.Duration // bounds each step of coming together
	StartPace      time.Duration // between the starts of host processes
	ChangeWithin   time.Duration // a drain that is not in force at every live member by then is lost
	Faults         []string
	PauseShare     float64 // of the host processes that the pause fault stops
	PauseMillis    int
	NoticeWithin   time.Duration // members that are not suspected by then are not noticed

	Program     string   // the gateway to start; needed with Real
	HostCommand []string // that runs RunHost: the program and its arguments
	Logf        func(format string, a ...any)
}

// Defaults are the options of a run at planning size.
func Defaults() Options {
	return Options{Members: 710, Engines: 810, Real: 4, Control: 5, Zones: 7, Regions: 2, PerHost: 15, Seconds: 60,
		Changes:        5,
		PrimaryChanges: 2, FormWithin: 90 * time.Second, ChangeWithin: 15 * time.Second, StartPace: 500 * time.Millisecond,
		PauseShare: 0.1, PauseMillis: 1500,
		NoticeWithin: 15 * time.Second, Settle: 5 * time.Second, ChangeStands: 2 * time.Second}
}

// SizeError tells which option does not fit, and its bound.
type SizeError struct{ Option, Found, Allowed string }

func (e *SizeError) Error() string {
	return fmt.Sprintf("scale: --%s: found %s, allowed is %s", e.Option, e.Found, e.Allowed)
}

// Check names the first option that cannot be used.
func (o *Options) Check() error {
	for _, b := range []struct {
		option             string
		found, least, most int
	}{
		{"members", o.Members, 1, MostMembers}, {"real", o.Real, 0, MostReal}, {"engines", o.Engines, 1, 2000},
		{"control", o.Control, 1, 7}, {"zones", o.Zones, 1, 50}, {"regions", o.Regions, 1, o.Zones},
		{"per-host", o.PerHost, 1, mostPerHost}, {"seconds", o.Seconds, 1, mostSeconds}, {"changes", o.Changes, 0, 100},
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
			fmt.Sprintf("what fits into %d MB; this is estimated at %d MB", MaxMemory>>20, o.memory()>>20)}
	case o.Real > 0 && o.Program == "":
		return &SizeError{"beechcart", "none", "the front end to start, where --real is more than 0"}
	case len(o.HostCommand) == 0:
		return errors.New("scale: no command to run a host")
	}
	for _, name := range o.Faults {
		if !slices.Contains(FaultNames(), name) {
			return &SizeError{"faults", name, "none, all, or of " + strings.Join(FaultNames(), ", ")}
		}
	}
	return o.checkDescriptors()
}

// processes counts the host processes, one without members, the real front ends and the runner.
func (o *Options) processes() int {
	hollow := o.Members - o.Real - o.Control
	return (hollow+o.PerHost-1)/o.PerHost + o.Control + 1 + o.Real + 1
}

// memory is the estimate in bytes.
func (o *Options) memory() int {
	return o.Members*memoryPerMember + o.processes()*memoryPerProcess + o.Real*memoryPerReal + o.Engines*memoryPerEngine
}

// checkDescriptors holds the descriptors of the runner, a host and a replica against the limit of a process.
func (o *Options) checkDescriptors() error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	stands := 0
	if o.Real > 0 {
		stands = o.Engines * (1 + 2*o.Real)
	}
	need := max(200+6*o.processes()+stands, 200+o.PerHost*descriptorsPerMember, 200+4*o.Members)
	if uint64(need) > limit.Max {
		return &SizeError{"members", strconv.Itoa(o.Members),
			fmt.Sprintf("what needs at most %d descriptors in a process (ulimit -n); this needs %d", limit.Max, need)}
	}
	return nil
}
