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

// scaleRun is what the commands that run a fleet take.
type scaleRun struct {
	options scale.Options
	faults  string
	notice  bool // adds the faults that measure the time to notice
	record  string
	add     bool // to a recording that is there
	notes   []string
	json    bool
	verbose bool
}

// scaleCommand runs a fleet at one size.
func scaleCommand() *cobra.Command {
	s := &scaleRun{options: scale.Defaults()}
	c := &cobra.Command{Use: "scale", Short: "Run a fleet at planning size on this machine and hold it against the " +
		"budgets", Args: cobra.NoArgs, RunE: s.run}
	c.Long = "Control replicas and some front ends are real processes; the other members are hollow: all of a front " +
		"end's part in the fleet, with\n" +
		"no client traffic behind it, many to a process. Everything is on loopback addresses.\n" +
		"Exit code 0: in the budgets; 1: one missed, which is named on standard error; 2: could not run."
	c.Example = "  gatewayctl scale --members 710 --engines 810 --real 4 --control 5 --zones 7 --regions 2 --seconds " +
		"60 --seed 7 --json"
	f := c.Flags()
	f.IntVar(&s.options.Members, "members", s.options.Members,
		"front ends in all: real, hollow, and the control replicas among the hollow ones")
	f.IntVar(&s.options.Engines, "engines", s.options.Engines, "databases")
	f.StringVar(&s.faults, "faults", "none", "none, all, or a list of "+strings.Join(scale.FaultNames(), ", "))
	f.Float64Var(&s.options.PauseShare, "pause-share", s.options.PauseShare,
		"share of the members that the pause fault stops together")
	f.IntVar(&s.options.PauseMillis, "pause-millis", s.options.PauseMillis, "for how long")
	f.BoolVar(&s.json, "json", false, "print one JSON object")
	s.flags(c)
	c.AddCommand(scaleHostCommand(), scalePartsCommand(), scaleSweepCommand(), scalePageCommand())
	return c
}

func (s *scaleRun) flags(c *cobra.Command) {
	o, f := &s.options, c.Flags()
	f.IntVar(&o.Real, "real", o.Real, "gateway processes among the members")
	f.IntVar(&o.Control, "control", o.Control, "control replicas: 1, 3, 5 or 7")
	f.IntVar(&o.Zones, "zones", o.Zones, "zones, over which members and databases are spread")
	f.IntVar(&o.Regions, "regions", o.Regions, "regions, over which zones are spread")
	f.IntVar(&o.PerHost, "per-host", o.PerHost, "hollow members of one host process")
	f.IntVar(&o.Seconds, "seconds", o.Seconds, "length of the quiet window that costs are measured in")
	f.IntVar(&o.Changes, "changes", o.Changes, "drains that are measured")
	f.IntVar(&o.PrimaryChanges, "primary-changes", o.PrimaryChanges, "kills of the leading replica that are measured")
	f.DurationVar(&o.FormWithin, "form-within", o.FormWithin, "how long the fleet may take to come together")
	f.DurationVar(&o.StartPace, "start-pace", o.StartPace, "time between the starts of host processes")
	f.DurationVar(&o.ChangeWithin, "change-within", o.ChangeWithin,
		"a drain that is not in force everywhere by then is lost")
	f.BoolVar(&s.notice, "notice", false, "measure also how long until a dead and a stopped member are suspected: "+
		"adds the faults dead and stop")
	f.DurationVar(&o.NoticeWithin, "notice-within", o.NoticeWithin,
		"members that are not suspected by then are not noticed")
	f.Uint64Var(&o.Seed, "seed", 0, "seed of the faults; none: drawn now")
	f.StringVar(&s.record, "record", "", "save the measurements to "+recordDir+"/NAME.json")
	f.BoolVar(&s.add, "append", false, "add to the samples of a recording that is there, in place of replacing it")
	f.StringArrayVar(&s.notes, "note", nil, "a line that the recording carries")
	f.BoolVarP(&s.verbose, "verbose", "v", false, "tell what is done on standard error")
	programFlag(c, &o.Program)
}

// prepare fills in what flags do not say as it is.
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
	figures := map[string]float64{}
	for _, s := range r.Samples(1) {
		figures[s.Quantity] = s.Value
	}
	return printTable(w, "%.6g", figures)
}

// scaleSweepCommand runs several sizes and fits lines.
func scaleSweepCommand() *cobra.Command {
	s := &scaleRun{options: scale.Defaults()}
	s.options.Seconds = 15
	var sizes []int
	repeats := scale.Repeats{First: 1}
	c := &cobra.Command{
		Use: "sweep", Short: "Run several sizes and tell what each quantity grows with", Args: cobra.NoArgs,
		Example: "  gatewayctl scale sweep --sizes 50,100,200,400,710 --repeats 3 --seconds 15 --record sweep",
		RunE: func(c *cobra.Command, _ []string) error {
			if err := s.prepare(c); err != nil {
				return err
			}
			began := time.Now()
			samples, failed := scale.Sweep(c.Context(), s.options, sizes, repeats, func(r *scale.Result) {
				printProgress(c, "%d members: %.0f B/s sent, %.0f B/s received, %.4f of a core a member; "+
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
		"front ends; databases are scaled from 810 to 710 front ends")
	c.Flags().IntVar(&repeats.Last, "repeats", 3, "runs of each size")
	c.Flags().IntVar(&repeats.First, "first-repeat", 1,
		"the number of the first run of each size; with --append for a sweep in parts")
	return c
}
