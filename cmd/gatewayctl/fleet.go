package main

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
	"beechcart/internal/operatorconfig"
)

// statusInterval is how often a command that waits asks for the fleet's status.
const statusInterval = 200 * time.Millisecond

// fleetCommands are the commands of the fleet, with the flags that they share.
type fleetCommands struct {
	settings string // path of the operators' settings
	id       string // of the command; empty: drawn
	by       string // who enters the command, for the audit
	json     bool
	wait     bool
	timeout  time.Duration // of wait
}

func fleetCommand() *cobra.Command {
	var f fleetCommands
	root := &cobra.Command{
		Use: "fleet", Short: "Who of the fleet is out, drains, and releases",
		Long: "The commands ask the front ends that keep the agreed log, which the settings name (fleet.keepers).\n" +
			"Exit codes: 0 done, 1 refused (the reason names the budget and who holds it), 2 no keeper could be asked: it is not known\n" +
			"whether the command was taken; repeat it with the same --id, and it is done once.",
	}
	flags := root.PersistentFlags()
	flags.StringVar(&f.settings, "settings", os.Getenv("BEECHCART_SETTINGS"), "operators' settings, as built by 'gatewayctl config build' (BEECHCART_SETTINGS)")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	flags.StringVar(&f.id, "id", "", "id of the command, so that a repeat does it once; none: drawn, and printed if the answer is lost")
	flags.StringVar(&f.by, "by", os.Getenv("USER"), "who asks, for the audit")
	root.AddCommand(f.statusCommand(), f.auditCommand(), f.initCommand(), f.drainCommand(), f.undrainCommand(), f.forgetCommand(),
		f.wantedCommand(), f.releaseCommand())
	return root
}

// client returns a client of the control replicas that the settings name.
func (f *fleetCommands) client() (*fleet.Client, error) {
	settings, err := operatorconfig.Load(f.settings)
	if err == nil {
		err = settings.ResolveFiles()
	}
	if err != nil {
		return nil, err
	}
	if len(settings.Fleet.ControlReplicas) == 0 {
		return nil, errors.New("settings: fleet.keepers: none is named")
	}
	options := &fleet.Options{Key: settings.Fleet.Key, DialOverrides: settings.Fleet.DialOverrides}
	for _, replica := range settings.Fleet.ControlReplicas {
		options.ControlReplicas = append(options.ControlReplicas, fleet.ReplicaAddress{
			Name: replica.Name, LogAddress: replica.LogAddress, APIAddress: replica.APIAddress, GossipAddress: replica.GossipAddress,
		})
	}
	return fleet.NewClient(options), nil
}

// status asks for the fleet's status.
func (f *fleetCommands) status() (fleet.Status, error) {
	client, err := f.client()
	if err != nil {
		return fleet.Status{}, err
	}
	return client.Status()
}

// apply enters a command. A refusal is an answer of no.
func (f *fleetCommands) apply(c *cobra.Command, command rollout.Command) (rollout.Result, error) {
	client, err := f.client()
	if err != nil {
		return rollout.Result{}, err
	}
	f.identify(&command)
	result, err := client.Apply(command)
	switch {
	case isRefused(err):
		return result, noError{err}
	case err != nil:
		return result, fmt.Errorf("%w\nit is not known whether it was taken; repeat with --id %s", err, command.ID)
	case result.Rejected != nil:
		if f.json {
			_ = printJSON(c.OutOrStdout(), result)
		}
		return result, noError{result.Rejected}
	case f.json && !f.wait:
		return result, printJSON(c.OutOrStdout(), result)
	}
	return result, nil
}

// identify sets the id of a command and who enters it.
func (f *fleetCommands) identify(command *rollout.Command) {
	if command.ID = f.id; command.ID == "" {
		id := make([]byte, 8)
		_, _ = rand.Read(id)
		command.ID = hex.EncodeToString(id)
	}
	if command.RequestedBy = f.by; command.RequestedBy == "" {
		command.RequestedBy = "unknown"
	}
}

// isRefused tells whether a control replica was asked and refused.
func isRefused(err error) bool {
	var refused *fleet.RejectedError
	return errors.As(err, &refused)
}

// refusalAsNo makes a refusal an answer of no.
func refusalAsNo(err error) error {
	if isRefused(err) {
		return noError{err}
	}
	return err
}

// progress is how far a command has come by a status.
type progress struct {
	done    bool
	waitFor []string // what is waited for until then
}

// waitUntil asks for the fleet's status until check tells that the command is done, or will never be, by an error. It
// prints what is waited for as that changes.
func (f *fleetCommands) waitUntil(c *cobra.Command, check func(fleet.Status) (progress, error)) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	printed := ""
	for deadline := time.Now().Add(f.timeout); ; {
		if status, err := client.Status(); err == nil {
			now, err := check(status)
			if text := strings.Join(now.waitFor, "\n  "); text != printed && text != "" {
				printed = text
				fmt.Fprintf(c.ErrOrStderr(), "%s waits for:\n  %s\n", time.Now().Format("15:04:05"), text)
			}
			if now.done || err != nil {
				return err
			}
		}
		if time.Now().After(deadline) {
			return noError{fmt.Errorf("not done within %v", f.timeout)}
		}
		select {
		case <-c.Context().Done():
			return c.Context().Err()
		case <-time.After(statusInterval):
		}
	}
}

// addWaitFlags lets a command wait until it is done.
func (f *fleetCommands) addWaitFlags(c *cobra.Command) {
	c.Flags().BoolVar(&f.wait, "wait", false, "wait until it is done, and tell what is waited for")
	c.Flags().DurationVar(&f.timeout, "within", 10*time.Minute, "how long to wait")
}

func (f *fleetCommands) initCommand() *cobra.Command {
	return &cobra.Command{
		Use: "init", Short: "Begin a fleet, once: all keepers are up, and none has a log yet", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			return refusalAsNo(client.Init())
		},
	}
}
