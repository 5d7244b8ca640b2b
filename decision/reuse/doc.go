// Package reuse decides whether a connection to an engine may serve a further query.
//
// Nothing in an engine's response tells which query it belongs to. On a connection that serves many queries, a
// duplicate of a response that comes late would be read as the response to the next query, and rows that no engine made
// for a request would be returned. So a connection is reused only where that is proved safe as far as anything observed
// can prove it, and trust is lost at once and regained slowly.
//
// A [Policy] is told how connections behaved and answers whether one is kept, and whether one may serve. It does no
// I/O, keeps no clock and starts no goroutine; it is not safe for concurrent use.
//
// # Invariants
//
//  1. A non-idempotent request is never sent on a connection that has served before.
//  2. A connection serves again only after its last response was consumed to the last byte and nothing more came for
//     QuietPeriod.
//  3. Connections serve again only after ProofConnections connections in a row, to whichever engines, stayed quiet for
//     QuietPeriod after their last response, ProofConnectionsPerEngine of them to the engine's present process.
//     Anything malformed or surplus starts both counts anew.
//  4. After anything malformed or surplus, from whichever engine, no connection is trusted for DistrustPeriod: what
//     corrupts responses is more often the network than one engine. Each further time within FaultMemory doubles the
//     time, up to MaxDistrustPeriod.
//  5. A connection serves at most MaxQueries times and is idle for at most MaxIdleTime before it serves again. It does
//     not serve while nothing was heard from its engine for MaxEngineSilence: a machine that has vanished says nothing
//     on an open connection, while a new connection shows it at once and proves that nothing ran.
//  6. At most MaxIdlePerEngine connections to an engine are kept, and at most MaxIdleTotal of all.
//  7. If ConfirmResponses is set, a connection that is not trusted serves idempotent requests only, and its response
//     counts only once it was requested again behind it, on the same connection, and came the same: what another
//     query's response has left behind comes before the true one, so the sequence of responses is shifted by one, and
//     the second differs from the first.
//
// # What it gives up
//
// A duplicate that comes later than QuietPeriod, from an engine that was clean until then, while the next query is in
// flight, would be read as its response. No rule on the client's side of a protocol without request ids can exclude
// that; QuietPeriod and ProofConnections make it need a first fault of exactly this kind, in a window of milliseconds,
// in a deployment that showed no other. Where that is too much, Disabled keeps one connection for each query.
package reuse
