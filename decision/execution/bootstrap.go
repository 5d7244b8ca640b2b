package execution

import "slices"

// Bootstrap decides when a replica that has lost its disk may take part again (invariant 7).
//
// An outcome that a majority of n replicas has accepted is held by at least majority-1 replicas other than the lost
// one. To read one of these replicas for every id, at most majority-2 of the others may be left out: with three
// replicas both others must be read, with five replicas three of the four others. The members that hold an id together
// with this one depend on the id, so members of the whole fleet are read.
type Bootstrap struct {
	replicas int
	read     map[string]bool // whether a member was read, by name: every other member that may hold replicas
}

// NewBootstrap returns the bootstrap of the replica of the member named self. replicas is the size of a replica set.
func NewBootstrap(replicas int, self string, members []Member) *Bootstrap {
	b := &Bootstrap{replicas: replicas, read: map[string]bool{}}
	for _, member := range members {
		if member.Name != self && member.Weight > 0 {
			b.read[member.Name] = false
		}
	}
	return b
}

// MarkRead notes that all records that a member shares with this one were merged under the configuration in force.
func (b *Bootstrap) MarkRead(member string) {
	if _, expected := b.read[member]; expected {
		b.read[member] = true
	}
}

// Missing returns the sorted names of the members that are still to be read. If there are none, the bootstrap is
// complete.
func (b *Bootstrap) Missing() []string {
	var names []string
	for name, read := range b.read {
		if !read {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if dispensable := majority(b.replicas) - 2; dispensable > 0 {
		if len(names) <= dispensable && len(b.read) >= b.replicas-1 {
			return nil
		}
	}
	return names
}
