// Package processstats lets a program's parent read its statistics over a descriptor that the parent has handed down.
// There is no listener, and nothing is open where no descriptor was named: the platform's run line names none.
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

// DescriptorEnv names the environment variable that holds the number of the descriptor.
const DescriptorEnv = "BEECHCART_DOOR"

// firstInherited is the lowest number that an inherited descriptor can have.
const firstInherited = 3

// Stats are a program's statistics about itself.
type Stats struct {
	Mallocs     uint64           `json:"mallocs"` // heap objects allocated since the start
	Bytes       uint64           `json:"bytes"`   // heap bytes allocated since the start
	Collections uint32           `json:"gcs"`     // of garbage
	Goroutines  int              `json:"goroutines"`
	Counters    map[string]int64 `json:"counters"`
	Copies      map[string]int64 `json:"copies"` // bytes copied, by call site; only in builds with the tag count
}

// Open answers requests on the descriptor that the environment names, if any, from a goroutine that ends when the other
// side closes it. fill adds to each answer what the program knows; it is called from that goroutine.
func Open(fill func(*Stats)) error {
	text := os.Getenv(DescriptorEnv)
	if text == "" {
		return nil
	}
	descriptor, err := strconv.Atoi(text)
	if err != nil || descriptor < firstInherited {
		return fmt.Errorf("%s: %q is not the number of a descriptor", DescriptorEnv, text)
	}
	f := os.NewFile(uintptr(descriptor), "process statistics")
	if f == nil {
		return fmt.Errorf("%s: descriptor %d is not open", DescriptorEnv, descriptor)
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
		runtime.ReadMemStats(&m) // stops the world, so that nothing is left in a processor's own count
		stats := Stats{
			Mallocs: m.Mallocs, Bytes: m.TotalAlloc, Collections: m.NumGC, Goroutines: runtime.NumGoroutine(),
		}
		fill(&stats)
		if json.NewEncoder(f).Encode(stats) != nil {
			return
		}
	}
}

// Client is the parent's side. It is not safe for concurrent use.
type Client struct {
	f io.ReadWriteCloser
	r *bufio.Reader
}

// NewClient returns a client that asks over f, the other end of what was handed down, and owns it.
func NewClient(f io.ReadWriteCloser) *Client { return &Client{f, bufio.NewReader(f)} }

// Stats returns the program's statistics as they are now.
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

// Close ends the program's goroutine too.
func (c *Client) Close() { _ = c.f.Close() }
