package rollout

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed, size := rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 12).Draw(rt, "size")
		f := newRandomFleet(rt, rand.New(rand.NewPCG(seed, 1)), size)
		if violation := f.run(t, 400); violation != "" {
			rt.Fatal(violation)
		}
	})
}

// stepsVariable names the environment variable with the number of steps of TestInvariantsHoldAt300; 100,000 take a
// minute.
const stepsVariable = "ROLLOUT_STEPS"

func TestInvariantsHoldAt300(t *testing.T) {
	steps := 20_000
	if raceDetector {
		steps = 2_000
	}
	if n, err := strconv.Atoi(os.Getenv(stepsVariable)); err == nil {
		steps = n
	}
	f := newRandomFleet(t, rand.New(rand.NewPCG(300, 1)), 300)
	require.Empty(t, f.run(t, steps))
	t.Log(steps, "steps:", f.effectCounts)
	for _, change := range []string{"granted", "activated", "proved", "started"} {
		assert.Positive(t, f.effectCounts[change], "no step %s anything: the test does not cover this change", change)
	}
}

// seedsVariable names the environment variable with the number of random fleets. Mutated copies of the package are
// tested with more fleets than the package itself.
const seedsVariable = "ROLLOUT_SEEDS"

func TestRandomFleets(t *testing.T) {
	seeds, err := strconv.ParseUint(os.Getenv(seedsVariable), 10, 64)
	if err != nil {
		seeds = 2
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		f := newRandomFleet(t, rand.New(rand.NewPCG(seed, 2)), 3+int(seed%8))
		if violation := f.run(t, 3000); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// The same log gives the same state, with or without a restore from a snapshot on the way.
func TestReplayFromSnapshotGivesTheSameState(t *testing.T) {
	newFleet := func() *randomFleet { return newRandomFleet(t, rand.New(rand.NewPCG(7, 3)), 9) }
	f := newFleet()
	var log []Command
	for range 2000 {
		command := f.draw()
		f.step(command)
		command.At = f.now
		log = append(log, command)
	}
	replay := func(restoreAt int) string {
		machine := newFleet().machine
		for i, command := range log {
			if i == restoreAt {
				text, err := machine.Snapshot()
				require.NoError(t, err)
				machine, err = New(Defaults())
				require.NoError(t, err)
				require.NoError(t, machine.Restore(text))
			}
			machine.Apply(command)
		}
		text, err := machine.Snapshot()
		require.NoError(t, err)
		return string(text)
	}
	want, err := f.machine.Snapshot()
	require.NoError(t, err)
	for _, at := range []int{-1, 0, 1000, 1999} {
		require.Equal(t, string(want), replay(at), "restored at %d", at)
	}
}
