package slowstart

import (
	"math"
	"time"
)

// TurnDivisor is the length of a slot divided by the length of a turn. A turn begins with its slot.
const TurnDivisor = 7

// GrowthDelayWindows is the number of windows after a change of the list in which a fraction does not grow. One window
// keeps the requests of former and new senders apart; the rest allows for the time until all replicas know the change.
const GrowthDelayWindows = 1.75

// Quota is the part of one engine that one replica may use. The zero value is the quota of a replica that does not send
// to the engine.
type Quota struct {
	Senders int // number of replicas that send to the engine
	Rank    int // of this replica among the senders, in the order of replica numbers, from 0; negative: not a sender
}

// Sends reports whether the replica is a sender of the engine.
func (q Quota) Sends() bool { return q.Senders > 0 && q.Rank >= 0 }

// Fraction returns the replica's fraction of the work that the engine may get from all replicas.
func (q Quota) Fraction() float64 {
	if !q.Sends() {
		return 0
	}
	return 1 / float64(q.Senders)
}

// HasTurn reports whether the replica has its turn at the engine. The argument now is the time of a clock that all
// replicas share, and slot is the length of a slot.
func (q Quota) HasTurn(now, slot time.Duration) bool {
	if !q.Sends() || slot <= 0 || now < 0 {
		return false
	}
	return q.ownsSlot(int64(now/slot)) && now%slot <= slot/TurnDivisor
}

// ownsSlot reports whether the slot with the given number belongs to the replica. With an even number of senders,
// neighbours swap their slots in every other round; otherwise half of the senders would never have an even slot.
func (q Quota) ownsSlot(number int64) bool {
	senders := int64(q.Senders)
	rank := number % senders
	if round := number / senders; senders%2 == 0 && round%2 == 1 {
		rank ^= 1
	}
	return rank == int64(q.Rank)
}

// WindowBudget is the work that all replicas together may send to an engine in one window. The unit of work is seconds,
// summed over all threads.
type WindowBudget struct {
	Total        float64 // work that the engine handles without overload
	MeanWork     float64 // of a request
	FineFraction float64 // of Total, for requests much smaller than the replica's part, which may be sent at any time
	TurnFraction float64 // of Total, for each of the two turns that a window overlaps
}

// OverloadWork returns the work above which the engine is overloaded and fails: the work of N + 2 sqrt(N) + 2 requests
// of mean work, where N such requests make up the budget.
func (b WindowBudget) OverloadWork() float64 {
	return b.Total + 2*math.Sqrt(b.Total*b.MeanWork) + 2*b.MeanWork
}

// HeavyProbability returns the probability with which a replica may send, in its turn, one heavy request: a request of
// more work than the turn's fraction. If two heavy requests in a window would overload the engine, heavy requests are
// sent only in even slots, at twice the probability. If one heavy request together with the fine work and the other
// turn would overload the engine, the probability is 0.
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

// DelayedQuota is a quota together with the replica's quota before the last change of the list. After a change, subsets
// move, the work of the former senders still counts, and not all replicas know the change yet. The fraction therefore
// does not grow for GrowthDelayWindows. The zero value is the quota for an engine that is new to the list.
type DelayedQuota struct {
	Quota
	previous  Quota
	changedAt time.Duration
}

// FixedQuota returns a quota that takes effect without delay. It is used where a change of the list does not change the
// senders of an engine, for example where each replica sends to all engines.
func FixedQuota(quota Quota) DelayedQuota { return DelayedQuota{Quota: quota, previous: quota} }

// Update returns the delayed quota after a change of the list at the time now, where next is the quota in the changed
// list.
func (d DelayedQuota) Update(next Quota, now, window time.Duration) DelayedQuota {
	if next == d.Quota {
		return d
	}
	previous := d.Quota
	if d.growthDelayed(now, window) && d.previous.Fraction() < previous.Fraction() {
		previous = d.previous
	}
	return DelayedQuota{Quota: next, previous: previous, changedAt: now}
}

func (d DelayedQuota) growthDelayed(now, window time.Duration) bool {
	return now < d.changedAt+time.Duration(GrowthDelayWindows*float64(window))
}

// FractionAt returns the replica's fraction, at the time now, of the work that the engine may get from all replicas.
// The fraction is 0 while the replica may send nothing.
func (d DelayedQuota) FractionAt(now, window time.Duration) float64 {
	if d.growthDelayed(now, window) {
		return math.Min(d.Fraction(), d.previous.Fraction())
	}
	return d.Fraction()
}

// FirstEngine returns the engine at which a replica's subset begins, as an index into the capacities along the ring. An
// engine that is not in use has a capacity of 0.
func FirstEngine(capacities []float64, replica, replicas int) int {
	total := 0.0
	for _, capacity := range capacities {
		total += capacity
	}
	remaining := total * float64(replica) / float64(replicas)
	for i, capacity := range capacities {
		remaining -= capacity
		if remaining < 0 {
			return i
		}
	}
	return max(len(capacities)-1, 0)
}

// Quotas returns the quota of the replica me at each engine. A subset extends along the ring until the capacities of
// its engines add up to at least size.
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
