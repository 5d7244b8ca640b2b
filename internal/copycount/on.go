//go:build count

package copycount

import "sync/atomic"

var names = [places]string{"pages", "chunks", "encode", "output", "statement", "call"}

var counts [places]atomic.Int64

// Add counts n bytes copied at a place.
func Add(p Place, n int) { counts[p].Add(int64(n)) }

// Counts returns the bytes copied so far, by place.
func Counts() map[string]int64 {
	out := map[string]int64{}
	for p := range counts {
		out[names[p]] = counts[p].Load()
	}
	return out
}
