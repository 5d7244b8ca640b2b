package scale

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
)

// noticeSamples are the values that a run records under a quantity, for one fault.
func noticeSamples(quantity string, fault FaultResult) (values []float64) {
	r := Result{Scale: Sizes{Members: 10}, Faults: []FaultResult{fault}}
	for _, s := range r.Samples(1) {
		if s.Quantity == quantity {
			values = append(values, s.Value)
		}
	}
	return values
}

// Guards against names that the capacity page does not look for, and against members that were not noticed recorded
// as noticed.
func TestTheTimeToNoticeIsRecordedOnlyOfMembersThatAllWereNoticed(t *testing.T) {
	seconds := 2.25
	for fault, quantity := range map[string]string{"dead": "notice_dead_max_seconds", "stop": "notice_stopped_max_seconds",
		"one-way": "notice_one_way_max_seconds"} {
		assert.Equal(t, []float64{seconds}, noticeSamples(quantity, FaultResult{Name: fault, Notice: &Notice{Members: 3,
			Suspected: 3, MaxSeconds: &seconds}}))
		assert.Empty(t, noticeSamples(quantity, FaultResult{Name: fault, Notice: &Notice{Members: 3, Suspected: 2}}), fault)
		assert.Empty(t, noticeSamples(quantity, FaultResult{Name: fault}), fault)
	}
}

// stateOf is a state of the log with two members of a host and one of another, of which some are suspected.
func stateOf(suspected ...string) map[string]*rollout.Member {
	state := map[string]*rollout.Member{"m1": {}, "m2": {}, "other": {}}
	for _, name := range suspected {
		state[name].Suspected = true
	}
	return state
}

func TestTheLastMemberThatIsSuspectedCounts(t *testing.T) {
	w := newSuspicionWatch([]string{"m1", "m2"}, time.Now(), time.Minute)
	close(w.done)
	w.observe(stateOf("other"), time.Second)
	w.observe(stateOf("m1"), 2*time.Second)
	assert.Equal(t, &Notice{Members: 2, Suspected: 1, BoundSeconds: 60}, w.await(), "one is not suspected: no time")

	w.observe(stateOf("m1", "m2"), 3*time.Second)
	w.observe(stateOf("m1", "m2"), 4*time.Second)
	found := w.await()
	require.NotNil(t, found.MaxSeconds)
	assert.InDelta(t, 3, *found.MaxSeconds, 1e-9, "the first answer that has the last of them")

	assert.Nil(t, (*suspicionWatch)(nil).await(), "a watch that did not begin")
}

// Guards against a replica that has lost its lead, and an answer after the bound.
func TestOnlyTheLeadersAnswersWithinTheBoundCount(t *testing.T) {
	all := rollout.State{Members: stateOf("m1", "m2")}
	answers := []fleet.Status{{}, {State: all}, {IsLeader: true, State: rollout.State{Members: stateOf("m1")}},
		{IsLeader: true, State: all}}
	asked := 0
	w := newSuspicionWatch([]string{"m1", "m2"}, time.Now(), longWait)
	w.follow(context.Background(), func() (fleet.Status, error) {
		asked++
		if asked == 1 {
			return fleet.Status{}, errors.New("no replica answers")
		}
		return answers[asked-1], nil
	})
	assert.Equal(t, len(answers), asked)
	assert.NotNil(t, w.await().MaxSeconds)

	late := newSuspicionWatch([]string{"m1", "m2"}, time.Now().Add(-2*longWait), longWait)
	late.follow(context.Background(), func() (fleet.Status, error) { return answers[3], nil })
	assert.Equal(t, &Notice{Members: 2, BoundSeconds: longWait.Seconds()}, late.await())
}

func TestMembersThatAreUnknownOrSuspectedAreNotWatched(t *testing.T) {
	assert.True(t, allUnsuspected(stateOf("other"), []string{"m1", "m2"}))
	assert.False(t, allUnsuspected(stateOf("m2"), []string{"m1", "m2"}))
	assert.False(t, allUnsuspected(stateOf(), []string{"m1", "m9"}))
}

func TestFaultsOfNoticeAreAddedOnce(t *testing.T) {
	assert.Equal(t, []string{"dead", "stop"}, WithNotice(nil))
	given := []string{"stop", "zone"}
	assert.Equal(t, []string{"stop", "zone", "dead"}, WithNotice(given))
	assert.Equal(t, []string{"stop", "zone"}, given)
	for _, name := range WithNotice(nil) {
		assert.Contains(t, FaultNames(), name)
		assert.NotEmpty(t, noticeNames[name])
	}
}

// The short form: the members of a killed host are suspected, and come back. How soon is measured by hand
// ('gatewayctl scale --notice').
func TestADeadHostIsNoticedInASmallFleet(t *testing.T) {
	t.Setenv(hostVariable, "1")
	o := testOptions(t)
	o.Members, o.Engines, o.Real, o.PerHost, o.Seconds, o.StartPace = 20, 5, 0, 6, 1, 0
	o.Changes, o.PrimaryChanges, o.NoticeWithin = 0, 0, longWait
	o.Faults, o.HostCommand = []string{"dead"}, []string{os.Args[0]}
	r, err := Run(context.Background(), o)
	require.NoError(t, err, "seed %d", o.Seed)
	require.Len(t, r.Faults, 1)
	found := r.Faults[0]
	require.NotNil(t, found.Notice, "seed %d", o.Seed)
	assert.Equal(t, found.Members, found.Notice.Members)
	assert.Equal(t, found.Members, found.Notice.Suspected, "seed %d: all are noticed", o.Seed)
	require.NotNil(t, found.Notice.MaxSeconds)
	assert.Positive(t, *found.Notice.MaxSeconds)
	assert.Len(t, noticeSamples("notice_dead_max_seconds", found), 1)
	assert.False(t, found.DrainLost, "seed %d: a drain reaches them all after the host is started again", o.Seed)
}
