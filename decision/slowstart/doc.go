// Package slowstart divides the work that a warming engine may get among the replicas that send to the engine.
//
// Replicas do not communicate about what they send. Each replica knows its own number, the number of replicas and the
// list of engines, and computes the same division from them: while the lists agree, the quotas of an engine add up to
// the whole, and no two replicas have their turn at the engine in the same time slot. A turn is the first part of a
// slot (1/[TurnDivisor]).
//
// The engines form a ring, in the same order for all replicas. Each replica starts at its own place on the ring; these
// places are spread evenly over the capacity. From there on, the replica sends to a subset of engines with a given
// total capacity. A large engine is reached by more subsets than a small one, so the number of senders is counted for
// each engine instead of derived from the mean.
//
// All functions are pure: no I/O, no clock, no goroutine and no global state.
//
// # Invariants
//
// For any capacities, number of replicas and subset size, if all replicas have the same list:
//
//  1. The senders of an engine are exactly the replicas whose subset reaches the engine, and all replicas compute the
//     same number of senders.
//  2. The fractions of all senders of an engine add up to 1, unless the engine has no sender. A replica that is not a
//     sender has a fraction of 0.
//  3. No two senders of an engine have their turn in the same slot. A round is as many slots as there are senders. Each
//     sender has one turn in each round, and in two consecutive rounds one turn in an even and one in an odd slot.
//  4. A window shorter than two slots less a turn overlaps the turns of at most two slots.
//  5. An engine without capacity (not in use) has no sender and does not affect the subsets.
//  6. A fraction never grows within GrowthDelayWindows after a change of the list, and never exceeds the fraction in
//     the current list. A fixed quota takes effect at once.
//  7. Assume that fine work and the turns keep to their fractions of the budget, and that each turn may send one heavy
//     request (more work than the turn's fraction) if [WindowBudget.HeavyProbability] is not 0. Then no window that
//     overlaps two turns holds more work than [WindowBudget.OverloadWork], unless the fractions alone exceed it.
//  8. Over two consecutive slots, the probabilities of a heavy request add up to at most twice the turn's fraction of
//     the budget over the work of the request, so that on average the turns send no more than their fractions.
//
// # Trade-offs
//
// An engine that is new to the list gets nothing for GrowthDelayWindows. If lists differ for longer, the quotas of an
// engine may add up to more than the whole. If clocks differ by more than a turn, turns overlap. An engine that no
// subset reaches gets nothing while it is warming. See docs/slow-start.md for the measurements.
package slowstart
