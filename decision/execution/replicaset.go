package execution

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Member is a front end that may hold replicas.
type Member struct {
	Name   string
	Zone   string
	Weight float64 // relative to the other members; a member of weight 0 holds no replicas
}

// Config is the members among which replicas are placed. The number of a later configuration is greater.
type Config struct {
	Number   uint64
	Members  []Member
	Previous []Member // while replicas move: the members before the change, whose replica sets must agree as well
}

// rendezvousScore returns the score of a member for an id. The members with the greatest scores hold the register of
// the id. A member of twice the weight is chosen for twice as many ids.
func rendezvousScore(id string, member Member) float64 {
	if !(member.Weight > 0) {
		return math.Inf(-1)
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	hash.Write([]byte{0})
	hash.Write([]byte(member.Name))
	// The finalizer of SplitMix64 spreads the hash over all its bits.
	z := hash.Sum64()
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	uniform := (float64(z>>11) + 0.5) / (1 << 53) // greater than 0, less than 1
	return -member.Weight / math.Log(uniform)
}

// ReplicaSet returns the n members that hold the register of an id, or fewer if fewer members have a weight above 0. It
// takes the member with the greatest score of each zone in turn, so that the loss of a zone costs one copy if there are
// as many zones as copies.
func ReplicaSet(id string, members []Member, n int) []Member {
	ranked := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !(m.Weight > 0) })
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rendezvousScore(id, b), rendezvousScore(id, a)), cmp.Compare(a.Name, b.Name))
	})
	var chosen []Member
	chosenInZone := map[string]int{}
	for round := 1; len(chosen) < n && round <= len(ranked); round++ {
		for _, member := range ranked {
			if len(chosen) < n && chosenInZone[member.Zone] < round && !slices.Contains(chosen, member) {
				chosenInZone[member.Zone]++
				chosen = append(chosen, member)
			}
		}
	}
	return chosen
}
