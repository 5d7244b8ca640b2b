package main

import (
	"errors"
	"fmt"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/format"
	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"beechcart/internal/operatorconfig/cuefile"
)

// settingsFile is the file of a command line, or the one that stands in the repository.
func settingsFile(args []string) string {
	if len(args) > 0 {
		return args[0]
	}
	return "deploy/beechcart.cue"
}

func configCommand() *cobra.Command {
	root := &cobra.Command{Use: "config", Short: "Check, print and build the operators' settings"}
	var asJSON bool
	check := &cobra.Command{
		Use: "check [FILE]", Short: "Tell all that is wrong with a settings file", Args: cobra.MaximumNArgs(1),
		Long:    "check reads a CUE file (deploy/beechcart.cue without FILE) and tells each problem with file, line, field, what was\nfound and what is allowed. Exit code 1 where there is any.",
		Example: "  gatewayctl config check\n  gatewayctl config check --json mine.cue",
		RunE: func(c *cobra.Command, args []string) error {
			_, err := cuefile.Build(settingsFile(args))
			var list cuefile.Problems
			if err != nil && !errors.As(err, &list) {
				return err
			}
			if asJSON {
				if list == nil {
					list = cuefile.Problems{}
				}
				if err := printJSON(c.OutOrStdout(), list); err != nil {
					return err
				}
				if len(list) > 0 {
					return noError{}
				}
				return nil
			}
			if err != nil {
				return noError{err}
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), settingsFile(args)+": good")
			return err
		},
	}
	check.Flags().BoolVar(&asJSON, "json", false, "print the problems as a JSON list")
	show := &cobra.Command{
		Use: "print [FILE]", Short: "Print the settings with every default filled in, as CUE", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			v, err := cuefile.Read(settingsFile(args))
			if err != nil {
				return asNo(err)
			}
			text, err := format.Node(v.Syntax(cue.Final(), cue.Concrete(true)))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), string(text))
			return err
		},
	}
	var output string
	build := &cobra.Command{
		Use: "build [FILE]", Short: "Check a settings file and write the JSON that the front end reads", Args: cobra.MaximumNArgs(1),
		Example: "  gatewayctl config build -o /etc/beechcart/settings.json deploy/beechcart.cue",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := cuefile.Build(settingsFile(args))
			if err != nil {
				return asNo(err)
			}
			if output == "" || output == "-" {
				_, err = c.OutOrStdout().Write(text)
				return err
			}
			return renameio.WriteFile(output, text, 0o644)
		},
	}
	build.Flags().StringVarP(&output, "output", "o", "", "file to write, whole or not at all; none or -: standard output")
	schema := &cobra.Command{
		Use: "schema", Short: "Print every field with its default, range and unit", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(c.OutOrStdout(), cuefile.Schema())
			return err
		},
	}
	root.AddCommand(check, show, build, schema)
	return root
}

// asNo makes a file that is not good an answer of no.
func asNo(err error) error {
	var list cuefile.Problems
	if errors.As(err, &list) {
		return noError{err}
	}
	return err
}
