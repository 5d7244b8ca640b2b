//go:build review

// Command standin plays the clients, the engines and the platform around the gateway for the cases under review/.
//
//	standin N DIRECTORY
//
// runs case N from the root of the repository and writes DIRECTORY/record.txt. The exit code of a case is 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin N DIRECTORY")
		os.Exit(exitNotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "standin: no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, os.Args[2]))
}
