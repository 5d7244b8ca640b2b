// Package diskrecovery decides what a control replica does after the disk of its log has failed: whether it reopens the
// log, reinitializes it as a new replica, or waits, and when.
//
// A [Policy] receives reports of disk failures, with the time passed in, and returns the next [Action]. It does no I/O,
// reads no clock and starts no goroutine; it is not safe for concurrent use.
//
// # Kinds of failure
//
// A write that the disk rejected for lack of space was not made, and was never acknowledged: the content of the log is
// valid. After a failed sync the content of the disk is unknown. Reading the log again proves nothing, since the kernel
// answers from memory and may have marked pages as written that never reached the disk. A replica that continued from
// there would vote with entries that the next power loss may remove.
//
// # Invariants
//
//  1. A replica whose log is of unknown durability never reopens that log under its identity, whatever fails or opens
//     later.
//  2. Such a replica becomes a new one, with an empty log, only while the other replicas have a quorum without it. If
//     the logs of a majority are of unknown durability, none of these replicas reinitializes: together they would lose
//     committed entries, although their logs may well be complete. That is an operator's choice.
//  3. The passage of time alone makes a replica retry; it never discards a log.
//  4. The backoff between attempts doubles from MinBackoff to MaxBackoff. It starts again at MinBackoff after the log
//     was open for StableAfter.
//  5. A failure that is reported twice changes nothing.
//
// # Limits
//
// A replica of unknown durability stays closed while the others have no quorum, although its log may be complete. The
// next process of its front end knows that the durability is unknown only if a mark could be written to the disk;
// docs/rollout.md describes the mark.
//
// Source: a failed sync leaves pages marked as clean (Rebello and others, Can Applications Recover from fsync
// Failures?, 2020).
package diskrecovery
