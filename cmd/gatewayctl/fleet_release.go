package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

func (f *fleetCommands) releaseCommand() *cobra.Command {
	root := &cobra.Command{Use: "release", Short: "Release a revision to the fleet in waves, with halt and rollback"}
	root.AddCommand(f.releasePlanCommand(), f.releaseStartCommand(), f.releaseStatusCommand(),
		f.releaseActionCommand("halt", "Stop further shutdowns; with --wait until members told to shut down have reported",
			rollout.Command{Halt: &rollout.Halt{Cause: "by an operator"}}, rollout.Halted),
		f.releaseActionCommand("resume", "Resume a halted release",
			rollout.Command{Resume: &struct{}{}}, rollout.Done),
		f.releaseActionCommand("back", "Roll all members back to the previous revision",
			rollout.Command{Rollback: &struct{}{}}, rollout.Done))
	return root
}

// releaseFlags holds the flags that describe a release.
type releaseFlags struct {
	waves, previousRevision string
	soak                    time.Duration
}

func (r *releaseFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&r.waves, "waves", "0.02,0.25,1", "shares of the fleet, rising to 1; the first wave is the canary")
	c.Flags().DurationVar(&r.soak, "soak", 5*time.Minute, "time that each wave serves before the next one starts")
	c.Flags().StringVar(&r.previousRevision, "from", "", "revision of a rollback; default: that of most members")
}

// start returns the command that starts the release of a revision with the flags' parameters.
func (r *releaseFlags) start(revision string) (rollout.StartRelease, error) {
	start := rollout.StartRelease{Revision: revision, PreviousRevision: r.previousRevision, Soak: r.soak}
	for _, text := range strings.Split(r.waves, ",") {
		share, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil {
			return start, fmt.Errorf("waves: found %q, allowed are shares as in 0.02,0.25,1", text)
		}
		start.Waves = append(start.Waves, share)
	}
	return start, nil
}

func (f *fleetCommands) releasePlanCommand() *cobra.Command {
	var flags releaseFlags
	c := &cobra.Command{
		Use: "plan REVISION", Short: "Show waves and maximum duration, and change nothing", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			start, err := flags.start(args[0])
			if err != nil {
				return err
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			waves, err := client.Plan(start)
			if err != nil {
				return rejectionAsNegative(err)
			}
			if f.json {
				return printJSON(c.OutOrStdout(), waves)
			}
			return writePlan(c.OutOrStdout(), waves)
		},
	}
	flags.add(c)
	return c
}

func writePlan(w io.Writer, waves []rollout.Wave) error {
	t := newTable(w)
	fmt.Fprintln(t, "WAVE\tFRONT ENDS\tMAX UNAVAILABLE\tMAX DURATION\tMEMBERS")
	total := time.Duration(0)
	for i, wave := range waves {
		total += wave.MaxDuration
		fmt.Fprintf(t, "%d\t%d\t%d\t%v\t%s\n", i+1, len(wave.Members), wave.MaxUnavailable, wave.MaxDuration,
			clip(strings.Join(wave.Members, " ")))
	}
	fmt.Fprintf(t, "total\t\t\t%v\n", total)
	return t.Flush()
}

// clip truncates a list of names to the width of a table column.
func clip(names string) string {
	const width, ellipsis = 60, "..."
	if len(names) > width {
		return names[:width-len(ellipsis)] + ellipsis
	}
	return names
}

func (f *fleetCommands) releaseStartCommand() *cobra.Command {
	var flags releaseFlags
	c := &cobra.Command{
		Use: "start REVISION", Short: "Start a release", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			start, err := flags.start(args[0])
			if err != nil {
				return err
			}
			result, err := f.apply(c, rollout.Command{StartRelease: &start})
			if err != nil || !f.wait {
				return err
			}
			return f.waitUntil(c, func(status fleet.Status) (progress, error) { return releaseProgress(status, result.Release) })
		},
	}
	flags.add(c)
	f.addWaitFlags(c)
	return c
}

// releaseProgress returns the progress of a release. A release that a later one has replaced counts as done. A halted
// release gives a negative answer.
func releaseProgress(status fleet.Status, number uint64) (progress, error) {
	release := status.State.Release
	switch {
	case release == nil || release.Number != number:
		return progress{done: true}, nil
	case release.State == rollout.Halted || release.State == rollout.Halting:
		return progress{pending: status.ReleaseBlockers}, negativeAnswerError{fmt.Errorf("halted: %s", release.HaltCause)}
	}
	return progress{release.State == rollout.Done, status.ReleaseBlockers}, nil
}

func (f *fleetCommands) releaseStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the release and its pending conditions", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := f.status()
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(c.OutOrStdout(), struct {
					Release *rollout.Release `json:"release"`
					Waiting []string         `json:"waiting"`
				}{status.State.Release, status.ReleaseBlockers})
			}
			writeRelease(c.OutOrStdout(), status)
			return nil
		},
	}
}

// releaseActionCommand returns a command on the active release. With --wait the command returns once the release is in
// the state done.
func (f *fleetCommands) releaseActionCommand(
	use, short string, command rollout.Command, done rollout.ReleaseState,
) *cobra.Command {
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := f.apply(c, command); err != nil || !f.wait {
				return err
			}
			return f.waitUntil(c, func(status fleet.Status) (progress, error) {
				release := status.State.Release
				return progress{release == nil || release.State == done, status.ReleaseBlockers}, nil
			})
		},
	}
	f.addWaitFlags(c)
	return c
}
