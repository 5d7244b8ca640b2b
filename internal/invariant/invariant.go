// Package invariant holds what must be true: a debug build (tag debug) stops on a breach, a release build
// counts it and goes on. The same counters also carry the program's figures.
package invariant

import (
	"fmt"
	"maps"
	"sort"
	"strings"
	"sync"
)

// Counters are named figures of one program. The zero value is ready.
type Counters struct {
	mu sync.Mutex
	n  map[string]int64
}

// Add counts n more of a name.
func (c *Counters) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int64{}
	}
	c.n[name] += n
}

// Get returns a count.
func (c *Counters) Get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

// Map returns a copy of all counts.
func (c *Counters) Map() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}

// Hold asserts that a statement holds. A violation ends a debug build and is counted as broken_NAME in a release
// build. It returns ok, so that a caller can step aside.
func (c *Counters) Hold(ok bool, name string) bool {
	if !ok {
		if debug {
			panic("invariant broken: " + name)
		}
		c.Add("broken_"+name, 1)
	}
	return ok
}

// String lists all counters by name.
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
