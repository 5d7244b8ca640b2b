package execution

import (
	"fmt"
	"time"
)

// Limits bounds the way of one request through its register. [DefaultWay] gives each bound with its reason.
type Limits struct {
	MaxWait        time.Duration // before the first byte of an attempt, or before it is told that there is none
	ResendInterval time.Duration // words that were not answered are said again
	MaxPrepares    int           // claims of a client that came back, each above the one that it lost to
}

// DefaultLimits is in force where nothing else is said.
func DefaultLimits() Limits {
	return Limits{
		MaxWait:        300 * time.Millisecond, // a tenth of a load's aim; two round trips between rooms take 3 ms
		ResendInterval: 40 * time.Millisecond,  // ten round trips, and seven times within MostWait
		MaxPrepares:    4,                      // one owner after another died in the middle, which is more than once an hour of one id
	}
}

// Check names the first bound that can't be used.
func (w Limits) Check() error {
	switch {
	case w.ResendInterval <= 0:
		return fmt.Errorf("ledger: again: found %v, allowed is more than 0", w.ResendInterval)
	case w.MaxWait < w.ResendInterval:
		return fmt.Errorf("ledger: most_wait: found %v, allowed is again (%v) or more", w.MaxWait, w.ResendInterval)
	case w.MaxPrepares < 1:
		return fmt.Errorf("ledger: most_tries: found %d, allowed is 1 or more", w.MaxPrepares)
	}
	return nil
}

// Decision is what a front end does with a request that goes through the ledger.
type Decision int

// The verdicts. All but Pending, Go and Ask are final.
const (
	Pending     Decision = iota // nothing yet
	SendNow                     // the attempt may be sent now; told once, at the last moment
	QueryEngine                 // an attempt of another owner may have run: ask its engine under the id, and tell Learned
	NotSent                     // this front end has sent nothing, and will not: a repeat is harmless
	Resolved                    // the fate is over, as Fate tells
	MayHaveRun                  // somebody may have sent it, or may yet: a repeat is not harmless
)

// Execution takes one request that must not run twice from its arrival to its recorded end, for one process. It holds what no owner
// alone can: the one bounded wait, what a late majority may still do, and what the client may be told.
//
//   - Go is told at most once, and only within MostWait of Begin, while the intent is held and no later owner is known of. A process that
//     was stopped in between looks at its clock here, and not only at its lease.
//   - A verdict is told within MostWait of Begin, whoever answers; none is taken back.
//   - Refused is told only to a client that asks for the first time, where no word of another owner was heard. A client that came
//     back is told InDoubt in its place: what it began elsewhere may run.
//   - What was asked for and not sent is withdrawn: an intent that a majority takes late is followed by NeverRan, or a successor
//     would find a doubt where there is none.
//   - Only a client that came back takes a register over from an owner that is ahead of it; two that ask at once do not fight: one is sealed out,
//     and its client told so.
type Execution struct {
	limits          Limits
	settings        Settings
	id              string
	statementDigest string
	proposerName    string
	zone            string
	retried         bool // the client came back: it has asked another front end before
	config          Config
	proposer        *Proposer
	prepares        int

	startedAt        time.Duration
	sentAt           time.Duration // words were last said then; negative: not since they changed
	engine           string
	process          uint64
	decision         Decision
	sendAllowed      bool     // Go was
	intentProposed   bool     // an intent was
	ended            bool     // the attempt has ended, as end says
	evidence         Evidence // to be written
	evidenceProposed bool
}

// Begin starts the way of a request that is to be sent to that engine. back tells a client that has asked another front end under this
// id before. by is "member/process", and round one that this process has not used for the id.
func Begin(now time.Duration, way Limits, set Settings, id, digest, by, room string, round uint64, c Config, engine string, process uint64, back bool) (*Execution, error) {
	if err := way.Check(); err != nil {
		return nil, err
	}
	if err := set.Check(); err != nil {
		return nil, err
	}
	p := &Execution{limits: way, settings: set, id: id, statementDigest: digest, proposerName: by, zone: room, retried: back, config: c, startedAt: now, engine: engine, process: process}
	p.prepare(round)
	return p, nil
}

func (p *Execution) prepare(round uint64) {
	p.proposer = NewProposer(p.settings, p.id, p.statementDigest, p.proposerName, p.zone, round, p.config)
	p.prepares++
	p.sentAt = -1
}

// Messages is what to say now, and to whom; nil where nothing is due. A claim or a write that is not answered is due again after Again, also
// behind a final verdict, until Done.
func (p *Execution) Messages(now time.Duration) (claim *Prepare, write *Accept, to []string) {
	if (p.sentAt >= 0 && now-p.sentAt < p.limits.ResendInterval) || p.Done() {
		return nil, nil, nil
	}
	if claim, write, to = p.proposer.Messages(); len(to) > 0 {
		p.sentAt = now
	}
	return claim, write, to
}

// HandleReply takes a holder's reply.
func (p *Execution) HandleReply(from string, r Reply) {
	was := p.proposer.state
	version := p.proposer.version
	if p.proposer.HandleReply(from, r); p.proposer.state != was || p.proposer.version != version {
		p.sentAt = -1
	}
}

// Reconfigure tells of other holders.
func (p *Execution) Reconfigure(c Config) {
	if c.Number > p.config.Number {
		p.config = c
		p.proposer.Reconfigure(c)
		p.sentAt = -1
	}
}

// Step tells what is to be done now. It is to be called after each reply, and every Again.
func (p *Execution) Step(now time.Duration) Decision {
	if p.decision != Pending || p.sendAllowed {
		p.recordOutcome()
		return p.decision
	}
	late := now-p.startedAt >= p.limits.MaxWait
	stand, why := p.proposer.State()
	switch {
	case stand == Rejected && why == Fenced && p.retried && p.prepares < p.limits.MaxPrepares && !late:
		p.prepare(p.proposer.FencedBy().Round + 1)
		return Pending
	case stand == Rejected:
		return p.giveUp(why == NoCapacity && !p.retried)
	case p.proposer.Permission() == Answer:
		p.decision = Resolved
		return Resolved
	case late:
		return p.giveUp(!p.retried && p.noOtherProposer())
	case p.proposer.MaySend():
		p.sendAllowed, p.sentAt = true, -1
		return SendNow
	}
	switch p.proposer.Permission() {
	case Send:
		if p.proposer.Intend(p.engine, p.process) {
			p.intentProposed, p.sentAt = true, -1
		}
	case Resolve:
		return QueryEngine
	}
	return Pending
}

// noOtherProposer tells that nothing of another owner was found, or heard of, so far.
func (p *Execution) noOtherProposer() bool {
	f := p.proposer.found
	return f.Phase == Registered && f.IntendedBy == "" && p.proposer.fencedBy == (Ballot{})
}

// giveUp gives the attempt up before it was sent.
func (p *Execution) giveUp(harmless bool) Decision {
	p.decision = MayHaveRun
	if harmless {
		p.decision = NotSent
	}
	p.ended, p.evidence = true, Evidence{OwnAttempt: true}
	p.recordOutcome()
	return p.decision
}

// ResolveOutcome tells what the engine of another owner's attempt says under the id; after Ask. What can't be closed by it is InDoubt.
func (p *Execution) ResolveOutcome(e Evidence) {
	if p.decision != Pending || p.sendAllowed || p.proposer.Permission() != Resolve {
		return
	}
	if p.proposer.ResolveOutcome(e); p.proposer.proposed.Phase == InDoubt {
		p.decision = MayHaveRun
	}
	p.sentAt = -1
}

// AttemptEnded tells how the attempt that Go let out has ended; the record of it follows.
func (p *Execution) AttemptEnded(e Evidence) {
	if p.sendAllowed && !p.ended {
		p.ended, p.evidence = true, e
		p.recordOutcome()
	}
}

// recordOutcome writes the end once the register can take it.
func (p *Execution) recordOutcome() {
	if p.ended && !p.evidenceProposed && p.proposer.state == Established && p.proposer.ResolveOutcome(p.evidence) {
		p.evidenceProposed, p.sentAt = true, -1
	}
}

// Outcome is what is held; Known tells that it is over.
func (p *Execution) Outcome() Outcome { return p.proposer.Outcome() }

// Done tells that nothing more is to be said: the end is held, or a later owner has the register, or nothing was asked for.
func (p *Execution) Done() bool {
	stand, _ := p.proposer.State()
	switch {
	case p.decision == Pending && !p.ended:
		return false
	case stand == Rejected, p.decision == Resolved, !p.intentProposed:
		return true // a claim that goes on would only seal others out
	}
	return p.evidenceProposed && stand == Established
}
