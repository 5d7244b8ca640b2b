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

// noticeSamples returns the values that a run with one fault records under a quantity.
func noticeSamples(quantity string, fault FaultResult) (values []float64) {
	r := Result{Scale: Sizes{Members: 10}, Faults: []FaultResult{fault}}
	for _, s := range r.Samples(1) {
		if s.Quantity == quantity {
			values = append(values, s.Value)
		}
	}
	return values
}

// Guards against quantity names that the capacity page does not use, and against recording a time to notice when some
// members were not suspected.
func TestTimeToNoticeIsRecordedOnlyIfAllMembersAreSuspected(t *testing.T) {
	seconds := 2.25
	for fault, quantity := range map[string]string{"dead": "notice_dead_max_seconds", "stop": "notice_stopped_max_seconds",
		"one-way": "notice_one_way_max_seconds"} {
		assert.Equal(t, []float64{seconds}, noticeSamples(quantity, FaultResult{Name: fault, Notice: &Notice{Members: 3,
			Suspected: 3, MaxSeconds: &seconds}}))
		assert.Empty(t, noticeSamples(quantity, FaultResult{Name: fault, Notice: &Notice{Members: 3, Suspected: 2}}), fault)
		assert.Empty(t, noticeSamples(quantity, FaultResult{Name: fault}), fault)
	}
}

// logState returns the members of a control log state: two of one host and one of another. The given ones are
// suspected.
func logState(suspected ...string) map[string]*rollout.Member {
	state := map[string]*rollout.Member{"m1": {}, "m2": {}, "other": {}}
	for _, name := range suspected {
		state[name].Suspected = true
	}
	return state
}

func TestNoticeTimeIsThatOfTheLastSuspectedMember(t *testing.T) {
	w := newSuspicionWatch([]string{"m1", "m2"}, time.Now(), time.Minute)
	close(w.done)
	w.observe(logState("other"), time.Second)
	w.observe(logState("m1"), 2*time.Second)
	assert.Equal(t, &Notice{Members: 2, Suspected: 1, BoundSeconds: 60}, w.await(),
		"no time while a member is not suspected")

	w.observe(logState("m1", "m2"), 3*time.Second)
	w.observe(logState("m1", "m2"), 4*time.Second)
	found := w.await()
	require.NotNil(t, found.MaxSeconds)
	assert.InDelta(t, 3, *found.MaxSeconds, 1e-9, "time of the first answer with all members suspected")

	assert.Nil(t, (*suspicionWatch)(nil).await(), "a nil watch has no result")
}

// Guards against counting the answer of a replica that is no longer leader, or an answer after the bound.
func TestSuspicionWatchIgnoresFollowersAndLateAnswers(t *testing.T) {
	all := rollout.State{Members: logState("m1", "m2")}
	statuses := []fleet.Status{{}, {State: all}, {IsLeader: true, State: rollout.State{Members: logState("m1")}},
		{IsLeader: true, State: all}}
	polls := 0
	w := newSuspicionWatch([]string{"m1", "m2"}, time.Now(), waitTimeout)
	w.follow(context.Background(), func() (fleet.Status, error) {
		polls++
		if polls == 1 {
			return fleet.Status{}, errors.New("no replica answers")
		}
		return statuses[polls-1], nil
	})
	assert.Equal(t, len(statuses), polls)
	assert.NotNil(t, w.await().MaxSeconds)

	late := newSuspicionWatch([]string{"m1", "m2"}, time.Now().Add(-2*waitTimeout), waitTimeout)
	late.follow(context.Background(), func() (fleet.Status, error) { return statuses[3], nil })
	assert.Equal(t, &Notice{Members: 2, BoundSeconds: waitTimeout.Seconds()}, late.await())
}

func TestAllUnsuspectedRejectsUnknownAndSuspectedMembers(t *testing.T) {
	assert.True(t, allUnsuspected(logState("other"), []string{"m1", "m2"}))
	assert.False(t, allUnsuspected(logState("m2"), []string{"m1", "m2"}))
	assert.False(t, allUnsuspected(logState(), []string{"m1", "m9"}))
}

func TestWithNoticeAddsMissingFaultsOnce(t *testing.T) {
	assert.Equal(t, []string{"dead", "stop"}, WithNotice(nil))
	given := []string{"stop", "zone"}
	assert.Equal(t, []string{"stop", "zone", "dead"}, WithNotice(given))
	assert.Equal(t, []string{"stop", "zone"}, given)
	for _, name := range WithNotice(nil) {
		assert.Contains(t, FaultNames(), name)
		assert.NotEmpty(t, noticeQuantities[name])
	}
}

// The members of a killed host are suspected, and rejoin after its restart. The test has no bound on the time;
// 'gatewayctl scale --notice' measures the time to notice.
func TestMembersOfKilledHostAreSuspected(t *testing.T) {
	t.Setenv(hostModeVariable, "1")
	o := testOptions(t)
	o.Members, o.Engines, o.Real, o.PerHost, o.Seconds, o.StartPace = 20, 5, 0, 6, 1, 0
	o.Changes, o.PrimaryChanges, o.NoticeWithin = 0, 0, waitTimeout
	o.Faults, o.HostCommand = []string{"dead"}, []string{os.Args[0]}
	r, err := Run(context.Background(), o)
	require.NoError(t, err, "seed %d", o.Seed)
	require.Len(t, r.Faults, 1)
	found := r.Faults[0]
	require.NotNil(t, found.Notice, "seed %d", o.Seed)
	assert.Equal(t, found.Members, found.Notice.Members)
	assert.Equal(t, found.Members, found.Notice.Suspected, "seed %d: all members of the killed host must be suspected",
		o.Seed)
	require.NotNil(t, found.Notice.MaxSeconds)
	assert.Positive(t, *found.Notice.MaxSeconds)
	assert.Len(t, noticeSamples("notice_dead_max_seconds", found), 1)
	assert.False(t, found.DrainLost, "seed %d: a drain must reach all members after the host restarts", o.Seed)
}
