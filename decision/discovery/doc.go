// Package discovery decides which endpoints a front end may send to, from what a service catalogue reports.
//
// An [EndpointSet] is told observations of the catalogue, each with the time, and answers with the changes of the
// endpoint list and their reasons. It does no I/O, keeps no clock and starts no goroutine: the caller passes the time,
// which must never run backwards, and carries the changes out in order. An EndpointSet is not safe for concurrent use.
//
// A catalogue reports two kinds of things. Commands are an operator's will: a drain, maintenance, the deregistration of
// few endpoints. Evidence is what a machine believes: a check that fails, a list that shrinks or is empty. Commands are
// obeyed at once. Evidence is damped, bounded and, where it would cost much, suspected first.
//
// # Invariants
//
//  1. A drain is obeyed by the same Observe that reports it, whatever else is wrong with that observation: an earlier
//     index, no leader, a suspect list.
//  2. A drain is lifted only by a trusted observation of a later index than the latest that reported it, or by the
//     first trusted one of a new epoch (a confirmed index reset, another catalogue).
//  3. Evidence alone never ejects more than MaxEjected of the endpoints that no command holds back, and never the last
//     one of them.
//  4. An empty list removes nothing, however often it is reported.
//  5. A list that loses more than MaxLoss of the endpoints within LossWindow removes nothing before ConfirmReads
//     trusted reads over ConfirmAfter have reported the same, or MaxSuspicion has passed.
//  6. An observation that is not trusted (no leader, too stale, an earlier index) adds, removes and lifts nothing.
//  7. The penalty of an endpoint never exceeds the ceiling from which it decays to Reuse within MaxSuppress, so a
//     flapping endpoint returns within MaxSuppress after its last failure.
//  8. An endpoint that is deregistered gets nothing new at once, and is removed Linger later, so that what runs there
//     can still be polled.
//  9. Of several endpoints at one address at most one is ready, and none while a command holds one of them back.
//  10. The id of an endpoint is a function of its key alone. Two keys never share an id in one list.
//
// # What it gives up
//
// If a stale follower reports a drain after it was lifted, the drain is obeyed again until the next later observation:
// the cost is one endpoint for a moment, while the contrary would be a broken promise. A mass deregistration that is
// meant takes ConfirmAfter to be believed; requests to endpoints that have gone meanwhile are rejected by their
// machines, which proves that nothing ran. Of two keys with one id (one pair in 2^32) the second is left out.
//
// # Sources
//
// Penalty, half-life, suppress and reuse thresholds are those of route flap damping (RFC 2439, sections 4.2 and 4.4).
// Indexes, leaders and staleness are those of Consul's blocking queries and consistency modes
// (developer.hashicorp.com/consul/api-docs/features/blocking and .../features/consistency). The bound on ejections is
// what Envoy calls the panic threshold.
//
// Read endpoint.go for the types, set.go for the events, then observation.go, suspicion.go, flapping.go and address.go.
package discovery
