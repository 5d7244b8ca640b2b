// Package admission decides, for one front end, which request goes to which engine of a pool, and when.
//
// A [Controller] is told what happened as events and answers with actions. It does no I/O, reads no clock and starts
// no goroutine: the caller passes the time in and carries the actions out in the order given. The same package runs
// behind the served program (internal/dispatch), on the simulator's wire (internal/wire) and in the model runs.
//
// # The ordinary path
//
// A request joins the queue of its tenant and class (request.go, queue.go). Tenants leave their queues by deficit
// round robin, within their quota and in time first; within a tenant, the class with the highest priority weight per
// work goes first, and within a class the oldest request. A request is admitted if it is within the limits on threads
// and memory of the front end and of its tenant (capacity.go). Its engine is drawn at random among those with
// capacity, weighted against load (selection.go). Each answer teaches work, memory and slowdown (estimate.go).
//
// The other files hold what departs from that path, one concern each; docs/design.md tells how they play together.
//
// # Invariants
//
//  1. Each request gets exactly one final answer: an [Outcome] that closes it, a [Reject] or a [Fail].
//  2. A request has at most one attempt in flight, and at most Settings.MaxAttempts in all.
//  3. A [NonIdempotent] request that may have run is never sent again. One that is [IdempotentWithKey] is sent again
//     only within its deduplication window, counted from the first attempt that may have run, and within its scope.
//  4. A request is rejected only where a repeat of it by its client is harmless; otherwise it is failed.
//  5. Nothing is sent to an engine that is draining or removed, or outside the zones and kinds of the class.
//  6. Requests of one key run one at a time and in order of arrival, where their class is Ordered.
//  7. With a [RetryBudget], the retries within any window of it never exceed its limit.
//  8. The work that all front ends send to a warming engine within an overload window stays within its budget, with
//     the division of package [beechcart/decision/slowstart].
//  9. No ejection leaves less than half of the engines in use, and no rest for a class either.
//  10. Threads and memory that an attempt reserved are given back with its outcome, whatever its status.
//  11. The same settings, seed and events give the same actions.
//
// # What it gives up
//
// A rare heavy request holds its tenant's threads while it runs. A tenant that retries hard fills the shared queue, so
// that others meet rejections. Selection leans on load reports that are some time old. With hundreds of front ends,
// fractions of a request add up far beyond a tenant's quota; a random draw softens that and doesn't remove it.
//
// # Source
//
// The loop of queue, release and admission by deficit round robin under quotas is that of "Recipe 68: Continuous
// Batching With Per-Tenant Quotas"; deficit round robin is due to Shreedhar and Varghese (SIGCOMM 1995).
package admission
