// Command gatewayctl is the operators' tool: settings, the engine list, the fleet, fault tests, measurements and a
// demonstration. Large libraries are linked here, and not into the front end.
//
// main.go has the root command and the helpers that commands share. Each other file has the command that the file is
// named after, with its subcommands.
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
	exitNegativeAnswer = 1 // negative answer: a rule is violated, a file is invalid, or a command is rejected
	exitFailed         = 2 // the command could not run: an invalid command line or unreadable input
)

// negativeAnswerError is the negative answer of a command that ran, in contrast to a command that could not run. The
// text of the wrapped error, if any, is printed without a prefix.
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
		Long: "gatewayctl checks settings, shows the state of front ends and of the fleet, and tests them under faults.\n" +
			"Exit codes: 0 success, 1 negative answer (a rule is violated, a file is invalid), 2 could not run.",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.AddCommand(configCommand(), listCommand(), countersCommand(), faulttestCommand(), demoCommand(), benchCommand(),
		fleetCommand(), scaleCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	var negative negativeAnswerError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &negative):
		if negative.error != nil {
			_, _ = fmt.Fprintln(errs, negative.error)
		}
		return exitNegativeAnswer
	}
	_, _ = fmt.Fprintln(errs, "gatewayctl:", err)
	return exitFailed
}

// newTable returns a writer that aligns tab-separated cells in columns. The caller must flush the writer.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

// printTable prints one line for each name with its value, sorted by name. format is the format of a value.
func printTable[V any](w io.Writer, format string, values map[string]V) error {
	t := newTable(w)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(t, "%s\t"+format+"\n", name, values[name])
	}
	return t.Flush()
}

// programFlag adds the flag with the path of the front end to start, and the flag's old name as a hidden flag. Without
// the flag, faulttest.Program finds the front end.
func programFlag(c *cobra.Command, program *string) {
	c.Flags().StringVar(program, "gateway", "", "front end to start; default: the one in the directory of this program")
	c.Flags().StringVar(program, oldProgramFlag, "", "old name of --gateway")
	_ = c.Flags().MarkHidden(oldProgramFlag)
}

const oldProgramFlag = "beechcart"

// printProgress prints one line about the progress of a command to standard error.
func printProgress(c *cobra.Command, format string, a ...any) {
	_, _ = fmt.Fprintf(c.ErrOrStderr(), format+"\n", a...)
}

// printJSON prints a value as one indented JSON document.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
