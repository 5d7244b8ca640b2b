// Package rollout decides which members of the fleet may be unavailable, and on which revision each front end runs. It
// is one replicated state machine for disruption budgets, shutdown permits, drains of engines, and releases with halt
// and rollback.
//
// A [StateMachine] applies [Command]s in the order of a replicated log, with the time in them, and answers each with a
// [Result]. It does no I/O, reads no clock, starts no goroutine and draws nothing at random: the same log gives the
// same state at every replica. It is not safe for concurrent use.
//
// # Availability
//
// A front end is available while its process serves, has reported so, is not suspected of having failed, and holds no
// permit. Every other registered front end is unavailable: with a permit, crashed, suspected, starting or draining. An
// engine is available while it is listed as ready and holds no permit.
//
// # Invariants
//
//  1. No permit is granted, and none is activated, while it would make more front ends or engines unavailable than a
//     budget allows: in all, in the zone, of the kind; nor while the rest could not carry the load with one more loss.
//  2. Permit numbers only grow. Activation tells only the process that the permit was granted to to shut down, and only
//     while the permit stands.
//  3. A permit ends by proof (the member's newer process serves; the member returns it; the engine's newer process is
//     listed as ready), by an operator's undrain or removal, or, before activation, by revocation. Never by time.
//  4. Once a halt is acknowledged (Halted), no member shuts down for the release until an operator resumes it or rolls
//     it back. It is acknowledged when each member that was told to shut down has reported that it drains or serves on.
//  5. A report of an older process, or an older report of the same process, changes nothing.
//  6. An engine may be stopped only when each registered front end has reported, as its present process, that it has no
//     query there; where an earlier process of the front end, or its last one, has ended, AbandonedQueryTimeout must
//     have passed since as well. A front end that is only silent is waited for.
//  7. At most one release is active at a time.
//  8. A command is executed once by its id: a repeat gets the first result.
//  9. After a rollback is done, every available member serves on the previous revision, and each that starts is to
//     start on it.
//  10. The state is bounded: by members and engines, and by Settings for command ids, audit entries and removed
//     members.
//  11. The analysis halts a healthy release with a probability of at most Analyzer.Alpha, over all its windows.
//
// # Limits
//
// A front end that is cut off blocks drains and counts as unavailable until it is back or an operator removes it: it
// can't be told from one that is still sending. The analysis compares failures; a fault that shows in neither failures,
// rejections, slow answers nor crashes within the soak is not found. Evidence is kept in rounded sums of logarithms, so
// all replicas of one log must run on one processor architecture.
//
// # Where to read on
//
// command.go has the messages, machine.go applies them; member.go and engine.go keep what is reported, budget.go and
// permit.go who may be unavailable, drain.go when an engine may be stopped; release.go, wave.go and analysis.go the
// releases; view.go what operators are told. docs/rollout.md has the table of events by state.
//
// Source: permits and budgets are Kubernetes' disruption budgets and leases, ended by proof in place of time; the
// analysis is a test by betting (Ville's inequality) on where failures fall, which may be evaluated after every window.
package rollout
