//go:build linux && !amd64

package systrace

// archNames are the names of system calls that other architectures don't have.
var archNames = map[uint64]string{}
