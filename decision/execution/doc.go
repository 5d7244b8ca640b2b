// Package execution decides how the fate of a request that must not run twice is copied before it is promised, and who may act on
// it: a front end that is lost with its disk takes nothing of that along.
//
// Each promise is a register under its id, held by a few members of the fleet. An [Owner] is one attempt of one process to act for
// it; a [Shelf] is what one member holds for others. Both are told what happened, with the time passed in, and answer with what to
// say. They do no I/O, keep no clock, start no goroutine and draw nothing at random; neither is safe for concurrent use.
//
// # How a register works
//
// An owner claims the register under a ballot at a majority of its holders. From then on they take nothing of a lower ballot: the
// register is sealed against every earlier owner, however late it wakes. What the majority holds is what was promised; the owner writes it
// back under its own ballot before it acts, and then writes what it intends before it does it. While holders change, both the old
// and the new majority must agree.
//
// # Invariants
//
//  1. No attempt may be sent before its intent is held by a majority of the holders of every configuration in force, one of
//     them in another room than the owner's.
//  2. Once a claim is held by a majority, no write of a lower ballot reaches one.
//  3. What a majority held is found by every later claim, until it has ended and its time is over.
//  4. NeverRan is promised only where no attempt was intended, or where the process that intended it is proved to be over, for longer than the
//     protocol's time, and its engine does not know the id. An intent of a process that may live is a doubt, and a doubt is no permission.
//  5. An id belongs to one statement: another one under it is refused by name.
//  6. Ended promises are dropped once KeepFor has passed, never earlier to make room; what does not fit is refused at once.
//  7. A holder that is not filled, or that knows a later configuration than the owner, counts for nothing.
//  8. A word that comes twice, late or out of order changes nothing that it has not changed before.
//
// # What it gives up
//
// A claim and a write are two round trips before the first byte; one would do for an id that nobody else ever claims, but two clients that
// ask two front ends at once under one id can't be told from one. A doubt whose owner is only silent stays a doubt: its engine may be
// asked, and does not prove that nothing is on its way.
//
// Source: one register is Paxos with a value that its owner may write on (Lamport, The Part-Time Parliament; the claim is phase
// one, each write phase two); overlapping majorities are joint consensus (Ongaro); holders are drawn by rendezvous hashing (Thaler, Ravishankar).
package execution
