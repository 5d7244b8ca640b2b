package execution_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"beechcart/decision/execution"
	"beechcart/internal/recorded"
)

func traceBallot(trace *recorded.Trace, b execution.Ballot) {
	trace.Uint(b.Round)
	trace.Text(b.Owner)
}

func traceFate(trace *recorded.Trace, f execution.Fate) {
	trace.Int(int(f.Phase), f.Attempt)
	trace.Text(f.Engine, f.By, string(f.Result))
	trace.Uint(f.Process)
	trace.Bool(f.Cut, f.Over())
}

func traceRecord(trace *recorded.Trace, r execution.Record) {
	trace.Text(r.ID, r.Digest)
	traceBallot(trace, r.Promised)
	traceBallot(trace, r.Accepted)
	trace.Uint(r.Version)
	traceFate(trace, r.Fate)
	trace.Time(r.Since)
}

func traceReply(trace *recorded.Trace, kind string, r execution.Reply) {
	trace.Text(r.ID, string(r.Why))
	trace.Uint(r.Version, r.Config, r.Held)
	trace.Bool(r.OK)
	for _, b := range []execution.Ballot{r.Ballot, r.Promised, r.Accepted} {
		traceBallot(trace, b)
	}
	traceFate(trace, r.Fate)
	trace.Count(kind + " reply " + strconv.FormatBool(r.OK) + " " + string(r.Why))
}

func traceMembers(trace *recorded.Trace, list []execution.Member) {
	trace.Int(len(list))
	for _, m := range list {
		trace.Text(m.Name, m.Room)
		trace.Float(m.Weight)
	}
}

// speaker is what an owner and a passage have in common.
type speaker interface {
	Heard(from string, r execution.Reply)
	Reconfigure(c execution.Config)
}

// run is holders and owners of a few ids, and words between them that are lost, late and repeated.
type run struct {
	rng      *rand.Rand
	trace    *recorded.Trace
	set      execution.Settings
	now      time.Duration
	members  []execution.Member
	config   execution.Config
	shelves  map[string]*execution.Shelf
	owners   []*execution.Owner
	passages []*execution.Passage
	words    []func()
	round    uint64
}

func (r *run) one(list ...string) string { return list[r.rng.IntN(len(list))] }

func (r *run) names() (out []string) {
	for _, m := range r.members {
		out = append(out, m.Name)
	}
	return out
}

func (r *run) evidence() execution.Evidence {
	e := execution.Evidence{Ran: r.rng.IntN(2) == 0, Unknown: r.rng.IntN(2) == 0, SameSelf: r.rng.IntN(3) == 0}
	if e.Ended = e.Ran && r.rng.IntN(2) == 0; e.Ended {
		e.Result = make([]byte, r.rng.IntN(2*r.set.MostResult))
	}
	if r.rng.IntN(2) == 0 {
		e.OverFor = time.Duration(r.rng.Int64N(int64(2 * r.set.Protocol)))
	}
	return e
}

// say puts words on their way.
func (r *run) say(to speaker, claim *execution.Claim, write *execution.Write, names []string) {
	r.trace.Int(len(names))
	if claim != nil {
		r.trace.Text(claim.ID, claim.Digest)
		traceBallot(r.trace, claim.Ballot)
		r.trace.Uint(claim.Config)
	}
	if write != nil {
		r.trace.Text(write.ID, write.Digest)
		traceBallot(r.trace, write.Ballot)
		r.trace.Uint(write.Version, write.Config)
		traceFate(r.trace, write.Fate)
	}
	for _, h := range names {
		r.trace.Text(h)
		r.words = append(r.words, func() {
			var reply execution.Reply
			if claim != nil {
				reply = r.shelves[h].Claim(r.now, *claim)
				traceReply(r.trace, "claim", reply)
			} else {
				reply = r.shelves[h].Write(r.now, *write)
				traceReply(r.trace, "write", reply)
			}
			r.words = append(r.words, func() { to.Heard(h, reply) })
		})
	}
}

func (r *run) deliver() {
	for range 1 + r.rng.IntN(12) {
		if len(r.words) == 0 {
			return
		}
		at := r.rng.IntN(min(6, len(r.words)))
		w := r.words[at]
		switch r.rng.IntN(12) {
		case 0: // lost
			r.words = append(r.words[:at:at], r.words[at+1:]...)
			continue
		case 1: // it comes again
		default:
			r.words = append(r.words[:at:at], r.words[at+1:]...)
		}
		w()
	}
}

func (r *run) stepOwner(o *execution.Owner) {
	stand, why := o.Stand()
	r.trace.Int(int(stand), int(o.May()))
	r.trace.Text(string(why))
	r.trace.Text(o.Holders()...)
	r.trace.Bool(o.Cleared())
	traceBallot(r.trace, o.Against())
	traceFate(r.trace, o.Fate())
	r.trace.Count(fmt.Sprintf("owner %d %d %s", stand, o.May(), why))
	switch n := r.rng.IntN(10); {
	case n < 6:
		claim, write, to := o.Words()
		r.say(o, claim, write, to)
	case n < 8:
		r.trace.Bool(o.Intend(r.one("e1", "e2"), r.rng.Uint64N(3)))
	case n == 8 && r.rng.IntN(3) == 0:
		r.trace.Bool(o.Learned(r.evidence()))
	}
}

func (r *run) stepPassage(p *execution.Passage) {
	claim, write, to := p.Words(r.now)
	r.say(p, claim, write, to)
	v := p.Step(r.now)
	r.trace.Int(int(v))
	r.trace.Bool(p.Done())
	traceFate(r.trace, p.Fate())
	r.trace.Count(fmt.Sprintf("passage %d %v", v, p.Done()))
	if r.rng.IntN(4) == 0 {
		p.Learned(r.evidence())
	}
	if r.rng.IntN(4) == 0 {
		p.Ended(r.evidence())
	}
}

func (r *run) begin(t *testing.T) {
	r.round++
	id, digest, room := r.one("i1", "i2", "i3"), r.one("d", "d", "d", "d", "other"), r.one("r0", "r1", "r9")
	round := 1 + r.rng.Uint64N(r.round)
	by := fmt.Sprint("m", r.rng.IntN(4), "/", r.round)
	if r.rng.IntN(2) == 0 {
		r.owners = append(r.owners, execution.NewOwner(r.set, id, digest, by, room, round, r.config))
		return
	}
	p, err := execution.Begin(r.now, execution.DefaultWay(), r.set, id, digest, by, room, round, r.config, r.one("e1", "e2"), 7, r.rng.IntN(2) == 0)
	if err != nil {
		t.Fatal(err)
	}
	r.passages = append(r.passages, p)
}

// reconfigure moves the copies to other holders, in stages as the agreed log has them.
func (r *run) reconfigure() {
	next := execution.Config{Number: r.config.Number + 1, Members: r.config.Members}
	if len(r.config.Before) == 0 {
		next.Before = r.config.Members
		next.Members = nil
		for _, m := range r.members {
			if r.rng.IntN(4) > 0 {
				m.Weight = []float64{0, 0.5, 1, 1, 2}[r.rng.IntN(5)]
				next.Members = append(next.Members, m)
			}
		}
	}
	r.config = next
}

func (r *run) traceShelf(s *execution.Shelf) {
	for _, record := range s.Records() {
		traceRecord(r.trace, record)
	}
	r.trace.Int(s.Size())
}

// repair compares two shelves and copies what one lacks.
func (r *run) repair(a, b *execution.Shelf) {
	shared := func(id string) bool { return id != "i3" }
	da, db := a.Digest(shared), b.Digest(shared)
	r.trace.Uint(da[:]...)
	for _, at := range da.Differ(&db) {
		heads := a.Heads(at, shared)
		lacks := b.Lacks(heads)
		r.trace.Int(at, len(heads))
		for _, h := range heads {
			r.trace.Text(h.ID)
			traceBallot(r.trace, h.Promised)
			traceBallot(r.trace, h.Accepted)
			r.trace.Uint(h.Version)
		}
		r.trace.Text(lacks...)
		r.trace.Count("copies " + strconv.Itoa(len(lacks)))
		for _, record := range a.Records() {
			for _, id := range lacks {
				if record.ID == id {
					b.Copy(record)
				}
			}
		}
	}
}

func (r *run) event(t *testing.T) {
	name := r.one(r.names()...)
	switch n := r.rng.IntN(100); {
	case n < 3:
		r.begin(t)
	case n < 35 && len(r.owners) > 0:
		r.stepOwner(r.owners[max(0, len(r.owners)-1-r.rng.IntN(4))])
	case n < 60 && len(r.passages) > 0:
		r.stepPassage(r.passages[max(0, len(r.passages)-1-r.rng.IntN(4))])
	case n < 85:
		r.deliver()
	case n < 86:
		r.reconfigure()
	case n < 90:
		for _, o := range r.owners {
			o.Reconfigure(r.config)
		}
		for _, p := range r.passages {
			p.Reconfigure(r.config)
		}
		r.shelves[name].Configure(r.config.Number)
	case n < 91 && r.rng.IntN(3) == 0: // its disk is lost
		r.shelves[name], _ = execution.NewShelf(r.set, r.config.Number, false)
	case n < 93:
		r.shelves[name].Filled()
	case n < 96:
		r.repair(r.shelves[name], r.shelves[r.one(r.names()...)])
	case n < 97:
		r.trace.Int(r.shelves[name].Sweep(r.now))
	default:
		r.now += time.Duration(r.rng.Int64N(int64(60 * time.Millisecond)))
	}
}

// What a seeded run of registers, owners and passages answers is the recorded answer, event by event.
func TestRecordedRun(t *testing.T) {
	trace := recorded.NewTrace()
	for seed := range uint64(30) {
		r := &run{rng: rand.New(rand.NewPCG(seed, 6)), trace: trace, set: execution.Defaults(), shelves: map[string]*execution.Shelf{}}
		r.set.MostRecords, r.set.MostBytes, r.set.MostResult = 2+int(seed%3), 2000, 1500
		r.set.KeepFor = 100 * time.Millisecond
		r.set.Copies = []int{3, 3, 5, 1}[seed%4]
		for i := range 6 {
			m := execution.Member{Name: fmt.Sprint("m", i), Room: fmt.Sprint("r", i%3), Weight: 1}
			r.members = append(r.members, m)
			var err error
			if r.shelves[m.Name], err = execution.NewShelf(r.set, 1, true); err != nil {
				t.Fatal(err)
			}
		}
		r.config = execution.Config{Number: 1, Members: r.members}
		for range 1500 {
			r.event(t)
		}
		for _, name := range r.names() {
			r.traceShelf(r.shelves[name])
		}
		trace.Mark()
	}
	trace.Compare(t, "run")
}

// Who holds an id, what has to be read before a lost disk counts again, and which copies are made first, are as recorded.
func TestRecordedHolders(t *testing.T) {
	trace := recorded.NewTrace()
	rng := rand.New(rand.NewPCG(1, 7))
	var members []execution.Member
	for i := range 12 {
		members = append(members, execution.Member{Name: fmt.Sprint("m", i), Room: fmt.Sprint("r", i%4), Weight: float64(rng.IntN(5)) / 2})
	}
	for i := range 500 {
		traceMembers(trace, execution.Holders(fmt.Sprint("id", i), members[:i%13], 1+2*rng.IntN(4)))
	}
	for _, copies := range []int{1, 3, 5, 7} {
		f := execution.NewFilling(copies, "m1", members)
		for _, i := range rng.Perm(14) {
			f.Read(fmt.Sprint("m", i))
			trace.Int(len(f.Missing()))
			trace.Text(f.Missing()...)
		}
	}
	repair := execution.NewRepair(50, time.Second)
	for now := time.Second; now < 20*time.Second; now += time.Duration(rng.Int64N(int64(100 * time.Millisecond))) {
		for range rng.IntN(6) {
			repair.Lost(fmt.Sprint("id", rng.IntN(400)), rng.IntN(5), 3)
		}
		next := repair.Next(now)
		trace.Int(repair.Todo(), len(next))
		trace.Text(next...)
	}
	trace.Compare(t, "holders")
}
