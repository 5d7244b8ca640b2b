package execution

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// rangeBits is the number of bits of an id's hash that select its range.
const rangeBits = 6

// rangeCount is the number of ranges into which ids are divided to compare two replicas. If a record differs, the
// summaries of its range are exchanged.
const rangeCount = 1 << rangeBits

// RangeDigests are digests of the records that two members share, by range of ids. Equal digests mean equal records.
type RangeDigests [rangeCount]uint64

// rangeOf returns the range of an id.
func rangeOf(id string) int {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return int(hash.Sum64() >> (64 - rangeBits))
}

// RangeDigests returns the digests of the records for whose ids shared reports true. The digests do not depend on the
// order of the records.
func (r *Replica) RangeDigests(shared func(id string) bool) RangeDigests {
	var digests RangeDigests
	for id, record := range r.records {
		if shared(id) {
			digests[rangeOf(id)] ^= record.digest()
		}
	}
	return digests
}

// digest returns a digest of the fields on which the replicas agree. The result is left out, because ballot and version
// determine it.
func (r *Record) digest() uint64 {
	hash := fnv.New64a()
	for _, field := range []string{
		r.ID,
		r.StatementDigest,
		r.Promised.Proposer,
		r.Accepted.Proposer,
		strconv.FormatUint(r.Promised.Round, 36),
		strconv.FormatUint(r.Accepted.Round, 36),
		strconv.FormatUint(r.Version, 36),
		strconv.Itoa(int(r.Outcome.Phase)),
	} {
		hash.Write([]byte(field))
		hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// DifferingRanges returns the ranges whose digests differ.
func (d *RangeDigests) DifferingRanges(other *RangeDigests) []int {
	var ranges []int
	for i := range d {
		if d[i] != other[i] {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

// Summary is the part of a record that shows which of two replicas has the later state.
type Summary struct {
	ID       string
	Promised Ballot
	Accepted Ballot
	Version  uint64
}

// Summaries returns the summaries of the shared records of a range, sorted by id.
func (r *Replica) Summaries(ofRange int, shared func(id string) bool) []Summary {
	var summaries []Summary
	for id, record := range r.records {
		if rangeOf(id) == ofRange && shared(id) {
			summaries = append(summaries, Summary{
				ID:       id,
				Promised: record.Promised,
				Accepted: record.Accepted,
				Version:  record.Version,
			})
		}
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Compare(a.ID, b.ID) })
	return summaries
}

// Missing returns the ids of the summarized records of another replica that this replica lacks or holds in an earlier
// state.
func (r *Replica) Missing(summaries []Summary) []string {
	var ids []string
	for _, summary := range summaries {
		if own := r.records[summary.ID]; own == nil || own.olderThan(summary) {
			ids = append(ids, summary.ID)
		}
	}
	return ids
}

// olderThan reports whether the summarized record has a later accepted outcome or a later promised ballot.
func (r *Record) olderThan(summary Summary) bool {
	order := r.Accepted.Compare(summary.Accepted)
	return order < 0 || (order == 0 && r.Version < summary.Version) || r.Promised.Compare(summary.Promised) < 0
}

// AntiEntropy schedules the copying of records at a limited rate, those with the fewest copies first.
type AntiEntropy struct {
	recordsPerSecond float64
	burst            float64 // records
	tokens           float64 // records that may be copied now
	refilledAt       time.Duration
	copiesLeft       map[string]int // by id
}

// burstsPerSecond is the number of bursts in which the records of one second are copied.
const burstsPerSecond = 10

// NewAntiEntropy returns an AntiEntropy that copies at most recordsPerSecond records per second.
func NewAntiEntropy(recordsPerSecond float64, now time.Duration) *AntiEntropy {
	return &AntiEntropy{
		recordsPerSecond: recordsPerSecond,
		burst:            max(1, recordsPerSecond/burstsPerSecond),
		refilledAt:       now,
		copiesLeft:       map[string]int{},
	}
}

// SetCopies sets the number of copies that are left of a record. A record with at least as many copies as wanted does
// not wait to be copied.
func (a *AntiEntropy) SetCopies(id string, left, wanted int) {
	if left >= wanted {
		delete(a.copiesLeft, id)
		return
	}
	a.copiesLeft[id] = left
}

// Waiting returns the number of records that wait to be copied.
func (a *AntiEntropy) Waiting() int { return len(a.copiesLeft) }

// Next returns the ids of the records to copy now, within the rate, and removes them from the waiting records.
func (a *AntiEntropy) Next(now time.Duration) []string {
	a.tokens = min(a.burst, a.tokens+a.recordsPerSecond*(now-a.refilledAt).Seconds())
	a.refilledAt = now
	if a.tokens < 1 || len(a.copiesLeft) == 0 {
		return nil
	}
	ids := make([]string, 0, len(a.copiesLeft))
	for id := range a.copiesLeft {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.copiesLeft[x], a.copiesLeft[y]), cmp.Compare(x, y))
	})
	ids = ids[:min(len(ids), int(a.tokens))]
	for _, id := range ids {
		delete(a.copiesLeft, id)
		a.tokens--
	}
	return ids
}
