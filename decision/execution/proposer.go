package execution

import (
	"slices"
	"time"
)

// Request is a non-idempotent request and the process that acts for it.
type Request struct {
	ID              string
	StatementDigest string // of the statement that the id belongs to
	Proposer        string // "member/process", unique to this process
	Zone            string // of that process
}

// ProposerState is the progress of a proposer.
type ProposerState int

// The states of a proposer.
const (
	Preparing   ProposerState = iota // the proposer asks replicas to promise its ballot
	Recovering                       // the proposer asks replicas to accept the outcome that it found, under its ballot
	Established                      // a majority has accepted the latest proposal
	Accepting                        // the proposer asks replicas to accept a new outcome
	Rejected                         // a later ballot fences the proposer, or a replica rejects the request: final
)

// Proposer is one attempt of one process to act for a request id. The caller sends Messages to the replicas and passes
// their replies to HandleReply.
type Proposer struct {
	settings Settings
	request  Request
	ballot   Ballot
	config   Config

	state        ProposerState
	reason       RejectReason    // if Rejected
	fencedBy     Ballot          // if Rejected as Fenced
	acknowledged map[string]bool // replicas that acknowledged the current message, by member name

	// The latest accepted outcome in the replies to Prepare.
	found        Outcome
	foundBallot  Ballot
	foundVersion uint64

	version  uint64  // of proposed; grows with each proposal
	proposed Outcome // that the replicas are asked to accept
	outcome  Outcome // that a majority has accepted
}

// NewProposer returns a proposer in the state Preparing, for the register of the request's id. round must be greater
// than any round that the process has used for the id.
func NewProposer(settings Settings, request Request, round uint64, config Config) *Proposer {
	return &Proposer{
		settings:     settings,
		request:      request,
		ballot:       Ballot{Round: round, Proposer: request.Proposer},
		config:       config,
		acknowledged: map[string]bool{},
	}
}

// State returns the state of the proposer and, if it is Rejected, the reason.
func (p *Proposer) State() (ProposerState, RejectReason) { return p.state, p.reason }

// FencedBy returns the ballot that fences the proposer, or the zero Ballot if the proposer is not fenced.
func (p *Proposer) FencedBy() Ballot { return p.fencedBy }

// Outcome returns the outcome that a majority has accepted, as far as the proposer knows. It is valid in the state
// Established only.
func (p *Proposer) Outcome() Outcome { return p.outcome }

// Replicas returns the names of the members whose replies count, without duplicates.
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

// replicaSets returns the replica sets that must all agree: the set of the current members, and while replicas move,
// that of the previous members as well.
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

// hasQuorumOf reports whether a majority of one set has acknowledged, including a replica outside the proposer's zone
// if the set has one.
func (p *Proposer) hasQuorumOf(replicas []Member) bool {
	acknowledged, acknowledgedInOtherZone, hasOtherZone := 0, false, false
	for _, member := range replicas {
		otherZone := member.Zone != p.request.Zone
		hasOtherZone = hasOtherZone || otherZone
		if p.acknowledged[member.Name] {
			acknowledged++
			acknowledgedInOtherZone = acknowledgedInOtherZone || otherZone
		}
	}
	if len(replicas) == 0 || acknowledged < majority(len(replicas)) {
		return false
	}
	return acknowledgedInOtherZone || !hasOtherZone
}

// majority returns the size of the smallest majority of n replicas.
func majority(n int) int { return n/2 + 1 }

// Messages returns the current message, either a Prepare or an Accept, and the names of the members whose replicas have
// not acknowledged the message. The message may be sent any number of times. In the states Established and
// Rejected there is no message, and Messages returns nil, nil, nil.
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

// HandleReply handles the reply of the replica of the member named from. A reply to an earlier message changes nothing
// (invariant 8).
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
		p.adoptIfLater(reply)
	}
	switch {
	case !p.hasQuorum():
	case p.state == Preparing:
		// Possibly only a minority has accepted the found outcome: a majority must accept the outcome before the
		// proposer acts on it.
		p.propose(p.found, Recovering)
	default:
		p.state, p.outcome = Established, p.proposed
	}
}

// awaits reports whether a reply answers the current message.
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

// handleRejection handles a rejection. A replica that is not bootstrapped, knows a later configuration or has no record
// of the id is asked again.
func (p *Proposer) handleRejection(reply Reply) {
	switch reply.Reason {
	case Fenced:
		p.state, p.reason, p.fencedBy = Rejected, reply.Reason, reply.Promised
	case OtherStatement, NoCapacity:
		p.state, p.reason = Rejected, reply.Reason
	case StaleConfig, NotBootstrapped, NotPrepared:
	}
}

// adoptIfLater adopts the accepted outcome in a reply to Prepare if that outcome is later than the one found so far
// (invariant 3).
func (p *Proposer) adoptIfLater(reply Reply) {
	order := p.foundBallot.Compare(reply.Accepted)
	if order < 0 || (order == 0 && p.foundVersion < reply.AcceptedVersion) {
		p.found, p.foundBallot, p.foundVersion = reply.Outcome, reply.Accepted, reply.AcceptedVersion
	}
}

// propose starts to ask the replicas to accept an outcome, in the state Recovering or Accepting.
func (p *Proposer) propose(outcome Outcome, state ProposerState) {
	p.version++
	p.proposed, p.state = outcome, state
	clear(p.acknowledged)
}

// Reconfigure adopts a later configuration, whose replicas are then asked anew. An earlier one changes nothing.
func (p *Proposer) Reconfigure(config Config) {
	if config.Number <= p.config.Number || p.state == Rejected {
		return
	}
	p.config = config
	clear(p.acknowledged)
	if p.state == Preparing {
		return
	}
	// The new replicas have not promised this ballot, so the ballot is prepared again. The outcome that is proposed or
	// accepted under the ballot counts as found.
	p.found = p.proposed
	if p.state == Established {
		p.found = p.outcome
	}
	p.foundBallot, p.foundVersion = p.ballot, p.version
	p.state = Preparing
}

// Permission is the next action that a proposer permits.
type Permission int

// The permissions.
const (
	Wait    Permission = iota // no action yet
	Answer                    // the outcome is final: answer the client
	Send                      // nothing was sent: call Intend
	Resolve                   // an attempt of another proposer may have run: query its engine, then call ResolveOutcome
)

// Permission returns the action that is permitted now.
func (p *Proposer) Permission() Permission {
	switch {
	case p.state != Established:
		return Wait
	case p.outcome.Final():
		return Answer
	case p.outcome.Phase == Registered:
		return Send
	case p.outcome.IntendedBy == p.ballot.Proposer:
		return Wait // the proposer's own attempt may be running
	}
	return Resolve
}

// Intend proposes to send an attempt to a process of an engine and reports whether the proposal is permitted. The
// attempt may be sent once MaySend reports true.
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

// MaySend reports whether the attempt that was intended may be sent now. Call it right before the first byte.
func (p *Proposer) MaySend() bool {
	return p.state == Established && p.outcome.Phase == Intended && p.outcome.IntendedBy == p.ballot.Proposer
}

// Evidence is what is known about an attempt that was intended.
type Evidence struct {
	Ran             bool          // the engine has executed the attempt or is executing it
	Completed       bool          // the engine has executed the attempt to the end, with Result
	Result          []byte        // if Completed
	UnknownToEngine bool          // the engine does not know the id
	ProcessEndedFor time.Duration // since the provable end of the intending process; 0: that process may still run
	OwnAttempt      bool          // the attempt is this proposer's own, and provably was not sent or has ended
}

// ResolveOutcome proposes the outcome that the evidence proves: Completed, NeverRan or else InDoubt (invariant 4). It
// reports whether an outcome was proposed: a final outcome stays, and InDoubt is not proposed twice.
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
