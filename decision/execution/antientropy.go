package execution

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// rangeCount is in how many parts the ids are compared. A difference costs the heads of one part: about 300 of 20,000 records.
const rangeCount = 64

// RangeDigests is what a member holds of the ids that it shares with another, by range: equal digests hold the same.
type RangeDigests [rangeCount]uint64

// rangeOf is the range of an id.
func rangeOf(id string) int {
	h := fnv.New64a()
	h.Write([]byte(id))
	return int(h.Sum64() >> 58)
}

// RangeDigests sums up the records that shared tells of. The sum of a range does not depend on the order of its records.
func (s *Replica) RangeDigests(shared func(id string) bool) (d RangeDigests) {
	for id, r := range s.records {
		if shared(id) {
			d[rangeOf(id)] ^= r.digest()
		}
	}
	return d
}

func (r *Record) digest() uint64 {
	h := fnv.New64a()
	for _, part := range []string{r.ID, r.StatementDigest, r.Promised.Proposer, r.Accepted.Proposer, strconv.FormatUint(r.Promised.Round, 36),
		strconv.FormatUint(r.Accepted.Round, 36), strconv.FormatUint(r.Version, 36), strconv.Itoa(int(r.Outcome.Phase))} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// DifferingRanges lists the ranges in which two digests differ.
func (d *RangeDigests) DifferingRanges(o *RangeDigests) (list []int) {
	for i := range d {
		if d[i] != o[i] {
			list = append(list, i)
		}
	}
	return list
}

// Summary is what has to be known of a record to tell whether another holds more.
type Summary struct {
	ID       string
	Promised Ballot
	Accepted Ballot
	Version  uint64
}

// Summaries lists the shared records of a range, by id.
func (s *Replica) Summaries(at int, shared func(id string) bool) []Summary {
	var out []Summary
	for id, r := range s.records {
		if rangeOf(id) == at && shared(id) {
			out = append(out, Summary{id, r.Promised, r.Accepted, r.Version})
		}
	}
	slices.SortFunc(out, func(a, b Summary) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Missing lists the ids of which another holds more than this shelf.
func (s *Replica) Missing(theirs []Summary) (ids []string) {
	for _, h := range theirs {
		r := s.records[h.ID]
		if r == nil {
			ids = append(ids, h.ID)
			continue
		}
		c := r.Accepted.Compare(h.Accepted)
		if c < 0 || (c == 0 && r.Version < h.Version) || r.Promised.Compare(h.Promised) < 0 {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// Bootstrap decides when a shelf that came back empty may count again.
//
// What a majority of n holders agreed on is held by at least majority-1 others; to meet one of them for every id, all others but
// majority-2 must have been read: both others of three copies, three of four of five. Which members hold an id with this one depends on the
// id, so it is asked of the whole fleet.
type Bootstrap struct {
	replicas int
	others   map[string]bool // whether it has been read
}

// NewBootstrap begins to fill the shelf of a member.
func NewBootstrap(copies int, me string, members []Member) *Bootstrap {
	f := &Bootstrap{copies, map[string]bool{}}
	for _, m := range members {
		if m.Name != me && m.Weight > 0 {
			f.others[m.Name] = false
		}
	}
	return f
}

// MarkRead tells that all that a member shares with this one has been copied, under the configuration in force.
func (f *Bootstrap) MarkRead(member string) {
	if _, asked := f.others[member]; asked {
		f.others[member] = true
	}
}

// Missing lists who has to be read still; Done is told by none.
func (f *Bootstrap) Missing() (names []string) {
	for name, read := range f.others {
		if !read {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	majority := f.replicas/2 + 1
	if spare := majority - 2; spare > 0 {
		if len(names) <= spare && len(f.others) >= f.replicas-1 {
			return nil
		}
	}
	return names
}

// AntiEntropy decides which copies are made next, and how fast: those with the fewest copies left first.
type AntiEntropy struct {
	recordsPerSecond float64 // records
	burst            float64
	tokens           float64
	refilledAt       time.Duration
	copiesLeft       map[string]int // copies that are left, by id
}

// NewAntiEntropy returns a Repair that makes so many copies a second at most.
func NewAntiEntropy(perSecond float64, now time.Duration) *AntiEntropy {
	return &AntiEntropy{recordsPerSecond: perSecond, burst: max(1, perSecond/10), refilledAt: now, copiesLeft: map[string]int{}}
}

// SetCopies tells how many copies of an id are left; as many as there should be ends its repair.
func (r *AntiEntropy) SetCopies(id string, left, should int) {
	if left >= should {
		delete(r.copiesLeft, id)
		return
	}
	r.copiesLeft[id] = left
}

// Waiting is how many ids wait for a copy.
func (r *AntiEntropy) Waiting() int { return len(r.copiesLeft) }

// Next takes the ids whose copies are made now, within the rate.
func (r *AntiEntropy) Next(now time.Duration) (ids []string) {
	r.tokens = min(r.burst, r.tokens+r.recordsPerSecond*(now-r.refilledAt).Seconds())
	r.refilledAt = now
	if r.tokens < 1 || len(r.copiesLeft) == 0 {
		return nil
	}
	for id := range r.copiesLeft {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c := cmp.Compare(r.copiesLeft[a], r.copiesLeft[b]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	ids = ids[:min(len(ids), int(r.tokens))]
	for _, id := range ids {
		delete(r.copiesLeft, id)
		r.tokens--
	}
	return ids
}
