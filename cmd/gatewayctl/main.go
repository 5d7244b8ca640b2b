// Command gatewayctl is the operators' tool: settings, the list of engines, drills and a demonstration. All that is heavy
// is here, and not in the front end.
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
	exitNo     = 1 // the answer is no: a rule was broken, a file is not good
	exitFailed = 2 // it could not run: a wrong command line, nothing to read
)

// noError is an answer of no that has been told already.
type noError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs one command line and returns the exit code.
func execute(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:           "gatewayctl",
		Short:         "Operators' tool of beechcart",
		Long:          "gatewayctl checks settings, shows what front ends believe, and drills them.\nExit codes: 0 yes, 1 no (a rule broken, a file not good), 2 could not run.",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.AddCommand(configCommand(), listCommand(), countersCommand(), drillCommand(), demoCommand(), benchCommand(), fleetCommand(), scaleCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	var no noError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &no):
		if no.error != nil {
			fmt.Fprintln(errs, no.error)
		}
		return exitNo
	}
	fmt.Fprintln(errs, "gatewayctl:", err)
	return exitFailed
}

// newTable returns a writer that aligns cells, which tabs separate, in columns. The caller must flush it.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

// printTable prints names and figures, one a line, by name.
func printTable[V any](w io.Writer, format string, figures map[string]V) error {
	t := newTable(w)
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		fmt.Fprintf(t, "%s\t"+format+"\n", name, figures[name])
	}
	return t.Flush()
}

// programFlag lets a command take the front end to start; drill.Program finds it where none is named.
func programFlag(c *cobra.Command, program *string) {
	c.Flags().StringVar(program, "beechcart", "", "front end to start; none: the one beside this program")
}

// printJSON prints one indented document.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
