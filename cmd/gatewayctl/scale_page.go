package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"beechcart/internal/scale/capacity"
	"beechcart/internal/scale/record"
)

// The capacity page and the directory of its recordings, relative to the root of the repository.
const (
	capacityPage    = "docs/CAPACITY.md"
	scaleRecordings = "bench/scale"
)

// scalePageCommand returns the command that renders the tables of the capacity page from the recordings.
func scalePageCommand() *cobra.Command {
	var page, dir string
	var check bool
	c := &cobra.Command{
		Use: "page", Short: "Render the tables of docs/CAPACITY.md from the recordings", Args: cobra.NoArgs,
		Long: "page rewrites the text between the markers <!-- table: NAME --> and <!-- end table --> from the " +
			"recordings under\n" +
			"bench/scale, and keeps all other text. With --check it writes nothing; exit code 1 if the page differs.",
		Example: "  gatewayctl scale page\n  gatewayctl scale page --check",
		RunE: func(c *cobra.Command, _ []string) error {
			recordings, err := record.Load(dir)
			if err != nil {
				return err
			}
			current, err := os.ReadFile(page)
			if err != nil {
				return err
			}
			rendered, err := capacity.Render(string(current), recordings)
			if err != nil {
				return err
			}
			same := rendered == string(current)
			switch {
			case same:
				_, err = fmt.Fprintf(c.OutOrStdout(), "%s: as the recordings have it\n", page)
				return err
			case check:
				return negativeAnswerError{fmt.Errorf("%s differs from the recordings under %s: run gatewayctl scale page", page,
					dir)}
			}
			return renameio.WriteFile(filepath.Clean(page), []byte(rendered), 0o644)
		},
	}
	c.Flags().StringVar(&page, "page", capacityPage, "page to render")
	c.Flags().StringVar(&dir, "recordings", scaleRecordings, "directory of the recordings")
	c.Flags().BoolVar(&check, "check", false, "write nothing; exit code 1 if the page differs")
	_ = c.MarkFlagFilename("page")
	_ = c.MarkFlagDirname("recordings")
	return c
}
