// Package membudget bounds the sum of the memory that many users hold at once, such as the input of all sessions.
package membudget

import "sync/atomic"

// Budget is an amount of memory in bytes that users reserve and release. All methods are safe for concurrent use, and
// may be called on a nil Budget, which has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a Budget of limit bytes.
func New(limit int) *Budget { return &Budget{limit: int64(limit)} }

// TryReserve reserves n bytes. It returns false, and reserves nothing, if fewer bytes are free.
func (b *Budget) TryReserve(n int) bool {
	if b == nil {
		return true
	}
	for {
		used := b.used.Load()
		if used+int64(n) > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+int64(n)) {
			return true
		}
	}
}

// Release releases n reserved bytes.
func (b *Budget) Release(n int) {
	if b != nil {
		b.used.Add(-int64(n))
	}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int {
	if b == nil {
		return 0
	}
	return int(b.used.Load())
}

// Limit returns the size of the budget in bytes; 0: no limit.
func (b *Budget) Limit() int {
	if b == nil {
		return 0
	}
	return int(b.limit)
}
