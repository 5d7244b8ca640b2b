//go:build !count

package copycount

// Add counts nothing in this build.
func Add(Site, int) {}

// Counts is nil in this build.
func Counts() map[string]int64 { return nil }
