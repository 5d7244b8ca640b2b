package execution

import (
	"slices"
	"time"
)

// Request is a non-idempotent request and the process that acts for it.
type Request struct {
	ID              string
	StatementDigest string // what the id belongs to
	Proposer        string // "member/process": this process's alone
	Zone            string // of that process
}

// ProposerState is how far a proposer has come.
type ProposerState int

// The states of a proposer.
const (
	Preparing   ProposerState = iota // it asks for promises of its ballot
	Recovering                       // it has what it found accepted under its ballot
	Established                      // what it proposed last is accepted by a majority
	Accepting                        // it has proposed more
	Rejected                         // a later ballot fences it, or replicas reject the request: final
)

// Proposer is one attempt of one process to act for a request id. Its caller sends Messages to the replicas and hands
// it their replies.
type Proposer struct {
	settings Settings
	request  Request
	ballot   Ballot
	config   Config

	state        ProposerState
	reason       RejectReason    // if Rejected
	fencedBy     Ballot          // if Rejected as Fenced
	acknowledged map[string]bool // replicas that said yes to the message that is out, by member name

	// The latest that the replies to Prepare have told of.
	found        Outcome
	foundBallot  Ballot
	foundVersion uint64

	version  uint64  // of proposed; grows with each proposal
	proposed Outcome // that the replicas are asked to accept
	outcome  Outcome // that a majority has accepted
}

// NewProposer returns a proposer that prepares its register. round must be greater than any that the process has used
// for the id.
func NewProposer(settings Settings, request Request, round uint64, config Config) *Proposer {
	return &Proposer{
		settings:     settings,
		request:      request,
		ballot:       Ballot{Round: round, Proposer: request.Proposer},
		config:       config,
		acknowledged: map[string]bool{},
	}
}

// State returns how far the proposer has come and, if it is Rejected, why.
func (p *Proposer) State() (ProposerState, RejectReason) { return p.state, p.reason }

// FencedBy returns the ballot that fences the proposer, the zero Ballot if there is none.
func (p *Proposer) FencedBy() Ballot { return p.fencedBy }

// Outcome returns what a majority has accepted, as far as the proposer knows; valid if it is Established.
func (p *Proposer) Outcome() Outcome { return p.outcome }

// Replicas returns the names of the members whose replies count, each once.
func (p *Proposer) Replicas() []string {
	var names []string
	for _, replicas := range p.replicaSets() {
		for _, member := range replicas {
			if !slices.Contains(names, member.Name) {
				names = append(names, member.Name)
			}
		}
	}
	return names
}

// replicaSets returns the sets each of which must agree: one, or two while copies move.
func (p *Proposer) replicaSets() [][]Member {
	sets := [][]Member{ReplicaSet(p.request.ID, p.config.Members, p.settings.Replicas)}
	if len(p.config.Previous) > 0 {
		sets = append(sets, ReplicaSet(p.request.ID, p.config.Previous, p.settings.Replicas))
	}
	return sets
}

// hasQuorum reports whether enough replicas of every set have acknowledged (invariant 1).
func (p *Proposer) hasQuorum() bool {
	for _, replicas := range p.replicaSets() {
		if !p.hasQuorumOf(replicas) {
			return false
		}
	}
	return true
}

// hasQuorumOf reports whether a majority of one set has acknowledged, and with it a replica outside the proposer's zone
// if the set has one.
func (p *Proposer) hasQuorumOf(replicas []Member) bool {
	acknowledged, elsewhere, anyElsewhere := 0, false, false
	for _, member := range replicas {
		otherZone := member.Zone != p.request.Zone
		anyElsewhere = anyElsewhere || otherZone
		if p.acknowledged[member.Name] {
			acknowledged++
			elsewhere = elsewhere || otherZone
		}
	}
	if len(replicas) == 0 || acknowledged < majority(len(replicas)) {
		return false
	}
	return elsewhere || !anyElsewhere
}

// majority is the smallest majority of n replicas.
func majority(n int) int { return n/2 + 1 }

// Messages returns the message that is out, one of the two, and the replicas that have not acknowledged it. It may be
// sent any number of times. Without a message it returns nil, nil, nil.
func (p *Proposer) Messages() (prepare *Prepare, accept *Accept, to []string) {
	switch p.state {
	case Preparing:
		prepare = &Prepare{
			ID:              p.request.ID,
			StatementDigest: p.request.StatementDigest,
			Ballot:          p.ballot,
			ConfigNumber:    p.config.Number,
		}
	case Recovering, Accepting:
		accept = &Accept{
			ID:              p.request.ID,
			StatementDigest: p.request.StatementDigest,
			Ballot:          p.ballot,
			Version:         p.version,
			Outcome:         p.proposed,
			ConfigNumber:    p.config.Number,
		}
	default:
		return nil, nil, nil
	}
	for _, name := range p.Replicas() {
		if !p.acknowledged[name] {
			to = append(to, name)
		}
	}
	return prepare, accept, to
}

// HandleReply takes the reply of the replica of a member. A reply to an earlier message changes nothing (invariant 8).
func (p *Proposer) HandleReply(from string, reply Reply) {
	if !p.awaits(from, reply) {
		return
	}
	if !reply.OK {
		p.handleRejection(reply)
		return
	}
	p.acknowledged[from] = true
	if p.state == Preparing {
		p.adoptLater(reply)
	}
	switch {
	case !p.hasQuorum():
	case p.state == Preparing:
		// What is found may be accepted by a minority only: it must not be acted upon before a majority has it.
		p.propose(p.found, Recovering)
	default:
		p.state, p.outcome = Established, p.proposed
	}
}

// awaits reports whether a reply answers the message that is out.
func (p *Proposer) awaits(from string, reply Reply) bool {
	if reply.ID != p.request.ID || reply.Ballot != p.ballot || !slices.Contains(p.Replicas(), from) {
		return false
	}
	switch p.state {
	case Preparing:
		return reply.Version == 0
	case Recovering, Accepting:
		return reply.Version == p.version
	default:
		return false
	}
}

// handleRejection takes a rejection. A replica that is not bootstrapped, or whose configuration differs, is asked
// again.
func (p *Proposer) handleRejection(reply Reply) {
	switch reply.Reason {
	case Fenced:
		p.state, p.reason, p.fencedBy = Rejected, reply.Reason, reply.Promised
	case OtherStatement, NoCapacity:
		p.state, p.reason = Rejected, reply.Reason
	case StaleConfig, NotBootstrapped, NotPrepared:
	}
}

// adoptLater keeps the accepted outcome of a reply to Prepare if it is later than what was found so far (invariant 3).
func (p *Proposer) adoptLater(reply Reply) {
	order := p.foundBallot.Compare(reply.Accepted)
	if order < 0 || (order == 0 && p.foundVersion < reply.AcceptedVersion) {
		p.found, p.foundBallot, p.foundVersion = reply.Outcome, reply.Accepted, reply.AcceptedVersion
	}
}

// propose asks the replicas to accept an outcome.
func (p *Proposer) propose(outcome Outcome, state ProposerState) {
	p.version++
	p.proposed, p.state = outcome, state
	clear(p.acknowledged)
}

// Reconfigure tells of a later configuration. What is out is asked anew of the replicas in force now.
func (p *Proposer) Reconfigure(config Config) {
	if config.Number <= p.config.Number || p.state == Rejected {
		return
	}
	p.config = config
	clear(p.acknowledged)
	if p.state == Preparing {
		return
	}
	// The new replicas have promised this ballot nothing, so it is prepared again; what it found or proposed stands for
	// it.
	p.found = p.proposed
	if p.state == Established {
		p.found = p.outcome
	}
	p.foundBallot, p.foundVersion = p.ballot, p.version
	p.state = Preparing
}

// Permission is what a proposer may do next.
type Permission int

// The permissions.
const (
	Wait    Permission = iota // nothing yet
	Answer                    // the outcome is final: tell the client
	Send                      // nothing was sent: an attempt may be intended
	Resolve                   // an attempt of another proposer may have run: ask its engine, then call ResolveOutcome
)

// Permission returns what may be done now.
func (p *Proposer) Permission() Permission {
	switch {
	case p.state != Established:
		return Wait
	case p.outcome.Final():
		return Answer
	case p.outcome.Phase == Registered:
		return Send
	case p.outcome.IntendedBy == p.ballot.Proposer:
		return Wait // its own attempt runs
	}
	return Resolve
}

// Intend proposes an attempt at a process of an engine and reports whether that is permitted. The attempt may be sent
// once MaySend reports true.
func (p *Proposer) Intend(engine string, process uint64) bool {
	if p.Permission() != Send {
		return false
	}
	intent := p.outcome
	intent.Phase = Intended
	intent.Attempt++
	intent.Engine, intent.Process, intent.IntendedBy = engine, process, p.ballot.Proposer
	p.propose(intent, Accepting)
	return true
}

// MaySend reports whether the attempt that was intended may be sent now. It is to be asked right before the first byte.
func (p *Proposer) MaySend() bool {
	return p.state == Established && p.outcome.Phase == Intended && p.outcome.IntendedBy == p.ballot.Proposer
}

// Evidence is what is known about an attempt that was intended.
type Evidence struct {
	Ran             bool          // its engine has executed it, or does
	Completed       bool          // its engine has executed it to the end, with Result
	Result          []byte        // if Completed
	UnknownToEngine bool          // its engine does not know the id
	ProcessEndedFor time.Duration // since the proposer's process has provably ended; 0: it may still run
	OwnAttempt      bool          // it is this proposer's own and was provably not sent, or has ended
}

// ResolveOutcome proposes what the evidence proves: Completed, NeverRan or else InDoubt. It reports whether that is
// anything new (invariant 4).
func (p *Proposer) ResolveOutcome(evidence Evidence) bool {
	if p.state != Established || p.outcome.Final() || p.outcome.Phase == Registered {
		return false
	}
	outcome := p.outcome
	abandoned := evidence.ProcessEndedFor > p.settings.EngineAbandonTime
	switch {
	case evidence.Completed:
		outcome.Phase, outcome.Result = Completed, evidence.Result
		if len(outcome.Result) > p.settings.MaxResultBytes {
			outcome.Result, outcome.ResultOmitted = nil, true
		}
	case evidence.OwnAttempt && outcome.IntendedBy == p.ballot.Proposer && !evidence.Ran:
		outcome.Phase = NeverRan
	case evidence.UnknownToEngine && !evidence.Ran && abandoned:
		outcome.Phase = NeverRan
	default:
		if outcome.Phase == InDoubt {
			return false
		}
		outcome.Phase = InDoubt
	}
	p.propose(outcome, Accepting)
	return true
}
