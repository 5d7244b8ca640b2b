// Package diskrecovery decides what a front end that keeps the agreed log does when its disk fails: whether it goes on from what is
// there, starts anew as another keeper, or stays out, and when.
//
// A [Keeper] is told of failures, with the time passed in, and answers what to do. It does no I/O, keeps no clock and starts no
// goroutine; it is not safe for concurrent use.
//
// # Two kinds of failure
//
// A write that the disk refused for want of room was not taken, and was never told to anyone as taken: what is there holds. After a sync that
// failed nobody knows what is on the disk. Reading it again proves nothing, since the machine answers from its memory, and may have marked
// as written what never was. A keeper that went on from there would vote with a past that the next loss of power takes away.
//
// # Invariants
//
//  1. A keeper whose disk is in doubt never goes on under its identity, whatever fails, or opens, after that.
//  2. It becomes another keeper, with an empty disk, only while the others agree without it. With a majority in doubt none of them
//     does: together they would forget what was agreed, and what is there may well be whole. That is an operator's choice.
//  3. Time alone makes a keeper try again; it never sets a disk aside.
//  4. The wait between tries doubles from First to Most, and is First again only after Well of keeping.
//  5. A word that comes twice changes nothing.
//
// # What it gives up
//
// A keeper in doubt stays out while the others do not agree, though its disk may be whole. A front end whose process ends in that time
// knows of the doubt only where its mark could be written; docs/rollout.md tells of the mark.
//
// Source: a sync that fails leaves pages marked as clean (Rebello and others, Can Applications Recover from fsync Failures?, 2020).
package diskrecovery

import (
	"fmt"
	"time"
)

// Kind is how a disk failed.
type Kind int

// The kinds of failure.
const (
	Full   Kind = iota // the disk refused what was to be written
	Doubt              // what was written may be there or not
	Closed             // it can't be opened
)

// Step is what to do now.
type Step int

// The steps.
const (
	Keep   Step = iota // nothing: the log is kept
	Rest               // nothing yet: ask again
	Reopen             // go on from the disk, under its identity
	Anew               // set the disk aside and begin as another keeper, with an empty one
)

// Settings are the bounds of the decisions. [Defaults] gives each with its reason.
type Settings struct {
	First, Most time.Duration // between tries
	Well        time.Duration // of keeping, after which the next failure counts as the first
}

// Defaults are the settings in force where nothing else is said.
func Defaults() Settings {
	return Settings{
		First: time.Second,      // an election takes as long: room that was made at once is used at once
		Most:  30 * time.Second, // each try costs the others a look at a keeper that is behind
		Well:  time.Minute,      // several times what a try and an election take
	}
}

// Check names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.First <= 0:
		return fmt.Errorf("keeper: first: found %v, allowed is more than 0", s.First)
	case s.Most < s.First:
		return fmt.Errorf("keeper: most: found %v, allowed is first (%v) or more", s.Most, s.First)
	case s.Well <= 0:
		return fmt.Errorf("keeper: well: found %v, allowed is more than 0", s.Well)
	}
	return nil
}

// Keeper is what one front end knows of its own disk.
type Keeper struct {
	set    Settings
	out    bool          // it does not keep the log now
	doubt  bool          // the disk must not be trusted under its identity
	since  time.Duration // it keeps since then
	next   time.Duration // no try before
	wait   time.Duration // before the try after that
	agreed bool          // as it was told last
}

// New returns a Keeper whose disk has just been opened, or one that is to be opened where a mark tells of a doubt.
func New(set Settings, now time.Duration, doubt bool) (*Keeper, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Keeper{set: set, since: now, wait: set.First, out: doubt, doubt: doubt, next: now}, nil
}

// Failed tells that the disk has failed. The log is not kept from then on.
func (k *Keeper) Failed(now time.Duration, kind Kind) {
	k.doubt = k.doubt || kind == Doubt
	if k.out && kind != Closed {
		return // one failure is often told by several writes
	}
	if !k.out && now-k.since >= k.set.Well {
		k.wait = k.set.First
	}
	k.out = true
	k.next = now + k.wait
	k.wait = min(2*k.wait, k.set.Most)
}

// Opened tells that a step has led to a log that is kept: anew tells which.
func (k *Keeper) Opened(now time.Duration, anew bool) {
	if k.doubt && !anew {
		return // it was not to be; the doubt stands
	}
	k.out, k.doubt, k.since = false, false, now
}

// Next tells what to do now. agreed tells that the others agree without this keeper, as it was found after the failure.
func (k *Keeper) Next(now time.Duration, agreed bool) Step {
	k.agreed = agreed
	switch {
	case !k.out:
		return Keep
	case now < k.next:
		return Rest
	case !k.doubt:
		return Reopen
	case agreed:
		return Anew
	}
	return Rest
}

// Why tells people what it waits for; empty where it keeps the log.
func (k *Keeper) Why() string {
	switch {
	case !k.out:
		return ""
	case k.doubt && !k.agreed:
		return "its disk is in doubt, and the others do not agree without it"
	case k.doubt:
		return "its disk is in doubt: it will begin anew"
	}
	return "its disk has failed: it will be opened again"
}
