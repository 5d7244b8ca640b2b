package dispatch

import (
	"hash/maphash"
	"time"

	"beechcart/internal/exchange"
)

// rememberFor is how long an id is remembered at least: well over the 2 s after which engines forget a query
// that nobody asks for.
const rememberFor = 15 * time.Second

// memory holds the ids that were taken lately, and what each asked for. It is of bounded size: what is older than
// twice rememberFor is forgotten.
type memory struct {
	seed     maphash.Seed
	now, old map[string]uint64
	since    time.Time // when now was begun
}

func newMemory() *memory {
	return &memory{seed: maphash.MakeSeed(), now: map[string]uint64{}, since: time.Now()}
}

// add enters a request; false when its id was taken lately for something else. The same request may come again:
// clients send what crossed a close a second time.
func (m *memory) add(x *exchange.Exchange) bool {
	if time.Since(m.since) > rememberFor {
		m.old, m.now, m.since = m.now, map[string]uint64{}, time.Now()
	}
	var h maphash.Hash
	h.SetSeed(m.seed)
	_, _ = h.WriteString(x.ClassName)
	_ = h.WriteByte(0)
	_, _ = h.Write(x.Statement)
	asks := h.Sum64()
	if was, ok := m.now[x.ID]; ok && was != asks {
		return false
	}
	if was, ok := m.old[x.ID]; ok && was != asks {
		return false
	}
	m.now[x.ID] = asks
	return true
}
