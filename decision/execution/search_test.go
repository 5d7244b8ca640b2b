package execution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// The search walks every order in which two or three owners of one id, its holders and its engine may meet: words lost,
// repeated and late, an owner that dies or sends as late as it likes, a holder that loses its disk, a holder that is replaced.

const (
	minute = time.Minute
	now    = 10 * time.Hour
)

type post struct{ owner, attempt int } // an attempt on its way to the engine

type node struct {
	o    *Owner
	over int // 1: its process is over; 2: and the protocol's time has passed
	conf uint64
	done bool // it has told its client
	ran  bool // its client was told that it ran
	nev  bool // ... that it never ran
	went int  // the last attempt that was sent
}

type world struct {
	set     Settings
	skip    check
	shelves map[string]*Shelf
	nodes   []*node
	posts   map[post]bool
	runs    int
	stage   uint64 // the latest configuration
	// what may yet happen
	deaths, disks, moves, sweeps int
	wrong                        string
	told                         bool // somebody was told that it never ran
}

var (
	abc = []Member{{"a", "r1", 1}, {"b", "r2", 1}, {"c", "r3", 1}}
	bcd = []Member{{"b", "r2", 1}, {"c", "r3", 1}, {"d", "r1", 1}}
)

func configAt(n uint64) Config {
	switch n {
	case 1:
		return Config{Number: 1, Members: abc}
	case 2:
		return Config{Number: 2, Members: bcd, Before: abc}
	}
	return Config{Number: 3, Members: bcd}
}

func newWorld(skip check, owners int) *world {
	w := &world{set: Defaults(), skip: skip, shelves: map[string]*Shelf{}, posts: map[post]bool{}, stage: 1}
	for _, name := range []string{"a", "b", "c", "d"} {
		s, _ := NewShelf(w.set, 1, name != "d")
		s.skipped = skip
		w.shelves[name] = s
	}
	for i := range owners {
		n := &node{conf: 1}
		// Owners are in no holder's room, so that any majority will do.
		n.o = NewOwner(w.set, "id", "load x", fmt.Sprint("n", i+1, "/1"), "r9", uint64(i+1), configAt(1))
		n.o.skipped = skip
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (s *Shelf) clone() *Shelf {
	c := *s
	c.records = map[string]*Record{}
	for k, r := range s.records {
		x := *r
		c.records[k] = &x
	}
	return &c
}

func (o *Owner) clone() *Owner {
	c := *o
	c.said = maps.Clone(o.said)
	return &c
}

func (w *world) clone() *world {
	c := *w
	c.shelves, c.nodes, c.posts = map[string]*Shelf{}, nil, maps.Clone(w.posts)
	for k, s := range w.shelves {
		c.shelves[k] = s.clone()
	}
	for _, n := range w.nodes {
		x := *n
		x.o = n.o.clone()
		c.nodes = append(c.nodes, &x)
	}
	return &c
}

func (w *world) key() string {
	b := make([]byte, 0, 400)
	num := func(n uint64) { b = append(strconv.AppendUint(b, n, 36), '.') }
	yes := func(y bool) {
		if y {
			b = append(b, '+')
		} else {
			b = append(b, '-')
		}
	}
	ballot := func(x Ballot) { num(x.Round) } // a round is one owner's here
	fate := func(f Fate) {
		num(uint64(f.Phase))
		num(uint64(f.Attempt))
		b = append(b, f.By...)
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		s := w.shelves[name]
		num(s.config)
		yes(s.filled)
		if r := s.records["id"]; r != nil {
			ballot(r.Promised)
			ballot(r.Accepted)
			num(r.Version)
			fate(r.Fate)
		}
		b = append(b, '|')
	}
	for _, n := range w.nodes {
		o := n.o
		num(uint64(o.stand))
		num(o.version)
		fate(o.fate)
		fate(o.next)
		fate(o.found)
		ballot(o.foundAt)
		num(o.foundV)
		for _, h := range []string{"a", "b", "c", "d"} {
			yes(o.said[h])
		}
		num(uint64(n.over))
		num(n.conf)
		yes(n.done)
		yes(n.ran)
		yes(n.nev)
		num(uint64(n.went))
		b = append(b, '|')
	}
	for i := range w.nodes {
		for attempt := range 4 {
			yes(w.posts[post{i, attempt}])
		}
	}
	num(uint64(w.runs))
	num(w.stage)
	num(uint64(w.deaths*1000 + w.disks*100 + w.moves*10 + w.sweeps))
	yes(w.told)
	return string(b)
}

// steps lists all that may happen next, those that bring an owner on first, and how many those are. A word and its answer are one step: a word that is lost, or late, is one whose step
// does not come, or comes when its owner has said it again; what an old word does to a shelf is what the owner that says it late does.
func (w *world) steps() (all []func(*world), on int) {
	var rest []func(*world)
	add := func(f func(*world)) { rest = append(rest, f) }
	good := func(f func(*world)) { all = append(all, f) }
	for i, n := range w.nodes {
		if n.over == 0 {
			claim, write, to := n.o.Words()
			for _, h := range to {
				good(func(x *world) { // it arrives, and so does its answer
					x.nodes[i].o.Heard(h, x.word(h, claim, write))
				})
				add(func(x *world) { x.word(h, claim, write) }) // it arrives, and its answer is lost
			}
			switch n.o.May() {
			case Send:
				good(func(x *world) { x.nodes[i].o.Intend("e", 1) })
			case Resolve:
				good(func(x *world) { x.resolve(i) })
			case Answer:
				if !n.done {
					good(func(x *world) { x.answer(i) })
				}
			case Wait:
				if n.o.Cleared() && n.went < n.o.fate.Attempt {
					good(func(x *world) { // it has looked, and what it sends arrives whenever it likes
						x.nodes[i].went = x.nodes[i].o.fate.Attempt
						x.posts[post{i, x.nodes[i].went}] = true
					})
				}
				if n.o.Cleared() && n.went == n.o.fate.Attempt && w.runs > 0 && !w.posts[post{i, n.went}] {
					add(func(x *world) { x.nodes[i].o.Learned(Evidence{Ran: true, Ended: true, Result: []byte("r")}) })
				}
			}
			if n.conf < w.stage {
				add(func(x *world) {
					x.nodes[i].conf = x.stage
					x.nodes[i].o.Reconfigure(configAt(x.stage))
				})
			}
			if w.deaths > 0 {
				add(func(x *world) { x.deaths--; x.nodes[i].over = 1 })
			}
		} else if n.over == 1 {
			add(func(x *world) {
				x.nodes[i].over = 2
				maps.DeleteFunc(x.posts, func(p post, _ bool) bool { return p.owner == i })
			})
		}
	}
	for _, p := range w.sent() {
		add(func(x *world) {
			delete(x.posts, p)
			if x.runs++; x.runs > 1 {
				x.wrong = "it ran twice"
			}
			if x.told {
				x.wrong = "it ran after somebody was told that it never would"
			}
		})
	}
	if w.disks > 0 {
		for _, h := range []string{"a", "b", "c"} {
			add(func(x *world) {
				x.disks--
				s, _ := NewShelf(x.set, x.shelves[h].config, false)
				s.skipped = x.skip
				x.shelves[h] = s
			})
		}
	}
	for _, h := range []string{"a", "b", "c", "d"} {
		s := w.shelves[h]
		if !s.filled && h != "d" {
			add(func(x *world) { x.fill(h, "a", "b", "c") })
		}
		if s.config < w.stage {
			add(func(x *world) { x.shelves[h].Configure(x.stage) })
		}
		if w.sweeps > 0 && s.records["id"] != nil {
			add(func(x *world) { x.sweeps--; x.shelves[h].Sweep(now + minute) })
		}
	}
	if w.moves > 0 && w.stage == 1 {
		add(func(x *world) { x.stage = 2 })
	}
	if w.stage == 2 {
		ready := 0
		for _, h := range []string{"a", "b", "c"} {
			if w.shelves[h].config >= 2 && w.shelves[h].filled {
				ready++
			}
		}
		if ready == 3 && !w.shelves["d"].filled {
			add(func(x *world) { x.shelves["d"].Configure(2); x.fill("d", "a", "b", "c") })
		}
		if w.shelves["d"].filled {
			add(func(x *world) { x.stage = 3 })
		}
	}
	return append(all, rest...), len(all)
}

// sent lists the attempts on their way, in order.
func (w *world) sent() (out []post) {
	for i := range w.nodes {
		for attempt := range 4 {
			if w.posts[post{i, attempt}] {
				out = append(out, post{i, attempt})
			}
		}
	}
	return out
}

func (w *world) word(h string, claim *Claim, write *Write) Reply {
	if claim != nil {
		return w.shelves[h].Claim(now, *claim)
	}
	return w.shelves[h].Write(now, *write)
}

// fill copies what the others hold to a shelf that has nothing.
func (w *world) fill(h string, from ...string) {
	for _, o := range from {
		if o == h {
			continue
		}
		if !w.shelves[o].filled {
			return // there is no majority of copies to fill from
		}
		for _, r := range w.shelves[o].Records() {
			w.shelves[h].Copy(r)
		}
	}
	w.shelves[h].Filled()
}

// resolve asks the engine for what another owner has intended.
func (w *world) resolve(i int) {
	o := w.nodes[i].o
	e := Evidence{Ran: w.runs > 0, Ended: w.runs > 0, Unknown: w.runs == 0, Result: []byte("r")}
	for k, n := range w.nodes {
		if o.fate.By == fmt.Sprint("n", k+1, "/1") {
			switch n.over {
			case 1:
				e.OverFor = time.Millisecond
			case 2:
				e.OverFor = w.set.Protocol + 1
			}
		}
	}
	o.Learned(e)
}

func (w *world) answer(i int) {
	n := w.nodes[i]
	n.done = true
	if n.o.Fate().Phase == NeverRan {
		n.nev, w.told = true, true
	} else {
		n.ran = true
	}
	for _, o := range w.nodes {
		if (n.nev && o.ran) || (n.ran && o.nev) {
			w.wrong = "one was told that it ran, and another that it never did"
		}
	}
	if n.nev && w.runs > 0 {
		w.wrong = "it ran, and somebody was told that it never did"
	}
}

func explore(w *world, most int) (states int, wrong string, whole bool) {
	seen := map[string]bool{w.key(): true}
	next := []*world{w}
	for len(next) > 0 {
		at := next[0]
		next = next[1:]
		all, _ := at.steps()
		for _, step := range all {
			n := at.clone()
			step(n)
			if n.wrong != "" {
				return len(seen), n.wrong, false
			}
			if k := n.key(); !seen[k] {
				if len(seen) >= most {
					return len(seen), "", false
				}
				seen[k] = true
				next = append(next, n)
			}
		}
	}
	return len(seen), "", true
}

// Every order of words between two owners and three holders; and in larger worlds as far as the bound on states goes.
func TestSearchEveryOrder(t *testing.T) {
	for _, c := range []struct {
		owners, deaths, disks, moves, sweeps int
		most                                 int
	}{
		{2, 0, 0, 0, 0, 100_000},
		{2, 1, 1, 1, 1, 30_000},
	} {
		if raceDetector {
			c.most = min(c.most, 5_000)
		} else if n, err := strconv.Atoi(os.Getenv("LEDGER_STATES")); err == nil {
			c.most = n
		}
		w := newWorld(checkNone, c.owners)
		w.deaths, w.disks, w.moves, w.sweeps = c.deaths, c.disks, c.moves, c.sweeps
		n, wrong, whole := explore(w, c.most)
		t.Logf("%+v: %d states, all of them: %v", c, n, whole)
		if wrong != "" || n < min(c.most, 30_000) {
			t.Errorf("%+v: %q after %d states", c, wrong, n)
		}
	}
}

// walk takes steps at random until nothing may happen any more, or something is wrong.
func walk(w *world, rng *rand.Rand, most int) string {
	for range most {
		all, on := w.steps()
		if len(all) == 0 {
			return ""
		}
		if rng.IntN(4) > 0 && on > 0 {
			all = all[:on]
		}
		if all[rng.IntN(len(all))](w); w.wrong != "" {
			return w.wrong
		}
	}
	return ""
}

// Walks go deeper than the search: three owners, everything that may happen at once.
func TestWalksKeepThePromise(t *testing.T) {
	walks := 20_000
	if raceDetector {
		walks = 3_000
	}
	ended := 0
	for seed := range uint64(walks) {
		w := newWorld(checkNone, 2+int(seed%2))
		w.deaths, w.disks, w.moves, w.sweeps = 1, 1, 1, 2
		if wrong := walk(w, rand.New(rand.NewPCG(seed, 1)), 150); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for _, n := range w.nodes {
			if n.done {
				ended++
				break
			}
		}
	}
	t.Logf("%d of %d walks ended in an answer", ended, walks)
	if ended < walks/4 {
		t.Error("too few walks end in an answer to show anything")
	}
}

// Each check is needed: without it some walk breaks a promise.
func TestMutationsAreFound(t *testing.T) {
	for _, c := range []struct {
		check                                check
		owners, deaths, disks, moves, sweeps int
	}{
		{checkSeal, 2, 0, 0, 0, 0},
		{checkMajority, 2, 0, 0, 0, 0},
		{checkFind, 2, 0, 0, 0, 0},
		{checkDoubt, 2, 0, 0, 0, 0},
		{checkProtocol, 2, 1, 0, 0, 0},
		{checkKeep, 2, 0, 0, 0, 2},
		{checkFilled, 2, 0, 1, 0, 0},
		{checkClaim, 3, 0, 0, 0, 0},
	} {
		if slow := c.check == checkProtocol || c.check == checkKeep || c.check == checkFilled; slow && raceDetector {
			continue // thousands of walks: the plain run of 'make check' has them
		}
		found, at := "", uint64(0)
		for ; at < 30_000 && found == ""; at++ {
			w := newWorld(c.check, c.owners)
			w.deaths, w.disks, w.moves, w.sweeps = c.deaths, c.disks, c.moves, c.sweeps
			found = walk(w, rand.New(rand.NewPCG(at, 2)), 150)
		}
		t.Logf("check %d: %q in walk %d", c.check, found, at)
		if found == "" {
			t.Errorf("nothing breaks without check %d", c.check)
		}
	}
}
