package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"beechcart/decision/rollout"
)

// WindowCounts are one front end's request counts in one window. The JSON names are those of the HTTP interface.
type WindowCounts struct {
	Name     string                `json:"Name"`
	Zone     string                `json:"Room"`
	Revision string                `json:"Revision"`
	Window   int64                 `json:"Window"` // number of the window: Unix time divided by windowLength
	Load     float64               `json:"Load"`   // requests a second
	Counts   rollout.RequestCounts `json:"Count"`
}

// windowNumber returns the number of the window that contains a time.
func windowNumber(at time.Time) int64 { return at.UnixNano() / int64(windowLength) }

// maxWindowMembers bounds how many members' counts a window holds.
const maxWindowMembers = 10_000

// countWindow is one window with the counts that members have reported for it.
type countWindow struct {
	number int64
	counts []WindowCounts
}

// countWindows collects counts by window until the windows are complete. It is safe for concurrent use.
type countWindows struct {
	mu      sync.Mutex
	windows map[int64]map[string]WindowCounts // guarded by mu; by number of the window and name of the member
}

// add stores a member's counts of a window, and replaces earlier counts of the same member and window.
func (c *countWindows) add(counts WindowCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windows == nil {
		c.windows = map[int64]map[string]WindowCounts{}
	}
	window := c.windows[counts.Window]
	if window == nil {
		window = map[string]WindowCounts{}
		c.windows[counts.Window] = window
	}
	if len(window) < maxWindowMembers {
		window[counts.Name] = counts
	}
}

// completeWindows removes the windows up to and including that number, and returns them in order.
func (c *countWindows) completeWindows(last int64) (complete []countWindow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, byName := range c.windows {
		if number > last {
			continue
		}
		window := countWindow{number: number}
		for _, counts := range byName {
			window.counts = append(window.counts, counts)
		}
		delete(c.windows, number)
		complete = append(complete, window)
	}
	slices.SortFunc(complete, func(a, b countWindow) int { return cmp.Compare(a.number, b.number) })
	return complete
}
