package main

import (
	"github.com/spf13/cobra"

	"beechcart/internal/scale"
)

// scaleHostCommand returns the hidden command of a host process, which scale.Run starts once for each host.
func scaleHostCommand() *cobra.Command {
	return &cobra.Command{
		Use: "host", Short: "Run the simulated front ends that standard input describes, and report on standard output",
		Args: cobra.NoArgs, Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return scale.RunHost(c.Context(), c.InOrStdin(), c.OutOrStdout())
		},
	}
}
