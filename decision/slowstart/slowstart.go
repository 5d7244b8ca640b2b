package slowstart

import (
	"math"
	"time"
)

// TurnDivisor is the length of a slot over that of a turn, which begins with its slot.
const TurnDivisor = 7

// GrowthDelayWindows is for how many windows after a change of the list a fraction does not grow: one, lest the sends
// of former senders and of new ones meet in one window, and the rest for the time until all replicas know the change.
const GrowthDelayWindows = 1.75

// Quota is what one replica has of one engine. The zero value is that of a replica that does not send to it.
type Quota struct {
	Senders int // replicas that send to the engine
	Rank    int // of this replica among them, in the order of their numbers, from 0; negative: it is none of them
}

// Sends reports whether the replica is a sender of the engine.
func (q Quota) Sends() bool { return q.Senders > 0 && q.Rank >= 0 }

// Fraction is the replica's part of what the engine may get from all.
func (q Quota) Fraction() float64 {
	if !q.Sends() {
		return 0
	}
	return 1 / float64(q.Senders)
}

// HasTurn reports whether it is the replica's turn at the engine, by a clock that all replicas read alike and by slots
// of that length.
func (q Quota) HasTurn(now, slot time.Duration) bool {
	if !q.Sends() || slot <= 0 || now < 0 {
		return false
	}
	return q.ownsSlot(int64(now/slot)) && now%slot <= slot/TurnDivisor
}

// ownsSlot reports whether the slot of that number is the replica's. With an even number of senders neighbours swap
// their slots in every other round: else half of the replicas would never have a slot of even number.
func (q Quota) ownsSlot(number int64) bool {
	senders := int64(q.Senders)
	rank := number % senders
	if round := number / senders; senders%2 == 0 && round%2 == 1 {
		rank ^= 1
	}
	return rank == int64(q.Rank)
}

// WindowBudget is what all replicas together may send to an engine in one window. The unit of work is seconds over all
// threads.
type WindowBudget struct {
	Total        float64 // the work that the engine takes without harm
	MeanWork     float64 // of a request
	FineFraction float64 // of Total, for work finer than a replica's part
	TurnFraction float64 // of Total, for each of the two turns that a window meets
}

// OverloadWork is the work above which the engine fails: that of N + 2 sqrt(N) + 2 requests of mean work, where N make
// up the budget.
func (b WindowBudget) OverloadWork() float64 {
	return b.Total + 2*math.Sqrt(b.Total*b.MeanWork) + 2*b.MeanWork
}

// HeavyProbability is the probability with which a replica may, in its turn, send one request of more work than the
// turn's fraction. Where two of them in a window would overload the engine, they go only in slots of even number, at
// twice the probability; where one beside fine work and the other turn would, never.
func (b WindowBudget) HeavyProbability(work float64, now, slot time.Duration) float64 {
	probability := b.TurnFraction * b.Total / work
	inEvenSlot := now/slot%2 == 0
	switch {
	case 2*work+b.FineFraction*b.Total <= b.OverloadWork():
		return math.Min(probability, 1)
	case inEvenSlot && work+(b.FineFraction+b.TurnFraction)*b.Total <= b.OverloadWork():
		return math.Min(2*probability, 1)
	}
	return 0
}

// DelayedQuota is a quota together with the one that the replica had before the list changed last. A change moves
// subsets, what the former senders sent still counts, and not all replicas know of the change yet: its fraction does
// not grow for GrowthDelayWindows. The zero value is that of an engine that is new to the list.
type DelayedQuota struct {
	Quota
	previous  Quota
	changedAt time.Duration
}

// FixedQuota is a quota that no change of the list moves, as where each replica sends to all engines.
func FixedQuota(quota Quota) DelayedQuota { return DelayedQuota{Quota: quota, previous: quota} }

// Update returns the quota that follows with the one that a changed list gives.
func (d DelayedQuota) Update(to Quota, now, window time.Duration) DelayedQuota {
	if to == d.Quota {
		return d
	}
	previous := d.Quota
	if d.growthDelayed(now, window) && d.previous.Fraction() < previous.Fraction() {
		previous = d.previous
	}
	return DelayedQuota{Quota: to, previous: previous, changedAt: now}
}

func (d DelayedQuota) growthDelayed(now, window time.Duration) bool {
	return now < d.changedAt+time.Duration(GrowthDelayWindows*float64(window))
}

// FractionAt is the replica's part of what the engine may get from all at that time, and 0 while it may send nothing.
func (d DelayedQuota) FractionAt(now, window time.Duration) float64 {
	if d.growthDelayed(now, window) {
		return math.Min(d.Fraction(), d.previous.Fraction())
	}
	return d.Fraction()
}

// FirstEngine is the engine at which a replica's subset begins, as an index into the capacities along the ring. An
// engine that is not in use has capacity 0.
func FirstEngine(capacities []float64, replica, replicas int) int {
	total := 0.0
	for _, capacity := range capacities {
		total += capacity
	}
	rest := total * float64(replica) / float64(replicas)
	for i, capacity := range capacities {
		rest -= capacity
		if rest < 0 {
			return i
		}
	}
	return max(len(capacities)-1, 0)
}

// Quotas returns what the replica me has of each engine, where a subset goes on until the capacity that it has passed
// makes up size.
func Quotas(capacities []float64, me, replicas int, size float64) []Quota {
	quotas := make([]Quota, len(capacities))
	for i := range quotas {
		quotas[i].Rank = -1
	}
	for replica := range replicas {
		first := FirstEngine(capacities, replica, replicas)
		for i, passed := 0, 0.0; i < len(capacities) && passed < size; i++ {
			at := (first + i) % len(capacities)
			if capacities[at] <= 0 {
				continue
			}
			passed += capacities[at]
			if replica == me {
				quotas[at].Rank = quotas[at].Senders
			}
			quotas[at].Senders++
		}
	}
	return quotas
}
