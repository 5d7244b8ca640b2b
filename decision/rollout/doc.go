// Package rollout decides which members of the fleet may be unavailable, and on which revision each front end runs. It
// is one replicated state machine for disruption budgets, shutdown permits, drains of engines, and releases with halt
// and rollback.
//
// A [StateMachine] applies [Command]s in the order of a replicated log and answers each with a [Result]. A command
// carries its time. The state machine does no I/O, reads no clock, starts no goroutine and uses no randomness: the same
// log gives the same state at every replica. It is not safe for concurrent use.
//
// # Availability
//
// A front end is available while its process has reported that it serves, is not suspected of having failed, and holds
// no permit. Every other registered front end is unavailable: with a permit, crashed, suspected, starting or draining.
// An engine is available while it is listed as ready and holds no permit.
//
// # Invariants
//
//  1. A permit is granted or activated only where the number of unavailable front ends or engines stays within each
//     budget that applies (in all, in the zone, of the kind), and the rest can carry the load after one more loss.
//  2. Permit numbers only grow. Activation tells only the process that holds the permit to shut down, and only while
//     the permit is in force.
//  3. A permit never expires. It ends by proof (the member's newer process serves; the member returns the permit; the
//     engine's newer process is listed as ready), by an operator's undrain or removal, or, before activation, by
//     revocation.
//  4. Once a halt is acknowledged (Halted), no member shuts down for the release until an operator resumes the release
//     or rolls it back. The halt is acknowledged when each member that was told to shut down has reported that it
//     drains or that it continues to serve.
//  5. A report of an older process, or an older report of the same process, changes nothing.
//  6. An engine may be stopped only when each registered front end has reported, as its present process, that it has no
//     query there; where an earlier process of the front end, or its last one, has ended, AbandonedQueryTimeout must
//     have passed since as well. A front end that has merely stopped reporting keeps the engine from being stopped.
//  7. At most one release is active at a time.
//  8. A command is executed once by its id: a repeat gets the first result.
//  9. After a rollback is done, every available member serves on the previous revision, and each that starts is to
//     start on that revision.
//  10. The state is bounded: by the number of members and engines, and by Settings for command ids, audit entries and
//     removed members.
//  11. The analysis halts a healthy release with a probability of at most Analyzer.Alpha, over all its windows.
//
// # Limits
//
// A partitioned front end blocks drains and counts as unavailable until it reports again or an operator removes it,
// because it may still be sending queries. The analysis compares failures, rejections and slow answers, and a release
// also halts on crashes; a fault that shows in none of these within the soak is not detected. Evidence is kept in
// rounded sums of logarithms, so all replicas of one log must run on one processor architecture.
//
// # Files
//
// command.go defines the messages and machine.go applies them. member.go holds the front ends and drain.go the engines,
// with the decision when an engine may be stopped. budget.go and permit.go decide which members may be unavailable;
// release.go, wave.go and analysis.go run the releases; view.go computes the status for operators. docs/rollout.md has
// the table of events by state.
//
// Source: permits and budgets are Kubernetes' disruption budgets and leases, ended by proof in place of time; the
// analysis is a test by betting (Ville's inequality) on the revision of each failure, which may be evaluated after
// every window.
package rollout
