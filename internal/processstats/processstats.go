// Package processstats lets a parent process read the statistics of a child program over an inherited descriptor. The
// program opens no listener, and answers only if the environment names a descriptor. The platform's run line names
// none.
package processstats

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
)

// DescriptorEnv is the environment variable with the number of the inherited descriptor.
const DescriptorEnv = "BEECHCART_DOOR"

// firstInherited is the lowest possible number of an inherited descriptor: 0 to 2 are the standard streams.
const firstInherited = 3

// Stats holds a program's statistics about itself.
type Stats struct {
	Mallocs     uint64           `json:"mallocs"` // heap objects allocated since the start
	Bytes       uint64           `json:"bytes"`   // heap bytes allocated since the start
	Collections uint32           `json:"gcs"`     // garbage collections since the start
	Goroutines  int              `json:"goroutines"`
	Counters    map[string]int64 `json:"counters"`
	Copies      map[string]int64 `json:"copies"` // bytes copied, by call site; only in builds with the tag count
}

// Open answers requests on the descriptor that the environment names, if any. A goroutine answers them until the parent
// closes its end, and calls fill to add the program's own statistics to each answer.
func Open(fill func(*Stats)) error {
	text := os.Getenv(DescriptorEnv)
	if text == "" {
		return nil
	}
	descriptor, err := strconv.Atoi(text)
	if err != nil || descriptor < firstInherited {
		return fmt.Errorf("%s: found %q, must be a descriptor number of at least 3", DescriptorEnv, text)
	}
	f := os.NewFile(uintptr(descriptor), "process statistics")
	if f == nil {
		return fmt.Errorf("%s: descriptor %d is invalid: must be open", DescriptorEnv, descriptor)
	}
	go serve(f, fill)
	return nil
}

func serve(f io.ReadWriteCloser, fill func(*Stats)) {
	defer func() { _ = f.Close() }()
	request := make([]byte, 1)
	for {
		if _, err := f.Read(request); err != nil {
			return
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m) // stops the world, and so includes the counts that each processor caches
		stats := Stats{
			Mallocs: m.Mallocs, Bytes: m.TotalAlloc, Collections: m.NumGC, Goroutines: runtime.NumGoroutine(),
		}
		fill(&stats)
		if json.NewEncoder(f).Encode(stats) != nil {
			return
		}
	}
}

// Client reads a child program's statistics in the parent process. It is not safe for concurrent use.
type Client struct {
	f io.ReadWriteCloser
	r *bufio.Reader
}

// NewClient returns a client that uses f, the parent's end of the connection to the child, and takes ownership of f.
func NewClient(f io.ReadWriteCloser) *Client { return &Client{f, bufio.NewReader(f)} }

// Stats requests and returns the child program's current statistics.
func (c *Client) Stats() (Stats, error) {
	var stats Stats
	if _, err := c.f.Write([]byte{'?'}); err != nil {
		return stats, fmt.Errorf("process statistics: %w", err)
	}
	line, err := c.r.ReadBytes('\n')
	if err != nil {
		return stats, fmt.Errorf("process statistics: %w", err)
	}
	return stats, json.Unmarshal(line, &stats)
}

// Close closes the parent's end, which also ends the child's goroutine.
func (c *Client) Close() { _ = c.f.Close() }
