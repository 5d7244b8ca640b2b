package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

func (f *fleetCommands) drainCommand() *cobra.Command {
	c := f.subjectCommand("drain", "Drain a front end or an engine if the budget allows it",
		func(s *rollout.Subject) rollout.Command { return rollout.Command{Drain: s} })
	f.addWaitFlags(c)
	return c
}

func (f *fleetCommands) undrainCommand() *cobra.Command {
	return f.subjectCommand("undrain", "End the drain of a front end or an engine",
		func(s *rollout.Subject) rollout.Command { return rollout.Command{Undrain: s} })
}

func (f *fleetCommands) removeCommand() *cobra.Command {
	return f.subjectCommand("forget", "Remove a front end or an engine that will not come back, with its permit",
		func(s *rollout.Subject) rollout.Command { return rollout.Command{RemoveMember: s} })
}

// subjectCommand returns a command on one front end or engine. With --wait the command returns once the front end or
// engine may be stopped.
func (f *fleetCommands) subjectCommand(
	use, short string, command func(*rollout.Subject) rollout.Command,
) *cobra.Command {
	return &cobra.Command{
		Use: use + " front-end|engine NAME", Short: short,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 2 || (args[0] != "engine" && args[0] != "front-end") {
				return fmt.Errorf("%s: found %q, allowed is 'front-end NAME' or 'engine NAME'", use, strings.Join(args, " "))
			}
			return nil
		},
		Example: "  gatewayctl fleet " + use + " engine s-00c41f7a",
		RunE: func(c *cobra.Command, args []string) error {
			subject := rollout.Subject{Name: args[1], Engine: args[0] == "engine"}
			result, err := f.apply(c, command(&subject))
			if err != nil || !f.wait {
				return err
			}
			err = f.waitUntil(c, func(status fleet.Status) (progress, error) {
				return drainProgress(status, subject, result.Permit)
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s may be stopped\n", subject.Name)
			return err
		},
	}
}

// drainProgress returns the progress of a drain under a permit. The drain is done once the front end or engine may be
// stopped.
func drainProgress(status fleet.Status, subject rollout.Subject, number uint64) (progress, error) {
	permit := status.State.Permits[number]
	if permit == nil {
		return progress{}, negativeAnswerError{fmt.Errorf("permit %d has ended: %s is not drained", number,
			subject.Name)}
	}
	if subject.Engine {
		return progress{permit.DrainedAt > 0, status.DrainBlockers[subject.Name]}, nil
	}
	member := status.State.Members[subject.Name]
	return progress{member != nil && member.Phase == rollout.Terminated, []string{subject.Name + " to terminate"}}, nil
}
