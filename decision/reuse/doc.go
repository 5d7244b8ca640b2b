// Package reuse decides whether a connection to an engine may serve a further query.
//
// An engine's response does not identify the query it belongs to. If a late duplicate of a response arrives on a
// connection that serves many queries, the front end would read the duplicate as the response to the next query and
// would return rows of another query. A connection is therefore reused only while all observations indicate that reuse
// is safe. A single fault ends reuse at once, and reuse is permitted again only after a proof over many connections.
//
// The caller reports the behaviour of connections to a [Policy], which decides whether a connection is kept and whether
// a kept connection may serve. A Policy does no I/O, keeps no clock and starts no goroutine. A Policy is not safe for
// concurrent use.
//
// # Invariants
//
//  1. A non-idempotent request is never sent on a connection that has served before.
//  2. A connection serves again only after its last response was consumed to the last byte and no further byte arrived
//     for QuietPeriod.
//  3. Connections serve again only after ProofConnections consecutive connections, to any engines, stayed quiet for
//     QuietPeriod after their last response, and ProofConnectionsPerEngine consecutive ones to the current process of
//     the engine. Malformed or surplus data resets the total count and the count of the engine that sent the data.
//  4. After malformed or surplus data from any engine, no connection is trusted for DistrustPeriod: the network is more
//     often the cause of corrupt responses than a single engine. Each further fault within FaultMemory doubles the
//     time, up to MaxDistrustPeriod.
//  5. A connection serves at most MaxQueries times, and does not serve after it was idle for more than MaxIdleTime. A
//     connection does not serve while its engine has been silent for more than MaxEngineSilence: an open connection
//     does not show that the machine is gone, while a new connection fails at once, which proves that no query ran.
//  6. At most MaxIdlePerEngine idle connections to one engine are kept, and at most MaxIdleTotal in all.
//  7. If ConfirmResponses is set, a connection that is not trusted serves idempotent requests only. The front end
//     requests each response a second time on the same connection, and accepts the response only if both are equal. A
//     leftover response of another query arrives before the true response and shifts the sequence by one, so that the
//     two differ.
//
// # Trade-offs
//
// One fault remains undetected: an engine without earlier faults sends a duplicate later than QuietPeriod, while the
// next query is in flight. The duplicate is then read as the response of that query. A client cannot exclude this in a
// protocol without request ids. QuietPeriod and ProofConnections limit the risk to a first fault of exactly this kind,
// in a window of milliseconds, in a deployment without other faults. Where that risk is too high, set Disabled, so that
// each query gets a connection of its own.
package reuse
