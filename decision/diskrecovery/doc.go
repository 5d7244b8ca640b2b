// Package diskrecovery decides what a control replica does when the disk of its log fails: whether it reopens the log,
// reinitializes it as a new replica, or waits, and when.
//
// A [Policy] is told of failures, with the time passed in, and answers what to do. It does no I/O, reads no clock and
// starts no goroutine; it is not safe for concurrent use.
//
// # Kinds of failure
//
// A write that the disk rejected for want of space was not made, and nobody was told that it was: what the log holds is
// valid. After a sync that failed it is unknown what the disk holds. Reading it again proves nothing, since the kernel
// answers from memory and may have marked as written what never was. A replica that went on from there would vote with
// a past that the next loss of power takes away.
//
// # Invariants
//
//  1. A replica whose log is of unknown durability never reopens it under its identity, whatever fails, or opens,
//     later.
//  2. It becomes a new replica, with an empty log, only while the others have a quorum without it. With a majority of
//     unknown durability none of them does: together they would lose what was agreed, although their logs may well be
//     complete. That is an operator's choice.
//  3. Time alone makes a replica retry; it never discards a log.
//  4. The backoff between attempts doubles from MinBackoff to MaxBackoff, and is MinBackoff again after the log was
//     open for StableAfter.
//  5. A failure that is reported twice changes nothing.
//
// # Limits
//
// A replica of unknown durability stays away while the others have no quorum, although its log may be complete. The
// next process of its front end knows of it only where it could be marked on the disk; docs/rollout.md tells of the
// mark.
//
// Source: a sync that fails leaves pages marked as clean (Rebello and others, Can Applications Recover from fsync
// Failures?, 2020).
package diskrecovery
