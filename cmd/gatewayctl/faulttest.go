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

func faulttestCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "faulttest", Aliases: []string{"drill"},
		Short: "Inject faults into a real front end and check the rules",
		Long: "A fault test starts a real front end and fake servers on loopback addresses, injects faults drawn from the " +
			"seed\n" +
			"under load, and checks the rules. Exit code 0: no violation; 1: a rule is violated; 2: could not run.",
	}
	for _, test := range faulttest.Scenarios {
		root.AddCommand((&faulttestRun{test: test}).command())
	}
	return root
}

// faulttestRun holds the flags of the command of one fault test.
type faulttestRun struct {
	test    faulttest.Scenario
	options faulttest.Options
	json    bool
	verbose bool
}

func (r *faulttestRun) command() *cobra.Command {
	test, o := r.test, &r.options
	c := &cobra.Command{
		Use: test.Name, Short: test.Short, Args: cobra.NoArgs,
		Example: "  gatewayctl faulttest " + test.Name + " --seconds 30 --seed 7\n  gatewayctl faulttest " + test.Name +
			" --json --faults " + test.Faults[0],
		RunE: func(c *cobra.Command, _ []string) error { return r.run(c) },
	}
	flags := c.Flags()
	flags.Uint64Var(&o.Seed, "seed", 0, "seed of the faults and the load; default: a new one for each run")
	flags.IntVar(&o.Seconds, "seconds", 30, "duration of the load in seconds")
	flags.Float64Var(&o.Rate, "rate", 300, "requests per second")
	flags.IntVar(&o.Engines, "engines", 8, "number of fake engines")
	flags.StringVar(&o.Faults, "faults", "all", "all, none, or one of "+strings.Join(test.Faults, ", "))
	if test.FrontEnds > 0 {
		flags.IntVar(&o.FrontEnds, "fronts", test.FrontEnds, "number of front ends, in three zones")
	}
	programFlag(c, &o.Program)
	flags.BoolVar(&r.json, "json", false, "print one JSON object")
	flags.BoolVarP(&r.verbose, "verbose", "v", false, "print each fault when it is injected")
	if len(test.Policies) > 0 {
		flags.StringVar(&o.Policy, "policy", "",
			"baseline policy to use in place of the program's own: "+strings.Join(test.Policies, ", "))
	}
	if len(test.BadReleases) > 0 {
		flags.StringVar(&o.BadRelease, "bad", test.BadReleases[0],
			"defect of the bad release: "+strings.Join(test.BadReleases, ", "))
	}
	return c
}

func (r *faulttestRun) run(c *cobra.Command) error {
	if !c.Flags().Changed("seed") {
		r.options.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	if err := r.options.Check(r.test); err != nil {
		return err
	}
	var err error
	if r.options.Program, err = faulttest.Program(r.options.Program); err != nil {
		return err
	}
	r.showProgress(c)
	report, err := r.test.Run(c.Context(), r.options)
	if err != nil {
		return err
	}
	if r.json {
		err = report.WriteJSON(c.OutOrStdout())
	} else {
		err = report.WriteTable(c.OutOrStdout())
	}
	if err == nil && !report.Passed {
		report.WriteViolations(c.ErrOrStderr())
		err = negativeAnswerError{fmt.Errorf("%d violations", len(report.Violations))}
	}
	return err
}

// showProgress prints each fault if --verbose is set. Otherwise it shows a progress bar if standard error is a terminal
// and the output is not JSON.
func (r *faulttestRun) showProgress(c *cobra.Command) {
	if r.verbose {
		r.options.Logf = func(format string, a ...any) {
			printProgress(c, "%s %s", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, a...))
		}
		return
	}
	if r.json || !term.IsTerminal(int(os.Stderr.Fd())) {
		return
	}
	bar := progressbar.NewOptions(r.options.Seconds,
		progressbar.OptionSetWriter(c.ErrOrStderr()),
		progressbar.OptionSetDescription("faulttest "+r.test.Name),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionSetPredictTime(true))
	r.options.Progress = func(done, _ int) { _ = bar.Set(done) }
}
