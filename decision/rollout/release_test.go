package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// bed is a fleet of well-behaved members in three rooms, on one clock.
type bed struct {
	t   *testing.T
	m   *StateMachine
	now time.Duration
	n   int
}

func newBed(t *testing.T, n int, change func(*Settings)) *bed {
	set := Defaults()
	set.FrontEnds, set.Rollback, set.Analyzer.MinRequests = Budget{Max: 2, ZoneMax: 1}, Budget{Max: 3}, 0
	if change != nil {
		change(&set)
	}
	m, err := New(set)
	require.NoError(t, err)
	b := &bed{t: t, m: m, now: time.Hour, n: n}
	for i := range n {
		require.Nil(t, b.say(i, 1, 1, "old", Serving).Rejected)
	}
	return b
}

func (b *bed) do(c Command) Result {
	c.At = b.now
	return b.m.Apply(c)
}

func (b *bed) after(d time.Duration) Result {
	b.now += d
	return b.do(Command{Tick: &struct{}{}})
}

func (b *bed) say(i int, inc, seq uint64, rev string, p Phase) Result {
	return b.do(Command{ReportStatus: &ReportStatus{Name: fmt.Sprint("n", i), Zone: testRooms[i%3], Weight: 10, Incarnation: inc, StatusSequence: seq, Revision: rev, Phase: p}})
}

// turn lets every holder of a permit go out and come back on the revision that the log names.
func (b *bed) turn() (went []string) {
	for _, n := range b.m.PermitNumbers() {
		p := b.m.Permits[n]
		if p == nil || p.Engine || p.Purpose != Restart {
			continue
		}
		if b.do(Command{ActivatePermit: &PermitReference{p.Subject, p.Incarnation, n}}).Shutdown {
			b.after(time.Second)
			o := b.m.Members[p.Subject]
			i := 0
			_, _ = fmt.Sscanf(p.Subject, "n%d", &i)
			b.say(i, o.Incarnation+1, 1, o.TargetRevision, Serving)
			went = append(went, p.Subject)
		}
	}
	return went
}

func (b *bed) revisions() map[string]int {
	n := map[string]int{}
	for _, o := range b.m.Members {
		n[o.Revision]++
	}
	return n
}

func TestReleaseGoesInWaves(t *testing.T) {
	b := newBed(t, 9, nil)
	r := b.do(Command{ID: "1", RequestedBy: "ann", StartRelease: &StartRelease{Revision: "new", Waves: []float64{0.1, 0.5, 1}, Soak: 10 * time.Second}})
	require.Nil(t, r.Rejected)
	again := b.do(Command{ID: "2", RequestedBy: "bob", StartRelease: &StartRelease{Revision: "newer", Waves: []float64{1}}})
	require.NotNil(t, again.Rejected)
	assert.Equal(t, "release 1 to new, started by ann, is running: one at a time", again.Rejected.Text)

	assert.Len(t, b.turn(), 1, "the canary")
	assert.Empty(t, b.turn(), "it soaks")
	assert.Contains(t, strings.Join(b.m.ReleaseBlockers(), "\n"), "wave 1 soaks for 10s more")
	due, ok := b.m.NextDeadline()
	assert.True(t, ok)
	assert.Equal(t, b.now+10*time.Second, due)
	b.after(10 * time.Second)
	assert.Len(t, b.turn(), 2, "two at once, of two rooms")
	for b.m.Release.Wave < 2 {
		b.turn()
		b.after(5 * time.Second)
	}
	assert.Equal(t, map[string]int{"old": 4, "new": 5}, b.revisions())
	for range 10 {
		b.turn()
		b.after(5 * time.Second)
	}
	assert.Equal(t, Done, b.m.Release.State)
	assert.Equal(t, map[string]int{"new": 9}, b.revisions())

	require.Nil(t, b.do(Command{ID: "3", Rollback: &struct{}{}}).Rejected)
	for range 10 {
		b.turn()
	}
	assert.Equal(t, map[string]int{"old": 9}, b.revisions())
	assert.Equal(t, Done, b.m.Release.State)
}

// A revision that can't start leaves its canary out: the release halts by time, and the way back brings the member home
// although no process of the new revision ever spoke.
func TestWayBackFromARevisionThatCannotStart(t *testing.T) {
	b := newBed(t, 6, nil)
	b.do(Command{StartRelease: &StartRelease{Revision: "broken", Waves: []float64{0.1, 1}}})
	var p *Permit
	for _, p = range b.m.Permits {
	}
	require.NotNil(t, p)
	require.True(t, b.do(Command{ActivatePermit: &PermitReference{p.Subject, 1, p.Number}}).Shutdown)
	assert.Equal(t, "broken", b.m.Members[p.Subject].TargetRevision)
	b.after(b.m.Settings.ReturnTimeout - time.Second)
	assert.Equal(t, Running, b.m.Release.State)
	b.after(2 * time.Second)
	assert.Equal(t, Halting, b.m.Release.State, "nobody has seen it out: it may yet be about to go")
	assert.Contains(t, b.m.Release.HaltCause, p.Subject+" went out and is not back")
	b.do(Command{Rollback: &struct{}{}})
	o := b.m.Members[p.Subject]
	assert.Equal(t, "old", o.TargetRevision)
	assert.NotNil(t, b.m.Permits[p.Number], "it is out until it has said that it serves")
	i := 0
	_, _ = fmt.Sscanf(p.Subject, "n%d", &i)
	b.say(i, 2, 1, "old", Serving)
	assert.Equal(t, Done, b.m.Release.State)
	assert.Empty(t, b.m.Permits)
}

func TestCrashLoopHalts(t *testing.T) {
	b := newBed(t, 6, func(s *Settings) { s.FrontEnds = Budget{Max: 2} })
	b.do(Command{StartRelease: &StartRelease{Revision: "new", Waves: []float64{0.1, 1}, Soak: time.Hour}})
	went := b.turn()
	require.Len(t, went, 1)
	i := 0
	_, _ = fmt.Sscanf(went[0], "n%d", &i)
	for k := range uint64(3) {
		assert.Equal(t, Running, b.m.Release.State)
		b.now += time.Second
		b.say(i, 3+k, 1, "new", Serving)
	}
	assert.Equal(t, Halted, b.m.Release.State)
	assert.Contains(t, b.m.Release.HaltCause, "crashed 3 times")
	require.Nil(t, b.do(Command{RequestedBy: "ann", Resume: &struct{}{}}).Rejected)
	assert.Equal(t, Running, b.m.Release.State, "an operator goes on all the same")
}

// A burst of crashes uses the budget up: the release waits and says why, and is halted where more are out than may be.
func TestCrashesUseTheBudgetUp(t *testing.T) {
	b := newBed(t, 9, nil)
	b.do(Command{StartRelease: &StartRelease{Revision: "new", Waves: []float64{1}}})
	require.Len(t, b.m.Permits, 2)
	for _, n := range b.m.PermitNumbers() {
		b.do(Command{ReturnPermit: &PermitReference{b.m.Permits[n].Subject, 1, n}})
	}
	for n := range b.m.Permits { // what was given again is handed back too, once two others have crashed
		p := b.m.Permits[n]
		for _, o := range b.m.memberNames() {
			if b.m.permitOf(Subject{Name: o}) == nil && b.m.Members[o].isServing() {
				b.do(Command{Suspect: &Suspect{o, 1}})
				break
			}
		}
		r := b.do(Command{ActivatePermit: &PermitReference{p.Subject, 1, n}})
		assert.False(t, r.Shutdown, "others are out")
		if r.Rejected != nil {
			assert.NotEmpty(t, r.Rejected.Error())
		}
		break
	}
	assert.Equal(t, Halted, b.m.Release.State)
	assert.Contains(t, b.m.Release.HaltCause, "3 of 9 front ends are out, and 2 may be")
}

func TestDrainIsRefusedByName(t *testing.T) {
	b := newBed(t, 4, nil)
	for i := range 3 {
		b.do(Command{Engine: &Engine{Name: fmt.Sprint("e", i), Zone: testRooms[i], Cores: 12, Process: 5, Listed: true, Ready: true}})
	}
	b.do(Command{Load: &Load{Engines: 10}})
	require.Nil(t, b.do(Command{ID: "a", RequestedBy: "ann", Drain: &Subject{"e0", true}}).Rejected)
	no := b.do(Command{ID: "b", Drain: &Subject{"e1", true}})
	require.NotNil(t, no.Rejected)
	assert.Equal(t, "e1 may not go out: 1 of 3 (all) are out, and 1 may be: out are e0", no.Rejected.Error())
	assert.Equal(t, no.Rejected.Error(), b.do(Command{ID: "b", Drain: &Subject{"e1", true}}).Rejected.Error(), "a repeat is answered as the first")
	b.do(Command{Undrain: &Subject{"e0", true}})
	b.do(Command{Load: &Load{Engines: 12}})
	no = b.do(Command{Drain: &Subject{"e1", true}})
	assert.Equal(t, "capacity", no.Rejected.Scope)
	assert.Contains(t, no.Rejected.Text, "with one more loss 12 would be left, and 13.2 are needed")
	assert.Equal(t, NotFound, b.do(Command{Drain: &Subject{"e9", true}}).Rejected.Code)
	assert.Equal(t, NotFound, b.do(Command{Drain: &Subject{"n9", false}}).Rejected.Code)
}

func TestEngineIsEmptyWhenAllHaveSaidSo(t *testing.T) {
	b := newBed(t, 3, nil)
	b.do(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	p := b.do(Command{Drain: &Subject{"e0", true}}).Permit
	says := func(i int, inc uint64) { b.do(Command{ReportDrained: &ReportDrained{fmt.Sprint("n", i), inc, p}}) }
	says(0, 1)
	says(1, 1)
	b.do(Command{Suspect: &Suspect{"n2", 1}})
	b.after(time.Hour)
	assert.Zero(t, b.m.Permits[p].DrainedAt, "silence is no proof, however long")
	assert.Equal(t, []string{"n2: not heard of; forget it if it is gone"}, b.m.DrainBlockers(p))
	b.say(2, 2, 1, "old", Serving) // its process was over, and what it had sent may run on for a while
	says(2, 1)
	assert.Zero(t, b.m.Permits[p].DrainedAt)
	says(2, 2)
	assert.Zero(t, b.m.Permits[p].DrainedAt)
	due, ok := b.m.NextDeadline()
	require.True(t, ok)
	b.after(due - b.now)
	assert.Equal(t, b.now, b.m.Permits[p].DrainedAt)
	b.do(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	assert.NotNil(t, b.m.Permits[p], "a list that is behind")
	b.do(Command{Engine: &Engine{Name: "e0", Listed: false, Process: 5}})
	b.do(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 6, Listed: true, Ready: true}})
	assert.Nil(t, b.m.Permits[p])
}

// An operator's drain of a front end holds through a crash, and ends with the member's own word.
func TestFrontEndDrainHolds(t *testing.T) {
	b := newBed(t, 3, nil)
	p := b.do(Command{ID: "a", RequestedBy: "ann", Drain: &Subject{Name: "n1"}}).Permit
	require.True(t, b.do(Command{ActivatePermit: &PermitReference{"n1", 1, p}}).Shutdown)
	b.say(1, 1, 2, "old", Draining)
	b.say(1, 2, 1, "old", Serving)
	require.NotNil(t, b.m.Permits[p])
	require.True(t, b.do(Command{ActivatePermit: &PermitReference{"n1", 2, p}}).Shutdown)
	b.say(1, 2, 2, "old", Draining)
	assert.Equal(t, FailedPrecondition, b.do(Command{ReturnPermit: &PermitReference{"n1", 2, p}}).Rejected.Code)
	b.do(Command{RequestedBy: "ann", Undrain: &Subject{Name: "n1"}})
	assert.False(t, b.do(Command{ActivatePermit: &PermitReference{"n1", 2, p}}).Shutdown)
	b.say(1, 2, 3, "old", Serving)
	require.Nil(t, b.do(Command{ReturnPermit: &PermitReference{"n1", 2, p}}).Rejected)
	assert.Empty(t, b.m.Permits)
	assert.Equal(t, []string{"drain front end n1", "undrain front end n1"}, []string{b.m.Audit[0].Action, b.m.Audit[1].Action})
}

func TestBadValuesChangeNothing(t *testing.T) {
	b := newBed(t, 2, nil)
	for field, c := range map[string]Command{
		"weight":        {ReportStatus: &ReportStatus{Name: "n9", Incarnation: 1, StatusSequence: 1, Phase: Serving, Weight: -1}},
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
		r := b.do(c)
		if assert.NotNil(t, r.Rejected, field) {
			assert.Contains(t, r.Rejected.Text, field)
		}
	}
	assert.Len(t, b.m.Members, 2)
	assert.Nil(t, b.m.Release)
}

func TestRestoreRefusesALaterVersion(t *testing.T) {
	b := newBed(t, 2, nil)
	text, err := b.m.Snapshot()
	require.NoError(t, err)
	later := strings.Replace(string(text), `"version":1`, `"version":2`, 1)
	err = b.m.Restore([]byte(later))
	assert.True(t, errors.Is(err, errLaterVersion), err)
	assert.ErrorContains(t, err, "2, and this program knows 1")
	assert.Error(t, b.m.Restore([]byte(`{"version":1,"odd":3}`)))
	assert.Error(t, b.m.Restore(text[:len(text)/2]))
	assert.Len(t, b.m.Members, 2, "the machine is as it was")
	var c Command
	require.NoError(t, json.Unmarshal([]byte(`{"id":"x","tick":{}}`), &c))
	assert.NotNil(t, c.Tick)
}

// judgeDay plays a release of 60 members in minutes of 10 s windows: failures at a base rate, in bursts that hit
// requests of both revisions alike (an engine fails for some seconds), and of the new revision at factor times the rate.
func judgeDay(rng *rand.Rand, b *bed, factor func(window int) float64, windows int) (halted int) {
	for w := range windows {
		h := &Health{Release: b.m.Release.Number, Window: uint64(w + 1)}
		for _, room := range testRooms {
			// The canary and two waves: a part of the room's traffic is on the new revision.
			share := []float64{0.05, 0.3, 0.6}[min(2, b.m.Release.Wave)]
			c := ZoneCounts{Zone: room}
			base := 0.005
			if rng.IntN(10) == 0 {
				base = 0.1 // a bad engine, for this window
			}
			for range 2000 {
				k, f := &c.Old, base
				if rng.Float64() < share {
					k, f = &c.New, base*factor(w)
				}
				k.Requests++
				if rng.Float64() < f {
					k.Failed++
				} else if rng.Float64() < 0.02 {
					k.Slow++
				}
			}
			h.Zones = append(h.Zones, c)
		}
		b.now += 10 * time.Second
		b.do(Command{Health: h})
		if s := b.m.Release.State; s == Halting || s == Halted {
			return w + 1
		}
		if b.turn(); b.m.Release.State == Done {
			return 0
		}
	}
	return 0
}

func judgeBed(t *testing.T) *bed {
	b := newBed(t, 12, func(s *Settings) { s.FrontEnds, s.Analyzer.MinRequests = Budget{Max: 6}, 200 })
	b.do(Command{StartRelease: &StartRelease{Revision: "new", Waves: []float64{0.05, 0.4, 1}, Soak: 60 * time.Second}})
	b.turn()
	return b
}

// A healthy release is halted with the stated chance at most; the counts are of releases of 30 windows at most.
func TestFalseHaltsAreRare(t *testing.T) {
	releases := 1000
	if raceDetector {
		releases = 60
	}
	rng := rand.New(rand.NewPCG(11, 1))
	halts := 0
	for range releases {
		b := judgeBed(t)
		if judgeDay(rng, b, func(int) float64 { return 1 }, 30) > 0 {
			halts++
			t.Log(b.m.Release.HaltCause)
		}
	}
	t.Logf("%d of %d healthy releases were halted", halts, releases)
	assert.LessOrEqual(t, float64(halts), Defaults().Analyzer.Alpha*float64(releases))
}

func TestBadRevisionIsHaltedAtTheCanary(t *testing.T) {
	for name, c := range map[string]struct {
		factor func(int) float64
		most   int // windows until the halt
	}{
		"one query in five fails": {func(int) float64 { return 40 }, 2},
		"fine for half a minute":  {func(w int) float64 { return map[bool]float64{true: 1, false: 40}[w < 3] }, 6},
		"four times worse":        {func(int) float64 { return 4 }, 40},
	} {
		worst := 0
		for seed := range uint64(20) {
			b := judgeBed(t)
			at := judgeDay(rand.New(rand.NewPCG(seed, 5)), b, c.factor, 60)
			require.Positive(t, at, "%s, seed %d: not halted", name, seed)
			worst = max(worst, at)
			if c.most < 10 {
				assert.LessOrEqual(t, b.revisions()["new"], 1, "%s, seed %d: only the canary met it", name, seed)
			}
			assert.Contains(t, b.m.Release.HaltCause, "failures on new")
		}
		t.Logf("%s: halted after %d windows at the latest", name, worst)
		assert.LessOrEqual(t, worst, c.most, name)
	}
}

func TestPlanTouchesNothing(t *testing.T) {
	b := newBed(t, 9, nil)
	was, _ := b.m.Snapshot()
	waves, err := b.m.Plan(StartRelease{Revision: "new", Waves: []float64{0.1, 1}, Soak: time.Minute})
	require.NoError(t, err)
	require.Len(t, waves, 2)
	assert.Len(t, waves[0].Members, 1)
	assert.Len(t, waves[1].Members, 8)
	assert.Equal(t, 4*time.Minute+time.Minute, waves[1].MaxDuration)
	_, err = b.m.Plan(StartRelease{Revision: "new"})
	assert.ErrorContains(t, err, "waves")
	now, _ := b.m.Snapshot()
	assert.Equal(t, string(was), string(now))
	lines := b.m.Budgets()
	assert.Equal(t, BudgetStatus{Subjects: "front ends", Scope: "all", Total: 9, Limit: 2, Unavailable: []string{}}, lines[0])
}

// A process that is new learns of the drains with the answer to its first word, and is waited for from then on. Without that it
// sent to an engine that all others, and its own last process, had said to be empty.
func TestANewProcessLearnsOfDrains(t *testing.T) {
	b := newBed(t, 2, nil)
	b.do(Command{Engine: &Engine{Name: "e0", Zone: "room-a", Cores: 12, Process: 5, Listed: true, Ready: true}})
	p := b.do(Command{Drain: &Subject{"e0", true}}).Permit
	b.do(Command{ReportDrained: &ReportDrained{"n0", 1, p}})
	r := b.say(1, 2, 1, "old", Starting)
	assert.Equal(t, []string{"e0"}, r.Drained)
	assert.Equal(t, b.m.Applied, r.Applied)
	b.do(Command{ReportDrained: &ReportDrained{"n1", 1, p}})
	b.after(time.Hour)
	assert.Zero(t, b.m.Permits[p].DrainedAt, "the word of its last process does not count")
	b.do(Command{ReportDrained: &ReportDrained{"n1", 2, p}})
	assert.NotZero(t, b.m.Permits[p].DrainedAt)
}

// One that is told to go and does not hear it asks again: in the meantime two others may have gone without being asked. Drill rollout, seed
// 2008, let a third one out on the old answer.
func TestAnAnswerThatWasLostIsNoPermissionForGood(t *testing.T) {
	b := newBed(t, 6, nil)
	p := b.do(Command{Drain: &Subject{Name: "n0"}}).Permit
	require.NotZero(t, p)
	begin := Command{ActivatePermit: &PermitReference{"n0", 1, p}}
	require.True(t, b.do(begin).Shutdown)
	require.True(t, b.do(begin).Shutdown, "nothing has changed: the answer was lost")
	for _, name := range []string{"n1", "n2"} {
		require.Nil(t, b.do(Command{Suspect: &Suspect{Name: name, Incarnation: 1}}).Rejected)
	}
	r := b.do(begin)
	require.NotNil(t, r.Rejected)
	assert.False(t, r.Shutdown)
	assert.Equal(t, []string{"n1", "n2"}, r.Rejected.Unavailable)
	require.NotNil(t, b.m.Permits[p], "it may have gone for all that is known: it counts as out until it says that it stays")
	require.Nil(t, b.do(Command{ReturnPermit: &PermitReference{"n0", 1, p}}).Rejected)
	assert.Nil(t, b.m.Permits[p])
}
