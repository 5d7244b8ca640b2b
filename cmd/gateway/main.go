// Command gateway is a real front end: it takes queries over the MySQL protocol and runs them on engines.
package main

import (
	"errors"
	"fmt"
	"os"

	"beechcart/internal/operatorconfig"
	"beechcart/internal/platformconfig"
)

// The exit codes.
const (
	exitFailed = 1 // it could not start, or could not go on
	exitUsage  = 2 // the command line does not read

	// The fleet has let it go out: what starts programs here is to start it again ...
	exitRestart = 75 // ... on the revision that 'gatewayctl fleet wanted' names
	exitDrained = 76 // ... once it is undrained
)

// exitWith is an end that is no fault, with a code of its own.
type exitWith int

func (e exitWith) Error() string { return fmt.Sprintf("ended with code %d", int(e)) }

// usageError is a command line that does not read.
type usageError struct{ error }

func main() {
	err := execute()
	var usage usageError
	var code exitWith
	switch {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	case errors.As(err, &usage):
		fmt.Fprintf(os.Stderr, "gateway: %v\n", err)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(exitFailed)
	}
}

// files are the two files that a front end is told its settings by.
type files struct{ config, settings string }

// load reads both files and checks what can be checked without starting.
func (f *files) load() (*platformconfig.Config, operatorconfig.Settings, error) {
	ops, err := operatorconfig.Load(f.settings)
	if err != nil {
		return nil, ops, err
	}
	if err := ops.Check(); err != nil {
		return nil, ops, fmt.Errorf("settings %s: %w", f.settings, err)
	}
	cfg, err := platformconfig.Load(f.config, os.Getenv)
	if err != nil {
		return nil, ops, err
	}
	if err := cfg.Check(); err != nil {
		return nil, ops, fmt.Errorf("configuration %s: %w", f.config, err)
	}
	if ops.Source == operatorconfig.ChangeLog && cfg.ChangeLog == "" {
		return nil, ops, fmt.Errorf("configuration %s: changelog: no address is given", f.config)
	}
	return cfg, ops, nil
}
