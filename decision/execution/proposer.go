package execution

import (
	"slices"
	"time"
)

// ProposerState is where an owner stands.
type ProposerState int

// The stands of an owner.
const (
	Preparing   ProposerState = iota // it asks for the register
	Recovering                       // it writes back what it found
	Established                      // the register is its own, and what it wrote last is held
	Accepting                        // it has asked to write more
	Rejected                         // a later owner has it, or it was refused: it may do nothing more
)

// Proposer is one attempt of one process to act for a promise.
type Proposer struct {
	settings        Settings
	id              string
	statementDigest string
	ballot          Ballot
	zone            string
	config          Config
	state           ProposerState
	reason          RejectReason
	fencedBy        Ballot // Lost to it
	acknowledged    map[string]bool
	found           Outcome
	foundBallot     Ballot
	foundVersion    uint64
	version         uint64
	outcome         Outcome // that is held
	proposed        Outcome // that is being written
}

// NewProposer begins a claim. by is "member/process" and must be this process's alone; round must be greater than any that
// this process has used for the id.
func NewProposer(set Settings, id, digest, by, room string, round uint64, c Config) *Proposer {
	return &Proposer{settings: set, id: id, statementDigest: digest, ballot: Ballot{round, by}, zone: room, config: c, acknowledged: map[string]bool{}}
}

// State tells where it stands, and for Lost why.
func (o *Proposer) State() (ProposerState, RejectReason) { return o.state, o.reason }

// FencedBy is the ballot that it lost to, or would have to pass.
func (o *Proposer) FencedBy() Ballot { return o.fencedBy }

// Outcome is what is held, once it holds the register.
func (o *Proposer) Outcome() Outcome { return o.outcome }

// Replicas are those whose word counts now.
func (o *Proposer) Replicas() []string {
	var out []string
	for _, group := range o.replicaSets() {
		for _, m := range group {
			if !slices.Contains(out, m.Name) {
				out = append(out, m.Name)
			}
		}
	}
	return out
}

// replicaSets are the sets of holders each of which must agree.
func (o *Proposer) replicaSets() [][]Member {
	g := [][]Member{ReplicaSet(o.id, o.config.Members, o.settings.Replicas)}
	if len(o.config.Previous) > 0 {
		g = append(g, ReplicaSet(o.id, o.config.Previous, o.settings.Replicas))
	}
	return g
}

// hasQuorum tells whether those that have said yes are enough: a majority of each group, and one of another room than the
// owner's where the group has one.
func (o *Proposer) hasQuorum() bool {
	for _, group := range o.replicaSets() {
		yes, away, rooms := 0, false, false
		for _, m := range group {
			rooms = rooms || m.Zone != o.zone
			if o.acknowledged[m.Name] {
				yes++
				away = away || m.Zone != o.zone
			}
		}
		need := len(group)/2 + 1
		if len(group) == 0 || yes < need || (rooms && !away) {
			return false
		}
	}
	return true
}

// Messages is what to say to each holder that has not answered yet; nil where nothing is asked. It may be said any number of times.
func (o *Proposer) Messages() (claim *Prepare, write *Accept, to []string) {
	switch o.state {
	case Preparing:
		claim = &Prepare{o.id, o.statementDigest, o.ballot, o.config.Number}
	case Recovering, Accepting:
		write = &Accept{o.id, o.statementDigest, o.ballot, o.version, o.proposed, o.config.Number}
	default:
		return nil, nil, nil
	}
	for _, h := range o.Replicas() {
		if !o.acknowledged[h] {
			to = append(to, h)
		}
	}
	return claim, write, to
}

// HandleReply takes a holder's reply.
func (o *Proposer) HandleReply(from string, r Reply) {
	if r.ID != o.id || r.Ballot != o.ballot || !slices.Contains(o.Replicas(), from) {
		return
	}
	switch {
	case o.state == Preparing && r.Version == 0:
	case (o.state == Recovering || o.state == Accepting) && r.Version == o.version:
	default:
		return // of an earlier word
	}
	if !r.OK {
		switch r.Reason {
		case Fenced:
			o.reject(r.Reason)
			o.fencedBy = r.Promised
		case OtherStatement, NoCapacity:
			o.reject(r.Reason)
		}
		return // one that is stale or not filled yet is asked again
	}
	o.acknowledged[from] = true
	if o.state == Preparing {
		if c := o.foundBallot.Compare(r.Accepted); c < 0 || (c == 0 && o.foundVersion < r.AcceptedVersion) {
			o.found, o.foundBallot, o.foundVersion = r.Outcome, r.Accepted, r.AcceptedVersion
		}
	}
	if !o.hasQuorum() {
		return
	}
	switch o.state {
	case Preparing:
		o.propose(o.found, Recovering) // what was promised is made this ballot's own before anything rests on it
	default:
		o.state, o.outcome = Established, o.proposed
	}
}

func (o *Proposer) reject(why RejectReason) { o.state, o.reason = Rejected, why }

func (o *Proposer) propose(f Outcome, s ProposerState) {
	o.version++
	o.proposed, o.state = f, s
	clear(o.acknowledged)
}

// Reconfigure tells of a later configuration: what is asked is asked anew of those that hold now.
func (o *Proposer) Reconfigure(c Config) {
	if c.Number <= o.config.Number || o.state == Rejected {
		return
	}
	o.config = c
	switch o.state {
	case Preparing:
		clear(o.acknowledged)
	case Established:
		// What is held under the old holders is held under the new ones before more is done: as a claim first, since those
		// have not promised this ballot anything.
		o.found, o.foundBallot, o.foundVersion, o.state = o.outcome, o.ballot, o.version, Preparing
		clear(o.acknowledged)
	default:
		o.found, o.foundBallot, o.foundVersion, o.state = o.proposed, o.ballot, o.version, Preparing
		clear(o.acknowledged)
	}
}

// Permission is what an owner may do next with its promise.
type Permission int

// What an owner may do.
const (
	Wait    Permission = iota // nothing yet
	Answer                    // the fate is over: tell it
	Send                      // nothing of it has run, nor will: an attempt may be intended
	Resolve                   // an attempt of another owner may have run: ask its engine, and tell Learned
)

// Permission tells what may be done now.
func (o *Proposer) Permission() Permission {
	switch {
	case o.state != Established:
		return Wait
	case o.outcome.Final():
		return Answer
	case o.outcome.Phase == Registered:
		return Send
	case o.outcome.IntendedBy == o.ballot.Proposer:
		return Wait // its own attempt is out
	}
	return Resolve
}

// Intend asks for an attempt; it may be sent once Cleared tells so. False where it must not be asked for.
func (o *Proposer) Intend(engine string, process uint64) bool {
	if o.Permission() != Send {
		return false
	}
	f := o.outcome
	f.Phase, f.Engine, f.Process, f.IntendedBy = Intended, engine, process, o.ballot.Proposer
	f.Attempt++
	o.propose(f, Accepting)
	return true
}

// MaySend tells, at the last moment, that the attempt that was intended may be sent.
func (o *Proposer) MaySend() bool {
	return o.state == Established && o.outcome.Phase == Intended && o.outcome.IntendedBy == o.ballot.Proposer
}

// Evidence is what is known of an attempt that another owner intended.
type Evidence struct {
	Ran             bool // its engine has run it, or runs it
	Completed       bool // ... to its end, with this result
	Result          []byte
	UnknownToEngine bool          // its engine does not know the id
	ProcessEndedFor time.Duration // since when its owner's process is proved to be over; 0: it may live
	OwnAttempt      bool          // it was this owner's own attempt, and is proved not to have been sent or to have ended
}

// ResolveOutcome closes a doubt as far as the evidence goes: Ended, NeverRan (then nothing of it will ever run), or Doubt.
func (o *Proposer) ResolveOutcome(e Evidence) bool {
	if o.state != Established || o.outcome.Final() || o.outcome.Phase == Registered {
		return false
	}
	f := o.outcome
	proved := e.ProcessEndedFor > o.settings.EngineAbandonTime
	switch {
	case e.Completed:
		f.Phase, f.Result = Completed, e.Result
		if len(f.Result) > o.settings.MaxResultBytes {
			f.Result, f.ResultOmitted = nil, true
		}
	case e.OwnAttempt && f.IntendedBy == o.ballot.Proposer && !e.Ran:
		f.Phase = NeverRan
	case e.UnknownToEngine && !e.Ran && proved:
		f.Phase = NeverRan
	default:
		if f.Phase == InDoubt {
			return false
		}
		f.Phase = InDoubt
	}
	o.propose(f, Accepting)
	return true
}
