package dispatch

import (
	"hash/maphash"
	"time"

	"beechcart/internal/exchange"
)

// idRetention is the minimum time for which the id of a request is remembered. It is well over the 2 s after which
// engines forget a query that is not polled.
const idRetention = 15 * time.Second

// recentIDs remembers the ids of recent requests, each with a hash of its class and statement. Two generations bound
// its size: once the current generation is older than idRetention, it replaces the previous one, which is discarded.
type recentIDs struct {
	seed              maphash.Seed
	current, previous map[string]uint64 // hash by request id
	currentSince      time.Time
}

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), current: map[string]uint64{}, currentSince: time.Now()}
}

// add records the id of a request. It returns false if the id was recently used with another class or statement. It
// returns true for a repetition of the same request: clients resend a request whose connection was closed.
func (ids *recentIDs) add(x *exchange.Exchange) bool {
	if time.Since(ids.currentSince) > idRetention {
		ids.previous, ids.current, ids.currentSince = ids.current, map[string]uint64{}, time.Now()
	}
	var h maphash.Hash
	h.SetSeed(ids.seed)
	_, _ = h.WriteString(x.ClassName)
	_ = h.WriteByte(0)
	_, _ = h.Write(x.Statement)
	sum := h.Sum64()
	if known, ok := ids.current[x.ID]; ok && known != sum {
		return false
	}
	if known, ok := ids.previous[x.ID]; ok && known != sum {
		return false
	}
	ids.current[x.ID] = sum
	return true
}
