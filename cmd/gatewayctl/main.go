// Command gatewayctl is the operators' tool: settings, the engine list, the fleet, fault tests, measurements and a
// demonstration. Large libraries are linked here, and not into the front end.
//
// main.go has what the commands share; each other file has a command and its subcommands, named after it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	exitNegativeAnswer = 1 // the answer is no: a rule is violated, a file is not good
	exitFailed         = 2 // it could not run: a wrong command line, nothing to read
)

// negativeAnswerError is an answer of no, as against a command that could not run. Its text, if any, is printed as it
// is.
type negativeAnswerError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs one command line and returns the exit code.
func execute(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:   "gatewayctl",
		Short: "Operators' tool of the query gateway",
		Long: "gatewayctl checks settings, shows what front ends know, and tests them under faults.\n" +
			"Exit codes: 0 yes, 1 no (a rule violated, a file not good), 2 could not run.",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.AddCommand(configCommand(), listCommand(), countersCommand(), faulttestCommand(), demoCommand(), benchCommand(),
		fleetCommand(), scaleCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	var no negativeAnswerError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &no):
		if no.error != nil {
			_, _ = fmt.Fprintln(errs, no.error)
		}
		return exitNegativeAnswer
	}
	_, _ = fmt.Fprintln(errs, "gatewayctl:", err)
	return exitFailed
}

// newTable returns a writer that aligns cells, which tabs separate, in columns. The caller must flush it.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

// printTable prints names and values, one a line, by name.
func printTable[V any](w io.Writer, format string, figures map[string]V) error {
	t := newTable(w)
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		fmt.Fprintf(t, "%s\t"+format+"\n", name, figures[name])
	}
	return t.Flush()
}

// programFlag lets a command take the front end to start, also under the flag's old name. faulttest.Program finds it
// where none is named.
func programFlag(c *cobra.Command, program *string) {
	c.Flags().StringVar(program, "gateway", "", "front end to start; none: the one beside this program")
	c.Flags().StringVar(program, oldProgramFlag, "", "old name of --gateway")
	_ = c.Flags().MarkHidden(oldProgramFlag)
}

const oldProgramFlag = "beechcart"

// printProgress tells a person what a command does, on a line of standard error.
func printProgress(c *cobra.Command, format string, a ...any) {
	_, _ = fmt.Fprintf(c.ErrOrStderr(), format+"\n", a...)
}

// printJSON prints one indented document.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
