package execution

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Member is one that may hold copies for others.
type Member struct {
	Name, Zone string
	Weight     float64 // against others; 0 holds nothing
}

// Config is who holds, under a number that only grows. While copies move, the stage before is in force too.
type Config struct {
	Number   uint64
	Members  []Member
	Previous []Member // not empty: the holders of the configuration before must agree as well
}

// rendezvousScore is a member's place in the order of holders of an id: the greatest hold. A weight of two is drawn twice as often.
func rendezvousScore(id string, m Member) float64 {
	if !(m.Weight > 0) {
		return math.Inf(-1)
	}
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0})
	h.Write([]byte(m.Name))
	z := h.Sum64()
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	u := (float64((z^(z>>31))>>11) + 0.5) / (1 << 53)
	return -m.Weight / math.Log(u)
}

// ReplicaSet are the n members that hold the promises of an id: the first of each room in turn, so that a room that is lost
// takes one copy where there are as many rooms as copies.
func ReplicaSet(id string, members []Member, n int) []Member {
	order := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !(m.Weight > 0) })
	slices.SortFunc(order, func(a, b Member) int {
		if c := cmp.Compare(rendezvousScore(id, b), rendezvousScore(id, a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	var out []Member
	taken := map[string]int{} // by room
	for round := 1; len(out) < n && round <= len(order); round++ {
		for _, m := range order {
			if len(out) < n && taken[m.Zone] < round && !slices.Contains(out, m) {
				taken[m.Zone]++
				out = append(out, m)
			}
		}
	}
	return out
}
