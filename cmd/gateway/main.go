// Command gateway is the front end: it takes queries over the MySQL protocol and runs them on engines over HTTP.
//
// main.go has the exit codes, config.go reads the files, server.go wires the parts up and runs them from start to
// shutdown, endpoints.go follows the engine list, fleet.go joins the fleet. docs/ARCHITECTURE.md describes the
// whole system.
package main

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes.
const (
	exitFailed = 1 // the front end could not start or could not continue
	exitUsage  = 2 // the command line is invalid

	// The fleet has granted a shutdown. The supervisor of the machine starts the front end again:
	exitRestart = 75 // at once, at the revision that 'gatewayctl fleet wanted' names
	exitDrained = 76 // after the front end is undrained
)

// exitError is the exit code of a shutdown without a failure.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("ended with code %d", int(e)) }

// usageError reports an invalid command line.
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
