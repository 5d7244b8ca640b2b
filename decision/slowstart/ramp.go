// Package slowstart divides what a cold engine may get among the replicas of a fleet that send to it.
//
// Replicas do not talk to each other about what they send. Each knows its own number, the number of replicas and the
// list of engines, and from these alone all come to the same division: where the lists agree, the parts of an engine
// sum up to the whole, and no two replicas have their turn at it in the same time slot.
//
// The engines stand on a ring in an order that is the same for all replicas. A replica starts at its own place on the
// ring, the replicas evenly over the capacity, and sends to a stretch of a given capacity from there on. An engine
// larger than others ends more stretches, so how many replicas an engine gets is counted, and not taken from the mean.
//
// All functions are pure: no I/O, clock, goroutine or global.
//
// # Invariants
//
// For any capacities, replicas and length, where all replicas see the same list:
//
//  1. The senders of an engine are exactly the replicas whose stretch reaches it, and each replica counts the same.
//  2. The parts of all senders of an engine sum to 1, or there is no sender; who is no sender has part 0.
//  3. No two senders of an engine have their turn in the same slot, each has one in every round of as many slots as
//     there are senders, and of two rounds one in a slot of even and one in a slot of odd number.
//  4. A window shorter than two slots less a turn meets the turns of at most two slots.
//  5. An engine without capacity (not in use) has no sender and moves no stretch.
//  6. A part never grows within HoldWindows of a change of the list, and never passes that of the present list;
//     a fixed one holds at once.
//  7. Where fine work and the turns keep to their parts of the budget, and each turn may send one request heavier than
//     its part if [Window.HeavyChance] is not 0, no window that meets two turns holds more than [Window.Bears].
//  8. Over two slots in a row the chances of such a request sum up to at most twice the turn's part over its work, so
//     that on average the turns send no more than their parts.
package slowstart

import (
	"math"
	"time"
)

// TurnPart is the part of its slot, from the slot's begin on, that a turn lasts: one in TurnPart.
const TurnPart = 7

// HoldWindows is for how many windows after a change of the list a part does not grow: one, lest the sends of former
// senders and of new ones meet in one, and the rest for the time that the news takes to reach all replicas. At 1.25, two
// of 120 fleets still passed the sum where a third of the replicas hear up to 2.5 windows late (docs/ramp.md).
const HoldWindows = 1.75

// Share is what one replica has of one engine. The zero value is that of a replica that does not send to it.
type Share struct {
	Senders int // replicas that send to the engine
	Rank    int // of this replica among them, in the order of their numbers, from 0; negative: it is none of them
}

// Sends reports whether the replica is a sender of the engine.
func (s Share) Sends() bool { return s.Senders > 0 && s.Rank >= 0 }

// Part is the replica's part of what the engine may get from all.
func (s Share) Part() float64 {
	if !s.Sends() {
		return 0
	}
	return 1 / float64(s.Senders)
}

// Turn reports whether it is the replica's turn at the engine, by a clock that all replicas read alike and by slots of
// that length.
func (s Share) Turn(now, slot time.Duration) bool {
	if !s.Sends() || slot <= 0 || now < 0 {
		return false
	}
	return s.inSlot(int64(now/slot)) && now%slot <= slot/TurnPart
}

// inSlot reports whether the slot of that number is the replica's. With an even number of senders neighbours swap their
// slots in every other round: else half of the replicas would never have a slot of even number.
func (s Share) inSlot(number int64) bool {
	senders := int64(s.Senders)
	rank := number % senders
	if round := number / senders; senders%2 == 0 && round%2 == 1 {
		rank ^= 1
	}
	return rank == int64(s.Rank)
}

// Window is what all replicas together may send to an engine in one window. The unit of work is seconds over all
// threads.
type Window struct {
	Budget float64 // the work that the engine takes without harm
	Mean   float64 // mean work of a request
	Fine   float64 // part of the budget for work finer than a replica's part
	Turn   float64 // part of the budget for each of the two turns that a window meets
}

// Bears is the work at which the engine falls: N + 2 sqrt(N) + 2 requests of mean work, where N make up the budget.
func (w Window) Bears() float64 {
	return w.Budget + 2*math.Sqrt(w.Budget*w.Mean) + 2*w.Mean
}

// HeavyChance is the chance with which a replica may, in its turn, send one request of more work than the turn's part.
// Where the engine would not bear two of them in a window, they go only in slots of even number, at twice the chance;
// where it would not bear one beside fine work and the other turn's part, never.
func (w Window) HeavyChance(work float64, now, slot time.Duration) float64 {
	chance, even := w.Turn*w.Budget/work, now/slot%2 == 0
	switch {
	case 2*work+w.Fine*w.Budget <= w.Bears():
		return math.Min(chance, 1)
	case even && work+(w.Fine+w.Turn)*w.Budget <= w.Bears():
		return math.Min(2*chance, 1)
	}
	return 0
}

// Held is a share together with the one that the replica had before the list changed last. A change moves stretches,
// what the former senders sent still counts, and not all replicas have heard of the change yet: for HoldWindows after it,
// a share does not grow. The zero value is that of an engine that is new to the list.
type Held struct {
	Share
	before  Share
	changed time.Duration
}

// Fixed is a share that no change of the list moves, as where each replica sends to all engines.
func Fixed(share Share) Held { return Held{Share: share, before: share} }

// Change takes the share that a changed list gives.
func (h Held) Change(to Share, now, window time.Duration) Held {
	if to == h.Share {
		return h
	}
	before := h.Share
	if h.holds(now, window) && h.before.Part() < before.Part() {
		before = h.before
	}
	return Held{Share: to, before: before, changed: now}
}

func (h Held) holds(now, window time.Duration) bool {
	return now < h.changed+time.Duration(HoldWindows*float64(window))
}

// PartAt is the replica's part of what the engine may get from all at that time, and 0 while it may send nothing.
func (h Held) PartAt(now, window time.Duration) float64 {
	if h.holds(now, window) {
		return math.Min(h.Part(), h.before.Part())
	}
	return h.Part()
}

// First is the engine at which a replica's stretch starts, as an index into the capacities along the ring. An engine
// that is not in use has capacity 0.
func First(capacity []float64, replica, replicas int) int {
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	at := total * float64(replica) / float64(replicas)
	for i, c := range capacity {
		if at -= c; at < 0 {
			return i
		}
	}
	return max(len(capacity)-1, 0)
}

// Shares tells what the replica me has of each engine, where a stretch goes on until the capacity that it has passed
// makes up length.
func Shares(capacity []float64, me, replicas int, length float64) []Share {
	shares := make([]Share, len(capacity))
	for i := range shares {
		shares[i].Rank = -1
	}
	for replica := range replicas {
		first := First(capacity, replica, replicas)
		for i, passed := 0, 0.0; i < len(capacity) && passed < length; i++ {
			at := (first + i) % len(capacity)
			if capacity[at] <= 0 {
				continue
			}
			passed += capacity[at]
			if replica == me {
				shares[at].Rank = shares[at].Senders
			}
			shares[at].Senders++
		}
	}
	return shares
}
