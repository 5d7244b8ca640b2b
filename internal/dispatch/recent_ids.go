package dispatch

import (
	"hash/maphash"
	"time"

	"beechcart/internal/exchange"
)

// idRetention is the time for which the ID of a request is remembered while no generation is full. It is well over the
// 2 s after which engines forget a query that is not polled.
const idRetention = 15 * time.Second

// Limits of one generation of recent IDs. An entry takes some 30 bytes.
const (
	maxRecentIDs   = 4 << 10
	maxExecutedIDs = 16 << 10 // 1,000 requests a second for idRetention
)

// recentIDs remembers the IDs of recent requests, each with a hash of its class and statement. Two generations bound
// its size: once the current generation is older than idRetention or full, it replaces the previous one, which is
// discarded.
type recentIDs struct {
	seed              maphash.Seed
	limit             int               // maximum number of IDs in a generation
	current, previous map[uint64]uint64 // hash of the statement by hash of the request ID
	currentSince      time.Time
}

func newRecentIDs(limit int) *recentIDs {
	return &recentIDs{
		seed: maphash.MakeSeed(), limit: limit, current: map[uint64]uint64{}, currentSince: time.Now(),
	}
}

// add records the ID of a request. It returns false if the ID was recently used with another class or statement. It
// returns true for a repetition of the same request: clients resend a request whose connection was closed.
func (ids *recentIDs) add(x *exchange.Exchange) bool {
	ids.rotate()
	var h maphash.Hash
	h.SetSeed(ids.seed)
	_, _ = h.WriteString(x.ClassName)
	_ = h.WriteByte(0)
	_, _ = h.Write(x.Statement)
	sum := h.Sum64()
	if known, ok := ids.lookup(x.ID); ok && known != sum {
		return false
	}
	ids.current[ids.key(x.ID)] = sum
	return true
}

// record records an ID without its statement, for contains.
func (ids *recentIDs) record(id string) {
	ids.rotate()
	ids.current[ids.key(id)] = 0
}

// rotate begins a new generation if the current one is too old or full.
func (ids *recentIDs) rotate() {
	if time.Since(ids.currentSince) > idRetention || len(ids.current) >= ids.limit {
		ids.previous, ids.current, ids.currentSince = ids.current, map[uint64]uint64{}, time.Now()
	}
}

// contains reports whether the ID was recently recorded.
func (ids *recentIDs) contains(id string) bool {
	_, ok := ids.lookup(id)
	return ok
}

func (ids *recentIDs) lookup(id string) (sum uint64, ok bool) {
	key := ids.key(id)
	if sum, ok = ids.current[key]; ok {
		return sum, true
	}
	sum, ok = ids.previous[key]
	return sum, ok
}

func (ids *recentIDs) key(id string) uint64 { return maphash.String(ids.seed, id) }
