// Package admission decides, for one front end, which request goes to which engine of a pool, and when.
//
// A [Controller] receives events and returns actions. It does no I/O, reads no clock and starts no goroutine: the
// caller passes the time in and carries out the actions in the order given. The gateway (internal/dispatch), the
// simulator (internal/wire) and the model runs use the same package.
//
// # Normal path
//
// A request joins the queue of its tenant and class (request.go, queue.go). Deficit round robin chooses among tenants;
// requests within their tenant's quota and on time for their latency objective go first. Within a tenant, the class
// with the highest priority weight per work goes first, and within a class the oldest request. A request is admitted if
// the thread and memory limits of the front end and of its tenant allow it (capacity.go). Its engine is drawn at random
// from the engines with capacity, with a weight that falls with load (selection.go). Each answer updates the estimates
// of work, memory and slowdown (estimate.go).
//
// Each of the other files handles one departure from this path. docs/design.md describes how they interact.
//
// # Invariants
//
//  1. Each request gets exactly one final answer: an [Outcome] that closes it, a [Reject] or a [Fail].
//  2. A request has at most one attempt in flight, and at most Settings.MaxAttempts attempts in total.
//  3. A [NonIdempotent] request that may have run is never sent again. An [IdempotentWithKey] request that may have run
//     is sent again only within its deduplication scope and window; the window starts with the first attempt that may
//     have run.
//  4. A request is rejected only if its client can safely repeat it; otherwise it is failed.
//  5. Nothing is sent to an engine that is draining or removed, or outside the zones and kinds of the class.
//  6. In an Ordered class, requests with the same key run one at a time, in order of arrival.
//  7. With a [RetryBudget], the retries within any window of the budget never exceed its limit.
//  8. The work that all front ends send to a warming engine within an overload window stays within its budget, which
//     package [beechcart/decision/slowstart] divides among the front ends.
//  9. No ejection leaves fewer than half of the engines in use, and no rest leaves a class fewer than half of those.
//  10. The outcome of an attempt releases the threads and memory that the attempt reserved, whatever its status.
//  11. The same settings, seed and events give the same actions.
//
// # Trade-offs
//
// A rare heavy request occupies its tenant's threads while it runs. A tenant that retries aggressively fills the shared
// queue, so that requests of other tenants are rejected. Selection relies on load reports that may be out of date. With
// hundreds of front ends, each front end's share of a tenant's quota is less than one request, and letting one request
// through on each would exceed the quota many times over; a random draw reduces this excess but does not remove it.
//
// # Source
//
// The loop of queueing, release and admission by deficit round robin under quotas follows "Recipe 68: Continuous
// Batching With Per-Tenant Quotas". Deficit round robin is due to Shreedhar and Varghese (SIGCOMM 1995).
package admission
