package main

import (
	"github.com/spf13/cobra"

	"beechcart/internal/scale"
)

// scaleHostCommand is what the runner starts, many times over; it is of no use by hand.
func scaleHostCommand() *cobra.Command {
	return &cobra.Command{
		Use: "host", Short: "Run hollow front ends as standard input tells, and report on standard output",
		Args: cobra.NoArgs, Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return scale.RunHost(c.Context(), c.InOrStdin(), c.OutOrStdout())
		},
	}
}
