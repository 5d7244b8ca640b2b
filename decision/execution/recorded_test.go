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
	trace.Text(b.Proposer)
}

func traceFate(trace *recorded.Trace, f execution.Outcome) {
	trace.Int(int(f.Phase), f.Attempt)
	trace.Text(f.Engine, f.IntendedBy, string(f.Result))
	trace.Uint(f.Process)
	trace.Bool(f.ResultOmitted, f.Final())
}

func traceRecord(trace *recorded.Trace, r execution.Record) {
	trace.Text(r.ID, r.StatementDigest)
	traceBallot(trace, r.Promised)
	traceBallot(trace, r.Accepted)
	trace.Uint(r.Version)
	traceFate(trace, r.Outcome)
	trace.Time(r.WrittenAt)
}

func traceReply(trace *recorded.Trace, kind string, r execution.Reply) {
	trace.Text(r.ID, string(r.Reason))
	trace.Uint(r.Version, r.ConfigNumber, r.AcceptedVersion)
	trace.Bool(r.OK)
	for _, b := range []execution.Ballot{r.Ballot, r.Promised, r.Accepted} {
		traceBallot(trace, b)
	}
	traceFate(trace, r.Outcome)
	trace.Count(kind + " reply " + strconv.FormatBool(r.OK) + " " + string(r.Reason))
}

func traceMembers(trace *recorded.Trace, list []execution.Member) {
	trace.Int(len(list))
	for _, m := range list {
		trace.Text(m.Name, m.Zone)
		trace.Float(m.Weight)
	}
}

// replyHandler is what an owner and a passage have in common.
type replyHandler interface {
	HandleReply(from string, r execution.Reply)
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
	shelves  map[string]*execution.Replica
	owners   []*execution.Proposer
	passages []*execution.Execution
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
	e := execution.Evidence{Ran: r.rng.IntN(2) == 0, UnknownToEngine: r.rng.IntN(2) == 0, OwnAttempt: r.rng.IntN(3) == 0}
	if e.Completed = e.Ran && r.rng.IntN(2) == 0; e.Completed {
		e.Result = make([]byte, r.rng.IntN(2*r.set.MaxResultBytes))
	}
	if r.rng.IntN(2) == 0 {
		e.ProcessEndedFor = time.Duration(r.rng.Int64N(int64(2 * r.set.EngineAbandonTime)))
	}
	return e
}

// say puts words on their way.
func (r *run) say(to replyHandler, claim *execution.Prepare, write *execution.Accept, names []string) {
	r.trace.Int(len(names))
	if claim != nil {
		r.trace.Text(claim.ID, claim.StatementDigest)
		traceBallot(r.trace, claim.Ballot)
		r.trace.Uint(claim.ConfigNumber)
	}
	if write != nil {
		r.trace.Text(write.ID, write.StatementDigest)
		traceBallot(r.trace, write.Ballot)
		r.trace.Uint(write.Version, write.ConfigNumber)
		traceFate(r.trace, write.Outcome)
	}
	for _, h := range names {
		r.trace.Text(h)
		r.words = append(r.words, func() {
			var reply execution.Reply
			if claim != nil {
				reply = r.shelves[h].Prepare(r.now, *claim)
				traceReply(r.trace, "claim", reply)
			} else {
				reply = r.shelves[h].Accept(r.now, *write)
				traceReply(r.trace, "write", reply)
			}
			r.words = append(r.words, func() { to.HandleReply(h, reply) })
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

func (r *run) stepOwner(o *execution.Proposer) {
	stand, why := o.State()
	r.trace.Int(int(stand), int(o.Permission()))
	r.trace.Text(string(why))
	r.trace.Text(o.Replicas()...)
	r.trace.Bool(o.MaySend())
	traceBallot(r.trace, o.FencedBy())
	traceFate(r.trace, o.Outcome())
	r.trace.Count(fmt.Sprintf("owner %d %d %s", stand, o.Permission(), why))
	switch n := r.rng.IntN(10); {
	case n < 6:
		claim, write, to := o.Messages()
		r.say(o, claim, write, to)
	case n < 8:
		r.trace.Bool(o.Intend(r.one("e1", "e2"), r.rng.Uint64N(3)))
	case n == 8 && r.rng.IntN(3) == 0:
		r.trace.Bool(o.ResolveOutcome(r.evidence()))
	}
}

func (r *run) stepPassage(p *execution.Execution) {
	claim, write, to := p.Messages(r.now)
	r.say(p, claim, write, to)
	v := p.Step(r.now)
	r.trace.Int(int(v))
	r.trace.Bool(p.Done())
	traceFate(r.trace, p.Outcome())
	r.trace.Count(fmt.Sprintf("passage %d %v", v, p.Done()))
	if r.rng.IntN(4) == 0 {
		p.ResolveOutcome(r.evidence())
	}
	if r.rng.IntN(4) == 0 {
		p.AttemptEnded(r.evidence())
	}
}

func (r *run) begin(t *testing.T) {
	r.round++
	id, digest, room := r.one("i1", "i2", "i3"), r.one("d", "d", "d", "d", "other"), r.one("r0", "r1", "r9")
	round := 1 + r.rng.Uint64N(r.round)
	by := fmt.Sprint("m", r.rng.IntN(4), "/", r.round)
	if r.rng.IntN(2) == 0 {
		r.owners = append(r.owners, execution.NewProposer(r.set, id, digest, by, room, round, r.config))
		return
	}
	p, err := execution.Begin(r.now, execution.DefaultLimits(), r.set, id, digest, by, room, round, r.config, r.one("e1", "e2"), 7, r.rng.IntN(2) == 0)
	if err != nil {
		t.Fatal(err)
	}
	r.passages = append(r.passages, p)
}

// reconfigure moves the copies to other holders, in stages as the agreed log has them.
func (r *run) reconfigure() {
	next := execution.Config{Number: r.config.Number + 1, Members: r.config.Members}
	if len(r.config.Previous) == 0 {
		next.Previous = r.config.Members
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

func (r *run) traceShelf(s *execution.Replica) {
	for _, record := range s.Records() {
		traceRecord(r.trace, record)
	}
	r.trace.Int(s.Size())
}

// repair compares two shelves and copies what one lacks.
func (r *run) repair(a, b *execution.Replica) {
	shared := func(id string) bool { return id != "i3" }
	da, db := a.RangeDigests(shared), b.RangeDigests(shared)
	r.trace.Uint(da[:]...)
	for _, at := range da.DifferingRanges(&db) {
		heads := a.Summaries(at, shared)
		lacks := b.Missing(heads)
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
					b.Merge(record)
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
		r.shelves[name], _ = execution.NewReplica(r.set, r.config.Number, false)
	case n < 93:
		r.shelves[name].MarkBootstrapped()
	case n < 96:
		r.repair(r.shelves[name], r.shelves[r.one(r.names()...)])
	case n < 97:
		r.trace.Int(r.shelves[name].Expire(r.now))
	default:
		r.now += time.Duration(r.rng.Int64N(int64(60 * time.Millisecond)))
	}
}

// What a seeded run of registers, owners and passages answers is the recorded answer, event by event.
func TestRecordedRun(t *testing.T) {
	trace := recorded.NewTrace()
	for seed := range uint64(30) {
		r := &run{rng: rand.New(rand.NewPCG(seed, 6)), trace: trace, set: execution.Defaults(), shelves: map[string]*execution.Replica{}}
		r.set.MaxRecords, r.set.MaxBytes, r.set.MaxResultBytes = 2+int(seed%3), 2000, 1500
		r.set.Retention = 100 * time.Millisecond
		r.set.Replicas = []int{3, 3, 5, 1}[seed%4]
		for i := range 6 {
			m := execution.Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("r", i%3), Weight: 1}
			r.members = append(r.members, m)
			var err error
			if r.shelves[m.Name], err = execution.NewReplica(r.set, 1, true); err != nil {
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
		members = append(members, execution.Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("r", i%4), Weight: float64(rng.IntN(5)) / 2})
	}
	for i := range 500 {
		traceMembers(trace, execution.ReplicaSet(fmt.Sprint("id", i), members[:i%13], 1+2*rng.IntN(4)))
	}
	for _, copies := range []int{1, 3, 5, 7} {
		f := execution.NewBootstrap(copies, "m1", members)
		for _, i := range rng.Perm(14) {
			f.MarkRead(fmt.Sprint("m", i))
			trace.Int(len(f.Missing()))
			trace.Text(f.Missing()...)
		}
	}
	repair := execution.NewAntiEntropy(50, time.Second)
	for now := time.Second; now < 20*time.Second; now += time.Duration(rng.Int64N(int64(100 * time.Millisecond))) {
		for range rng.IntN(6) {
			repair.SetCopies(fmt.Sprint("id", rng.IntN(400)), rng.IntN(5), 3)
		}
		next := repair.Next(now)
		trace.Int(repair.Waiting(), len(next))
		trace.Text(next...)
	}
	trace.Compare(t, "holders")
}
