// Command gateway is the front end: it takes queries over the MySQL protocol and runs them on engines over HTTP.
//
// main.go has the exit codes, config.go reads the files, server.go wires the parts up and runs them from start to
// shutdown, endpoints.go follows the engine list, fleet.go joins the fleet. docs/ARCHITECTURE.md has the whole picture.
package main

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes.
const (
	exitFailed = 1 // it could not start, or could not go on
	exitUsage  = 2 // the command line does not read

	// The fleet has granted a shutdown: whoever starts programs on this machine starts this one again ...
	exitRestart = 75 // ... on the revision that 'gatewayctl fleet wanted' names
	exitDrained = 76 // ... once it is undrained
)

// exitError is an end that is no fault, with an exit code of its own.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("ended with code %d", int(e)) }

// usageError is a command line that does not read.
type usageError struct{ error }

func main() {
	err := execute()
	var usage usageError
	var exit exitError
	switch {
	case err == nil:
	case errors.As(err, &exit):
		os.Exit(int(exit))
	case errors.As(err, &usage):
		fmt.Fprintf(os.Stderr, "gateway: %v\n", err)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(exitFailed)
	}
}
