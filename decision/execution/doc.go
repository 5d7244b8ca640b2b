// Package execution decides how the outcome of a non-idempotent request is replicated before a client may rely on it,
// and which process may act for the request, so that the request is executed at most once even if a front end is lost
// with its disk.
//
// Each request id has a register, held by a few replicas in the fleet. A [Proposer] is one attempt of one process to
// act for an id. A [Replica] is one member's part of all registers. An [Execution] takes one request from its arrival
// to its recorded outcome and owns a Proposer. An [AntiEntropy] and a [Bootstrap] plan how copies are restored. Callers
// report events together with the current time, and get back the messages to send or the action to take. None of these
// types does I/O, reads a clock, starts a goroutine or uses random numbers, and none is safe for concurrent use.
//
// # How a register works
//
// A proposer prepares the register under a ballot at a majority of its replicas. From then on these replicas accept
// nothing under a lower ballot: every earlier proposer is fenced, however late its process resumes. The replies to the
// prepare contain every outcome that a majority has accepted. The proposer has the latest accepted outcome accepted
// under its own ballot before it acts on that outcome, and has its intent to send an attempt accepted before it sends.
// While the replica set changes, a majority of both the old and the new set must agree.
//
// # Invariants
//
//  1. No attempt is sent before its intent is accepted by a majority of the replica set of every configuration in
//     force, with one replica of the majority in another zone than the proposer.
//  2. Once a majority has prepared a ballot, no accept of a lower ballot reaches a majority.
//  3. Every later prepare finds the outcome that a majority has accepted, until that outcome is final and its retention
//     is over.
//  4. NeverRan is promised only if no attempt was intended, or if the process that intended the attempt has provably
//     ended more than Settings.EngineAbandonTime ago and its engine does not know the id. The intent of a process that
//     may still run leaves the outcome in doubt, and InDoubt permits no attempt.
//  5. An id belongs to one statement. Another statement under the same id is rejected as OtherStatement.
//  6. Final outcomes expire after Settings.Retention, never earlier to free capacity. A record that does not fit is
//     rejected at once as NoCapacity.
//  7. The replies of a replica do not count while it is not bootstrapped or knows a later configuration than the
//     proposer.
//  8. A duplicated message changes nothing more than its first delivery did. A message that arrives late or out of
//     order does not undo a later one.
//
// # Trade-offs
//
// Prepare and accept cost two round trips before the first byte is sent. One round trip would do for an id that no
// other process ever prepares, but a front end cannot rule out that another client sends the same id to another front
// end at the same time. If a proposer does not respond but may still run, its intent stays in doubt: its engine can be
// queried, but the answer does not prove that no attempt is on its way.
//
// Source: a register is Paxos with a value that its proposer may update (Lamport, The Part-Time Parliament; prepare is
// phase one, each accept phase two). Overlapping majorities are joint consensus (Ongaro, Consensus: Bridging Theory and
// Practice). Replica sets are chosen by rendezvous hashing (Thaler, Ravishankar).
//
// Read register.go and messages.go for the types, then replica.go, proposer.go and execution.go.
package execution
