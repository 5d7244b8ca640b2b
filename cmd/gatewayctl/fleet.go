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

// statusInterval is the time between polls of the fleet's status by a command with --wait.
const statusInterval = 200 * time.Millisecond

// fleetCommands holds the flags that the commands of the fleet share.
type fleetCommands struct {
	settingsPath string // path of the operators' settings
	commandID    string // id of the command; empty: a random one
	requestedBy  string // the operator who enters the command, for the audit log
	json         bool
	wait         bool
	timeout      time.Duration // of the wait
}

func fleetCommand() *cobra.Command {
	var f fleetCommands
	root := &cobra.Command{
		Use: "fleet", Short: "Show the fleet, drain front ends and engines, and run releases",
		Long: "The commands call the control replicas that the settings name (fleet.keepers).\n" +
			"Exit codes: 0 done; 1 rejected (the reason names the exhausted budget and its users); 2 no control replica\n" +
			"answered, so it is unknown whether the command was executed: a repeat with the same --id executes it only once.",
	}
	flags := root.PersistentFlags()
	flags.StringVar(&f.settingsPath, "settings", os.Getenv("BEECHCART_SETTINGS"),
		"operators' settings, as built by 'gatewayctl config build' (BEECHCART_SETTINGS)")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	flags.StringVar(&f.commandID, "id", "",
		"id of the command, so that a repeat is not executed again; default: random, and printed if no answer arrives")
	flags.StringVar(&f.requestedBy, "by", os.Getenv("USER"), "operator who requests the command, for the audit log")
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
		return nil, errors.New("settings: fleet.keepers: found none, at least one is required")
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

// status returns the fleet's status.
func (f *fleetCommands) status() (fleet.Status, error) {
	client, err := f.client()
	if err != nil {
		return fleet.Status{}, err
	}
	return client.Status()
}

// apply sends a command and returns its result. A rejection is returned as a negative answer.
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
		return result, fmt.Errorf("%w\nit is unknown whether the command was executed; repeat with --id %s", err, command.ID)
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

// addIdentity sets the id of a command and the operator who requests it.
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

// isRejected reports whether a control replica has answered and rejected the call.
func isRejected(err error) bool {
	var rejected *fleet.RejectedError
	return errors.As(err, &rejected)
}

// rejectionAsNegative turns a rejection into a negative answer, and returns other errors as they are.
func rejectionAsNegative(err error) error {
	if isRejected(err) {
		return negativeAnswerError{err}
	}
	return err
}

// progress is the progress of a command according to a status of the fleet.
type progress struct {
	done    bool
	pending []string // the conditions that the command still waits for
}

// waitUntil polls the fleet's status until check reports that the command is done, or returns an error because the
// command can't complete. waitUntil prints the pending conditions whenever they change.
func (f *fleetCommands) waitUntil(c *cobra.Command, check func(fleet.Status) (progress, error)) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	printed := ""
	for deadline := time.Now().Add(f.timeout); ; {
		if status, err := client.Status(); err == nil {
			current, err := check(status)
			if text := strings.Join(current.pending, "\n  "); text != printed && text != "" {
				printed = text
				c.PrintErrf("%s waits for:\n  %s\n", time.Now().Format(time.TimeOnly), text)
			}
			if current.done || err != nil {
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

// addWaitFlags adds the flags --wait and --within to a command.
func (f *fleetCommands) addWaitFlags(c *cobra.Command) {
	c.Flags().BoolVar(&f.wait, "wait", false, "wait until the command is done, and print the pending conditions")
	c.Flags().DurationVar(&f.timeout, "within", 10*time.Minute, "timeout of --wait")
}

func (f *fleetCommands) initCommand() *cobra.Command {
	return &cobra.Command{
		Use: "init", Short: "Initialize a fleet, once: all control replicas run, and none has a log yet", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			return rejectionAsNegative(client.Init())
		},
	}
}
