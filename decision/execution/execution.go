package execution

import "time"

// Decision is what a front end does with a request.
type Decision int

// The decisions. All except Pending, SendNow and QueryEngine are final.
const (
	Pending     Decision = iota // no decision yet
	SendNow                     // the attempt may be sent; returned once, right before the first byte
	QueryEngine                 // an attempt of another proposer may have run: query its engine, then call ResolveOutcome
	NotSent                     // this front end has not sent the attempt and will not: a retry is harmless
	Resolved                    // the outcome is final, see Outcome
	MayHaveRun                  // another front end may have sent an attempt or may still do so: a retry is not harmless
)

// Parameters are the arguments of [Begin].
type Parameters struct {
	Limits   Limits
	Settings Settings
	Config   Config
	Request  Request
	Round    uint64 // that this process has not used for the id
	Engine   string // to which the attempt is to be sent
	Process  uint64 // process of that engine
	Retried  bool   // the client has sent the request under this id to another front end before
}

// Execution takes one non-idempotent request from its arrival to its recorded outcome, for one process. It owns the
// proposers of the request, bounds the wait for all of them together, withdraws an intent that a majority accepts too
// late, and decides what the client may be told.
//
//   - SendNow is returned at most once, and only within MaxWait of Begin, while the intent is accepted and no later
//     proposer is known. Step checks the time itself, so that a process that was suspended in between does not rely on
//     its lease alone.
//   - A final decision is returned within MaxWait of Begin, whichever replicas answer, and never changes.
//   - NotSent is returned only for a first request, if no other proposer of the id was found. A retried request gets
//     MayHaveRun instead, because the client's earlier request may run at another front end.
//   - An attempt that was intended and not sent is withdrawn: NeverRan is proposed after the late intent. Otherwise a
//     later proposer would find the outcome in doubt although nothing was sent.
//   - Only for a retried request is a later ballot prepared above one that fences. If two first requests of one id
//     run at the same time, one of the two executions is fenced and returns MayHaveRun.
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
	prepares int           // number of proposers so far
	sentAt   time.Duration // time at which the current messages were sent; negative: not sent yet

	decision         Decision
	sendAllowed      bool     // SendNow was returned
	intentProposed   bool     // an intent was proposed
	ended            bool     // the attempt has ended or will not be sent, as evidence shows
	evidence         Evidence // of the outcome to propose
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

// prepare starts a new proposer of the given round.
func (e *Execution) prepare(round uint64) {
	e.proposer = NewProposer(e.settings, e.request, round, e.config)
	e.prepares++
	e.markUnsent()
}

// markUnsent makes the current messages due at once.
func (e *Execution) markUnsent() { e.sentAt = -1 }

// Messages returns the message to send now, either a Prepare or an Accept, and the names of the members to send the
// message to. If no message is due, it returns nil, nil, nil. An unanswered message is due again after ResendInterval,
// also after a final decision, until Done reports true.
func (e *Execution) Messages(now time.Duration) (prepare *Prepare, accept *Accept, to []string) {
	if (e.sentAt >= 0 && now-e.sentAt < e.limits.ResendInterval) || e.Done() {
		return nil, nil, nil
	}
	if prepare, accept, to = e.proposer.Messages(); len(to) > 0 {
		e.sentAt = now
	}
	return prepare, accept, to
}

// HandleReply handles the reply of the replica of the member named from.
func (e *Execution) HandleReply(from string, reply Reply) {
	state, version := e.proposer.state, e.proposer.version
	e.proposer.HandleReply(from, reply)
	if e.proposer.state != state || e.proposer.version != version {
		e.markUnsent()
	}
}

// Reconfigure adopts a later configuration. An earlier one changes nothing.
func (e *Execution) Reconfigure(config Config) {
	if config.Number > e.config.Number {
		e.config = config
		e.proposer.Reconfigure(config)
		e.markUnsent()
	}
}

// Step advances the execution and returns the decision at the time now. Call it after each reply and every
// ResendInterval.
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

// proceed takes the action that the proposer permits.
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

// noOtherProposer reports whether neither an intent nor a later ballot of another proposer was found so far.
func (e *Execution) noOtherProposer() bool {
	found := e.proposer.found
	return found.Phase == Registered && found.IntendedBy == "" && e.proposer.fencedBy == (Ballot{})
}

// giveUp ends the execution with a final decision before its attempt is sent.
func (e *Execution) giveUp(decision Decision) Decision {
	e.decision = decision
	e.ended, e.evidence = true, Evidence{OwnAttempt: true}
	e.recordOutcome()
	return e.decision
}

// ResolveOutcome takes, after QueryEngine, the evidence from the engine of another proposer's attempt. If the evidence
// does not make the outcome final, the decision is MayHaveRun.
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

// AttemptEnded takes the evidence of how the attempt that SendNow permitted has ended. The outcome is recorded next.
func (e *Execution) AttemptEnded(evidence Evidence) {
	if e.sendAllowed && !e.ended {
		e.ended, e.evidence = true, evidence
		e.recordOutcome()
	}
}

// recordOutcome proposes the outcome of an attempt that has ended, once the proposer is Established.
func (e *Execution) recordOutcome() {
	if e.ended && !e.evidenceProposed && e.proposer.state == Established && e.proposer.ResolveOutcome(e.evidence) {
		e.evidenceProposed = true
		e.markUnsent()
	}
}

// Outcome returns the outcome that a majority has accepted. It is final if the decision is Resolved.
func (e *Execution) Outcome() Outcome { return e.proposer.Outcome() }

// Done reports whether no more messages are to be sent: the outcome is recorded, the proposer is rejected, or no
// attempt was intended.
func (e *Execution) Done() bool {
	state, _ := e.proposer.State()
	switch {
	case e.decision == Pending && !e.ended:
		return false
	case state == Rejected, e.decision == Resolved, !e.intentProposed:
		return true // further prepares would only fence other proposers
	}
	return e.evidenceProposed && state == Established
}
