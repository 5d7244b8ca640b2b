// Package slowstart divides what a warming engine may get among the replicas of a fleet that send to it.
//
// Replicas do not talk to each other about what they send. Each knows its own number, the number of replicas and the
// list of engines, and from these alone all come to the same division: where the lists agree, the quotas of an engine
// add up to the whole, and no two replicas have their turn at it in the same time slot.
//
// The engines stand on a ring in an order that is the same for all replicas. A replica begins at its own place on the
// ring, the replicas evenly over the capacity, and sends to a subset of a given capacity from there on. An engine
// larger than others ends more subsets, so how many replicas send to an engine is counted, and not taken from the mean.
//
// All functions are pure: no I/O, clock, goroutine or global.
//
// # Invariants
//
// For any capacities, replicas and size of a subset, where all replicas see the same list:
//
//  1. The senders of an engine are exactly the replicas whose subset reaches it, and each replica counts the same.
//  2. The fractions of all senders of an engine add up to 1, or there is no sender; a replica that is none has 0.
//  3. No two senders of an engine have their turn in the same slot, each has one in every round of as many slots as
//     there are senders, and of two rounds one in a slot of even and one in a slot of odd number.
//  4. A window shorter than two slots less a turn meets the turns of at most two slots.
//  5. An engine without capacity (not in use) has no sender and moves no subset.
//  6. A fraction never grows within GrowthDelayWindows of a change of the list, and never exceeds that of the present
//     list; a fixed one is in force at once.
//  7. Where fine work and the turns keep to their fractions of the budget, and each turn may send one request heavier
//     than its fraction if [WindowBudget.HeavyProbability] is not 0, no window that meets two turns holds more than
//     [WindowBudget.OverloadWork], unless the fractions alone make up more.
//  8. Over two slots in a row the probabilities of such a request add up to at most twice the turn's fraction of the
//     budget over its work, so that on average the turns send no more than their fractions.
//
// # What it gives up
//
// An engine that is new to the list gets nothing for GrowthDelayWindows. Lists that differ for longer give quotas that
// add up to more than the whole, and clocks that differ by more than a turn let turns overlap. An engine that no subset
// reaches gets nothing while it is warming. docs/slow-start.md has the measurements.
package slowstart
