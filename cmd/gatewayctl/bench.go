package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"beechcart/internal/bench"
	"beechcart/internal/faulttest"
)

func benchCommand() *cobra.Command {
	root := &cobra.Command{Use: "bench", Short: "Measure the costs of the front end"}
	root.AddCommand(benchListCommand(), (&benchPath{}).command(), speedCommand(), idleCommand())
	return root
}

func benchListCommand() *cobra.Command {
	var o bench.ListOptions
	var asJSON bool
	c := &cobra.Command{
		Use: "list", Short: "Measure the cost of reading, holding and following an engine list", Args: cobra.NoArgs,
		Long: "list starts a front end on a fake Consul with many engines. It measures the CPU and the memory for a list " +
			"that\n" +
			"does not change, and the time from a change in the catalogue to the log line that reports the change.",
		Example: "  gatewayctl bench list --entries 5000 --metadata 2000 --seconds 60\n" +
			"  gatewayctl bench list --entries 8 --changes 1000",
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Program, err = faulttest.Program(o.Program); err != nil {
				return err
			}
			results, err := bench.List(c.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), results)
			}
			return printTable(c.OutOrStdout(), "%.4g", results)
		},
	}
	flags := c.Flags()
	flags.IntVar(&o.Entries, "entries", 5000, "number of engines in the catalogue")
	flags.IntVar(&o.Metadata, "metadata", 2000, "bytes of metadata of each engine")
	flags.IntVar(&o.Seconds, "seconds", 60, "duration in seconds of the measurement with an unchanged list")
	flags.IntVar(&o.Changes, "changes", 50, "number of subsequent changes, made one at a time")
	programFlag(c, &o.Program)
	flags.BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

// benchPath holds the flags of the command bench path.
type benchPath struct {
	options bench.PathOptions
	json    bool
	gate    string // path of a baseline to compare with; empty: none
	record  string // path of a baseline to write; empty: none
}

func (b *benchPath) command() *cobra.Command {
	c := &cobra.Command{
		Use: "path", Short: "Count allocations and copies of each kind of request", Args: cobra.NoArgs,
		Long: "path runs a release build of the front end against fake engines, with one client that sends one request " +
			"after\n" +
			"the other, and counts the cost of one request. The costs of polls and timers are measured while there " +
			"are\n" +
			"no requests, and subtracted.",
		Example: "  gatewayctl bench path\n  gatewayctl bench path --gate bench/baseline.json\n" +
			"  gatewayctl bench path --record bench/baseline.json",
		RunE: func(c *cobra.Command, _ []string) error { return b.run(c) },
	}
	o, flags := &b.options, c.Flags()
	flags.IntVar(&o.Lookups, "lookups", 1000, "number of lookups in each count; requests with larger results are fewer")
	flags.IntVar(&o.Engines, "engines", 1, "number of fake engines")
	programFlag(c, &o.Program)
	flags.StringVar(&o.Counting, "counting", "", "path of a build with the tag count; without it, copies are not counted")
	flags.StringVar(&o.Only, "only", "", "only scenario to count; default: all")
	flags.StringVar(&b.gate, "gate", "", "baseline to compare with: exit code 1 if a count has risen by more than a "+
		"tenth, or by more than 0.5, in each of eight measurements")
	flags.StringVar(&b.record, "record", "", "path of a baseline to write, with the minimum of three "+
		"measurements")
	flags.BoolVar(&b.json, "json", false, "print one JSON object")
	return c
}

func (b *benchPath) run(c *cobra.Command) error {
	var err error
	if b.options.Program, err = faulttest.Program(b.options.Program); err != nil {
		return err
	}
	var baseline *bench.Baseline
	if b.gate != "" {
		if baseline, err = bench.ReadBaseline(b.gate); err != nil {
			return err
		}
	}
	counts, err := b.countPath(c, baseline)
	if err != nil {
		return err
	}
	if b.json {
		err = printJSON(c.OutOrStdout(), counts)
	} else {
		err = writeCounts(c.OutOrStdout(), counts)
	}
	if err == nil && b.record != "" {
		err = bench.WriteBaseline(b.record, counts, b.options)
	}
	if err != nil || baseline == nil {
		return err
	}
	if risen := baseline.Compare(counts); len(risen) > 0 {
		return negativeAnswerError{errors.New(strings.Join(risen, "\n"))}
	}
	_, err = fmt.Fprintln(c.OutOrStdout(), "every count is within its baseline")
	return err
}

const (
	baselineMeasurements = 3 // of which a baseline is the minimum
	gateMeasurements     = 8 // after which a rise over the baseline is reported
)

// countPath counts the cost of requests: once, or several times if the counts are for a baseline or are compared with
// one.
func (b *benchPath) countPath(c *cobra.Command, baseline *bench.Baseline) (map[string]bench.Counts, error) {
	report := func(line string) { printProgress(c, "%s", line) }
	switch {
	case baseline != nil:
		return bench.PathWithin(c.Context(), b.options, baseline, gateMeasurements, report)
	case b.record != "":
		return bench.PathMinimum(c.Context(), b.options, baselineMeasurements, report)
	}
	return bench.Path(c.Context(), b.options, func(scenario string) { report("counting " + scenario) })
}

func writeCounts(w io.Writer, counts map[string]bench.Counts) error {
	t := newTable(w)
	for _, s := range bench.Scenarios {
		fmt.Fprintf(t, "%s\n", s.Name)
		for _, name := range slices.Sorted(maps.Keys(counts[s.Name])) {
			fmt.Fprintf(t, "  %s\t%.2f\n", name, counts[s.Name][name])
		}
	}
	return t.Flush()
}

// benchSpeed holds the flags of the command bench speed.
type benchSpeed struct {
	options bench.SpeedOptions
	against string // path of another build to compare with; empty: none
	rounds  int    // number of measurements of each build
}

func speedCommand() *cobra.Command {
	b := &benchSpeed{}
	c := &cobra.Command{
		Use: "speed", Short: "Measure CPU per lookup and throughput on one core, of two builds in turn", Args: cobra.NoArgs,
		Example: "  gatewayctl bench speed --against old/gateway --rounds 5",
		RunE:    func(c *cobra.Command, _ []string) error { return b.run(c) },
	}
	o, flags := &b.options, c.Flags()
	programFlag(c, &o.Program)
	flags.StringVar(&b.against, "against", "", "path of another build, measured in turn with the first")
	flags.IntVar(&b.rounds, "rounds", 1, "number of measurements of each build")
	flags.IntVar(&o.Engines, "engines", 4, "number of fake engines")
	flags.IntVar(&o.Sessions, "sessions", 16, "number of sessions of the closed loop")
	flags.DurationVar(&o.Duration, "for", 2*time.Second, "duration of the closed loop and of the open loop")
	flags.Float64Var(&o.Rate, "rate", 2000, "arrivals per second of the open loop; 0: no open loop")
	flags.IntVar(&o.Idle, "idle", 0, "number of additional idle sessions")
	return c
}

func (b *benchSpeed) run(c *cobra.Command) error {
	var err error
	if b.options.Program, err = faulttest.Program(b.options.Program); err != nil {
		return err
	}
	t := newTable(c.OutOrStdout())
	fmt.Fprintln(t, "ROUND\tBUILD\tCPU us/LOOKUP\tLOOKUPS/s\tP50 ms\tP99 ms\tP99.9 ms")
	for round := range b.rounds {
		for _, program := range []string{b.against, b.options.Program} {
			if program == "" {
				continue
			}
			options := b.options
			options.Program = program
			s, err := bench.Measure(c.Context(), options)
			if err != nil {
				return err
			}
			fmt.Fprintf(t, "%d\t%s\t%.1f\t%.0f\t%.3f\t%.3f\t%.3f\n",
				round+1, program, s.CPUPerLookup, s.LookupsPerSecond, s.P50, s.P99, s.P999)
		}
	}
	return t.Flush()
}

func idleCommand() *cobra.Command {
	var program string
	var n int
	c := &cobra.Command{
		Use: "idle", Short: "Measure the cost of idle sessions", Args: cobra.NoArgs,
		Example: "  gatewayctl bench idle --sessions 10000",
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if program, err = faulttest.Program(program); err != nil {
				return err
			}
			if n < 1 || n > 100_000 {
				return fmt.Errorf("sessions: found %d, allowed is 1 to 100000", n)
			}
			i, err := bench.MeasureIdle(c.Context(), program, n)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "sessions %d\nbytes each %.0f\nCPU ms per second %.2f\nseconds to close "+
				"all at once %.2f\n",
				i.Sessions, i.BytesEach, i.CPUMillisPerSecond, i.CloseAllSeconds)
			return err
		},
	}
	programFlag(c, &program)
	c.Flags().IntVar(&n, "sessions", 10000, "number of idle sessions")
	return c
}
