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
	settingsPath string // path of the operators' settings
	commandID    string // of the command; empty: drawn
	requestedBy  string // who enters the command, for the audit
	json         bool
	wait         bool
	timeout      time.Duration // of wait
}

func fleetCommand() *cobra.Command {
	var f fleetCommands
	root := &cobra.Command{
		Use: "fleet", Short: "Who of the fleet is unavailable, drains, and releases",
		Long: "The commands call the control replicas that the settings name (fleet.keepers).\n" +
			"Exit codes: 0 done, 1 rejected (the reason names the budget and who uses it), 2 no control replica could be\n" +
			"called: it is unknown whether the command was executed; repeat it with the same --id, and it is executed once.",
	}
	flags := root.PersistentFlags()
	flags.StringVar(&f.settingsPath, "settings", os.Getenv("BEECHCART_SETTINGS"),
		"operators' settings, as built by 'gatewayctl config build' (BEECHCART_SETTINGS)")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	flags.StringVar(&f.commandID, "id", "",
		"id of the command, so that a repeat is executed once; none: drawn, and printed if the answer is lost")
	flags.StringVar(&f.requestedBy, "by", os.Getenv("USER"), "who requests it, for the audit")
	root.AddCommand(f.statusCommand(), f.auditCommand(), f.initCommand(), f.drainCommand(), f.undrainCommand(),
		f.removeCommand(), f.targetRevisionCommand(), f.releaseCommand())
	return root
}

// client returns a client of the control replicas that the settings name.
func (f *fleetCommands) client() (*fleet.Client, error) {
	settings, err := operatorconfig.Load(f.settingsPath)
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
			Name:          replica.Name,
			LogAddress:    replica.LogAddress,
			APIAddress:    replica.APIAddress,
			GossipAddress: replica.GossipAddress,
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

// apply sends a command. A rejection is an answer of no.
func (f *fleetCommands) apply(c *cobra.Command, command rollout.Command) (rollout.Result, error) {
	client, err := f.client()
	if err != nil {
		return rollout.Result{}, err
	}
	f.addIdentity(&command)
	result, err := client.Apply(command)
	switch {
	case isRejected(err):
		return result, negativeAnswerError{err}
	case err != nil:
		return result, fmt.Errorf("%w\nit is not known whether it was taken; repeat with --id %s", err, command.ID)
	case result.Rejected != nil:
		if f.json {
			_ = printJSON(c.OutOrStdout(), result)
		}
		return result, negativeAnswerError{result.Rejected}
	case f.json && !f.wait:
		return result, printJSON(c.OutOrStdout(), result)
	}
	return result, nil
}

// addIdentity sets the id of a command and who enters it.
func (f *fleetCommands) addIdentity(command *rollout.Command) {
	if command.ID = f.commandID; command.ID == "" {
		id := make([]byte, 8)
		_, _ = rand.Read(id)
		command.ID = hex.EncodeToString(id)
	}
	if command.RequestedBy = f.requestedBy; command.RequestedBy == "" {
		command.RequestedBy = "unknown"
	}
}

// isRejected tells whether a control replica was called and has rejected the call.
func isRejected(err error) bool {
	var rejected *fleet.RejectedError
	return errors.As(err, &rejected)
}

// rejectionAsNo makes a rejection an answer of no.
func rejectionAsNo(err error) error {
	if isRejected(err) {
		return negativeAnswerError{err}
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
				c.PrintErrf("%s waits for:\n  %s\n", time.Now().Format(time.TimeOnly), text)
			}
			if now.done || err != nil {
				return err
			}
		}
		if time.Now().After(deadline) {
			return negativeAnswerError{fmt.Errorf("not done within %v", f.timeout)}
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
		Use: "init", Short: "Begin a fleet, once: all control replicas are up, and none has a log yet", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			return rejectionAsNo(client.Init())
		},
	}
}
