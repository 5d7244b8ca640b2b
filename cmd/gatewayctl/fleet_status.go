package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

func (f *fleetCommands) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show members, engines, permits, budgets and the release", Args: cobra.NoArgs,
		Example: "  gatewayctl fleet status --settings beechcart.json\n  gatewayctl fleet status --json",
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := f.status()
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(c.OutOrStdout(), status)
			}
			return writeStatus(c.OutOrStdout(), status)
		},
	}
}

func (f *fleetCommands) auditCommand() *cobra.Command {
	return &cobra.Command{
		Use: "audit", Short: "Show the audit log of the fleet's changes", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := f.status()
			if err != nil {
				return err
			}
			lines := status.State.Audit
			if f.json {
				if lines == nil {
					lines = []rollout.AuditEntry{}
				}
				return printJSON(c.OutOrStdout(), lines)
			}
			return writeAudit(c.OutOrStdout(), lines)
		},
	}
}

func (f *fleetCommands) targetRevisionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "wanted NAME",
		Short: "Print the revision to start a front end on; exit code 1 while the front end is drained",
		Args:  cobra.ExactArgs(1),
		Long: "A process supervisor runs this command before it restarts a front end that has ended with exit code\n" +
			"75 or 76, and switches the link to the revision's directory. Exit code 1: the front end is drained; try again.",
		RunE: func(c *cobra.Command, args []string) error {
			status, err := f.status()
			if err != nil {
				return err
			}
			revision, err := targetRevision(&status.State, args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), revision)
			return err
		},
	}
}

// targetRevision returns the revision to start a front end on. A front end that is unknown or drained gives a negative
// answer.
func targetRevision(state *rollout.State, name string) (string, error) {
	member := state.Members[name]
	if member == nil {
		return "", negativeAnswerError{fmt.Errorf("there is no front end %s", name)}
	}
	for _, permit := range state.Permits {
		if permit.Subject == name && !permit.Engine && permit.Purpose == rollout.Drain && !permit.Cancelled {
			return "", negativeAnswerError{fmt.Errorf("%s is drained by %s", name, permit.RequestedBy)}
		}
	}
	return member.TargetRevision, nil
}

// writeStatus prints a status as text. An error of any write to the table is returned by its Flush.
func writeStatus(w io.Writer, status fleet.Status) error {
	t := newTable(w)
	quorum := "agreed"
	if status.LeaderAddress == "" {
		quorum = "NO LEADER: no permits are granted, and all members continue to serve"
	}
	_, _ = fmt.Fprintf(t, "log of %s: entry %d, %d control replicas, %s\n\n",
		status.Replica, status.AppliedIndex, len(status.Servers), quorum)
	permits := permitsBySubject(&status.State)
	writeMembers(t, status, permits)
	writeEngines(t, status, permits)
	writeBudgets(t, status)
	writeRelease(t, status)
	return t.Flush()
}

// permitsBySubject returns the permits by the front end or engine that holds them.
func permitsBySubject(state *rollout.State) map[rollout.Subject]*rollout.Permit {
	permits := map[rollout.Subject]*rollout.Permit{}
	for _, permit := range state.Permits {
		permits[rollout.Subject{Name: permit.Subject, Engine: permit.Engine}] = permit
	}
	return permits
}

func writeMembers(w io.Writer, status fleet.Status, permits map[rollout.Subject]*rollout.Permit) {
	_, _ = fmt.Fprintln(w, "FRONT END\tZONE\tREVISION\tSTATE\tPERMIT\tSINCE")
	for _, name := range slices.Sorted(maps.Keys(status.State.Members)) {
		member := status.State.Members[name]
		phase, held := string(member.Phase), ""
		if member.Suspected {
			phase += ", suspected"
		}
		if permit := permits[rollout.Subject{Name: name}]; permit != nil {
			held = fmt.Sprintf("%d %s %s", permit.Number, permit.Purpose, permit.Revision)
		}
		since := (time.Duration(time.Now().UnixNano()) - member.ChangedAt).Round(time.Second)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", name, member.Zone, member.Revision, phase, held, since)
	}
}

func writeEngines(w io.Writer, status fleet.Status, permits map[rollout.Subject]*rollout.Permit) {
	_, _ = fmt.Fprintln(w, "\nENGINE\tZONE\tCORES\tSTATE\tPERMIT\tWAITS FOR")
	for _, name := range slices.Sorted(maps.Keys(status.State.Engines)) {
		engine := status.State.Engines[name]
		held, waits := "", ""
		if permit := permits[rollout.Subject{Name: name, Engine: true}]; permit != nil {
			held = fmt.Sprintf("%d drain", permit.Number)
			if waits = strings.Join(status.DrainBlockers[name], "; "); permit.DrainedAt > 0 {
				waits = "may be stopped"
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%g\t%s\t%s\t%s\n", name, engine.Zone, engine.Cores, engineState(engine), held, waits)
	}
}

func engineState(e *rollout.Engine) string {
	switch {
	case !e.Listed:
		return "not listed"
	case !e.Ready:
		return "not ready"
	}
	return "ready"
}

func writeBudgets(w io.Writer, status fleet.Status) {
	_, _ = fmt.Fprintln(w, "\nBUDGET\tSCOPE, TOTAL\tLIMIT\tUNAVAILABLE")
	for _, budget := range status.Budgets {
		_, _ = fmt.Fprintf(w, "%s\t%s, %d\t%d\t%s\n",
			budget.Subjects, budget.Scope, budget.Total, budget.Limit, strings.Join(budget.Unavailable, " "))
	}
}

func writeAudit(w io.Writer, lines []rollout.AuditEntry) error {
	t := newTable(w)
	for _, line := range lines {
		at := time.Unix(0, int64(line.At)).Format(time.RFC3339)
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\n", line.Number, at, line.Actor, line.Action, line.From, line.To)
	}
	return t.Flush()
}

// writeRelease prints the latest release and its pending conditions.
func writeRelease(w io.Writer, status fleet.Status) {
	release := status.State.Release
	if release == nil {
		_, _ = fmt.Fprintln(w, "\nno release yet")
		return
	}
	direction, target := "to "+release.Revision+" from "+release.PreviousRevision, release.Revision
	if release.RollingBack {
		direction, target = "back to "+release.PreviousRevision+" from "+release.Revision, release.PreviousRevision
	}
	onTarget := 0
	for _, member := range status.State.Members {
		if member.Revision == target {
			onTarget++
		}
	}
	_, _ = fmt.Fprintf(w, "\nrelease %d %s: %s, wave %d of %d, %d of %d members on the target, by %s\n",
		release.Number, direction, release.State, release.Wave+1, len(release.Waves),
		onTarget, len(status.State.Members), release.StartedBy)
	if release.HaltCause != "" {
		_, _ = fmt.Fprintf(w, "  halted: %s\n", release.HaltCause)
	}
	for _, line := range status.ReleaseBlockers {
		_, _ = fmt.Fprintf(w, "  waits for %s\n", line)
	}
}
