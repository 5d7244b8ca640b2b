// Package discovery decides which endpoints a front end may send to, from the observations of a service catalogue.
//
// The caller passes each observation and its time to an [EndpointSet], which returns the changes of the endpoint list
// and their reasons. An EndpointSet does no I/O, keeps no clock and starts no goroutine: the caller passes the time,
// which must never run backwards, and carries out the changes in order. An EndpointSet is not safe for concurrent use.
//
// A catalogue reports commands and evidence. A command expresses an operator's intent: a drain, maintenance, the
// deregistration of a few endpoints. Evidence is the result of automatic detection: a failing check, a list that
// shrinks or is empty. An EndpointSet obeys commands at once. Evidence is damped and bounded, and evidence that would
// remove many endpoints must first be confirmed.
//
// # Invariants
//
//  1. A drain is obeyed by the same Observe that reports it, whatever else is wrong with that observation: an earlier
//     index, no leader, a suspect list.
//  2. A drain is lifted only by a trusted observation of a later index than the latest that reported the drain, or by
//     the first trusted observation of a new epoch (a confirmed index reset, another catalogue).
//  3. Evidence alone never ejects more than MaxEjected of the endpoints that no command holds back, and never the last
//     of these endpoints.
//  4. An empty list removes nothing, however often it is reported.
//  5. A list that loses more than MaxLoss of the endpoints within LossWindow removes nothing before ConfirmReads
//     trusted reads over ConfirmAfter have reported the loss, or MaxSuspicion has passed.
//  6. An observation that is not trusted (no leader, too stale, an earlier index) adds, removes and lifts nothing.
//  7. The penalty of an endpoint never exceeds the ceiling from which it decays to Reuse within MaxSuppress, so a
//     flapping endpoint returns within MaxSuppress after its last failure.
//  8. A deregistered endpoint gets no new work from then on, and is removed after Linger, so that its attempts in
//     flight can still be polled.
//  9. Of several endpoints at one address at most one is ready, and none while a command holds one of them back.
//  10. The id of an endpoint is a function of its key alone. Two keys never share an id in one list.
//
// # Trade-offs
//
// If a stale follower reports a drain after the drain was lifted, the drain is obeyed again until the next observation
// of a later index. That costs one endpoint for a short time; ignoring such reports could lose a new drain, which
// invariant 1 excludes.
//
// An intended mass deregistration takes effect only after ConfirmAfter. Until then, requests to the endpoints that are
// gone are rejected by their machines, which proves that no query ran.
//
// Of two keys with the same id (one pair in 2^32) the second is left out.
//
// # Sources
//
// Penalty, half-life, suppress and reuse thresholds are those of route flap damping (RFC 2439, sections 4.2 and 4.4).
// Indexes, leaders and staleness are those of Consul's blocking queries and consistency modes
// (developer.hashicorp.com/consul/api-docs/features/blocking and .../features/consistency). The bound on ejections
// corresponds to Envoy's panic threshold.
//
// Read endpoint.go for the types, set.go for the events, then observation.go, suspicion.go, flapping.go and address.go.
package discovery
