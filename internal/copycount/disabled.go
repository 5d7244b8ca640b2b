//go:build !count

package copycount

// Add does nothing in builds without the tag count.
func Add(Site, int) {}

// Counts returns nil in builds without the tag count.
func Counts() map[string]int64 { return nil }
