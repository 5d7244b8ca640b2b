package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"beechcart/decision/discovery"
	"beechcart/internal/admin"
	"beechcart/internal/source"
	"beechcart/internal/source/endpointcache"
)

func listCommand() *cobra.Command {
	root := &cobra.Command{Use: "list", Short: "What a front end believes of each engine"}
	var socket, file string
	var asJSON bool
	show := &cobra.Command{
		Use: "show", Short: "Show each engine with its state and the reason", Args: cobra.NoArgs,
		Long: "show asks a running front end by its admin socket (setting admin_socket), or reads a last good list.",
		Example: "  gatewayctl list show --socket /run/beechcart/admin.sock\n" +
			"  gatewayctl list show --file /var/lib/beechcart/engines.list --json",
		RunE: func(c *cobra.Command, _ []string) error {
			var list []source.EngineStatus
			switch {
			case (socket == "") == (file == ""):
				return errors.New("one of --socket and --file is needed")
			case socket != "":
				text, err := admin.Call(socket, "list")
				if err != nil {
					return err
				}
				if err := json.Unmarshal(text, &list); err != nil {
					return fmt.Errorf("list: %w", err)
				}
			default:
				entries, kept, err := endpointcache.ReadFile(file)
				if err != nil {
					return noError{fmt.Errorf("%s: %w", file, err)}
				}
				list = stored(entries)
				if !asJSON {
					fmt.Fprintf(c.OutOrStdout(), "kept %s, %s ago\n", kept.Format(time.RFC3339), time.Since(kept).Round(time.Second))
				}
			}
			if asJSON {
				if list == nil {
					list = []source.EngineStatus{}
				}
				return printJSON(c.OutOrStdout(), list)
			}
			return writeList(c.OutOrStdout(), list)
		},
	}
	show.Flags().StringVar(&socket, "socket", "", "admin socket of a running front end")
	show.Flags().StringVar(&file, "file", "", "file of a last good list")
	show.Flags().BoolVar(&asJSON, "json", false, "print a JSON list")
	_ = show.MarkFlagFilename("file")
	root.AddCommand(show)
	return root
}

// stored shows the entries of a file as a front end would that starts with them.
func stored(entries []discovery.Endpoint) (list []source.EngineStatus) {
	for _, e := range entries {
		b := source.EngineStatus{Name: e.Key, ID: discovery.EndpointID(e.Key), Address: e.Addr, State: discovery.Ready.String(),
			Reason: string(discovery.ReasonCached), Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight, SinceMS: e.StartedAt.Milliseconds()}
		switch {
		case e.Drain:
			b.State, b.Reason = discovery.Draining.String(), string(discovery.ReasonDrainRequested)
		case !e.Passing:
			b.Reason = "check failed when it was kept"
		}
		list = append(list, b)
	}
	return list
}

func writeList(w io.Writer, list []source.EngineStatus) error {
	t := newTable(w)
	fmt.Fprintln(t, "ENGINE\tID\tADDRESS\tSTATE\tREASON\tZONE\tKIND\tWEIGHT\tSINCE")
	for _, b := range list {
		since := "long ago"
		if b.SinceMS > 0 {
			since = time.UnixMilli(b.SinceMS).Format("15:04:05.000")
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%g\t%s\n", b.Name, b.ID, b.Address, b.State, b.Reason, b.Zone, b.Kind, b.Weight, since)
	}
	return t.Flush()
}

func countersCommand() *cobra.Command {
	var socket string
	var asJSON bool
	c := &cobra.Command{
		Use: "counters", Short: "Show the counters of a running front end", Args: cobra.NoArgs,
		Example: "  gatewayctl counters --socket /run/beechcart/admin.sock",
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := admin.Call(socket, "counters")
			if err != nil {
				return err
			}
			var n map[string]int64
			if err := json.Unmarshal(text, &n); err != nil {
				return fmt.Errorf("counters: %w", err)
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), n)
			}
			return printTable(c.OutOrStdout(), "%d", n)
		},
	}
	c.Flags().StringVar(&socket, "socket", "", "admin socket of a running front end")
	c.Flags().BoolVar(&asJSON, "json", false, "print a JSON object")
	_ = c.MarkFlagRequired("socket")
	return c
}
