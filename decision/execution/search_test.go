package execution

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// The search explores the orders in which two or three proposers of one id, the replicas and the engine may act.
// Messages may be lost, duplicated and late, a process may die or send at any later time, a replica may lose its disk,
// and a replica may move to another member.

// explore visits the reachable states breadth first until it finds a violation or has visited maxStates. complete
// reports whether it has visited all of them.
func explore(start *world, maxStates int) (states int, violation string, complete bool) {
	seen := map[string]bool{start.key(): true}
	queue := []*world{start}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		all, _ := current.steps()
		for _, apply := range all {
			next := current.clone()
			apply(next)
			if next.violation != "" {
				return len(seen), next.violation, false
			}
			if k := next.key(); !seen[k] {
				if len(seen) >= maxStates {
					return len(seen), "", false
				}
				seen[k] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), "", true
}

// statesVariable names the environment variable that sets the number of states that the search visits.
const statesVariable = "EXECUTION_STATES"

// The search covers every order of messages between two proposers and three replicas, and, with one fault of each kind,
// the orders up to a bound on the number of states.
func TestSearchEveryOrder(t *testing.T) {
	for _, c := range []struct {
		processes int
		faults    faults
		maxStates int
	}{
		{2, faults{}, 100_000},
		{2, faults{deaths: 1, diskLosses: 1, moves: 1, expiries: 1}, 30_000},
	} {
		if raceDetector {
			c.maxStates = min(c.maxStates, 5_000)
		} else if n, err := strconv.Atoi(os.Getenv(statesVariable)); err == nil {
			c.maxStates = n
		}
		states, violation, complete := explore(newWorld(c.processes, c.faults), c.maxStates)
		t.Logf("%+v: %d states, complete: %v", c, states, complete)
		if violation != "" || states < min(c.maxStates, 30_000) {
			t.Errorf("%+v: violation %q after %d states", c, violation, states)
		}
	}
}

// maxSteps is the largest number of steps of a walk.
const maxSteps = 150

// walk applies random steps until no step is left, an invariant is violated or maxSteps is reached.
func walk(w *world, rng *rand.Rand) (violation string) {
	for range maxSteps {
		all, progress := w.steps()
		if len(all) == 0 {
			return ""
		}
		if rng.IntN(4) > 0 && progress > 0 {
			all = all[:progress]
		}
		if all[rng.IntN(len(all))](w); w.violation != "" {
			return w.violation
		}
	}
	return ""
}

// Random walks go deeper than the search: up to three proposers, and all kinds of faults together.
func TestWalksKeepThePromise(t *testing.T) {
	walks := 20_000
	if raceDetector {
		walks = 3_000
	}
	answered := 0
	for seed := range uint64(walks) {
		w := newWorld(2+int(seed%2), faults{deaths: 1, diskLosses: 1, moves: 1, expiries: 2})
		if violation := walk(w, rand.New(rand.NewPCG(seed, 1))); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		for _, p := range w.processes {
			if p.answered {
				answered++
				break
			}
		}
	}
	t.Logf("%d of %d walks ended with an answered client", answered, walks)
	if answered < walks/4 {
		t.Error("fewer than a quarter of the walks ended with an answered client")
	}
}

// smallWorlds are worlds with few processes and faults. Each is named after the guard whose removal by a mutation its
// walks find.
var smallWorlds = []struct {
	name      string
	processes int
	faults    faults
}{
	{"fence", 2, faults{}},
	{"majority", 2, faults{}},
	{"recover", 2, faults{}},
	{"doubt", 2, faults{}},
	{"abandon", 2, faults{deaths: 1}},
	{"retention", 2, faults{expiries: 2}},
	{"bootstrap", 2, faults{diskLosses: 1}},
	{"prepare", 3, faults{}},
}

// walksVariable names the environment variable that sets the number of walks in each small world.
const walksVariable = "EXECUTION_WALKS"

func TestWalksOfSmallWorlds(t *testing.T) {
	walks := uint64(500)
	if text := os.Getenv(walksVariable); text != "" {
		var err error
		walks, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for _, c := range smallWorlds {
		t.Run(c.name, func(t *testing.T) {
			for seed := range walks {
				if violation := walk(newWorld(c.processes, c.faults), rand.New(rand.NewPCG(seed, 2))); violation != "" {
					t.Fatalf("walk %d: %s", seed, violation)
				}
			}
		})
	}
}
