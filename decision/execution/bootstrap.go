package execution

import "slices"

// Bootstrap decides when a replica that has lost its disk may take part again (invariant 7).
//
// What a majority of n replicas has accepted is held by at least majority-1 others. To meet one of them for every id,
// all others but majority-2 must be read: both others of three copies, three of the four others of five. Which members
// hold an id together with this one depends on the id, so the whole fleet is read.
type Bootstrap struct {
	replicas int
	read     map[string]bool // every other member that may hold replicas, by name
}

// NewBootstrap begins the bootstrap of a member's replica.
func NewBootstrap(replicas int, self string, members []Member) *Bootstrap {
	b := &Bootstrap{replicas: replicas, read: map[string]bool{}}
	for _, member := range members {
		if member.Name != self && member.Weight > 0 {
			b.read[member.Name] = false
		}
	}
	return b
}

// MarkRead tells that all records that a member shares with this one were merged, under the configuration in force.
func (b *Bootstrap) MarkRead(member string) {
	if _, asked := b.read[member]; asked {
		b.read[member] = true
	}
}

// Missing returns the members that are to be read yet, by name. If there are none, the bootstrap is complete.
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
