//go:build count

package copycount

import "sync/atomic"

var names = [siteCount]string{
	Pages: "pages", Chunks: "chunks", Encode: "encode", Output: "output", Statement: "statement", Call: "call",
}

var counts [siteCount]atomic.Int64

// Add counts n bytes copied at a call site.
func Add(site Site, n int) { counts[site].Add(int64(n)) }

// Counts returns the bytes copied so far, by the name of the call site.
func Counts() map[string]int64 {
	byName := map[string]int64{}
	for site := range counts {
		byName[names[site]] = counts[site].Load()
	}
	return byName
}
