package execution_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

func traceOutcome(trace *recorded.Trace, o execution.Outcome) {
	trace.Int(int(o.Phase), o.Attempt)
	trace.Text(o.Engine, o.IntendedBy, string(o.Result))
	trace.Uint(o.Process)
	trace.Bool(o.ResultOmitted, o.Final())
}

func traceRecord(trace *recorded.Trace, r execution.Record) {
	trace.Text(r.ID, r.StatementDigest)
	traceBallot(trace, r.Promised)
	traceBallot(trace, r.Accepted)
	trace.Uint(r.Version)
	traceOutcome(trace, r.Outcome)
	trace.Time(r.WrittenAt)
}

func traceReply(trace *recorded.Trace, kind string, r execution.Reply) {
	trace.Text(r.ID, string(r.Reason))
	trace.Uint(r.Version, r.ConfigNumber, r.AcceptedVersion)
	trace.Bool(r.OK)
	for _, b := range []execution.Ballot{r.Ballot, r.Promised, r.Accepted} {
		traceBallot(trace, b)
	}
	traceOutcome(trace, r.Outcome)
	trace.Count(kind + " reply " + strconv.FormatBool(r.OK) + " " + string(r.Reason))
}

func traceMembers(trace *recorded.Trace, list []execution.Member) {
	trace.Int(len(list))
	for _, m := range list {
		trace.Text(m.Name, m.Zone)
		trace.Float(m.Weight)
	}
}

// replyHandler is the common interface of a Proposer and an Execution.
type replyHandler interface {
	HandleReply(from string, r execution.Reply)
	Reconfigure(c execution.Config)
}

// run holds the replicas, proposers and executions of a few ids, and the messages between them, which may be lost, late
// or duplicated. The labels passed to Trace.Count are fixed by the recording.
type run struct {
	rng        *rand.Rand
	trace      *recorded.Trace
	settings   execution.Settings
	now        time.Duration
	members    []execution.Member
	config     execution.Config
	replicas   map[string]*execution.Replica
	proposers  []*execution.Proposer
	executions []*execution.Execution
	inFlight   []func()
	round      uint64
}

func (r *run) pick(list ...string) string { return list[r.rng.IntN(len(list))] }

func (r *run) memberNames() (names []string) {
	for _, m := range r.members {
		names = append(names, m.Name)
	}
	return names
}

func (r *run) randomEvidence() execution.Evidence {
	e := execution.Evidence{Ran: r.rng.IntN(2) == 0, UnknownToEngine: r.rng.IntN(2) == 0, OwnAttempt: r.rng.IntN(3) == 0}
	if e.Completed = e.Ran && r.rng.IntN(2) == 0; e.Completed {
		e.Result = make([]byte, r.rng.IntN(2*r.settings.MaxResultBytes))
	}
	if r.rng.IntN(2) == 0 {
		e.ProcessEndedFor = time.Duration(r.rng.Int64N(int64(2 * r.settings.EngineAbandonTime)))
	}
	return e
}

// send puts a message to each addressed replica in flight.
func (r *run) send(sender replyHandler, prepare *execution.Prepare, accept *execution.Accept, to []string) {
	r.trace.Int(len(to))
	if prepare != nil {
		r.trace.Text(prepare.ID, prepare.StatementDigest)
		traceBallot(r.trace, prepare.Ballot)
		r.trace.Uint(prepare.ConfigNumber)
	}
	if accept != nil {
		r.trace.Text(accept.ID, accept.StatementDigest)
		traceBallot(r.trace, accept.Ballot)
		r.trace.Uint(accept.Version, accept.ConfigNumber)
		traceOutcome(r.trace, accept.Outcome)
	}
	for _, name := range to {
		r.trace.Text(name)
		r.inFlight = append(r.inFlight, func() {
			var reply execution.Reply
			if prepare != nil {
				reply = r.replicas[name].Prepare(r.now, *prepare)
				traceReply(r.trace, "claim", reply)
			} else {
				reply = r.replicas[name].Accept(r.now, *accept)
				traceReply(r.trace, "write", reply)
			}
			r.inFlight = append(r.inFlight, func() { sender.HandleReply(name, reply) })
		})
	}
}

func (r *run) deliver() {
	for range 1 + r.rng.IntN(12) {
		if len(r.inFlight) == 0 {
			return
		}
		index := r.rng.IntN(min(6, len(r.inFlight)))
		deliver := r.inFlight[index]
		switch r.rng.IntN(12) {
		case 0: // lost
			r.inFlight = append(r.inFlight[:index:index], r.inFlight[index+1:]...)
			continue
		case 1: // duplicated
		default:
			r.inFlight = append(r.inFlight[:index:index], r.inFlight[index+1:]...)
		}
		deliver()
	}
}

func (r *run) stepProposer(p *execution.Proposer) {
	state, reason := p.State()
	r.trace.Int(int(state), int(p.Permission()))
	r.trace.Text(string(reason))
	r.trace.Text(p.Replicas()...)
	r.trace.Bool(p.MaySend())
	traceBallot(r.trace, p.FencedBy())
	traceOutcome(r.trace, p.Outcome())
	r.trace.Count(fmt.Sprintf("owner %d %d %s", state, p.Permission(), reason))
	switch n := r.rng.IntN(10); {
	case n < 6:
		prepare, accept, to := p.Messages()
		r.send(p, prepare, accept, to)
	case n < 8:
		r.trace.Bool(p.Intend(r.pick("e1", "e2"), r.rng.Uint64N(3)))
	case n == 8 && r.rng.IntN(3) == 0:
		r.trace.Bool(p.ResolveOutcome(r.randomEvidence()))
	}
}

func (r *run) stepExecution(e *execution.Execution) {
	prepare, accept, to := e.Messages(r.now)
	r.send(e, prepare, accept, to)
	decision := e.Step(r.now)
	r.trace.Int(int(decision))
	r.trace.Bool(e.Done())
	traceOutcome(r.trace, e.Outcome())
	r.trace.Count(fmt.Sprintf("passage %d %v", decision, e.Done()))
	if r.rng.IntN(4) == 0 {
		e.ResolveOutcome(r.randomEvidence())
	}
	if r.rng.IntN(4) == 0 {
		e.AttemptEnded(r.randomEvidence())
	}
}

func (r *run) begin(t *testing.T) {
	t.Helper()
	r.round++
	id, digest, zone := r.pick("i1", "i2", "i3"), r.pick("d", "d", "d", "d", "other"), r.pick("r0", "r1", "r9")
	round := 1 + r.rng.Uint64N(r.round)
	request := execution.Request{
		ID:              id,
		StatementDigest: digest,
		Proposer:        fmt.Sprint("m", r.rng.IntN(4), "/", r.round),
		Zone:            zone,
	}
	if r.rng.IntN(2) == 0 {
		r.proposers = append(r.proposers, execution.NewProposer(r.settings, request, round, r.config))
		return
	}
	parameters := execution.Parameters{
		Limits:   execution.DefaultLimits(),
		Settings: r.settings,
		Config:   r.config,
		Request:  request,
		Round:    round,
		Process:  7,
	}
	parameters.Engine = r.pick("e1", "e2")
	parameters.Retried = r.rng.IntN(2) == 0
	e, err := execution.Begin(r.now, parameters)
	if err != nil {
		t.Fatal(err)
	}
	r.executions = append(r.executions, e)
}

// reconfigure moves replicas to other members, in the stages of joint consensus.
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

func (r *run) traceReplica(replica *execution.Replica) {
	for _, record := range replica.Records() {
		traceRecord(r.trace, record)
	}
	r.trace.Int(replica.Size())
}

// repair compares two replicas and copies to b the records that b lacks.
func (r *run) repair(a, b *execution.Replica) {
	shared := func(id string) bool { return id != "i3" }
	digestsA, digestsB := a.RangeDigests(shared), b.RangeDigests(shared)
	r.trace.Uint(digestsA[:]...)
	for _, i := range digestsA.DifferingRanges(&digestsB) {
		summaries := a.Summaries(i, shared)
		missing := b.Missing(summaries)
		r.trace.Int(i, len(summaries))
		for _, summary := range summaries {
			r.trace.Text(summary.ID)
			traceBallot(r.trace, summary.Promised)
			traceBallot(r.trace, summary.Accepted)
			r.trace.Uint(summary.Version)
		}
		r.trace.Text(missing...)
		r.trace.Count("copies " + strconv.Itoa(len(missing)))
		for _, record := range a.Records() {
			if slices.Contains(missing, record.ID) {
				b.Merge(record)
			}
		}
	}
}

func (r *run) randomEvent(t *testing.T) {
	t.Helper()
	name := r.pick(r.memberNames()...)
	switch n := r.rng.IntN(100); {
	case n < 3:
		r.begin(t)
	case n < 35 && len(r.proposers) > 0:
		r.stepProposer(r.proposers[max(0, len(r.proposers)-1-r.rng.IntN(4))])
	case n < 60 && len(r.executions) > 0:
		r.stepExecution(r.executions[max(0, len(r.executions)-1-r.rng.IntN(4))])
	case n < 85:
		r.deliver()
	case n < 86:
		r.reconfigure()
	case n < 90:
		for _, p := range r.proposers {
			p.Reconfigure(r.config)
		}
		for _, e := range r.executions {
			e.Reconfigure(r.config)
		}
		r.replicas[name].Configure(r.config.Number)
	case n < 91 && r.rng.IntN(3) == 0: // the disk of the member is lost
		r.replicas[name], _ = execution.NewReplacementReplica(r.settings, r.config.Number)
	case n < 93:
		r.replicas[name].MarkBootstrapped()
	case n < 96:
		r.repair(r.replicas[name], r.replicas[r.pick(r.memberNames()...)])
	case n < 97:
		r.trace.Int(r.replicas[name].Expire(r.now))
	default:
		r.now += time.Duration(r.rng.Int64N(int64(60 * time.Millisecond)))
	}
}

// A seeded run of replicas, proposers and executions gives the recorded results, event by event.
func TestRecordedRun(t *testing.T) {
	trace := recorded.NewTrace()
	for seed := range uint64(30) {
		r := &run{
			rng:      rand.New(rand.NewPCG(seed, 6)),
			trace:    trace,
			settings: execution.Defaults(),
			replicas: map[string]*execution.Replica{},
		}
		r.settings.MaxRecords, r.settings.MaxBytes, r.settings.MaxResultBytes = 2+int(seed%3), 2000, 1500
		r.settings.Retention = 100 * time.Millisecond
		r.settings.Replicas = []int{3, 3, 5, 1}[seed%4]
		for i := range 6 {
			m := execution.Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("r", i%3), Weight: 1}
			r.members = append(r.members, m)
			var err error
			if r.replicas[m.Name], err = execution.NewReplica(r.settings, 1); err != nil {
				t.Fatal(err)
			}
		}
		r.config = execution.Config{Number: 1, Members: r.members}
		for range 1500 {
			r.randomEvent(t)
		}
		for _, name := range r.memberNames() {
			r.traceReplica(r.replicas[name])
		}
		trace.Mark()
	}
	trace.Compare(t, "run")
}

// Replica sets, the members that a bootstrap still has to read, and the order in which anti-entropy copies records are
// as recorded.
func TestRecordedPlacement(t *testing.T) {
	trace := recorded.NewTrace()
	rng := rand.New(rand.NewPCG(1, 7))
	var members []execution.Member
	for i := range 12 {
		members = append(members, execution.Member{
			Name:   fmt.Sprint("m", i),
			Zone:   fmt.Sprint("r", i%4),
			Weight: float64(rng.IntN(5)) / 2,
		})
	}
	for i := range 500 {
		traceMembers(trace, execution.ReplicaSet(fmt.Sprint("id", i), members[:i%13], 1+2*rng.IntN(4)))
	}
	for _, copies := range []int{1, 3, 5, 7} {
		bootstrap := execution.NewBootstrap(copies, "m1", members)
		for _, i := range rng.Perm(14) {
			bootstrap.MarkRead(fmt.Sprint("m", i))
			trace.Int(len(bootstrap.Missing()))
			trace.Text(bootstrap.Missing()...)
		}
	}
	antiEntropy := execution.NewAntiEntropy(50, time.Second)
	for now := time.Second; now < 20*time.Second; now += time.Duration(rng.Int64N(int64(100 * time.Millisecond))) {
		for range rng.IntN(6) {
			antiEntropy.SetCopies(fmt.Sprint("id", rng.IntN(400)), rng.IntN(5), 3)
		}
		next := antiEntropy.Next(now)
		trace.Int(antiEntropy.Waiting(), len(next))
		trace.Text(next...)
	}
	trace.Compare(t, "holders")
}
