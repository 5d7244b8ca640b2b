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
	root := &cobra.Command{Use: "bench", Short: "Measure what the front end costs"}
	root.AddCommand(benchListCommand(), (&benchPath{}).command(), speedCommand(), idleCommand())
	return root
}

func benchListCommand() *cobra.Command {
	var o bench.ListOptions
	var asJSON bool
	c := &cobra.Command{
		Use: "list", Short: "A list of engines: to read, to hold, to follow", Args: cobra.NoArgs,
		Long: "list starts a front end on a fake Consul with many engines. It measures the CPU and the memory of a list " +
			"that\n" +
			"does not change, and the time from a change in the catalogue to the log line that tells of it.",
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
	flags.IntVar(&o.Entries, "entries", 5000, "engines in the catalogue")
	flags.IntVar(&o.Metadata, "metadata", 2000, "bytes of metadata of each")
	flags.IntVar(&o.Seconds, "seconds", 60, "how long the list does not change")
	flags.IntVar(&o.Changes, "changes", 50, "changes after it, one at a time")
	programFlag(c, &o.Program)
	flags.BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

// benchPath is one command line that counts what requests cost.
type benchPath struct {
	options bench.PathOptions
	json    bool
	gate    string // path of a baseline; empty: none
	record  string // path of a baseline to write; empty: none
}

func (b *benchPath) command() *cobra.Command {
	c := &cobra.Command{
		Use: "path", Short: "Count allocations and copies of each kind of request", Args: cobra.NoArgs,
		Long: "path runs a release build of the front end against fake engines, with one client that sends one request " +
			"after\n" +
			"the other, and counts what one request costs. Costs that come by time (polls, timers) are measured while there " +
			"are\n" +
			"no requests, and taken off.",
		Example: "  gatewayctl bench path\n  gatewayctl bench path --gate bench/baseline.json\n" +
			"  gatewayctl bench path --record bench/baseline.json",
		RunE: func(c *cobra.Command, _ []string) error { return b.run(c) },
	}
	o, flags := &b.options, c.Flags()
	flags.IntVar(&o.Lookups, "lookups", 1000, "lookups in each count; larger requests are fewer")
	flags.IntVar(&o.Engines, "engines", 1, "fake engines")
	programFlag(c, &o.Program)
	flags.StringVar(&o.Counting, "counting", "", "build with the tag count, for the copies; none: they are not counted")
	flags.StringVar(&o.Only, "only", "", "one scenario; none: all")
	flags.StringVar(&b.gate, "gate", "", "baseline to hold the counts to: exit code 1 where one has risen by more than a "+
		"tenth, or by more than half of one, in each of three counts")
	flags.StringVar(&b.record, "record", "", "baseline to write")
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
	counts, err := countPath(c, b.options, baseline)
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

// maxGateCounts is how often requests are counted before a rise over the baseline is believed. A machine that is
// short of time delivers an answer in more reads, each with allocations of its own, so one count may be above what
// the program costs and is never below: the least of several is as strict, and does not hang on the machine.
const maxGateCounts = 3

// countPath counts what requests cost; with a baseline, again where a count has risen, and the least of each count
// holds.
func countPath(c *cobra.Command, o bench.PathOptions, baseline *bench.Baseline) (map[string]bench.Counts, error) {
	note := func(name string) { printProgress(c, "counting %s", name) }
	counts, err := bench.Path(c.Context(), o, note)
	if err != nil || baseline == nil {
		return counts, err
	}
	for count := 1; count < maxGateCounts && len(baseline.Compare(counts)) > 0; count++ {
		printProgress(c, "%s", strings.Join(baseline.Compare(counts), "\n"))
		again, err := bench.Path(c.Context(), o, note)
		if err != nil {
			return counts, err
		}
		bench.KeepMinimum(counts, again)
	}
	return counts, nil
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

// benchSpeed is one command line that measures builds in turn.
type benchSpeed struct {
	options bench.SpeedOptions
	against string // another build; empty: none
	rounds  int
}

func speedCommand() *cobra.Command {
	b := &benchSpeed{}
	c := &cobra.Command{
		Use: "speed", Short: "CPU for each lookup and throughput of one core, two builds alternating", Args: cobra.NoArgs,
		Example: "  gatewayctl bench speed --against old/gateway --rounds 5",
		RunE:    func(c *cobra.Command, _ []string) error { return b.run(c) },
	}
	o, flags := &b.options, c.Flags()
	programFlag(c, &o.Program)
	flags.StringVar(&b.against, "against", "", "another build, measured in turn with it")
	flags.IntVar(&b.rounds, "rounds", 1, "how often")
	flags.IntVar(&o.Engines, "engines", 4, "fake engines")
	flags.IntVar(&o.Sessions, "sessions", 16, "sessions of the closed loop")
	flags.DurationVar(&o.Duration, "for", 2*time.Second, "how long each part goes on")
	flags.Float64Var(&o.Rate, "rate", 2000, "open arrivals a second; 0 leaves them out")
	flags.IntVar(&o.Idle, "idle", 0, "further sessions that do nothing")
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
		Use: "idle", Short: "What sessions that do nothing cost", Args: cobra.NoArgs,
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
			_, err = fmt.Fprintf(c.OutOrStdout(), "sessions %d\nbytes each %.0f\nCPU ms a second %.2f\nclosed all at once, "+
				"forgotten after %.2f s\n",
				i.Sessions, i.BytesEach, i.CPUMillisPerSecond, i.CloseAllSeconds)
			return err
		},
	}
	programFlag(c, &program)
	c.Flags().IntVar(&n, "sessions", 10000, "idle sessions")
	return c
}
