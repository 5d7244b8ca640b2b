package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

func (f *fleetCommands) drainCommand() *cobra.Command {
	c := f.holderCommand("drain", "Take a front end or an engine out, where the budget has room",
		func(h *rollout.Subject) rollout.Command { return rollout.Command{Drain: h} })
	f.addWaitFlags(c)
	return c
}

func (f *fleetCommands) undrainCommand() *cobra.Command {
	return f.holderCommand("undrain", "Let it come back",
		func(h *rollout.Subject) rollout.Command { return rollout.Command{Undrain: h} })
}

func (f *fleetCommands) forgetCommand() *cobra.Command {
	return f.holderCommand("forget", "Say that it is gone for good: what it holds is free",
		func(h *rollout.Subject) rollout.Command { return rollout.Command{RemoveMember: h} })
}

// holderCommand is a command on one front end or engine. With --wait it returns once that may be stopped.
func (f *fleetCommands) holderCommand(use, short string, command func(*rollout.Subject) rollout.Command) *cobra.Command {
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
			holder := rollout.Subject{Name: args[1], Engine: args[0] == "engine"}
			result, err := f.apply(c, command(&holder))
			if err != nil || !f.wait {
				return err
			}
			err = f.waitUntil(c, func(status fleet.Status) (progress, error) { return drainProgress(status, holder, result.Permit) })
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s may be stopped\n", holder.Name)
			return err
		},
	}
}

// drainProgress tells whether a holder that is drained under a permit may be stopped.
func drainProgress(status fleet.Status, holder rollout.Subject, number uint64) (progress, error) {
	permit := status.State.Permits[number]
	if permit == nil {
		return progress{}, noError{fmt.Errorf("permit %d does not stand any more: %s is not drained", number, holder.Name)}
	}
	if holder.Engine {
		return progress{permit.DrainedAt > 0, status.DrainBlockers[holder.Name]}, nil
	}
	member := status.State.Members[holder.Name]
	return progress{member != nil && member.Phase == rollout.Terminated, []string{holder.Name + " to end"}}, nil
}
