package execution

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleetOf returns n members of equal weight in three zones.
func fleetOf(n int) (members []Member) {
	for i := range n {
		members = append(members, Member{fmt.Sprint("n", i), fmt.Sprint("zone-", i%3), 1})
	}
	return members
}

// The replicas of an id are in different zones, members hold replicas in proportion to their weights, and few replicas
// move when one member leaves.
func TestReplicaSetsAreSpread(t *testing.T) {
	const ids = 20_000
	members := fleetOf(12)
	members[0].Weight = 2
	members = append(members, Member{"none", "zone-a", 0})
	count := map[string]int{}
	moved := 0
	for i := range ids {
		id := fmt.Sprintf("%016x", i)
		set := ReplicaSet(id, members, 3)
		require.Len(t, set, 3)
		zones := map[string]bool{}
		for _, m := range set {
			zones[m.Zone] = true
			count[m.Name]++
		}
		require.Len(t, zones, 3)
		after := ReplicaSet(id, members[:11], 3) // without n11
		for _, m := range set {
			if m.Name != "n11" && !slices.Contains(after, m) {
				moved++
			}
		}
	}
	assert.Zero(t, count["none"])
	for _, m := range members[1:12] {
		if m.Zone != members[0].Zone {
			assert.InDelta(t, ids*3/12, count[m.Name], ids*3/12*0.1, m.Name)
		}
	}
	assert.InDelta(t, 2.0*float64(count["n3"]), count["n0"], float64(count["n0"])*0.35, "twice the weight, in one zone")
	// A replica of a remaining member moves only if a zone has to be filled from another zone.
	assert.Less(t, moved, ids*3/12/2, "of %d replicas", ids*3)
}

func TestReplicaSetDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleetOf(rapid.IntRange(0, 9).Draw(t, "members"))
		n := rapid.IntRange(1, 7).Draw(t, "replicas")
		id := rapid.String().Draw(t, "id")
		set := ReplicaSet(id, members, n)
		require.Equal(t, set, ReplicaSet(id, rapid.Permutation(members).Draw(t, "order"), n))
		require.Len(t, set, min(n, len(members)))
	})
}
