package execution

import "time"

// Decision is what a front end does with a request.
type Decision int

// The decisions. All but Pending, SendNow and QueryEngine are final.
const (
	Pending     Decision = iota // nothing yet
	SendNow                     // the attempt may be sent; told once, right before the first byte
	QueryEngine                 // an attempt of another proposer may have run: ask its engine, then call ResolveOutcome
	NotSent                     // this front end has sent nothing and will not: a retry is harmless
	Resolved                    // the outcome is final, see Outcome
	MayHaveRun                  // another front end may have sent it, or may yet: a retry is not harmless
)

// Parameters are what an Execution begins with.
type Parameters struct {
	Limits   Limits
	Settings Settings
	Config   Config
	Request  Request
	Round    uint64 // that the process has not used for the id
	Engine   string // that the attempt is to be sent to
	Process  uint64 // of that engine
	Retried  bool   // the client has asked another front end under this id before
}

// Execution takes one non-idempotent request from its arrival to its recorded outcome, for one process. It holds what
// no proposer alone can: the one bounded wait, what a late majority may still do, and what the client may be told.
//
//   - SendNow is told at most once, and only within MaxWait of Begin, while the intent is accepted and no later
//     proposer is known. A process that was suspended in between checks the time here, not only its lease.
//   - A final decision is told within MaxWait of Begin, whichever replicas answer, and is never changed.
//   - NotSent is told only to a client that asks for the first time, if nothing of another proposer was heard. A client
//     that retries is told MayHaveRun instead: what it began elsewhere may run.
//   - An attempt that was intended and not sent is withdrawn: a late intent is followed by NeverRan, or a successor
//     would find a doubt where there is none.
//   - Only for a client that retries is a later ballot prepared above one that fences. Of two clients that send one id
//     at once, one is fenced and its client told so.
type Execution struct {
	limits    Limits
	settings  Settings
	config    Config
	request   Request
	engine    string
	process   uint64
	retried   bool
	startedAt time.Duration

	proposer *Proposer
	prepares int           // proposers so far
	sentAt   time.Duration // of the messages that are out; negative: not sent yet

	decision         Decision
	sendAllowed      bool     // SendNow was told
	intentProposed   bool     // an attempt was intended
	ended            bool     // the attempt has ended or will not be sent, as evidence tells
	evidence         Evidence // to be proposed
	evidenceProposed bool
}

// Begin starts the execution of a request.
func Begin(now time.Duration, parameters Parameters) (*Execution, error) {
	if err := parameters.Limits.Check(); err != nil {
		return nil, err
	}
	if err := parameters.Settings.Check(); err != nil {
		return nil, err
	}
	e := &Execution{
		limits:    parameters.Limits,
		settings:  parameters.Settings,
		config:    parameters.Config,
		request:   parameters.Request,
		engine:    parameters.Engine,
		process:   parameters.Process,
		retried:   parameters.Retried,
		startedAt: now,
	}
	e.prepare(parameters.Round)
	return e, nil
}

// prepare begins with a proposer of that round.
func (e *Execution) prepare(round uint64) {
	e.proposer = NewProposer(e.settings, e.request, round, e.config)
	e.prepares++
	e.markUnsent()
}

// markUnsent makes the messages that are out due at once.
func (e *Execution) markUnsent() { e.sentAt = -1 }

// Messages returns the message to send now, one of the two, and to whom; nil, nil, nil if none is due. A message that
// is not answered is due again after ResendInterval, also after a final decision, until Done.
func (e *Execution) Messages(now time.Duration) (prepare *Prepare, accept *Accept, to []string) {
	if (e.sentAt >= 0 && now-e.sentAt < e.limits.ResendInterval) || e.Done() {
		return nil, nil, nil
	}
	if prepare, accept, to = e.proposer.Messages(); len(to) > 0 {
		e.sentAt = now
	}
	return prepare, accept, to
}

// HandleReply takes the reply of the replica of a member.
func (e *Execution) HandleReply(from string, reply Reply) {
	state, version := e.proposer.state, e.proposer.version
	e.proposer.HandleReply(from, reply)
	if e.proposer.state != state || e.proposer.version != version {
		e.markUnsent()
	}
}

// Reconfigure tells of a later configuration.
func (e *Execution) Reconfigure(config Config) {
	if config.Number > e.config.Number {
		e.config = config
		e.proposer.Reconfigure(config)
		e.markUnsent()
	}
}

// Step returns what is to be done now. It is to be called after each reply and every ResendInterval.
func (e *Execution) Step(now time.Duration) Decision {
	if e.decision != Pending || e.sendAllowed {
		e.recordOutcome()
		return e.decision
	}
	late := now-e.startedAt >= e.limits.MaxWait
	state, reason := e.proposer.State()
	switch {
	case state == Rejected && reason == Fenced && e.retried && e.prepares < e.limits.MaxPrepares && !late:
		e.prepare(e.proposer.FencedBy().Round + 1)
		return Pending
	case state == Rejected && reason == NoCapacity && !e.retried:
		return e.giveUp(NotSent)
	case state == Rejected:
		return e.giveUp(MayHaveRun)
	case e.proposer.Permission() == Answer:
		e.decision = Resolved
		return Resolved
	case late && !e.retried && e.noOtherProposer():
		return e.giveUp(NotSent)
	case late:
		return e.giveUp(MayHaveRun)
	case e.proposer.MaySend():
		e.sendAllowed = true
		e.markUnsent()
		return SendNow
	}
	return e.proceed()
}

// proceed does what the proposer permits.
func (e *Execution) proceed() Decision {
	switch e.proposer.Permission() {
	case Send:
		if e.proposer.Intend(e.engine, e.process) {
			e.intentProposed = true
			e.markUnsent()
		}
	case Resolve:
		return QueryEngine
	case Wait, Answer:
	}
	return Pending
}

// noOtherProposer reports whether nothing of another proposer was found or heard of so far.
func (e *Execution) noOtherProposer() bool {
	found := e.proposer.found
	return found.Phase == Registered && found.IntendedBy == "" && e.proposer.fencedBy == (Ballot{})
}

// giveUp ends the execution with that decision before its attempt was sent.
func (e *Execution) giveUp(decision Decision) Decision {
	e.decision = decision
	e.ended, e.evidence = true, Evidence{OwnAttempt: true}
	e.recordOutcome()
	return e.decision
}

// ResolveOutcome tells, after QueryEngine, what the engine of another proposer's attempt knows of the id. If the
// evidence does not make the outcome final, the decision is MayHaveRun.
func (e *Execution) ResolveOutcome(evidence Evidence) {
	if e.decision != Pending || e.sendAllowed || e.proposer.Permission() != Resolve {
		return
	}
	e.proposer.ResolveOutcome(evidence)
	if e.proposer.proposed.Phase == InDoubt {
		e.decision = MayHaveRun
	}
	e.markUnsent()
}

// AttemptEnded tells how the attempt that SendNow permitted has ended. Its outcome is recorded next.
func (e *Execution) AttemptEnded(evidence Evidence) {
	if e.sendAllowed && !e.ended {
		e.ended, e.evidence = true, evidence
		e.recordOutcome()
	}
}

// recordOutcome proposes the outcome of an attempt that has ended, once the register can take it.
func (e *Execution) recordOutcome() {
	if e.ended && !e.evidenceProposed && e.proposer.state == Established && e.proposer.ResolveOutcome(e.evidence) {
		e.evidenceProposed = true
		e.markUnsent()
	}
}

// Outcome returns what a majority has accepted; Resolved tells that it is final.
func (e *Execution) Outcome() Outcome { return e.proposer.Outcome() }

// Done reports whether there is nothing more to send: the outcome is recorded, a later proposer has the register, or no
// attempt was intended.
func (e *Execution) Done() bool {
	state, _ := e.proposer.State()
	switch {
	case e.decision == Pending && !e.ended:
		return false
	case state == Rejected, e.decision == Resolved, !e.intentProposed:
		return true // to go on preparing would only fence others
	}
	return e.evidenceProposed && state == Established
}
