package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"beechcart/internal/faulttest"
	"beechcart/internal/scale/parts"
	"beechcart/internal/scale/record"
)

// scalePartsFlags holds the flags of the command scale parts.
type scalePartsFlags struct {
	options parts.Options
	members []int
	record  string
	notes   []string
}

// scalePartsCommand returns the command that measures parts of the program at several fleet sizes.
func scalePartsCommand() *cobra.Command {
	f := scalePartsFlags{options: parts.Defaults()}
	var names []string
	for _, p := range parts.All() {
		names = append(names, p.Name)
	}
	c := &cobra.Command{
		Use: "parts [flags] NAME...", Short: "Measure the costs of single parts as the fleet grows",
		Args: cobra.MinimumNArgs(1), ValidArgs: names,
		Long: "parts measures, at each size and several times, the costs of one process, of one control " +
			"replica or of one front end:\n" + partList(),
		Example: "  gatewayctl scale parts state --record bench/scale\n  gatewayctl scale parts lists --members 50,100 " +
			"--repeats 1",
		RunE: func(c *cobra.Command, args []string) error { return f.run(c, args) },
	}
	flags := c.Flags()
	flags.IntSliceVar(&f.members, "members", parts.DefaultMembers,
		"front ends at each size; databases are scaled from 810 to 710 front ends")
	flags.IntVar(&f.options.Repeats, "repeats", f.options.Repeats, "number of measurements at each size")
	flags.IntSliceVar(&f.options.Sessions, "sessions", f.options.Sessions,
		"client connections of one front end, ascending")
	flags.IntSliceVar(&f.options.Rates, "rates", f.options.Rates, "statements per second to one front end")
	flags.DurationVar(&f.options.Window, "window", f.options.Window,
		"duration of each timed measurement")
	flags.IntVar(&f.options.Starts, "starts", f.options.Starts, "starts of a front end at each size and repeat")
	flags.IntVar(&f.options.TrafficFronts, "traffic-fronts", f.options.TrafficFronts,
		"maximum number of front ends that are simulated at each size")
	flags.DurationVar(&f.options.TrafficTime, "traffic-time", f.options.TrafficTime,
		"simulated time of the front ends of --traffic-fronts")
	flags.DurationVar(&f.options.FleetTime, "fleet-time", f.options.FleetTime, "simulated time of whole fleets")
	flags.StringVar(&f.record, "record", "", "directory to write parts-NAME.json to; without it, results are only printed")
	flags.StringSliceVar(&f.notes, "note", nil, "note on this run to store in the recording")
	programFlag(c, &f.options.Program)
	c.AddCommand(scalePartsReplicaCommand())
	return c
}

func partList() string {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, p := range parts.All() {
		fmt.Fprintf(t, "  %s\t%s\n", p.Name, p.Summary)
	}
	_ = t.Flush()
	return b.String()
}

// scalePartsReplicaCommand returns the hidden command that runs the process measured by the part replica.
func scalePartsReplicaCommand() *cobra.Command {
	return &cobra.Command{
		Use: "serve-replica", Short: "Run the control replica that the part replica measures", Args: cobra.NoArgs,
		Hidden: true,
		RunE:   func(c *cobra.Command, _ []string) error { return parts.ServeReplica(os.Stdin, c.OutOrStdout()) },
	}
}

func (f *scalePartsFlags) run(c *cobra.Command, names []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	f.options.ReplicaArgs = []string{self, "scale", "parts", "serve-replica"}
	f.options.Progress = func(text string) { printProgress(c, "%s", text) }
	f.options.Sizes = nil
	for _, members := range f.members {
		f.options.Sizes = append(f.options.Sizes, parts.SizeOf(members))
	}
	for _, name := range names {
		part, err := parts.Find(name)
		if err != nil {
			return err
		}
		if err := f.measure(c, part); err != nil {
			return err
		}
	}
	return nil
}

// measure measures one part, prints the samples, and records them if --record is set. After a failure the samples
// measured so far are printed but not recorded.
func (f *scalePartsFlags) measure(c *cobra.Command, part parts.Part) error {
	if part.StartsFrontEnd {
		var err error
		if f.options.Program, err = faulttest.Program(f.options.Program); err != nil {
			return err
		}
	}
	began, commit := time.Now(), commitOfTree(c.Context())
	result, err := part.Measure(c.Context(), f.options)
	if printed := printSamples(c.OutOrStdout(), result.Samples); printed != nil || err != nil {
		return errors.Join(err, printed)
	}
	if f.record == "" {
		return nil
	}
	r := record.Recording{Name: "parts-" + part.Name, Command: f.commandLine(c, part.Name),
		At: began.UTC().Truncate(time.Second), Commit: commit,
		Cores: runtime.NumCPU(), Notes: append(result.Notes, f.notes...), Samples: result.Samples}
	if err := r.Save(f.record); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "recorded %s/%s.json\n", f.record, r.Name)
	return err
}

// commandLine returns the command that repeats the measurement of a part, with the flags that were set.
func (f *scalePartsFlags) commandLine(c *cobra.Command, name string) string {
	words := []string{"gatewayctl", "scale", "parts", name}
	for _, flag := range []string{"members", "repeats", "sessions", "rates", "window", "starts", "traffic-fronts",
		"traffic-time", "fleet-time"} {
		if set := c.Flags().Lookup(flag); set.Changed {
			words = append(words, "--"+flag, strings.Trim(set.Value.String(), "[]"))
		}
	}
	return strings.Join(append(words, "--record", f.record), " ")
}

// commitOfTree returns the commit of the working tree that the command runs in, with "+" if Go files differ from it. It
// returns the empty string if the commit is unknown.
func commitOfTree(ctx context.Context) string {
	head, err := exec.CommandContext(ctx, "git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return ""
	}
	commit := strings.TrimSpace(string(head))
	if exec.CommandContext(ctx, "git", "diff", "--quiet", "HEAD", "--", "*.go").Run() != nil {
		commit += "+"
	}
	return commit
}

// printSamples prints one line for each sample, in the given order.
func printSamples(w io.Writer, samples []record.Sample) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ROLE\tQUANTITY\tFRONT ENDS\tDATABASES\tSESSIONS\tRATE\tREPEAT\tVALUE")
	for _, s := range samples {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.6g\n", s.Role, s.Quantity, s.Size.Members, s.Size.Engines,
			s.Size.Sessions, s.Size.Rate, s.Repeat, s.Value)
	}
	return t.Flush()
}
