//go:build count

package copycount

import "sync/atomic"

var names = [siteCount]string{
	Pages: "pages", Chunks: "chunks", Encode: "encode", Output: "output", Statement: "statement", Call: "call",
}

var counts [siteCount]atomic.Int64

// Add adds n bytes to the count of a call site. It is safe for concurrent use.
func Add(site Site, n int) { counts[site].Add(int64(n)) }

// Counts returns the number of bytes copied so far, by name of the call site.
func Counts() map[string]int64 {
	byName := map[string]int64{}
	for site := range counts {
		byName[names[site]] = counts[site].Load()
	}
	return byName
}
