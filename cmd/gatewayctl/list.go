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
	root := &cobra.Command{Use: "list", Short: "Show the engine list of a front end"}
	root.AddCommand((&listShow{}).command())
	return root
}

// listShow holds the flags of the command list show.
type listShow struct {
	socket string // admin socket of a running front end; empty: use file
	file   string // file of a cached list; empty: use socket
	json   bool
}

func (l *listShow) command() *cobra.Command {
	c := &cobra.Command{
		Use: "show", Short: "Show each engine with its state and the reason", Args: cobra.NoArgs,
		Long: "show reads the list from a running front end's admin socket (setting admin_socket), or from a cached list.",
		Example: "  gatewayctl list show --socket /run/beechcart/admin.sock\n" +
			"  gatewayctl list show --file /var/lib/beechcart/engines.list --json",
		RunE: func(c *cobra.Command, _ []string) error { return l.run(c.OutOrStdout()) },
	}
	c.Flags().StringVar(&l.socket, "socket", "", "admin socket of a running front end")
	c.Flags().StringVar(&l.file, "file", "", "file of a cached list")
	c.Flags().BoolVar(&l.json, "json", false, "print a JSON list")
	_ = c.MarkFlagFilename("file")
	return c
}

func (l *listShow) run(out io.Writer) error {
	if (l.socket == "") == (l.file == "") {
		return errors.New("found both or neither of --socket and --file, exactly one is required")
	}
	list, err := l.read(out)
	if err != nil {
		return err
	}
	if l.json {
		if list == nil {
			list = []source.EngineStatus{} // printed as [], not as null
		}
		return printJSON(out, list)
	}
	return writeList(out, list)
}

// read returns the list of the front end or of the file. Unless the output is JSON, it first prints the age of a file.
func (l *listShow) read(out io.Writer) ([]source.EngineStatus, error) {
	if l.socket != "" {
		var list []source.EngineStatus
		err := callJSON(l.socket, "list", &list)
		return list, err
	}
	endpoints, writtenAt, err := endpointcache.ReadFile(l.file)
	if err != nil {
		return nil, negativeAnswerError{fmt.Errorf("%s: %w", l.file, err)}
	}
	if !l.json {
		age := time.Since(writtenAt).Round(time.Second)
		_, err = fmt.Fprintf(out, "written %s, %s ago\n", writtenAt.Format(time.RFC3339), age)
	}
	return cachedStatuses(endpoints), err
}

// callJSON calls a command of a running front end over its admin socket, and decodes the JSON answer.
func callJSON(socket, command string, answer any) error {
	text, err := admin.Call(socket, command)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return fmt.Errorf("%s: %w", command, err)
	}
	return nil
}

// cachedStatuses returns the statuses that a front end would report after a start from a cached list.
func cachedStatuses(endpoints []discovery.Endpoint) (list []source.EngineStatus) {
	for _, e := range endpoints {
		status := source.EngineStatus{
			Name:    e.Key,
			ID:      discovery.EndpointID(e.Key),
			Address: e.Addr,
			State:   discovery.Ready.String(),
			Reason:  string(discovery.ReasonCached),
			Zone:    e.Zone,
			Kind:    e.Kind,
			Cell:    e.Cell,
			Weight:  e.Weight,
			SinceMS: e.StartedAt.Milliseconds(),
		}
		switch {
		case e.Drain:
			status.State, status.Reason = discovery.Draining.String(), string(discovery.ReasonDrainRequested)
		case !e.Passing:
			status.Reason = "check failed when it was kept"
		}
		list = append(list, status)
	}
	return list
}

func writeList(w io.Writer, list []source.EngineStatus) error {
	t := newTable(w)
	fmt.Fprintln(t, "ENGINE\tID\tADDRESS\tSTATE\tREASON\tZONE\tKIND\tWEIGHT\tSINCE")
	for _, e := range list {
		since := "long ago"
		if e.SinceMS > 0 {
			since = time.UnixMilli(e.SinceMS).Format("15:04:05.000")
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%g\t%s\n",
			e.Name, e.ID, e.Address, e.State, e.Reason, e.Zone, e.Kind, e.Weight, since)
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
			var counters map[string]int64
			if err := callJSON(socket, "counters", &counters); err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), counters)
			}
			return printTable(c.OutOrStdout(), "%d", counters)
		},
	}
	c.Flags().StringVar(&socket, "socket", "", "admin socket of a running front end")
	c.Flags().BoolVar(&asJSON, "json", false, "print a JSON object")
	_ = c.MarkFlagRequired("socket")
	return c
}
