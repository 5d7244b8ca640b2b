package main

import (
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"beechcart/internal/faulttest"
	"beechcart/internal/scale"
)

// scaleRun holds the flags of the commands that run a fleet.
type scaleRun struct {
	options scale.Options
	faults  string
	notice  bool   // adds the faults that measure the failure detection time
	record  string // name of the recording to write; empty: none
	add     bool   // add to an existing recording instead of replacing it
	notes   []string
	json    bool
	verbose bool
}

// scaleCommand returns the command that runs a fleet of one size.
func scaleCommand() *cobra.Command {
	s := &scaleRun{options: scale.Defaults()}
	c := &cobra.Command{Use: "scale", Short: "Run a fleet of planning size on this machine and check the " +
		"budgets", Args: cobra.NoArgs, RunE: s.run}
	c.Long = "Control replicas and some front ends are real processes. The other members are simulated: each takes " +
		"a front end's part in the fleet,\n" +
		"without client traffic, and many share a process. All addresses are loopback addresses.\n" +
		"Exit code 0: within the budgets; 1: a budget is missed, and named on standard error; 2: could not run."
	c.Example = "  gatewayctl scale --members 710 --engines 810 --real 4 --control 5 --zones 7 --regions 2 --seconds " +
		"60 --seed 7 --json"
	f := c.Flags()
	f.IntVar(&s.options.Members, "members", s.options.Members,
		"front ends in total: real, simulated, and the control replicas among the simulated")
	f.IntVar(&s.options.Engines, "engines", s.options.Engines, "databases")
	f.StringVar(&s.faults, "faults", "none",
		"none, all, or a comma-separated list of "+strings.Join(scale.FaultNames(), ", "))
	f.Float64Var(&s.options.PauseShare, "pause-share", s.options.PauseShare,
		"share of the members that the pause fault stops at the same time")
	f.IntVar(&s.options.PauseMillis, "pause-millis", s.options.PauseMillis, "duration of the pause fault in milliseconds")
	f.BoolVar(&s.json, "json", false, "print one JSON object")
	s.flags(c)
	c.AddCommand(scaleHostCommand(), scalePartsCommand(), scaleSweepCommand(), scalePageCommand())
	return c
}

func (s *scaleRun) flags(c *cobra.Command) {
	o, f := &s.options, c.Flags()
	f.IntVar(&o.Real, "real", o.Real, "number of gateway processes among the members")
	f.IntVar(&o.Control, "control", o.Control, "number of control replicas: 1, 3, 5 or 7")
	f.IntVar(&o.Zones, "zones", o.Zones, "number of zones over which members and databases are spread")
	f.IntVar(&o.Regions, "regions", o.Regions, "number of regions over which zones are spread")
	f.IntVar(&o.PerHost, "per-host", o.PerHost, "number of simulated members in each host process")
	f.IntVar(&o.Seconds, "seconds", o.Seconds,
		"length of the window without changes, in seconds; costs are measured in it")
	f.IntVar(&o.Changes, "changes", o.Changes, "number of measured drains")
	f.IntVar(&o.PrimaryChanges, "primary-changes", o.PrimaryChanges, "number of measured kills of the leader")
	f.DurationVar(&o.FormWithin, "form-within", o.FormWithin, "timeout of each step of forming the fleet")
	f.DurationVar(&o.StartPace, "start-pace", o.StartPace, "interval between the starts of host processes")
	f.DurationVar(&o.ChangeWithin, "change-within", o.ChangeWithin,
		"timeout after which a drain that is not in force at every live member counts as lost")
	f.BoolVar(&s.notice, "notice", false, "also measure the time until a dead and a stopped member are suspected: "+
		"adds the faults dead and stop")
	f.DurationVar(&o.NoticeWithin, "notice-within", o.NoticeWithin,
		"timeout after which a failed member that is not suspected counts as not noticed")
	f.Uint64Var(&o.Seed, "seed", 0, "seed of the faults; default: a new one for each run")
	f.StringVar(&s.record, "record", "", "save the measurements to "+recordDir+"/NAME.json")
	f.BoolVar(&s.add, "append", false, "add to the samples of an existing recording instead of replacing it")
	f.StringArrayVar(&s.notes, "note", nil, "note to store in the recording")
	f.BoolVarP(&s.verbose, "verbose", "v", false, "print each step to standard error")
	programFlag(c, &o.Program)
}

// prepare sets the options that are derived from the flags.
func (s *scaleRun) prepare(c *cobra.Command) (err error) {
	o := &s.options
	if !c.Flags().Changed("seed") {
		o.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	switch s.faults {
	case "", "none":
	case "all":
		o.Faults = scale.FaultNames()
	default:
		o.Faults = strings.Split(s.faults, ",")
	}
	if s.notice {
		o.Faults = scale.WithNotice(o.Faults)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o.HostCommand = []string{self, "scale", "host"}
	if o.Real > 0 {
		if o.Program, err = faulttest.Program(o.Program); err != nil {
			return err
		}
	}
	if s.verbose {
		o.Logf = func(format string, a ...any) { printProgress(c, format, a...) }
	}
	return nil
}

func (s *scaleRun) run(c *cobra.Command, _ []string) error {
	if err := s.prepare(c); err != nil {
		return err
	}
	result, err := scale.Run(c.Context(), s.options)
	if err != nil {
		return err
	}
	if s.json {
		err = printJSON(c.OutOrStdout(), result)
	} else {
		err = writeScale(c.OutOrStdout(), result)
	}
	if err != nil {
		return err
	}
	if _, err := s.save(result.Samples(1), result.At); err != nil {
		return err
	}
	if result.Passed {
		return nil
	}
	var missed []error
	for _, m := range result.Missed {
		missed = append(missed, errors.New("missed: "+m.String()))
	}
	return negativeAnswerError{errors.Join(missed...)}
}

// writeScale prints a result as a table.
func writeScale(w io.Writer, r *scale.Result) error {
	values := map[string]float64{}
	for _, s := range r.Samples(1) {
		values[s.Quantity] = s.Value
	}
	return printTable(w, "%.6g", values)
}

// scaleSweepCommand returns the command that runs fleets of several sizes and fits a line to each quantity.
func scaleSweepCommand() *cobra.Command {
	s := &scaleRun{options: scale.Defaults()}
	s.options.Seconds = 15
	var sizes []int
	repeats := scale.Repeats{First: 1}
	c := &cobra.Command{
		Use: "sweep", Short: "Run fleets of several sizes and fit the growth of each quantity", Args: cobra.NoArgs,
		Example: "  gatewayctl scale sweep --sizes 50,100,200,400,710 --repeats 3 --seconds 15 --record sweep",
		RunE: func(c *cobra.Command, _ []string) error {
			if err := s.prepare(c); err != nil {
				return err
			}
			began := time.Now()
			samples, failed := scale.Sweep(c.Context(), s.options, sizes, repeats, func(r *scale.Result) {
				printProgress(c, "%d members: %.0f B/s sent, %.0f B/s received, %.4f of a core per member; "+
					"formed in %.1f s, %d unknown",
					r.Scale.Members, r.PerMember.SentBytesPerSecond, r.PerMember.ReceivedBytesPerSecond, r.PerMember.CPUShare,
					r.Formation.Seconds, r.Formation.Unknown)
			})
			if len(samples) == 0 || failed != nil && c.Context().Err() != nil {
				return failed
			}
			if failed != nil {
				s.notes = append(s.notes, "partial: "+failed.Error())
			}
			samples, err := s.save(samples, began)
			if err != nil {
				return errors.Join(failed, err)
			}
			fits, err := scale.Fits(samples)
			if err == nil {
				err = scale.WriteFits(c.OutOrStdout(), fits)
			}
			return errors.Join(failed, err)
		},
	}
	s.flags(c)
	c.Flags().IntSliceVar(&sizes, "sizes", []int{50, 100, 200, 400, 710},
		"numbers of front ends; each fleet has 810 databases for every 710 front ends")
	c.Flags().IntVar(&repeats.Last, "repeats", 3, "index of the last run of each size")
	c.Flags().IntVar(&repeats.First, "first-repeat", 1,
		"index of the first run of each size, counted from 1; with --append for a sweep in parts")
	return c
}
