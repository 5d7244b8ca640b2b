// Package invariant checks invariants at run time: a debug build (tag debug) panics on a violation, a release build
// counts the violation and goes on. The same counters also hold the program's statistics.
package invariant

import (
	"fmt"
	"maps"
	"sort"
	"strings"
	"sync"
)

// Counters is a set of named counters of one program. The zero value is ready for use. All methods are safe for
// concurrent use.
type Counters struct {
	mu sync.Mutex
	n  map[string]int64
}

// Add adds n to the counter of the given name.
func (c *Counters) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int64{}
	}
	c.n[name] += n
}

// Get returns the value of the counter of the given name; 0 if nothing was added to it.
func (c *Counters) Get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

// Map returns a copy of all counters by name.
func (c *Counters) Map() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}

// Hold asserts the named invariant, which holds if ok is true. A violation panics in a debug build, and is counted as
// broken_NAME in a release build. Hold returns ok, so that the caller can skip the faulty operation.
func (c *Counters) Hold(ok bool, name string) bool {
	if !ok {
		if debug {
			panic("invariant broken: " + name)
		}
		c.Add("broken_"+name, 1)
	}
	return ok
}

// String returns all counters as NAME=VALUE pairs, sorted by name and separated by spaces.
func (c *Counters) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.n))
	for name := range c.n {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for i, name := range names {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d", name, c.n[name])
	}
	return b.String()
}
