// Package execution decides how the outcome of a non-idempotent request is replicated before it is promised, and which
// process may act for the request, so that it is executed at most once even if a front end is lost with its disk.
//
// Each request id has a register, held by a few replicas in the fleet. A [Proposer] is one attempt of one process to
// act for an id. A [Replica] is one member's part of all registers. An [Execution] takes one request from its arrival
// to its recorded outcome and owns a Proposer. An [AntiEntropy] and a [Bootstrap] plan how copies are restored. All of
// them are told what happened, with the time passed in, and answer with what to send or do. They do no I/O, keep no
// clock, start no goroutine and draw nothing at random; none is safe for concurrent use.
//
// # How a register works
//
// A proposer prepares the register under a ballot at a majority of its replicas. From then on they accept nothing of a
// lower ballot: every earlier proposer is fenced, however late it wakes. What the majority has accepted is what was
// promised. The proposer has it accepted under its own ballot before it acts, and has its intent accepted before it
// sends. While the replica set changes, a majority of both the old and the new set must agree.
//
// # Invariants
//
//  1. No attempt may be sent before its intent is accepted by a majority of the replica set of every configuration in
//     force, one of the majority in another zone than the proposer.
//  2. Once a majority has prepared a ballot, no accept of a lower ballot reaches a majority.
//  3. What a majority has accepted is found by every later prepare, until it is final and its retention is over.
//  4. NeverRan is promised only if no attempt was intended, or if the process that intended it has provably ended, for
//     longer than Settings.EngineAbandonTime, and its engine does not know the id. The intent of a process that may
//     still run leaves the outcome in doubt, and InDoubt permits nothing.
//  5. An id belongs to one statement. Another statement under the same id is rejected as OtherStatement.
//  6. Final outcomes expire after Settings.Retention, never earlier to free capacity. What does not fit is rejected at
//     once as NoCapacity.
//  7. A replica that is not bootstrapped, or that knows a later configuration than the proposer, does not count.
//  8. A message that is duplicated, late or reordered changes nothing that it has not changed before.
//
// # What it gives up
//
// Prepare and accept are two round trips before the first byte is sent. One would do for an id that no other process
// ever prepares, but two clients that send one id to two front ends at once can't be told from one. If a proposer is
// only silent, its intent stays in doubt: its engine may be asked, but does not prove that nothing is on its way.
//
// Source: a register is Paxos with a value that its proposer may update (Lamport, The Part-Time Parliament; prepare is
// phase one, each accept phase two). Overlapping majorities are joint consensus (Ongaro, Consensus: Bridging Theory and
// Practice). Replica sets are chosen by rendezvous hashing (Thaler, Ravishankar).
//
// Read register.go and messages.go for the types, then replica.go, proposer.go and execution.go.
package execution
