package main

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"beechcart/internal/bench"
	"beechcart/internal/drill"
)

func benchCommand() *cobra.Command {
	root := &cobra.Command{Use: "bench", Short: "Measure what the front end costs"}
	var o bench.ListOptions
	var asJSON bool
	list := &cobra.Command{
		Use: "list", Short: "A list of engines: to read, to hold, to follow", Args: cobra.NoArgs,
		Long: "list starts a front end on a stand-in Consul with many engines. It measures the CPU and the memory of a list that stands\n" +
			"still, and the time from a change in the catalogue to the line in which the front end says that it has taken it.",
		Example: "  beechctl bench list --entries 5000 --metadata 2000 --seconds 60\n  beechctl bench list --entries 8 --changes 1000",
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Program, err = drill.Program(o.Program); err != nil {
				return err
			}
			figures, err := bench.List(c.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), figures)
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, name := range slices.Sorted(maps.Keys(figures)) {
				fmt.Fprintf(t, "%s\t%.4g\n", name, figures[name])
			}
			return t.Flush()
		},
	}
	f := list.Flags()
	f.IntVar(&o.Entries, "entries", 5000, "engines in the catalogue")
	f.IntVar(&o.Metadata, "metadata", 2000, "bytes of metadata of each")
	f.IntVar(&o.Seconds, "seconds", 60, "how long the list stands still")
	f.IntVar(&o.Changes, "changes", 50, "changes that are told after it, one at a time")
	f.StringVar(&o.Program, "beechcart", "", "front end to start; none: the one beside this program")
	f.BoolVar(&asJSON, "json", false, "print one JSON object")
	root.AddCommand(list)
	return root
}
