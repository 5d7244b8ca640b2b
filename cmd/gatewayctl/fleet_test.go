package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

func TestTargetRevision(t *testing.T) {
	state := &rollout.State{
		Members: map[string]*rollout.Member{"n0": {TargetRevision: "r2"}, "n1": {TargetRevision: "r2"}},
		Permits: map[uint64]*rollout.Permit{
			1: {Subject: "n1", Purpose: rollout.Drain, RequestedBy: "ops"},
			2: {Subject: "n0", Purpose: rollout.Drain, Engine: true}, // of an engine that has the name of a front end
			3: {Subject: "n0", Purpose: rollout.Drain, Cancelled: true},
		},
	}
	revision, err := targetRevision(state, "n0")
	require.NoError(t, err)
	assert.Equal(t, "r2", revision)
	for name, want := range map[string]string{"n1": "n1 is drained by ops", "n2": "there is no front end n2"} {
		_, err := targetRevision(state, name)
		require.ErrorAs(t, err, new(negativeAnswerError), name)
		require.EqualError(t, err, want)
	}
}

func TestDrainProgress(t *testing.T) {
	status := fleet.Status{DrainBlockers: map[string][]string{"e0": {"n0 has a query on it"}}}
	status.State.Permits = map[uint64]*rollout.Permit{
		1: {Subject: "e0", Engine: true},
		2: {Subject: "e1", Engine: true, DrainedAt: 1},
		3: {Subject: "n0"},
		4: {Subject: "n1"},
	}
	status.State.Members = map[string]*rollout.Member{"n0": {Phase: rollout.Serving}, "n1": {Phase: rollout.Terminated}}
	for _, c := range []struct {
		subject rollout.Subject
		permit  uint64
		want    progress
	}{
		{rollout.Subject{Name: "e0", Engine: true}, 1, progress{false, []string{"n0 has a query on it"}}},
		{rollout.Subject{Name: "e1", Engine: true}, 2, progress{done: true}},
		{rollout.Subject{Name: "n0"}, 3, progress{false, []string{"n0 to terminate"}}},
		{rollout.Subject{Name: "n1"}, 4, progress{true, []string{"n1 to terminate"}}},
	} {
		got, err := drainProgress(status, c.subject, c.permit)
		require.NoError(t, err)
		assert.Equal(t, c.want, got, c.subject.Name)
	}
	_, err := drainProgress(status, rollout.Subject{Name: "e0", Engine: true}, 9)
	require.ErrorAs(t, err, new(negativeAnswerError), "a permit that has ended gives a negative answer")
}

func TestReleaseProgress(t *testing.T) {
	status := fleet.Status{ReleaseBlockers: []string{"n2 to serve"}}
	progressIn := func(state rollout.ReleaseState) (progress, error) {
		status.State.Release = &rollout.Release{Number: 3, State: state, HaltCause: "errors"}
		return releaseProgress(status, 3)
	}
	got, err := progressIn(rollout.Running)
	require.NoError(t, err)
	assert.Equal(t, progress{false, status.ReleaseBlockers}, got)
	got, err = progressIn(rollout.Done)
	require.NoError(t, err)
	assert.True(t, got.done)
	for _, state := range []rollout.ReleaseState{rollout.Halting, rollout.Halted} {
		_, err = progressIn(state)
		require.ErrorAs(t, err, new(negativeAnswerError))
		require.EqualError(t, err, "halted: errors")
	}
	got, err = releaseProgress(status, 2)
	require.NoError(t, err)
	assert.True(t, got.done, "release 2, which release 3 has replaced")
}

func TestReleaseFlags(t *testing.T) {
	flags := releaseFlags{waves: "0.02, 0.25,1", previousRevision: "r1", soak: time.Minute}
	start, err := flags.start("r2")
	require.NoError(t, err)
	want := rollout.StartRelease{
		Revision: "r2", PreviousRevision: "r1", Waves: []float64{0.02, 0.25, 1}, Soak: time.Minute,
	}
	assert.Equal(t, want, start)
	flags.waves = "0.02,x"
	_, err = flags.start("r2")
	assert.ErrorContains(t, err, `waves: found "x"`)
}
