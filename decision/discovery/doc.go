// Package discovery decides which engines a front end may send to, from what a catalogue of services tells.
//
// A [Set] is told observations of the catalogue, each with the time, and answers with the changes of the list and
// their reasons. It does no I/O, keeps no clock and starts no goroutine: the caller passes the time, which must
// never run backwards, and carries the changes out in the order given. A Set is not safe for concurrent use.
//
// What a catalogue tells is of two kinds. A command is somebody's will: a drain, maintenance, the deregistration
// of few engines. Evidence is what a machine believes: a check that fails, a list that shrinks or is empty.
// Commands are obeyed at once. Evidence is damped, bounded and, where it would cost much, doubted first.
//
// # Invariants
//
//  1. A drain is obeyed by the same Observe that tells it, whatever else is wrong with that observation: an old
//     index, no leader, a list in doubt.
//  2. A drain is lifted only by a trusted observation of a later index than the latest that told it, or by the
//     first trusted one of a new epoch (an index reset that has been confirmed, another catalogue).
//  3. Evidence alone never takes out more than MaxOut of the engines that no command holds back, and never the
//     last one of them.
//  4. An empty list removes nothing, however often it is told.
//  5. A list that loses more than MaxLoss of the engines within LossWindow removes nothing before ConfirmReads
//     trusted reads over ConfirmAfter have told the same, or DoubtFor has passed.
//  6. An observation that is not trusted (no leader, too stale, an older index) adds, removes and lifts nothing.
//  7. The penalty of an engine never passes the ceiling from which it decays to Reuse within MaxSuppress, so
//     a flapping engine comes back within MaxSuppress after its last failure.
//  8. An engine that is deregistered gets nothing new at once, and is gone Linger later, so that what runs there
//     can still be asked for.
//  9. Of several engines at one address at most one is ready, and none while a command holds one of them back.
//  10. The number of an engine is a function of its key alone. Two keys never share a number in one list.
//
// # What it gives up
//
// A drain that a stale follower tells after it was lifted is obeyed again until the next newer word: the cost is one
// engine for a moment, where the contrary would be a broken promise. A mass deregistration that is meant takes
// ConfirmAfter to be believed; sends to engines that have gone meanwhile are refused by their machines, which
// proves that nothing ran. Two keys with one number (one pair in 2^32) leave out the one that came second.
//
// # Sources
//
// Penalty, half-life, suppress and reuse thresholds are those of route flap damping (RFC 2439, sections 4.2 and 4.4).
// Indexes, leaders and staleness are those of Consul's blocking queries and consistency modes
// (developer.hashicorp.com/consul/api-docs/features/blocking and .../features/consistency). The floor under health
// is what Envoy calls the panic threshold.
package discovery
