//go:build !lean

package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"beechcart/internal/invariant"
)

func execute() error { return rootCommand().Execute() }

func rootCommand() *cobra.Command {
	var paths configPaths
	root := &cobra.Command{
		Use:   "gateway",
		Short: "Query front end: MySQL protocol to clients, HTTP to engines",
		Long: "gateway accepts queries over the MySQL protocol, and decides when and on which engine each one runs.\n" +
			"Without a command, gateway serves as 'gateway run' does, with the configuration that PROXY_CONFIG names.",
		SilenceErrors: true, SilenceUsage: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command %q; 'gateway --help' lists the commands", args[0])}
			}
			return nil
		},
		RunE: func(*cobra.Command, []string) error { return run(&paths) },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	paths.addFlags(root)
	root.AddCommand(runCommand(&paths), checkCommand(&paths), versionCommand())
	return root
}

// addFlags adds flags for the paths of the two files. The environment variables are their defaults.
func (p *configPaths) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.platform, "config", os.Getenv("PROXY_CONFIG"),
		"path of the platform's configuration, JSON (PROXY_CONFIG)")
	c.Flags().StringVar(&p.operators, "settings", os.Getenv("BEECHCART_SETTINGS"),
		"path of the operators' settings, built by 'gatewayctl config build' (BEECHCART_SETTINGS); empty: defaults")
	_ = c.MarkFlagFilename("config", "json")
	_ = c.MarkFlagFilename("settings", "json")
}

// noArguments rejects any argument with a usageError.
func noArguments(c *cobra.Command, args []string) error {
	if err := cobra.NoArgs(c, args); err != nil {
		return usageError{err}
	}
	return nil
}

func runCommand(paths *configPaths) *cobra.Command {
	c := &cobra.Command{
		Use: "run", Short: "Serve until SIGTERM; SIGHUP reloads both files", Args: noArguments,
		Example: "  gateway run --config config.json\n  gateway run --config config.json --settings beechcart.json",
		RunE:    func(*cobra.Command, []string) error { return run(paths) },
	}
	paths.addFlags(c)
	return c
}

func checkCommand(paths *configPaths) *cobra.Command {
	c := &cobra.Command{
		Use: "check", Short: "Read and check both files, report any problem and exit", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := paths.load()
			if err != nil {
				return err
			}
			if _, err := newConsulSource(config, nil, &invariant.Counters{}, slog.Default()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "good: %s, listening on %s, engine list from %s\n",
				config.platform.Name, config.platform.Listen, config.operators.Source)
			return err
		},
	}
	paths.addFlags(c)
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "gateway", buildVersion())
			return err
		},
	}
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}
