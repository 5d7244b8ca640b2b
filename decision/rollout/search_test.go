package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"
)

// The search walks every order in which words between three front ends and the agreed log may be lost, repeated or late,
// with a budget of one, one release, one halt, one way back, one crash and one doubt, each at any moment.

// member is a front end's process, by the rules that internal/fleet keeps: it asks at the last moment, acts only on a go
// for the process that it is, and hands back only what it will not act on.
type process struct {
	inc, seq uint64
	rev      string
	out      bool   // takes nothing more
	gave     uint64 // the greatest permit that it has handed back
	why      uint64 // out on this permit
}

type word struct {
	kind    byte // 's'ay, 'b'egin, 'r'eturn
	who     int
	inc, n  uint64 // n: seq or permit
	out     bool
	rev     string
	answers bool // a go on its way back: 'b' only
}

type world struct {
	m            *StateMachine
	p            []process
	words        map[word]bool // whatever was sent may arrive, at any time, any number of times
	halted       bool          // an operator was told so, and has not gone on
	halt, back   bool          // the operator's steps that are left
	crash, doubt int           // that are left
	mind         int           // times that a process may yet change its mind
	wrong        string
}

func (w *world) clone() *world {
	c := *w
	c.p, c.words, c.m = slices.Clone(w.p), maps.Clone(w.words), w.m.clone()
	return &c
}

func (m *StateMachine) clone() *StateMachine {
	c := *m
	c.Members, c.Engines, c.Permits = map[string]*Member{}, map[string]*Engine{}, map[uint64]*Permit{}
	for k, v := range m.Members {
		o := *v
		o.Crashes = slices.Clone(v.Crashes)
		c.Members[k] = &o
	}
	for k, v := range m.Engines {
		o := *v
		c.Engines[k] = &o
	}
	for k, v := range m.Permits {
		o := *v
		o.DrainedBy = maps.Clone(v.DrainedBy)
		c.Permits[k] = &o
	}
	if m.Release != nil {
		r := *m.Release
		r.Order = slices.Clone(r.Order)
		c.Release = &r
	}
	c.permitBySubject, c.Audit, c.Results = maps.Clone(m.permitBySubject), nil, nil
	return &c
}

func (w *world) key() string {
	b := make([]byte, 0, 256)
	num := func(n uint64) { b = append(strconv.AppendUint(b, n, 36), ' ') }
	yes := func(y bool) {
		if y {
			b = append(b, '+')
		} else {
			b = append(b, '-')
		}
	}
	for _, name := range w.m.memberNames() {
		o := w.m.Members[name]
		num(o.Incarnation)
		num(o.StatusSequence)
		yes(o.Suspected)
		b = append(b, o.Phase...)
		b = append(append(b, o.Revision...), o.TargetRevision...)
	}
	for _, n := range w.m.PermitNumbers() {
		p := w.m.Permits[n]
		num(n)
		b = append(append(b, p.Subject...), p.Revision...)
		num(p.Incarnation)
		yes(p.ActivatedAt > 0)
	}
	num(w.m.LastPermit)
	if r := w.m.Release; r != nil {
		b = append(b, r.State...)
		yes(r.RollingBack)
	}
	for _, p := range w.p {
		num(p.inc)
		num(p.seq)
		yes(p.out)
		num(p.gave)
		num(p.why)
		b = append(b, p.rev...)
	}
	var codes [64]uint64
	words := codes[:0]
	for x := range w.words {
		words = append(words, x.code())
	}
	slices.Sort(words)
	for _, x := range words {
		num(x)
	}
	yes(w.halted)
	yes(w.halt)
	yes(w.back)
	num(uint64(w.crash))
	num(uint64(w.doubt))
	num(uint64(w.mind))
	return string(b)
}

// code orders words.
func (x word) code() uint64 {
	c := uint64(x.kind)<<40 | uint64(x.who)<<36 | x.inc<<24 | x.n<<8
	for i, y := range []bool{x.out, x.answers, x.rev == "new"} {
		if y {
			c |= 1 << i
		}
	}
	return c
}

// prune forgets words that can change nothing any more, whatever comes.
func (w *world) prune() {
	maps.DeleteFunc(w.words, func(x word, _ bool) bool {
		o, p := w.m.Members[name(x.who)], w.p[x.who]
		switch {
		case x.answers:
			return p.inc > x.inc || p.out || x.n <= p.gave
		case x.kind == 's':
			return x.inc < o.Incarnation || (x.inc == o.Incarnation && x.n <= o.StatusSequence)
		}
		return x.inc < o.Incarnation || w.m.Permits[x.n] == nil
	})
}

func name(i int) string { return string(rune('a' + i)) }

func (w *world) apply(c Command) Result {
	c.At = time.Second
	r := w.m.Apply(c)
	if rel := w.m.Release; rel != nil {
		switch rel.State {
		case Halted:
			w.halted = true
		case Running:
			w.halted = false
		}
	}
	return r
}

// send is a word on its way; what is told next to nobody is not sent again.
func (w *world) send(x word) { w.words[x] = true }

// phase is the state of a process as a word.
func (w *world) phase(i int) word {
	p := w.p[i]
	return word{kind: 's', who: i, inc: p.inc, n: p.seq, out: p.out, rev: p.rev}
}

// arrive hands a word to the machine, or its answer to the process.
func (w *world) arrive(x word) {
	p := &w.p[x.who]
	switch {
	case x.answers: // the go
		if p.inc == x.inc && !p.out && x.n > p.gave {
			w.goOut(x.who, x.n)
		}
	case x.kind == 's':
		phase := Serving
		if x.out {
			phase = Draining
		}
		w.apply(Command{ReportStatus: &ReportStatus{Name: name(x.who), Zone: "r", Incarnation: x.inc, StatusSequence: x.n, Revision: x.rev, Phase: phase}})
	case x.kind == 'b':
		if w.apply(Command{ActivatePermit: &PermitReference{name(x.who), x.inc, x.n}}).Shutdown {
			y := x
			y.answers = true
			w.send(y)
		}
	case x.kind == 'r':
		w.apply(Command{ReturnPermit: &PermitReference{name(x.who), x.inc, x.n}})
	}
}

// goOut is what all is about: a process goes out by choice.
func (w *world) goOut(i int, permit uint64) {
	for k, o := range w.p {
		if k != i && o.out {
			w.wrong = fmt.Sprintf("%s goes out while %s is out", name(i), name(k))
		}
	}
	if w.halted {
		w.wrong = name(i) + " goes out after a halt was acknowledged"
	}
	p := &w.p[i]
	p.out, p.why = true, permit
	p.seq++
	w.send(w.phase(i))
}

// start lets a process of that name start on the revision that the log names.
func (w *world) start(i int) {
	p := &w.p[i]
	p.inc, p.seq, p.out, p.gave, p.why = p.inc+1, 1, false, 0, 0
	p.rev = w.m.Members[name(i)].TargetRevision
	w.send(w.phase(i))
}

// steps lists all that may happen next.
func (w *world) steps() (all []func(*world)) {
	add := func(f func(*world)) { all = append(all, f) }
	for x := range w.words {
		add(func(n *world) { n.arrive(x) })
	}
	for i, p := range w.p {
		for _, number := range w.m.PermitNumbers() {
			g := w.m.Permits[number]
			if g.Subject == name(i) && g.Incarnation == p.inc && !p.out && number > p.gave {
				add(func(n *world) { n.send(word{kind: 'b', who: i, inc: p.inc, n: number}) })
				if w.mind > 0 { // it may also change its mind, asked or not
					add(func(n *world) {
						n.mind--
						n.p[i].gave = number
						n.send(word{kind: 'r', who: i, inc: p.inc, n: number})
					})
				}
			}
		}
		if p.out {
			add(func(n *world) { n.start(i) })
		}
		if w.crash > 0 {
			add(func(n *world) { n.crash--; n.start(i) })
		}
		if o := w.m.Members[name(i)]; w.doubt > 0 && !o.Suspected {
			add(func(n *world) { n.doubt--; n.apply(Command{Suspect: &Suspect{name(i), o.Incarnation}}) })
		}
		if o := w.m.Members[name(i)]; o.Suspected && o.Incarnation == p.inc && o.StatusSequence == p.seq { // it learns that it is doubted, and says more
			add(func(n *world) { n.p[i].seq++; n.send(n.phase(i)) })
		}
	}
	if w.halt {
		add(func(n *world) { n.halt = false; n.apply(Command{Halt: &Halt{"operator"}}) })
	}
	if w.back && !w.halt {
		add(func(n *world) { n.back = false; n.apply(Command{Rollback: &struct{}{}}) })
	}
	return all
}

func small(t testing.TB, members int) *world {
	t.Helper()
	set := Defaults()
	set.FrontEnds, set.Rollback = Budget{Max: 1}, Budget{Max: 1}
	set.CrashLoop, set.Analyzer.MinRequests = 5, 0
	m, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{m: m, words: map[word]bool{}, halt: true, back: true, mind: 1}
	for i := range members {
		w.p = append(w.p, process{inc: 1, seq: 1, rev: "old"})
		w.apply(Command{ReportStatus: &ReportStatus{Name: name(i), Zone: "r", Incarnation: 1, StatusSequence: 1, Revision: "old", Phase: Serving}})
		// A word from before the release that is still on its way.
		w.send(w.phase(i))
	}
	w.apply(Command{StartRelease: &StartRelease{Revision: "new", Waves: []float64{0.3, 1}}})
	return w
}

// explore walks all states within so many, and tells the first that is wrong.
func explore(w *world, most int) (states int, wrong string, whole bool) {
	seen := map[string]bool{w.key(): true}
	next := []*world{w}
	for len(next) > 0 {
		now := next[0]
		next = next[1:]
		for _, step := range now.steps() {
			n := now.clone()
			step(n)
			n.prune()
			if n.wrong != "" {
				return len(seen), n.wrong, false
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				if len(seen) >= most {
					return len(seen), "", false
				}
				next = append(next, n)
			}
		}
	}
	return len(seen), "", true
}

// Every order of words between three front ends, with a crash, a doubt, a halt and a way back at each moment.
func TestSearchEveryOrder(t *testing.T) {
	for _, c := range []struct {
		members, crash, doubt int
		halt, back            bool
		least                 int // states, so that a search that sees nothing does not pass for one that finds nothing
	}{
		{2, 1, 1, true, true, 2000},
		{3, 0, 0, true, true, 500},
		{3, 1, 0, true, true, 5000},
		{3, 1, 1, true, true, 50_000},
	} {
		if raceDetector && c.least > 10_000 {
			continue // the plain run of 'make check' has it
		}
		w := small(t, c.members)
		w.crash, w.doubt, w.halt, w.back = c.crash, c.doubt, c.halt, c.back
		n, wrong, whole := explore(w, 1_000_000)
		t.Logf("%+v: %d states", c, n)
		if wrong != "" || !whole || n < c.least {
			t.Errorf("%+v: %q after %d states, all of them: %v", c, wrong, n, whole)
		}
	}
}
