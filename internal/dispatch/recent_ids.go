package dispatch

import (
	"hash/maphash"
	"time"

	"beechcart/internal/exchange"
)

// rememberIDsFor is how long the id of a request is remembered at least: well over the 2 s after which engines forget
// a query that is not polled.
const rememberIDsFor = 15 * time.Second

// recentIDs remembers the ids of recent requests with a hash of what each asked for. Its size is bounded: an id is
// forgotten after twice rememberIDsFor.
type recentIDs struct {
	seed              maphash.Seed
	current, previous map[string]uint64 // hash by id, in two generations
	currentSince      time.Time
}

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), current: map[string]uint64{}, currentSince: time.Now()}
}

// add remembers a request. It returns false where its id was used for another class or statement. The same request
// may come again: clients resend a request when the connection was closed under it.
func (ids *recentIDs) add(x *exchange.Exchange) bool {
	if time.Since(ids.currentSince) > rememberIDsFor {
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
