package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"beechcart/internal/faulttest"
)

func demoCommand() *cobra.Command {
	var o faulttest.DemoOptions
	c := &cobra.Command{
		Use: "demo", Short: "Start a front end with fake engines and a fake Consul, and run a few queries",
		Args: cobra.NoArgs,
		Long: "demo starts all processes on loopback addresses, runs queries of each class, drains and undrains an engine, " +
			"prints the\n" +
			"address for MySQL clients, and runs until Ctrl-C.",
		Example: "  gatewayctl demo\n  gatewayctl demo --once",
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Program, err = faulttest.Program(o.Program); err != nil {
				return err
			}
			o.Out = c.OutOrStdout()
			if err := faulttest.Demo(c.Context(), o); err != nil {
				return fmt.Errorf("demo: %w", err)
			}
			return nil
		},
	}
	programFlag(c, &o.Program)
	c.Flags().BoolVar(&o.Once, "once", false, "exit after the queries")
	return c
}
