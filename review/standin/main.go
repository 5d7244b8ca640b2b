//go:build review

// Command standin plays the clients, the engines and the platform around the gateway for the cases under review/.
//
//	standin case N DIRECTORY   run case N from the root of the repository and write DIRECTORY/record.txt
//	standin engine SPEC        run one engine as a process of its own
//
// The exit code of a case is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "engine" {
		runEngineProcess(os.Args[2])
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" {
		fmt.Fprintln(os.Stderr, "usage: standin case N DIRECTORY | standin engine SPEC")
		os.Exit(exitNotRun)
	}
	run := cases[os.Args[2]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "standin: no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, os.Args[3]))
}
