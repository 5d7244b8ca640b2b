package rollout

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet plays words and wishes at random, true ones and such as no well-behaved front end sends, and holds each step of
// the machine to the invariants, told anew here from the state alone.
type fleet struct {
	m     *StateMachine
	rng   *rand.Rand
	now   time.Duration
	size  int
	known []Command // to be repeated
	inc   map[string]uint64
	seq   map[string]uint64
	ids   int
	done  map[string]int // steps by kind that did something
}

var testRooms = []string{"room-a", "room-b", "room-c"}

func newFleet(t interface{ Fatal(...any) }, rng *rand.Rand, size int) *fleet {
	set := Defaults()
	set.FrontEnds = Budget{MaxShare: 0.2, ZoneMaxShare: 0.25, Headroom: 0.1}
	set.Engines = Budget{Max: 2, ZoneMax: 1}
	set.KeepResults, set.KeepAudit, set.KeepRemoved = 20, 30, 500
	set.Analyzer.MinRequests = 0
	m, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{m: m, rng: rng, now: time.Hour, size: size, inc: map[string]uint64{}, seq: map[string]uint64{}, done: map[string]int{}}
	for i := range size {
		f.step(f.say(f.member(i), 1, 1, Serving))
	}
	for i := range 6 {
		f.step(Command{Engine: &Engine{Name: fmt.Sprint("e", i), Zone: testRooms[i%3], Cores: 12, Process: 1, Listed: true, Ready: true}})
	}
	return f
}

func (f *fleet) member(i int) string { return fmt.Sprint("n", i) }

func (f *fleet) any() string { return f.member(f.rng.IntN(f.size)) }

func (f *fleet) say(name string, inc, seq uint64, p Phase) Command {
	f.inc[name], f.seq[name] = max(f.inc[name], inc), seq
	room := testRooms[int(name[len(name)-1])%3]
	rev := "old"
	if o := f.m.Members[name]; o != nil {
		if rev = o.Revision; inc > o.Incarnation {
			rev = o.TargetRevision
		}
	}
	return Command{ReportStatus: &ReportStatus{Name: name, Zone: room, Weight: 10, Incarnation: inc, StatusSequence: seq, Revision: rev, Phase: p}}
}

// draw is the next command.
func (f *fleet) draw() Command {
	name := f.any()
	o := f.m.Members[name]
	inc, seq := f.inc[name], f.seq[name]+1
	kind := f.rng.IntN(30)
	if kind < 5 && f.rng.IntN(3) > 0 { // most words are of those that are out, and come back
		for range 20 {
			if name = f.any(); f.m.Members[name] == nil || !f.m.Members[name].isServing() {
				break
			}
		}
		kind, inc, seq = 2, f.inc[name], f.seq[name]+1
	}
	switch kind {
	case 0: // a process crashes, and the next one serves
		return f.say(name, inc+1, 1, Serving)
	case 1:
		return f.say(name, inc+1, 1, Starting)
	case 2, 3, 4:
		return f.say(name, inc, seq, Serving)
	case 5: // an older word
		return Command{ReportStatus: &ReportStatus{Name: name, Zone: "room-z", Incarnation: uint64(f.rng.IntN(int(inc) + 1)), StatusSequence: uint64(f.rng.IntN(3)), Revision: "odd", Phase: Serving}}
	case 6:
		if o != nil {
			return Command{Suspect: &Suspect{name, o.Incarnation}}
		}
	case 7, 8, 9, 10: // who holds a permit begins
		if p := f.permit(); p != nil && !p.Engine {
			return Command{ActivatePermit: &PermitReference{p.Subject, f.inc[p.Subject], p.Number}}
		}
	case 11: // on an old permit, or another's
		return Command{ActivatePermit: &PermitReference{name, f.inc[name], uint64(f.rng.IntN(int(f.m.LastPermit) + 2))}}
	case 12: // one that was told to go, as the process before
		if p := f.permit(); p != nil && !p.Engine {
			return Command{ActivatePermit: &PermitReference{p.Subject, f.inc[p.Subject] - 1, p.Number}}
		}
	case 13:
		if p := f.permit(); p != nil && !p.Engine {
			return Command{ReturnPermit: &PermitReference{p.Subject, f.inc[p.Subject], p.Number}}
		}
	case 14, 15, 16: // who was told to go leaves, and comes back
		if p := f.permit(); p != nil && p.ActivatedAt > 0 && !p.Engine {
			if f.rng.IntN(2) == 0 {
				return f.say(p.Subject, f.inc[p.Subject], f.seq[p.Subject]+1, Draining)
			}
			return f.say(p.Subject, f.inc[p.Subject]+1, 1, Serving)
		}
	case 17, 18:
		if p := f.permit(); p != nil && p.Engine {
			return Command{ReportDrained: &ReportDrained{name, f.inc[name] - uint64(f.rng.IntN(8)/7), p.Number}}
		}
	case 19:
		e := fmt.Sprint("e", f.rng.IntN(6))
		if g := f.m.Engines[e]; g != nil {
			c := *g
			c.Process += uint64(f.rng.IntN(3)) - 1
			c.Listed, c.Ready = f.rng.IntN(4) > 0, f.rng.IntN(4) > 0
			return Command{Engine: &c}
		}
		return Command{Engine: &Engine{Name: e, Zone: testRooms[int(e[1])%3], Cores: 12, Process: 1, Listed: true, Ready: true}}
	case 20:
		return f.operator(Command{Drain: &Subject{fmt.Sprint("e", f.rng.IntN(6)), true}})
	case 21:
		if f.rng.IntN(4) == 0 {
			return f.operator(Command{Undrain: &Subject{fmt.Sprint("e", f.rng.IntN(6)), true}})
		}
		return f.operator(Command{Drain: &Subject{Name: name}})
	case 22:
		if p := f.permit(); p != nil {
			return f.operator(Command{Undrain: &Subject{p.Subject, p.Engine}})
		}
	case 23:
		if f.rng.IntN(10) == 0 {
			return f.operator(Command{RemoveMember: &Subject{name, false}})
		}
		return Command{Load: &Load{FrontEnds: float64(f.rng.IntN(10 * f.size)), Engines: 0}}
	case 24:
		return f.operator(Command{StartRelease: &StartRelease{Revision: fmt.Sprint("r", f.rng.IntN(100)), Waves: []float64{0.1, 0.5, 1}, Soak: time.Second}})
	case 25:
		switch f.rng.IntN(6) {
		case 0:
			return f.operator(Command{Halt: &Halt{"a test"}})
		case 1:
			return f.operator(Command{Rollback: &struct{}{}})
		}
		return f.operator(Command{Resume: &struct{}{}})
	case 26:
		if r := f.m.Release; r != nil {
			return Command{Health: &Health{Release: r.Number, Window: r.Window + uint64(f.rng.IntN(2)), Zones: []ZoneCounts{{"room-a", RequestCounts{Requests: 50}, RequestCounts{Requests: 50}}}}}
		}
	case 27: // heard a second time, and late
		if len(f.known) > 0 {
			return f.known[f.rng.IntN(len(f.known))]
		}
	}
	return Command{Tick: &struct{}{}}
}

func (f *fleet) operator(c Command) Command {
	f.ids++
	c.ID, c.RequestedBy = fmt.Sprint("op", f.ids), "a test"
	return c
}

// permit is any permit that stands.
func (f *fleet) permit() *Permit {
	n := f.m.PermitNumbers()
	if len(n) == 0 {
		return nil
	}
	return f.m.Permits[n[f.rng.IntN(len(n))]]
}

// before is what the oracle needs of the state as it was.
type before struct {
	last, release, window uint64
	condition             ReleaseState
	back                  bool
	permits               map[uint64]Permit
	in                    map[string]bool
	word                  map[string][2]uint64
	sample                int64
	answer                *Result
}

func (f *fleet) look(c Command) before {
	b := before{last: f.m.LastPermit, permits: map[uint64]Permit{}, in: map[string]bool{}, word: map[string][2]uint64{}}
	for n, p := range f.m.Permits {
		b.permits[n] = *p
	}
	for n, o := range f.m.Members {
		b.in["front end "+n] = f.in(n)
		b.word[n] = [2]uint64{o.Incarnation, o.StatusSequence}
	}
	for n := range f.m.Engines {
		b.in["engine "+n] = f.engineIn(n)
	}
	if r := f.m.Release; r != nil {
		b.release, b.window, b.condition, b.back, b.sample = r.Number, r.Window, r.State, r.RollingBack, r.New.Requests
	}
	for _, a := range f.m.Results {
		if a.ID == c.ID && c.ID != "" {
			b.answer = &a.Result
		}
	}
	return b
}

func (f *fleet) holds(name string, engine bool) bool {
	for _, p := range f.m.Permits {
		if p.Subject == name && p.Engine == engine {
			return true
		}
	}
	return false
}

func (f *fleet) in(name string) bool {
	o := f.m.Members[name]
	return o.Phase == Serving && !o.Suspected && !f.holds(name, false)
}

func (f *fleet) engineIn(name string) bool {
	e := f.m.Engines[name]
	return e.Listed && e.Ready && !f.holds(name, true)
}

// over tells a budget that is passed in all or in the room, by counting. Crashes may pass that of another room.
func (f *fleet) over(engines, back bool, in string) string {
	b := f.m.Settings.FrontEnds
	n, out, weight, most := map[string]int{}, map[string]int{}, 0.0, 0.0
	count := func(room string, in bool) {
		n[""]++
		n[room]++
		if !in {
			out[""]++
			out[room]++
		}
	}
	if engines {
		b = f.m.Settings.Engines
		for name, e := range f.m.Engines {
			count(e.Zone, f.engineIn(name))
		}
	} else {
		if back {
			b = f.m.Settings.Rollback
		}
		for name, o := range f.m.Members {
			in := f.in(name)
			count(o.Zone, in)
			if in {
				weight, most = weight+o.Weight, max(most, o.Weight)
			}
		}
	}
	for _, scope := range []string{"", in} {
		l := n[scope]
		m, s := b.Max, b.MaxShare
		if scope != "" {
			m, s = b.ZoneMax, b.ZoneMaxShare
		}
		if m > 0 {
			l = min(l, m)
		}
		if s > 0 {
			l = min(l, max(1, int(s*float64(n[scope])+1e-9)))
		}
		if out[scope] > l {
			return fmt.Sprintf("%d of %d are out in %q, and %d may be", out[scope], n[scope], scope, l)
		}
	}
	if need := f.m.Load.FrontEnds * (1 + b.Headroom); !engines && f.m.Load.FrontEnds > 0 && weight-most < need-1e-6 {
		return fmt.Sprintf("%v would be left after one more loss, and %v are needed", weight-most, need)
	}
	return ""
}

func (f *fleet) room(p *Permit) string {
	if p.Engine {
		return f.m.Engines[p.Subject].Zone
	}
	return f.m.Members[p.Subject].Zone
}

// step applies a command and tells the first invariant that does not hold.
func (f *fleet) step(c Command) string {
	f.now += time.Duration(f.rng.IntN(400)) * time.Millisecond
	c.At = f.now
	b := f.look(c)
	r := f.m.Apply(c)
	if f.known = append(f.known, c); len(f.known) > 40 {
		f.known = f.known[1:]
	}
	if b.answer != nil { // a repeat
		if fmt.Sprint(*b.answer) != fmt.Sprint(r) && fmt.Sprint(b.answer.Rejected) != fmt.Sprint(r.Rejected) {
			return fmt.Sprintf("8: %s was answered %v and then %v", c.ID, *b.answer, r)
		}
		for n := range f.m.Permits {
			if _, had := b.permits[n]; !had && f.m.Permits[n].Release == 0 {
				return "8: a repeat was carried out again"
			}
		}
	}
	m := f.m
	rel := m.Release
	if c.ActivatePermit != nil && r.Shutdown && rel != nil && m.Permits[r.Permit].Release == rel.Number && b.condition != Running {
		return "4: told to go while the release is " + string(b.condition)
	}
	back := rel != nil && rel.RollingBack && rel.State != Done
	for n, p := range m.Permits {
		was, had := b.permits[n]
		switch {
		case !had && n <= b.last:
			return fmt.Sprintf("2: permit %d was given after %d", n, b.last)
		case !had && b.in[p.subject().label()]:
			f.done["granted"]++
			if over := f.over(p.Engine, p.Release != 0 && back, f.room(p)); over != "" {
				return "1: granted, and " + over
			}
		case had && was.ActivatedAt == 0 && p.ActivatedAt > 0:
			f.done["begun"]++
			o := m.Members[p.Subject]
			if c.ActivatePermit == nil || c.ActivatePermit.Incarnation != o.Incarnation || p.Incarnation != o.Incarnation {
				return fmt.Sprintf("2: permit %d was begun by another process", n)
			}
			if over := f.over(false, p.Release != 0 && back, f.room(p)); over != "" {
				return "1: begun, and " + over
			}
			if p.Release != 0 && (rel.Number != p.Release || b.condition != Running) {
				return fmt.Sprintf("4: permit %d was begun while its release was %s", n, b.condition)
			}
		}
		if rel != nil && p.Release == rel.Number && p.ActivatedAt == 0 && (rel.State == Halted || rel.State == Halting) {
			return fmt.Sprintf("4: permit %d stands while the release is %s", n, rel.State)
		}
		if back && p.Release == rel.Number && p.ActivatedAt == 0 && (p.Revision != rel.PreviousRevision || m.Members[p.Subject].Revision == rel.PreviousRevision) {
			return fmt.Sprintf("9: permit %d brings %s from %s to %s", n, p.Subject, m.Members[p.Subject].Revision, p.Revision)
		}
		if p.Engine && p.DrainedAt > 0 && !(had && was.DrainedAt > 0) {
			f.done["may stop"]++
			for _, o := range m.Members {
				left := o.Phase == Terminated && m.Now-o.ChangedAt >= m.Settings.AbandonedQueryTimeout
				if !left && p.DrainedBy[o.Name] != o.Incarnation {
					return fmt.Sprintf("6: %s may be stopped without a word of %s", p.Subject, o.Name)
				}
				if o.PreviousEndedAt > 0 && m.Now-o.PreviousEndedAt < m.Settings.AbandonedQueryTimeout {
					return fmt.Sprintf("6: %s may be stopped while queries of the last process of %s may run", p.Subject, o.Name)
				}
			}
		}
		if p.Engine && c.ReportDrained != nil && c.ReportDrained.Permit == n && r.Rejected == nil {
			if o := m.Members[c.ReportDrained.Name]; o != nil && c.ReportDrained.Incarnation != o.Incarnation {
				return "6: a word of an older process was taken"
			}
		}
	}
	for n, p := range b.permits {
		if m.Permits[n] != nil || p.ActivatedAt == 0 {
			continue
		}
		proof := c.RemoveMember != nil && c.RemoveMember.Name == p.Subject && c.RemoveMember.Engine == p.Engine
		proof = proof || (c.ReturnPermit != nil && c.ReturnPermit.Permit == n && !p.Engine && m.Members[p.Subject].Incarnation == c.ReturnPermit.Incarnation)
		proof = proof || (c.ReportStatus != nil && c.ReportStatus.Name == p.Subject && !p.Engine && c.ReportStatus.Phase == Serving && c.ReportStatus.Incarnation > p.Incarnation)
		proof = proof || (c.Undrain != nil && c.Undrain.Name == p.Subject && p.Engine)
		proof = proof || (c.Engine != nil && c.Engine.Name == p.Subject && p.Engine && c.Engine.Process > p.Incarnation && c.Engine.Ready && c.Engine.Listed)
		if !proof {
			return fmt.Sprintf("3: permit %d of %s, begun, ended by %+v", n, p.Subject, c)
		}
		f.done["proved"]++
	}
	for n, was := range b.word {
		if o := m.Members[n]; o != nil && (o.Incarnation < was[0] || (o.Incarnation == was[0] && o.StatusSequence < was[1])) {
			return fmt.Sprintf("5: %s went from word %v to %d %d", n, was, o.Incarnation, o.StatusSequence)
		}
	}
	for n, o := range m.Members {
		if over, was := m.Removed[n]; was && o.Incarnation <= over {
			return "5: " + n + " is back as the process that was forgotten"
		}
	}
	if rel != nil {
		if rel.Number != b.release {
			f.done["released"]++
			if b.condition != Done && b.release != 0 {
				return fmt.Sprintf("7: release %d began while %d was %s", rel.Number, b.release, b.condition)
			}
		}
		if rel.Number == b.release && rel.Window < b.window {
			return "5: the windows of health went back"
		}
		if c.Health != nil && rel.Number == b.release && c.Health.Window <= b.window && rel.New.Requests != b.sample {
			return "5: a window was counted twice"
		}
		if rel.State == Halted && b.condition != Halted { // later words are those of processes that act once on a go
			for _, p := range m.Permits {
				if o := m.Members[p.Subject]; !p.Engine && p.Release == rel.Number && o.Incarnation == p.Incarnation && o.Phase == Serving {
					return "4: halted, and " + p.Subject + " may yet go out"
				}
			}
		}
		if rel.State == Done && b.condition != Done && b.release == rel.Number {
			f.done["ended"]++
			for _, o := range m.Members {
				if f.in(o.Name) && o.Revision != rel.target() {
					return "9: release ended, and " + o.Name + " serves on " + o.Revision
				}
			}
		}
	}
	if len(m.Results) > 2*m.Settings.KeepResults || len(m.Audit) > m.Settings.KeepAudit || len(m.RemovedOrder) > m.Settings.KeepRemoved || len(m.Removed) > m.Settings.KeepRemoved {
		return "10: the state has grown"
	}
	return ""
}

// run plays so many steps.
func (f *fleet) run(steps int) string {
	for i := range steps {
		if wrong := f.step(f.draw()); wrong != "" {
			return fmt.Sprintf("step %d: %s", i, wrong)
		}
	}
	return ""
}

func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, size := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "size")
		f := newFleet(t, rand.New(rand.NewPCG(seed, 1)), size)
		if wrong := f.run(400); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

func TestInvariantsHoldAt300(t *testing.T) {
	steps := 20_000
	if raceDetector {
		steps = 2_000
	}
	if n, err := strconv.Atoi(os.Getenv("ROLLOUT_STEPS")); err == nil {
		steps = n // 100,000 take a minute
	}
	f := newFleet(t, rand.New(rand.NewPCG(300, 1)), 300)
	if wrong := f.run(steps); wrong != "" {
		t.Fatal(wrong)
	}
	t.Log(steps, "steps:", f.done)
	for _, kind := range []string{"granted", "begun", "proved", "released"} {
		if f.done[kind] == 0 {
			t.Errorf("no step was %s: the test shows nothing of it", kind)
		}
	}
}

// seedsVariable is how many fleets are played at random. Mutated copies are played by more than the package itself.
const seedsVariable = "ROLLOUT_SEEDS"

func TestRandomFleets(t *testing.T) {
	seeds, err := strconv.ParseUint(os.Getenv(seedsVariable), 10, 64)
	if err != nil {
		seeds = 2
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		f := newFleet(t, rand.New(rand.NewPCG(seed, 2)), 3+int(seed%8))
		if wrong := f.run(3000); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// The same log gives the same state, and a snapshot goes on as the machine does.
func TestSnapshotGoesOnAlike(t *testing.T) {
	f := newFleet(t, rand.New(rand.NewPCG(7, 3)), 9)
	var log []Command
	for range 2000 {
		c := f.draw()
		f.step(c)
		c.At = f.now
		log = append(log, c)
	}
	replay := func(restoreAt int) []byte {
		g := newFleet(t, rand.New(rand.NewPCG(7, 3)), 9)
		m := g.m
		for i, c := range log {
			if i == restoreAt {
				text, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if m, err = New(Defaults()); err != nil {
					t.Fatal(err)
				}
				if err := m.Restore(text); err != nil {
					t.Fatal(err)
				}
			}
			m.Apply(c)
		}
		text, _ := m.Snapshot()
		return text
	}
	whole, _ := f.m.Snapshot()
	for _, at := range []int{-1, 0, 1000, 1999} {
		if got := replay(at); !bytes.Equal(got, whole) {
			t.Fatalf("restored at %d: %s\n\nis not %s", at, got, whole)
		}
	}
}
