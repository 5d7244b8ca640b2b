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

// defaultSettingsFile is the settings file in the repository, relative to its root.
const defaultSettingsFile = "deploy/beechcart.cue"

// settingsFile returns the file that a command line names, or defaultSettingsFile.
func settingsFile(args []string) string {
	if len(args) > 0 {
		return args[0]
	}
	return defaultSettingsFile
}

func configCommand() *cobra.Command {
	root := &cobra.Command{Use: "config", Short: "Check, print and build the operators' settings"}
	root.AddCommand(configCheckCommand(), configPrintCommand(), configBuildCommand(), configSchemaCommand())
	return root
}

func configCheckCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "check [FILE]", Short: "Report all errors in a settings file", Args: cobra.MaximumNArgs(1),
		Long: "check reads a CUE file (" + defaultSettingsFile + " without FILE) and reports each error with file, line, " +
			"field,\n" +
			"the value found and the values allowed. Exit code 1 if there are errors.",
		Example: "  gatewayctl config check\n  gatewayctl config check --json mine.cue",
		RunE: func(c *cobra.Command, args []string) error {
			_, err := cuefile.Build(settingsFile(args))
			if asJSON {
				return printValidation(c, err)
			}
			if err != nil {
				return asNegativeAnswer(err)
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), settingsFile(args)+": good")
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the errors as a JSON list")
	return c
}

// printValidation prints the validation errors in err as a JSON list, and returns a negative answer if there are any.
// Any other err is returned.
func printValidation(c *cobra.Command, err error) error {
	list := cuefile.ValidationErrors{}
	if err != nil && !errors.As(err, &list) {
		return err
	}
	if err := printJSON(c.OutOrStdout(), list); err != nil {
		return err
	}
	if len(list) > 0 {
		return negativeAnswerError{}
	}
	return nil
}

func configPrintCommand() *cobra.Command {
	return &cobra.Command{
		Use: "print [FILE]", Short: "Print the settings with every default filled in, as CUE", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			v, err := cuefile.Read(settingsFile(args))
			if err != nil {
				return asNegativeAnswer(err)
			}
			text, err := format.Node(v.Syntax(cue.Final(), cue.Concrete(true)))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), string(text))
			return err
		},
	}
}

func configBuildCommand() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use: "build [FILE]", Short: "Check a settings file and write the JSON that the front end reads",
		Args:    cobra.MaximumNArgs(1),
		Example: "  gatewayctl config build -o /etc/beechcart/settings.json deploy/beechcart.cue",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := cuefile.Build(settingsFile(args))
			if err != nil {
				return asNegativeAnswer(err)
			}
			if output == "" || output == "-" {
				_, err = c.OutOrStdout().Write(text)
				return err
			}
			return renameio.WriteFile(output, text, 0o644)
		},
	}
	c.Flags().StringVarP(&output, "output", "o", "",
		"file to write atomically; without it or with -: standard output")
	return c
}

func configSchemaCommand() *cobra.Command {
	return &cobra.Command{
		Use: "schema", Short: "Print every field with its default, range and unit", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(c.OutOrStdout(), cuefile.Schema())
			return err
		},
	}
}

// asNegativeAnswer turns validation errors of a settings file into a negative answer, and returns other errors as they
// are.
func asNegativeAnswer(err error) error {
	var list cuefile.ValidationErrors
	if errors.As(err, &list) {
		return negativeAnswerError{err}
	}
	return err
}
