package execution

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// ranges is in how many parts the ids are compared. A difference costs the heads of one part: about 300 of 20,000 records.
const ranges = 64

// Digest is what a member holds of the ids that it shares with another, by range: equal digests hold the same.
type Digest [ranges]uint64

// place is the range of an id.
func place(id string) int {
	h := fnv.New64a()
	h.Write([]byte(id))
	return int(h.Sum64() >> 58)
}

// Digest sums up the records that shared tells of. The sum of a range does not depend on the order of its records.
func (s *Shelf) Digest(shared func(id string) bool) (d Digest) {
	for id, r := range s.records {
		if shared(id) {
			d[place(id)] ^= r.sum()
		}
	}
	return d
}

func (r *Record) sum() uint64 {
	h := fnv.New64a()
	for _, part := range []string{r.ID, r.Digest, r.Promised.Owner, r.Accepted.Owner, strconv.FormatUint(r.Promised.Round, 36),
		strconv.FormatUint(r.Accepted.Round, 36), strconv.FormatUint(r.Version, 36), strconv.Itoa(int(r.Fate.Phase))} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// Differ lists the ranges in which two digests differ.
func (d *Digest) Differ(o *Digest) (list []int) {
	for i := range d {
		if d[i] != o[i] {
			list = append(list, i)
		}
	}
	return list
}

// Head is what has to be known of a record to tell whether another holds more.
type Head struct {
	ID       string
	Promised Ballot
	Accepted Ballot
	Version  uint64
}

// Heads lists the shared records of a range, by id.
func (s *Shelf) Heads(at int, shared func(id string) bool) []Head {
	var out []Head
	for id, r := range s.records {
		if place(id) == at && shared(id) {
			out = append(out, Head{id, r.Promised, r.Accepted, r.Version})
		}
	}
	slices.SortFunc(out, func(a, b Head) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Lacks lists the ids of which another holds more than this shelf.
func (s *Shelf) Lacks(theirs []Head) (ids []string) {
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

// Filling decides when a shelf that came back empty may count again.
//
// What a majority of n holders agreed on is held by at least majority-1 others; to meet one of them for every id, all others but
// majority-2 must have been read: both others of three copies, three of four of five. Which members hold an id with this one depends on the
// id, so it is asked of the whole fleet.
type Filling struct {
	copies int
	others map[string]bool // whether it has been read
}

// NewFilling begins to fill the shelf of a member.
func NewFilling(copies int, me string, members []Member) *Filling {
	f := &Filling{copies, map[string]bool{}}
	for _, m := range members {
		if m.Name != me && m.Weight > 0 {
			f.others[m.Name] = false
		}
	}
	return f
}

// Read tells that all that a member shares with this one has been copied, under the configuration in force.
func (f *Filling) Read(member string) {
	if _, asked := f.others[member]; asked {
		f.others[member] = true
	}
}

// Missing lists who has to be read still; Done is told by none.
func (f *Filling) Missing() (names []string) {
	for name, read := range f.others {
		if !read {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	majority := f.copies/2 + 1
	if spare := majority - 2; spare > 0 {
		if len(names) <= spare && len(f.others) >= f.copies-1 {
			return nil
		}
	}
	return names
}

// Repair decides which copies are made next, and how fast: those with the fewest copies left first.
type Repair struct {
	perSecond float64 // records
	burst     float64
	tokens    float64
	at        time.Duration
	todo      map[string]int // copies that are left, by id
}

// NewRepair returns a Repair that makes so many copies a second at most.
func NewRepair(perSecond float64, now time.Duration) *Repair {
	return &Repair{perSecond: perSecond, burst: max(1, perSecond/10), at: now, todo: map[string]int{}}
}

// Lost tells how many copies of an id are left; as many as there should be ends its repair.
func (r *Repair) Lost(id string, left, should int) {
	if left >= should {
		delete(r.todo, id)
		return
	}
	r.todo[id] = left
}

// Todo is how many ids wait for a copy.
func (r *Repair) Todo() int { return len(r.todo) }

// Next takes the ids whose copies are made now, within the rate.
func (r *Repair) Next(now time.Duration) (ids []string) {
	r.tokens = min(r.burst, r.tokens+r.perSecond*(now-r.at).Seconds())
	r.at = now
	if r.tokens < 1 || len(r.todo) == 0 {
		return nil
	}
	for id := range r.todo {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c := cmp.Compare(r.todo[a], r.todo[b]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	ids = ids[:min(len(ids), int(r.tokens))]
	for _, id := range ids {
		delete(r.todo, id)
		r.tokens--
	}
	return ids
}
