package execution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The search walks every order in which two or three owners of one id, its holders and its engine may meet: words lost,
// repeated and late, an owner that dies or sends as late as it likes, a holder that loses its disk, a holder that is replaced.

const (
	minute = time.Minute
	now    = 10 * time.Hour
)

type sentAttempt struct{ owner, attempt int } // an attempt on its way to the engine

type process struct {
	proposer     *Proposer
	ended        int // 1: its process is over; 2: and the protocol's time has passed
	configNumber uint64
	answered     bool // it has told its client
	toldRan      bool // its client was told that it ran
	toldNeverRan bool // ... that it never ran
	lastSent     int  // the last attempt that was sent
}

type world struct {
	set          Settings
	replicas     map[string]*Replica
	processes    []*process
	attempts     map[sentAttempt]bool
	runs         int
	latestConfig uint64 // the latest configuration
	// what may yet happen
	deaths, diskLosses, moves, expiries int
	violation                           string
	toldNeverRan                        bool // somebody was told that it never ran
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
		return Config{Number: 2, Members: bcd, Previous: abc}
	}
	return Config{Number: 3, Members: bcd}
}

func newWorld(owners int) *world {
	w := &world{set: Defaults(), replicas: map[string]*Replica{}, attempts: map[sentAttempt]bool{}, latestConfig: 1}
	for _, name := range []string{"a", "b", "c", "d"} {
		s, _ := NewReplica(w.set, 1, name != "d")
		w.replicas[name] = s
	}
	for i := range owners {
		n := &process{configNumber: 1}
		// Owners are in no holder's room, so that any majority will do.
		n.proposer = NewProposer(w.set, "id", "load x", fmt.Sprint("n", i+1, "/1"), "r9", uint64(i+1), configAt(1))
		w.processes = append(w.processes, n)
	}
	return w
}

func (s *Replica) clone() *Replica {
	c := *s
	c.records = map[string]*Record{}
	for k, r := range s.records {
		x := *r
		c.records[k] = &x
	}
	return &c
}

func (o *Proposer) clone() *Proposer {
	c := *o
	c.acknowledged = maps.Clone(o.acknowledged)
	return &c
}

func (w *world) clone() *world {
	c := *w
	c.replicas, c.processes, c.attempts = map[string]*Replica{}, nil, maps.Clone(w.attempts)
	for k, s := range w.replicas {
		c.replicas[k] = s.clone()
	}
	for _, n := range w.processes {
		x := *n
		x.proposer = n.proposer.clone()
		c.processes = append(c.processes, &x)
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
	fate := func(f Outcome) {
		num(uint64(f.Phase))
		num(uint64(f.Attempt))
		b = append(b, f.IntendedBy...)
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		s := w.replicas[name]
		num(s.configNumber)
		yes(s.bootstrapped)
		if r := s.records["id"]; r != nil {
			ballot(r.Promised)
			ballot(r.Accepted)
			num(r.Version)
			fate(r.Outcome)
		}
		b = append(b, '|')
	}
	for _, n := range w.processes {
		o := n.proposer
		num(uint64(o.state))
		num(o.version)
		fate(o.outcome)
		fate(o.proposed)
		fate(o.found)
		ballot(o.foundBallot)
		num(o.foundVersion)
		for _, h := range []string{"a", "b", "c", "d"} {
			yes(o.acknowledged[h])
		}
		num(uint64(n.ended))
		num(n.configNumber)
		yes(n.answered)
		yes(n.toldRan)
		yes(n.toldNeverRan)
		num(uint64(n.lastSent))
		b = append(b, '|')
	}
	for i := range w.processes {
		for attempt := range 4 {
			yes(w.attempts[sentAttempt{i, attempt}])
		}
	}
	num(uint64(w.runs))
	num(w.latestConfig)
	num(uint64(w.deaths*1000 + w.diskLosses*100 + w.moves*10 + w.expiries))
	yes(w.toldNeverRan)
	return string(b)
}

// steps lists all that may happen next, those that bring an owner on first, and how many those are. A word and its answer are one step: a word that is lost, or late, is one whose step
// does not come, or comes when its owner has said it again; what an old word does to a shelf is what the owner that says it late does.
func (w *world) steps() (all []func(*world), on int) {
	var rest []func(*world)
	add := func(f func(*world)) { rest = append(rest, f) }
	good := func(f func(*world)) { all = append(all, f) }
	for i, n := range w.processes {
		if n.ended == 0 {
			claim, write, to := n.proposer.Messages()
			for _, h := range to {
				good(func(x *world) { // it arrives, and so does its answer
					x.processes[i].proposer.HandleReply(h, x.deliver(h, claim, write))
				})
				add(func(x *world) { x.deliver(h, claim, write) }) // it arrives, and its answer is lost
			}
			switch n.proposer.Permission() {
			case Send:
				good(func(x *world) { x.processes[i].proposer.Intend("e", 1) })
			case Resolve:
				good(func(x *world) { x.resolve(i) })
			case Answer:
				if !n.answered {
					good(func(x *world) { x.answer(i) })
				}
			case Wait:
				if n.proposer.MaySend() && n.lastSent < n.proposer.outcome.Attempt {
					good(func(x *world) { // it has looked, and what it sends arrives whenever it likes
						x.processes[i].lastSent = x.processes[i].proposer.outcome.Attempt
						x.attempts[sentAttempt{i, x.processes[i].lastSent}] = true
					})
				}
				if n.proposer.MaySend() && n.lastSent == n.proposer.outcome.Attempt && w.runs > 0 && !w.attempts[sentAttempt{i, n.lastSent}] {
					add(func(x *world) {
						x.processes[i].proposer.ResolveOutcome(Evidence{Ran: true, Completed: true, Result: []byte("r")})
					})
				}
			}
			if n.configNumber < w.latestConfig {
				add(func(x *world) {
					x.processes[i].configNumber = x.latestConfig
					x.processes[i].proposer.Reconfigure(configAt(x.latestConfig))
				})
			}
			if w.deaths > 0 {
				add(func(x *world) { x.deaths--; x.processes[i].ended = 1 })
			}
		} else if n.ended == 1 {
			add(func(x *world) {
				x.processes[i].ended = 2
				maps.DeleteFunc(x.attempts, func(p sentAttempt, _ bool) bool { return p.owner == i })
			})
		}
	}
	for _, p := range w.sent() {
		add(func(x *world) {
			delete(x.attempts, p)
			if x.runs++; x.runs > 1 {
				x.violation = "it ran twice"
			}
			if x.toldNeverRan {
				x.violation = "it ran after somebody was told that it never would"
			}
		})
	}
	if w.diskLosses > 0 {
		for _, h := range []string{"a", "b", "c"} {
			add(func(x *world) {
				x.diskLosses--
				s, _ := NewReplica(x.set, x.replicas[h].configNumber, false)
				x.replicas[h] = s
			})
		}
	}
	for _, h := range []string{"a", "b", "c", "d"} {
		s := w.replicas[h]
		if !s.bootstrapped && h != "d" {
			add(func(x *world) { x.bootstrap(h, "a", "b", "c") })
		}
		if s.configNumber < w.latestConfig {
			add(func(x *world) { x.replicas[h].Configure(x.latestConfig) })
		}
		if w.expiries > 0 && s.records["id"] != nil {
			add(func(x *world) { x.expiries--; x.replicas[h].Expire(now + minute) })
		}
	}
	if w.moves > 0 && w.latestConfig == 1 {
		add(func(x *world) { x.latestConfig = 2 })
	}
	if w.latestConfig == 2 {
		ready := 0
		for _, h := range []string{"a", "b", "c"} {
			if w.replicas[h].configNumber >= 2 && w.replicas[h].bootstrapped {
				ready++
			}
		}
		if ready == 3 && !w.replicas["d"].bootstrapped {
			add(func(x *world) { x.replicas["d"].Configure(2); x.bootstrap("d", "a", "b", "c") })
		}
		if w.replicas["d"].bootstrapped {
			add(func(x *world) { x.latestConfig = 3 })
		}
	}
	return append(all, rest...), len(all)
}

// sent lists the attempts on their way, in order.
func (w *world) sent() (out []sentAttempt) {
	for i := range w.processes {
		for attempt := range 4 {
			if w.attempts[sentAttempt{i, attempt}] {
				out = append(out, sentAttempt{i, attempt})
			}
		}
	}
	return out
}

func (w *world) deliver(h string, claim *Prepare, write *Accept) Reply {
	if claim != nil {
		return w.replicas[h].Prepare(now, *claim)
	}
	return w.replicas[h].Accept(now, *write)
}

// bootstrap copies what the others hold to a shelf that has nothing.
func (w *world) bootstrap(h string, from ...string) {
	for _, o := range from {
		if o == h {
			continue
		}
		if !w.replicas[o].bootstrapped {
			return // there is no majority of copies to fill from
		}
		for _, r := range w.replicas[o].Records() {
			w.replicas[h].Merge(r)
		}
	}
	w.replicas[h].MarkBootstrapped()
}

// resolve asks the engine for what another owner has intended.
func (w *world) resolve(i int) {
	o := w.processes[i].proposer
	e := Evidence{Ran: w.runs > 0, Completed: w.runs > 0, UnknownToEngine: w.runs == 0, Result: []byte("r")}
	for k, n := range w.processes {
		if o.outcome.IntendedBy == fmt.Sprint("n", k+1, "/1") {
			switch n.ended {
			case 1:
				e.ProcessEndedFor = time.Millisecond
			case 2:
				e.ProcessEndedFor = w.set.EngineAbandonTime + 1
			}
		}
	}
	o.ResolveOutcome(e)
}

func (w *world) answer(i int) {
	n := w.processes[i]
	n.answered = true
	if n.proposer.Outcome().Phase == NeverRan {
		n.toldNeverRan, w.toldNeverRan = true, true
	} else {
		n.toldRan = true
	}
	for _, o := range w.processes {
		if (n.toldNeverRan && o.toldRan) || (n.toldRan && o.toldNeverRan) {
			w.violation = "one was told that it ran, and another that it never did"
		}
	}
	if n.toldNeverRan && w.runs > 0 {
		w.violation = "it ran, and somebody was told that it never did"
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
			if n.violation != "" {
				return len(seen), n.violation, false
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
		w := newWorld(c.owners)
		w.deaths, w.diskLosses, w.moves, w.expiries = c.deaths, c.disks, c.moves, c.sweeps
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
		if all[rng.IntN(len(all))](w); w.violation != "" {
			return w.violation
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
		w := newWorld(2 + int(seed%2))
		w.deaths, w.diskLosses, w.moves, w.expiries = 1, 1, 1, 2
		if wrong := walk(w, rand.New(rand.NewPCG(seed, 1)), 150); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for _, n := range w.processes {
			if n.answered {
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

// smallWorlds are worlds in which few things may happen. A mutation that takes a guard away is found in the one that is
// named after the guard.
var smallWorlds = []struct {
	name                                 string
	owners, deaths, disks, moves, sweeps int
}{
	{"fence", 2, 0, 0, 0, 0},
	{"majority", 2, 0, 0, 0, 0},
	{"recover", 2, 0, 0, 0, 0},
	{"doubt", 2, 0, 0, 0, 0},
	{"abandon", 2, 1, 0, 0, 0},
	{"retention", 2, 0, 0, 0, 2},
	{"bootstrap", 2, 0, 1, 0, 0},
	{"prepare", 3, 0, 0, 0, 0},
}

// walksVariable names the environment variable that says how many walks there are in each small world.
const walksVariable = "EXECUTION_WALKS"

func TestWalksOfSmallWorlds(t *testing.T) {
	walks := uint64(500)
	if text := os.Getenv(walksVariable); text != "" {
		var err error
		walks, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for _, c := range smallWorlds {
		t.Run(c.name, func(t *testing.T) {
			for seed := range walks {
				w := newWorld(c.owners)
				w.deaths, w.diskLosses, w.moves, w.expiries = c.deaths, c.disks, c.moves, c.sweeps
				if violation := walk(w, rand.New(rand.NewPCG(seed, 2)), 150); violation != "" {
					t.Fatalf("walk %d: %s", seed, violation)
				}
			}
		})
	}
}
