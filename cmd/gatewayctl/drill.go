package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"beechcart/internal/faulttest"
)

func drillCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "drill", Short: "Play faults against the real front end and check the rules",
		Long: "A drill starts the real front end and stand-ins on loopback addresses, plays faults that the seed draws, under load,\n" +
			"and checks the rules. Exit code 0: every rule kept; 1: a rule broken; 2: could not run.",
	}
	for _, d := range faulttest.All {
		root.AddCommand(oneDrill(d))
	}
	return root
}

func oneDrill(d faulttest.Drill) *cobra.Command {
	var o faulttest.Options
	var asJSON, verbose bool
	c := &cobra.Command{
		Use: d.Name, Short: d.Short, Args: cobra.NoArgs,
		Example: "  gatewayctl drill " + d.Name + " --seconds 30 --seed 7\n  gatewayctl drill " + d.Name + " --json --faults " + d.Kinds[0],
		RunE: func(c *cobra.Command, _ []string) error {
			if !c.Flags().Changed("seed") {
				o.Seed = uint64(time.Now().UnixNano()) % 1_000_000
			}
			if err := o.Check(d); err != nil {
				return err
			}
			var err error
			if o.Program, err = faulttest.Program(o.Program); err != nil {
				return err
			}
			if verbose {
				o.Note = func(format string, a ...any) {
					fmt.Fprintln(c.ErrOrStderr(), time.Now().Format("15:04:05.000"), fmt.Sprintf(format, a...))
				}
			} else if !asJSON && term.IsTerminal(int(os.Stderr.Fd())) {
				bar := progressbar.NewOptions(o.Seconds, progressbar.OptionSetWriter(c.ErrOrStderr()),
					progressbar.OptionSetDescription("drill "+d.Name), progressbar.OptionClearOnFinish(), progressbar.OptionSetPredictTime(true))
				o.Step = func(done, _ int) { _ = bar.Set(done) }
			}
			r, err := d.Run(c.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				err = r.WriteJSON(c.OutOrStdout())
			} else {
				err = r.WriteTable(c.OutOrStdout())
			}
			if err == nil && !r.Passed {
				r.WriteViolations(c.ErrOrStderr())
				err = noError{fmt.Errorf("%d breaches", len(r.Violations))}
			}
			return err
		},
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 0, "seed of the faults and the load; none: drawn now")
	f.IntVar(&o.Seconds, "seconds", 30, "how long the load goes on")
	f.Float64Var(&o.Rate, "rate", 300, "requests a second")
	f.IntVar(&o.Engines, "engines", 8, "stand-in engines")
	f.StringVar(&o.Faults, "faults", "all", "all, none, or one of "+strings.Join(d.Kinds, ", "))
	if d.Fronts > 0 {
		f.IntVar(&o.Fronts, "fronts", d.Fronts, "front ends, in three rooms")
	}
	programFlag(c, &o.Program)
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	f.BoolVarP(&verbose, "verbose", "v", false, "tell each fault as it is played")
	if len(d.Policies) > 0 {
		f.StringVar(&o.Policy, "policy", "", "a baseline in place of the program's own: "+strings.Join(d.Policies, ", "))
	}
	if len(d.Bads) > 0 {
		f.StringVar(&o.Bad, "bad", d.Bads[0], "what is wrong with the bad release: "+strings.Join(d.Bads, ", "))
	}
	return c
}
