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

// testFleet is a fleet of well-behaved members in three zones, on one clock.
type testFleet struct {
	t       *testing.T
	machine *StateMachine
	now     time.Duration
	n       int
}

func newTestFleet(t *testing.T, n int, change func(*Settings)) *testFleet {
	t.Helper()
	set := Defaults()
	set.FrontEnds, set.Rollback, set.Analyzer.MinRequests = Budget{Max: 2, ZoneMax: 1}, Budget{Max: 3}, 0
	if change != nil {
		change(&set)
	}
	m, err := New(set)
	require.NoError(t, err)
	f := &testFleet{t: t, machine: m, now: time.Hour, n: n}
	for i := range n {
		require.Nil(t, f.report(i, 1, 1, "old", Serving).Rejected)
	}
	return f
}

func (f *testFleet) apply(c Command) Result {
	c.At = f.now
	return f.machine.Apply(c)
}

func (f *testFleet) wait(d time.Duration) {
	f.now += d
	f.apply(Command{Tick: &struct{}{}})
}

func (f *testFleet) report(i int, inc, seq uint64, rev string, p Phase) Result {
	return f.apply(Command{ReportStatus: &ReportStatus{
		Name: fmt.Sprint("n", i), Zone: testZones[i%3], Weight: 10,
		Incarnation: inc, StatusSequence: seq, Revision: rev, Phase: p,
	}})
}

// restartAll lets every member with a permit restart on its target revision.
func (f *testFleet) restartAll() (restarted []string) {
	for _, n := range f.machine.PermitNumbers() {
		p := f.machine.Permits[n]
		if p == nil || p.Engine || p.Purpose != Restart {
			continue
		}
		if f.apply(Command{ActivatePermit: &PermitReference{p.Subject, p.Incarnation, n}}).Shutdown {
			f.wait(time.Second)
			o := f.machine.Members[p.Subject]
			i := 0
			_, _ = fmt.Sscanf(p.Subject, "n%d", &i)
			f.report(i, o.Incarnation+1, 1, o.TargetRevision, Serving)
			restarted = append(restarted, p.Subject)
		}
	}
	return restarted
}

func (f *testFleet) revisions() map[string]int {
	n := map[string]int{}
	for _, o := range f.machine.Members {
		n[o.Revision]++
	}
	return n
}

func TestReleaseGoesInWaves(t *testing.T) {
	f := newTestFleet(t, 9, nil)
	r := f.apply(Command{ID: "1", RequestedBy: "ann", StartRelease: &StartRelease{
		Revision: "new", Waves: []float64{0.1, 0.5, 1}, Soak: 10 * time.Second,
	}})
	require.Nil(t, r.Rejected)
	again := f.apply(Command{ID: "2", RequestedBy: "bob", StartRelease: &StartRelease{
		Revision: "newer", Waves: []float64{1},
	}})
	require.NotNil(t, again.Rejected)
	assert.Equal(t, "release 1 to new, started by ann, is running: one at a time", again.Rejected.Text)

	assert.Len(t, f.restartAll(), 1, "the canary")
	assert.Empty(t, f.restartAll(), "it soaks")
	assert.Contains(t, strings.Join(f.machine.ReleaseBlockers(), "\n"), "wave 1 soaks for 10s more")
	due, ok := f.machine.NextDeadline()
	assert.True(t, ok)
	assert.Equal(t, f.now+10*time.Second, due)
	f.wait(10 * time.Second)
	assert.Len(t, f.restartAll(), 2, "two at once, of two rooms")
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

// A revision that can't start leaves its canary away: the release halts by time, and the rollback brings the member
// back although no process of the new revision ever spoke.
func TestRollbackFromARevisionThatCannotStart(t *testing.T) {
	f := newTestFleet(t, 6, nil)
	f.apply(Command{StartRelease: &StartRelease{Revision: "broken", Waves: []float64{0.1, 1}}})
	var p *Permit
	for _, p = range f.machine.Permits {
	}
	require.NotNil(t, p)
	require.True(t, f.apply(Command{ActivatePermit: &PermitReference{p.Subject, 1, p.Number}}).Shutdown)
	assert.Equal(t, "broken", f.machine.Members[p.Subject].TargetRevision)
	f.wait(f.machine.Settings.ReturnTimeout - time.Second)
	assert.Equal(t, Running, f.machine.Release.State)
	f.wait(2 * time.Second)
	assert.Equal(t, Halting, f.machine.Release.State, "nobody has seen it out: it may yet be about to go")
	assert.Contains(t, f.machine.Release.HaltCause, p.Subject+" went out and is not back")
	f.apply(Command{Rollback: &struct{}{}})
	o := f.machine.Members[p.Subject]
	assert.Equal(t, "old", o.TargetRevision)
	assert.NotNil(t, f.machine.Permits[p.Number], "it is out until it has said that it serves")
	i := 0
	_, _ = fmt.Sscanf(p.Subject, "n%d", &i)
	f.report(i, 2, 1, "old", Serving)
	assert.Equal(t, Done, f.machine.Release.State)
	assert.Empty(t, f.machine.Permits)
}

func TestCrashLoopHalts(t *testing.T) {
	f := newTestFleet(t, 6, func(s *Settings) { s.FrontEnds = Budget{Max: 2} })
	f.apply(Command{StartRelease: &StartRelease{Revision: "new", Waves: []float64{0.1, 1}, Soak: time.Hour}})
	went := f.restartAll()
	require.Len(t, went, 1)
	i := 0
	_, _ = fmt.Sscanf(went[0], "n%d", &i)
	for k := range uint64(3) {
		assert.Equal(t, Running, f.machine.Release.State)
		f.now += time.Second
		f.report(i, 3+k, 1, "new", Serving)
	}
	assert.Equal(t, Halted, f.machine.Release.State)
	assert.Contains(t, f.machine.Release.HaltCause, "crashed 3 times")
	require.Nil(t, f.apply(Command{RequestedBy: "ann", Resume: &struct{}{}}).Rejected)
	assert.Equal(t, Running, f.machine.Release.State, "an operator goes on all the same")
}

// A burst of crashes uses the budget up: the release waits and says why, and is halted where more are out than may be.
func TestCrashesUseTheBudget(t *testing.T) {
	f := newTestFleet(t, 9, nil)
	f.apply(Command{StartRelease: &StartRelease{Revision: "new", Waves: []float64{1}}})
	require.Len(t, f.machine.Permits, 2)
	for _, n := range f.machine.PermitNumbers() {
		f.apply(Command{ReturnPermit: &PermitReference{f.machine.Permits[n].Subject, 1, n}})
	}
	for n := range f.machine.Permits { // what was given again is handed back too, once two others have crashed
		p := f.machine.Permits[n]
		for _, o := range f.machine.memberNames() {
			if f.machine.permitOf(Subject{Name: o}) == nil && f.machine.Members[o].isServing() {
				f.apply(Command{Suspect: &Suspect{o, 1}})
				break
			}
		}
		r := f.apply(Command{ActivatePermit: &PermitReference{p.Subject, 1, n}})
		assert.False(t, r.Shutdown, "others are out")
		if r.Rejected != nil {
			assert.NotEmpty(t, r.Rejected.Error())
		}
		break
	}
	assert.Equal(t, Halted, f.machine.Release.State)
	assert.Contains(t, f.machine.Release.HaltCause, "3 of 9 front ends are out, and 2 may be")
}

func TestRejectedDrainNamesWhoUsesTheBudget(t *testing.T) {
	f := newTestFleet(t, 4, nil)
	for i := range 3 {
		f.apply(Command{Engine: &Engine{
			Name: fmt.Sprint("e", i), Zone: testZones[i], Cores: 12, Process: 5, Listed: true, Ready: true,
		}})
	}
	f.apply(Command{Load: &Load{Engines: 10}})
	require.Nil(t, f.apply(Command{ID: "a", RequestedBy: "ann", Drain: &Subject{"e0", true}}).Rejected)
	no := f.apply(Command{ID: "b", Drain: &Subject{"e1", true}})
	require.NotNil(t, no.Rejected)
	assert.Equal(t, "e1 may not go out: 1 of 3 (all) are out, and 1 may be: out are e0", no.Rejected.Error())
	repeated := f.apply(Command{ID: "b", Drain: &Subject{"e1", true}})
	assert.Equal(t, no.Rejected.Error(), repeated.Rejected.Error(), "a repeat is answered as the first")
	f.apply(Command{Undrain: &Subject{"e0", true}})
	f.apply(Command{Load: &Load{Engines: 12}})
	no = f.apply(Command{Drain: &Subject{"e1", true}})
	assert.Equal(t, "capacity", no.Rejected.Scope)
	assert.Contains(t, no.Rejected.Text, "with one more loss 12 would be left, and 13.2 are needed")
	assert.Equal(t, NotFound, f.apply(Command{Drain: &Subject{"e9", true}}).Rejected.Code)
	assert.Equal(t, NotFound, f.apply(Command{Drain: &Subject{"n9", false}}).Rejected.Code)
}

func TestEngineIsDrainedWhenAllHaveReported(t *testing.T) {
	f := newTestFleet(t, 3, nil)
	f.apply(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	p := f.apply(Command{Drain: &Subject{"e0", true}}).Permit
	says := func(i int, inc uint64) { f.apply(Command{ReportDrained: &ReportDrained{fmt.Sprint("n", i), inc, p}}) }
	says(0, 1)
	says(1, 1)
	f.apply(Command{Suspect: &Suspect{"n2", 1}})
	f.wait(time.Hour)
	assert.Zero(t, f.machine.Permits[p].DrainedAt, "silence is no proof, however long")
	assert.Equal(t, []string{"n2: not heard of; forget it if it is gone"}, f.machine.DrainBlockers(p))
	f.report(2, 2, 1, "old", Serving) // its process was over, and what it had sent may run on for a while
	says(2, 1)
	assert.Zero(t, f.machine.Permits[p].DrainedAt)
	says(2, 2)
	assert.Zero(t, f.machine.Permits[p].DrainedAt)
	due, ok := f.machine.NextDeadline()
	require.True(t, ok)
	f.wait(due - f.now)
	assert.Equal(t, f.now, f.machine.Permits[p].DrainedAt)
	f.apply(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	assert.NotNil(t, f.machine.Permits[p], "a list that is behind")
	f.apply(Command{Engine: &Engine{Name: "e0", Listed: false, Process: 5}})
	f.apply(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 6, Listed: true, Ready: true}})
	assert.Nil(t, f.machine.Permits[p])
}

// An operator's drain of a front end holds through a crash, and ends with the member's own report.
func TestFrontEndDrainHolds(t *testing.T) {
	f := newTestFleet(t, 3, nil)
	p := f.apply(Command{ID: "a", RequestedBy: "ann", Drain: &Subject{Name: "n1"}}).Permit
	require.True(t, f.apply(Command{ActivatePermit: &PermitReference{"n1", 1, p}}).Shutdown)
	f.report(1, 1, 2, "old", Draining)
	f.report(1, 2, 1, "old", Serving)
	require.NotNil(t, f.machine.Permits[p])
	require.True(t, f.apply(Command{ActivatePermit: &PermitReference{"n1", 2, p}}).Shutdown)
	f.report(1, 2, 2, "old", Draining)
	assert.Equal(t, FailedPrecondition, f.apply(Command{ReturnPermit: &PermitReference{"n1", 2, p}}).Rejected.Code)
	f.apply(Command{RequestedBy: "ann", Undrain: &Subject{Name: "n1"}})
	assert.False(t, f.apply(Command{ActivatePermit: &PermitReference{"n1", 2, p}}).Shutdown)
	f.report(1, 2, 3, "old", Serving)
	require.Nil(t, f.apply(Command{ReturnPermit: &PermitReference{"n1", 2, p}}).Rejected)
	assert.Empty(t, f.machine.Permits)
	assert.Equal(t, "drain front end n1", f.machine.Audit[0].Action)
	assert.Equal(t, "undrain front end n1", f.machine.Audit[1].Action)
}

func TestInvalidArgumentsChangeNothing(t *testing.T) {
	f := newTestFleet(t, 2, nil)
	for field, c := range map[string]Command{
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
		r := f.apply(c)
		if assert.NotNil(t, r.Rejected, field) {
			assert.Contains(t, r.Rejected.Text, field)
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
	require.ErrorContains(t, err, "2, and this program knows 1")
	require.Error(t, f.machine.Restore([]byte(`{"version":1,"odd":3}`)))
	require.Error(t, f.machine.Restore(text[:len(text)/2]))
	assert.Len(t, f.machine.Members, 2, "the machine is as it was")
	var c Command
	require.NoError(t, json.Unmarshal([]byte(`{"id":"x","tick":{}}`), &c))
	assert.NotNil(t, c.Tick)
}

func TestPlanChangesNothing(t *testing.T) {
	f := newTestFleet(t, 9, nil)
	was, _ := f.machine.Snapshot()
	waves, err := f.machine.Plan(StartRelease{Revision: "new", Waves: []float64{0.1, 1}, Soak: time.Minute})
	require.NoError(t, err)
	require.Len(t, waves, 2)
	assert.Len(t, waves[0].Members, 1)
	assert.Len(t, waves[1].Members, 8)
	assert.Equal(t, 4*time.Minute+time.Minute, waves[1].MaxDuration)
	_, err = f.machine.Plan(StartRelease{Revision: "new"})
	require.ErrorContains(t, err, "waves")
	now, _ := f.machine.Snapshot()
	assert.Equal(t, string(was), string(now))
	lines := f.machine.Budgets()
	want := BudgetStatus{Subjects: "front ends", Scope: "all", Total: 9, Limit: 2, Unavailable: []string{}}
	assert.Equal(t, want, lines[0])
}

// A new process learns of the drains with the answer to its first report, and is waited for from then on. Otherwise it
// would send to an engine that all others, and its own last process, had reported as drained.
func TestNewProcessLearnsOfDrains(t *testing.T) {
	f := newTestFleet(t, 2, nil)
	f.apply(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	p := f.apply(Command{Drain: &Subject{"e0", true}}).Permit
	f.apply(Command{ReportDrained: &ReportDrained{"n0", 1, p}})
	r := f.report(1, 2, 1, "old", Starting)
	assert.Equal(t, []string{"e0"}, r.Drained)
	assert.Equal(t, f.machine.Applied, r.Applied)
	f.apply(Command{ReportDrained: &ReportDrained{"n1", 1, p}})
	f.wait(time.Hour)
	assert.Zero(t, f.machine.Permits[p].DrainedAt, "the report of its last process does not count")
	f.apply(Command{ReportDrained: &ReportDrained{"n1", 2, p}})
	assert.NotZero(t, f.machine.Permits[p].DrainedAt)
}

// A member whose answer to an activation was lost asks again: in the meantime two others may have become unavailable.
// Fault test rollout, seed 2008.
func TestRepeatedActivationIsCheckedAgain(t *testing.T) {
	f := newTestFleet(t, 6, nil)
	p := f.apply(Command{Drain: &Subject{Name: "n0"}}).Permit
	require.NotZero(t, p)
	begin := Command{ActivatePermit: &PermitReference{"n0", 1, p}}
	require.True(t, f.apply(begin).Shutdown)
	require.True(t, f.apply(begin).Shutdown, "nothing has changed: the answer was lost")
	for _, name := range []string{"n1", "n2"} {
		require.Nil(t, f.apply(Command{Suspect: &Suspect{Name: name, Incarnation: 1}}).Rejected)
	}
	r := f.apply(begin)
	require.NotNil(t, r.Rejected)
	assert.False(t, r.Shutdown)
	assert.Equal(t, []string{"n1", "n2"}, r.Rejected.Unavailable)
	require.NotNil(t, f.machine.Permits[p], "it may have shut down: it is unavailable until it returns the permit")
	require.Nil(t, f.apply(Command{ReturnPermit: &PermitReference{"n0", 1, p}}).Rejected)
	assert.Nil(t, f.machine.Permits[p])
}
