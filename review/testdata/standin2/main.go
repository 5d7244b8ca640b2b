// Command standin2 plays the cases 6 to 10 of the review: it starts the front end with the command of the deploy file,
// acts as its clients, engines and change log on loopback addresses, and checks one rule of the pages.
//
//	standin2 engine LISTEN RECORD [flags]   one engine, a process of its own
//	standin2 case N FOLDER                  one case; TROUBLE=0 leaves out the disruption
//
// The exit code of a case is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	switch {
	case len(os.Args) > 3 && os.Args[1] == "engine":
		err := runEngine(os.Args[2], os.Args[3], os.Args[4:])
		fmt.Fprintln(os.Stderr, "engine:", err)
		os.Exit(exitNotRun)
	case len(os.Args) == 4 && os.Args[1] == "case":
		number, err := strconv.Atoi(os.Args[2])
		play := cases[number]
		if err != nil || play == nil {
			fmt.Fprintln(os.Stderr, "no such case")
			os.Exit(exitNotRun)
		}
		os.Exit(runCase(os.Args[3], play))
	}
	fmt.Fprintln(os.Stderr, "usage: standin2 engine LISTEN RECORD [flags] | standin2 case N FOLDER")
	os.Exit(exitNotRun)
}

// runCase plays one case and returns its exit code.
func runCase(folder string, play func(*scene) error) (code int) {
	s, err := newScene(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer s.close()
	err = play(s)
	switch {
	case s.timedOut():
		s.note("not run: out of time")
		return exitNotRun
	case errors.Is(err, errBroken):
		s.note("RULE BROKEN: %v", err)
		return exitBroken
	case err != nil:
		s.note("not run: %v", err)
		return exitNotRun
	}
	s.note("rule held")
	return exitHeld
}
