//go:build linux && !amd64

package systrace

// more are calls that only this architecture has.
var more = map[uint64]string{}
