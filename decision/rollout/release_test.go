package rollout

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testFleet is a fleet of correct members in three zones, on one clock.
type testFleet struct {
	t       *testing.T
	machine *StateMachine
	now     time.Duration
	n       int
}

func newTestFleet(t *testing.T, n int, change func(*Settings)) *testFleet {
	t.Helper()
	settings := Defaults()
	settings.FrontEnds, settings.Rollback, settings.Analyzer.MinRequests = Budget{Max: 2, ZoneMax: 1}, Budget{Max: 3}, 0
	if change != nil {
		change(&settings)
	}
	m, err := New(settings)
	require.NoError(t, err)
	f := &testFleet{t: t, machine: m, now: time.Hour, n: n}
	for i := range n {
		require.Nil(t, f.report(i, 1, 1, "old", Serving).Rejected)
	}
	return f
}

func (f *testFleet) apply(command Command) Result {
	command.At = f.now
	return f.machine.Apply(command)
}

func (f *testFleet) wait(duration time.Duration) {
	f.now += duration
	f.apply(Command{Tick: &struct{}{}})
}

func (f *testFleet) report(i int, incarnation, sequence uint64, revision string, phase Phase) Result {
	return f.apply(Command{ReportStatus: &ReportStatus{
		Name: fmt.Sprint("n", i), Zone: testZones[i%3], Weight: 10,
		Incarnation: incarnation, StatusSequence: sequence, Revision: revision, Phase: phase,
	}})
}

// restartAll restarts every member that holds a permit of a release on its target revision.
func (f *testFleet) restartAll() (restarted []string) {
	for _, number := range f.machine.PermitNumbers() {
		permit := f.machine.Permits[number]
		if permit == nil || permit.Engine || permit.Purpose != Restart {
			continue
		}
		if f.apply(Command{ActivatePermit: &PermitReference{permit.Subject, permit.Incarnation, number}}).Shutdown {
			f.wait(time.Second)
			member := f.machine.Members[permit.Subject]
			index := 0
			_, _ = fmt.Sscanf(permit.Subject, "n%d", &index)
			f.report(index, member.Incarnation+1, 1, member.TargetRevision, Serving)
			restarted = append(restarted, permit.Subject)
		}
	}
	return restarted
}

func (f *testFleet) revisions() map[string]int {
	counts := map[string]int{}
	for _, member := range f.machine.Members {
		counts[member.Revision]++
	}
	return counts
}

func TestReleaseProceedsInWaves(t *testing.T) {
	f := newTestFleet(t, 9, nil)
	started := f.apply(Command{ID: "1", RequestedBy: "ann", StartRelease: &StartRelease{
		Revision: "new", Waves: []float64{0.1, 0.5, 1}, Soak: 10 * time.Second,
	}})
	require.Nil(t, started.Rejected)
	second := f.apply(Command{ID: "2", RequestedBy: "bob", StartRelease: &StartRelease{
		Revision: "newer", Waves: []float64{1},
	}})
	require.NotNil(t, second.Rejected)
	assert.Equal(t, "release 1 to new, started by ann, is running: one at a time", second.Rejected.Text)

	assert.Len(t, f.restartAll(), 1, "the canary")
	assert.Empty(t, f.restartAll(), "the first wave soaks")
	assert.Contains(t, strings.Join(f.machine.ReleaseBlockers(), "\n"), "wave 1 soaks for 10s more")
	deadline, ok := f.machine.NextDeadline()
	assert.True(t, ok)
	assert.Equal(t, f.now+10*time.Second, deadline)
	f.wait(10 * time.Second)
	assert.Len(t, f.restartAll(), 2, "two at once, in different zones")
	for f.machine.Release.Wave < 2 {
		f.restartAll()
		f.wait(5 * time.Second)
	}
	assert.Equal(t, map[string]int{"old": 4, "new": 5}, f.revisions())
	for range 10 {
		f.restartAll()
		f.wait(5 * time.Second)
	}
	assert.Equal(t, Done, f.machine.Release.State)
	assert.Equal(t, map[string]int{"new": 9}, f.revisions())

	require.Nil(t, f.apply(Command{ID: "3", Rollback: &struct{}{}}).Rejected)
	for range 10 {
		f.restartAll()
	}
	assert.Equal(t, map[string]int{"old": 9}, f.revisions())
	assert.Equal(t, Done, f.machine.Release.State)
}

// A canary whose new revision can't start does not return. The release halts after ReturnTimeout, and a rollback
// restarts the member on the previous revision, although no process of the new revision has ever reported.
func TestRollbackFromARevisionThatCannotStart(t *testing.T) {
	f := newTestFleet(t, 6, nil)
	f.apply(Command{StartRelease: &StartRelease{Revision: "broken", Waves: []float64{0.1, 1}}})
	var permit *Permit
	for _, permit = range f.machine.Permits {
	}
	require.NotNil(t, permit)
	require.True(t, f.apply(Command{ActivatePermit: &PermitReference{permit.Subject, 1, permit.Number}}).Shutdown)
	assert.Equal(t, "broken", f.machine.Members[permit.Subject].TargetRevision)
	f.wait(f.machine.Settings.ReturnTimeout - time.Second)
	assert.Equal(t, Running, f.machine.Release.State)
	f.wait(2 * time.Second)
	assert.Equal(t, Halting, f.machine.Release.State, "the canary can still shut down: it has not reported its drain")
	assert.Contains(t, f.machine.Release.HaltCause, permit.Subject+" went out and is not back")
	f.apply(Command{Rollback: &struct{}{}})
	member := f.machine.Members[permit.Subject]
	assert.Equal(t, "old", member.TargetRevision)
	assert.NotNil(t, f.machine.Permits[permit.Number], "the canary is unavailable until it reports that it serves")
	index := 0
	_, _ = fmt.Sscanf(permit.Subject, "n%d", &index)
	f.report(index, 2, 1, "old", Serving)
	assert.Equal(t, Done, f.machine.Release.State)
	assert.Empty(t, f.machine.Permits)
}

func TestCrashLoopHalts(t *testing.T) {
	f := newTestFleet(t, 6, func(s *Settings) { s.FrontEnds = Budget{Max: 2} })
	f.apply(Command{StartRelease: &StartRelease{Revision: "new", Waves: []float64{0.1, 1}, Soak: time.Hour}})
	restarted := f.restartAll()
	require.Len(t, restarted, 1)
	index := 0
	_, _ = fmt.Sscanf(restarted[0], "n%d", &index)
	for crash := range uint64(3) {
		assert.Equal(t, Running, f.machine.Release.State)
		f.now += time.Second
		f.report(index, 3+crash, 1, "new", Serving)
	}
	assert.Equal(t, Halted, f.machine.Release.State)
	assert.Contains(t, f.machine.Release.HaltCause, "crashed 3 times")
	require.Nil(t, f.apply(Command{RequestedBy: "ann", Resume: &struct{}{}}).Rejected)
	assert.Equal(t, Running, f.machine.Release.State, "an operator resumes the release in spite of the crashes")
}

// Crashes use the budget up: an activation is then rejected, and the release halts once more members are unavailable
// than the budget allows.
func TestCrashesUseTheBudget(t *testing.T) {
	f := newTestFleet(t, 9, nil)
	f.apply(Command{StartRelease: &StartRelease{Revision: "new", Waves: []float64{1}}})
	require.Len(t, f.machine.Permits, 2)
	for _, number := range f.machine.PermitNumbers() {
		f.apply(Command{ReturnPermit: &PermitReference{f.machine.Permits[number].Subject, 1, number}})
	}
	for number := range f.machine.Permits { // a permit granted anew: another member is suspected before its activation
		permit := f.machine.Permits[number]
		for _, name := range f.machine.memberNames() {
			if f.machine.permitOf(Subject{Name: name}) == nil && f.machine.Members[name].isServing() {
				f.apply(Command{Suspect: &Suspect{name, 1}})
				break
			}
		}
		result := f.apply(Command{ActivatePermit: &PermitReference{permit.Subject, 1, number}})
		assert.False(t, result.Shutdown, "other members use up the budget")
		if result.Rejected != nil {
			assert.NotEmpty(t, result.Rejected.Error())
		}
		break
	}
	assert.Equal(t, Halted, f.machine.Release.State)
	assert.Contains(t, f.machine.Release.HaltCause, "3 of 9 front ends are out, and 2 may be")
}

func TestRejectedDrainNamesUnavailableEngines(t *testing.T) {
	f := newTestFleet(t, 4, nil)
	for i := range 3 {
		f.apply(Command{Engine: &Engine{
			Name: fmt.Sprint("e", i), Zone: testZones[i], Cores: 12, Process: 5, Listed: true, Ready: true,
		}})
	}
	f.apply(Command{Load: &Load{Engines: 10}})
	require.Nil(t, f.apply(Command{ID: "a", RequestedBy: "ann", Drain: &Subject{"e0", true}}).Rejected)
	result := f.apply(Command{ID: "b", Drain: &Subject{"e1", true}})
	require.NotNil(t, result.Rejected)
	assert.Equal(t, "e1 may not go out: 1 of 3 (all) are out, and 1 may be: out are e0", result.Rejected.Error())
	repeated := f.apply(Command{ID: "b", Drain: &Subject{"e1", true}})
	assert.Equal(t, result.Rejected.Error(), repeated.Rejected.Error(), "a repeat gets the first result")
	f.apply(Command{Undrain: &Subject{"e0", true}})
	f.apply(Command{Load: &Load{Engines: 12}})
	result = f.apply(Command{Drain: &Subject{"e1", true}})
	assert.Equal(t, "capacity", result.Rejected.Scope)
	assert.Contains(t, result.Rejected.Text, "with one more loss 12 would be left, and 13.2 are needed")
	assert.Equal(t, NotFound, f.apply(Command{Drain: &Subject{"e9", true}}).Rejected.Code)
	assert.Equal(t, NotFound, f.apply(Command{Drain: &Subject{"n9", false}}).Rejected.Code)
}

func TestEngineIsDrainedWhenAllHaveReported(t *testing.T) {
	f := newTestFleet(t, 3, nil)
	f.apply(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	permit := f.apply(Command{Drain: &Subject{"e0", true}}).Permit
	reportDrained := func(i int, incarnation uint64) {
		f.apply(Command{ReportDrained: &ReportDrained{fmt.Sprint("n", i), incarnation, permit}})
	}
	reportDrained(0, 1)
	reportDrained(1, 1)
	f.apply(Command{Suspect: &Suspect{"n2", 1}})
	f.wait(time.Hour)
	assert.Zero(t, f.machine.Permits[permit].DrainedAt, "a drain waits for a suspected front end without limit")
	assert.Equal(t, []string{"n2: not heard of; forget it if it is gone"}, f.machine.DrainBlockers(permit))
	f.report(2, 2, 1, "old", Serving) // the earlier process has ended, and its queries may still run
	reportDrained(2, 1)
	assert.Zero(t, f.machine.Permits[permit].DrainedAt)
	reportDrained(2, 2)
	assert.Zero(t, f.machine.Permits[permit].DrainedAt)
	deadline, ok := f.machine.NextDeadline()
	require.True(t, ok)
	f.wait(deadline - f.now)
	assert.Equal(t, f.now, f.machine.Permits[permit].DrainedAt)
	f.apply(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	assert.NotNil(t, f.machine.Permits[permit], "an outdated list does not end the drain")
	f.apply(Command{Engine: &Engine{Name: "e0", Listed: false, Process: 5}})
	f.apply(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 6, Listed: true, Ready: true}})
	assert.Nil(t, f.machine.Permits[permit])
}

// An operator's drain of a front end stays in force across a restart, and after an undrain ends when the member returns
// the permit.
func TestFrontEndDrainSurvivesARestart(t *testing.T) {
	f := newTestFleet(t, 3, nil)
	permit := f.apply(Command{ID: "a", RequestedBy: "ann", Drain: &Subject{Name: "n1"}}).Permit
	require.True(t, f.apply(Command{ActivatePermit: &PermitReference{"n1", 1, permit}}).Shutdown)
	f.report(1, 1, 2, "old", Draining)
	f.report(1, 2, 1, "old", Serving)
	require.NotNil(t, f.machine.Permits[permit])
	require.True(t, f.apply(Command{ActivatePermit: &PermitReference{"n1", 2, permit}}).Shutdown)
	f.report(1, 2, 2, "old", Draining)
	assert.Equal(t, FailedPrecondition, f.apply(Command{ReturnPermit: &PermitReference{"n1", 2, permit}}).Rejected.Code)
	f.apply(Command{RequestedBy: "ann", Undrain: &Subject{Name: "n1"}})
	assert.False(t, f.apply(Command{ActivatePermit: &PermitReference{"n1", 2, permit}}).Shutdown)
	f.report(1, 2, 3, "old", Serving)
	require.Nil(t, f.apply(Command{ReturnPermit: &PermitReference{"n1", 2, permit}}).Rejected)
	assert.Empty(t, f.machine.Permits)
	assert.Equal(t, "drain front end n1", f.machine.Audit[0].Action)
	assert.Equal(t, "undrain front end n1", f.machine.Audit[1].Action)
}

func TestInvalidArgumentsChangeNothing(t *testing.T) {
	f := newTestFleet(t, 2, nil)
	for field, command := range map[string]Command{
		"weight": {ReportStatus: &ReportStatus{
			Name: "n9", Incarnation: 1, StatusSequence: 1, Phase: Serving, Weight: -1,
		}},
		"phase":         {ReportStatus: &ReportStatus{Name: "n9", Incarnation: 1, StatusSequence: 1, Phase: "odd"}},
		"incarnation":   {ReportStatus: &ReportStatus{Name: "n9", Phase: Serving}},
		"revision":      {StartRelease: &StartRelease{Revision: "../x", Waves: []float64{1}}},
		"waves":         {StartRelease: &StartRelease{Revision: "x", Waves: []float64{0.5, 0.2, 1}}},
		"must be 1":     {StartRelease: &StartRelease{Revision: "x", Waves: []float64{0.5}}},
		"soak":          {StartRelease: &StartRelease{Revision: "x", Waves: []float64{1}, Soak: -1}},
		"front_ends":    {Configure: &Settings{}},
		"under way":     {Halt: &Halt{"x"}},
		"is halted":     {Resume: &struct{}{}},
		"take back":     {Rollback: &struct{}{}},
		"cores":         {Engine: &Engine{Name: "e", Cores: -1}},
		"serves on old": {StartRelease: &StartRelease{Revision: "old", Waves: []float64{1}}},
	} {
		result := f.apply(command)
		if assert.NotNil(t, result.Rejected, field) {
			assert.Contains(t, result.Rejected.Text, field)
		}
	}
	assert.Len(t, f.machine.Members, 2)
	assert.Nil(t, f.machine.Release)
}

func TestRestoreRejectsALaterVersion(t *testing.T) {
	f := newTestFleet(t, 2, nil)
	text, err := f.machine.Snapshot()
	require.NoError(t, err)
	later := strings.Replace(string(text), `"version":1`, `"version":2`, 1)
	err = f.machine.Restore([]byte(later))
	require.ErrorIs(t, err, errLaterVersion)
	require.ErrorContains(t, err, "found 2, must be at most 1")
	require.Error(t, f.machine.Restore([]byte(`{"version":1,"odd":3}`)))
	require.Error(t, f.machine.Restore(text[:len(text)/2]))
	assert.Len(t, f.machine.Members, 2, "the state is unchanged")
	var command Command
	require.NoError(t, json.Unmarshal([]byte(`{"id":"x","tick":{}}`), &command))
	assert.NotNil(t, command.Tick)
}

func TestPlanChangesNothing(t *testing.T) {
	f := newTestFleet(t, 9, nil)
	before, _ := f.machine.Snapshot()
	waves, err := f.machine.Plan(StartRelease{Revision: "new", Waves: []float64{0.1, 1}, Soak: time.Minute})
	require.NoError(t, err)
	require.Len(t, waves, 2)
	assert.Len(t, waves[0].Members, 1)
	assert.Len(t, waves[1].Members, 8)
	assert.Equal(t, 4*time.Minute+time.Minute, waves[1].MaxDuration)
	_, err = f.machine.Plan(StartRelease{Revision: "new"})
	require.ErrorContains(t, err, "waves")
	after, _ := f.machine.Snapshot()
	assert.Equal(t, string(before), string(after))
	statuses := f.machine.Budgets()
	want := BudgetStatus{Subjects: "front ends", Scope: "all", Total: 9, Limit: 2, Unavailable: []string{}}
	assert.Equal(t, want, statuses[0])
}

// A new process receives the drained engines with the result of its first report, and each drain waits for its report
// from then on. Otherwise it would send queries to an engine that the other front ends and its previous process had
// reported as drained.
func TestNewProcessLearnsOfDrains(t *testing.T) {
	f := newTestFleet(t, 2, nil)
	f.apply(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	permit := f.apply(Command{Drain: &Subject{"e0", true}}).Permit
	f.apply(Command{ReportDrained: &ReportDrained{"n0", 1, permit}})
	result := f.report(1, 2, 1, "old", Starting)
	assert.Equal(t, []string{"e0"}, result.Drained)
	assert.Equal(t, f.machine.Applied, result.Applied)
	f.apply(Command{ReportDrained: &ReportDrained{"n1", 1, permit}})
	f.wait(time.Hour)
	assert.Zero(t, f.machine.Permits[permit].DrainedAt, "a drain report of the previous process does not count")
	f.apply(Command{ReportDrained: &ReportDrained{"n1", 2, permit}})
	assert.NotZero(t, f.machine.Permits[permit].DrainedAt)
}

// A member whose answer to an activation was lost asks again. Other members may have become unavailable in the
// meantime, so that a second answer without a check would exceed the budget. Found by fault test rollout, seed 2008.
func TestRepeatedActivationIsCheckedAgain(t *testing.T) {
	f := newTestFleet(t, 6, nil)
	permit := f.apply(Command{Drain: &Subject{Name: "n0"}}).Permit
	require.NotZero(t, permit)
	activation := Command{ActivatePermit: &PermitReference{"n0", 1, permit}}
	require.True(t, f.apply(activation).Shutdown)
	require.True(t, f.apply(activation).Shutdown, "a repeat after a lost answer, with the budget unchanged")
	for _, name := range []string{"n1", "n2"} {
		require.Nil(t, f.apply(Command{Suspect: &Suspect{Name: name, Incarnation: 1}}).Rejected)
	}
	result := f.apply(activation)
	require.NotNil(t, result.Rejected)
	assert.False(t, result.Shutdown)
	assert.Equal(t, []string{"n1", "n2"}, result.Rejected.Unavailable)
	require.NotNil(t, f.machine.Permits[permit],
		"the member may have shut down, and stays unavailable until it returns the permit")
	require.Nil(t, f.apply(Command{ReturnPermit: &PermitReference{"n0", 1, permit}}).Rejected)
	assert.Nil(t, f.machine.Permits[permit])
}
