// Package processstats lets a program's parent ask it for its figures, over a descriptor that the parent has handed down. There is
// no listener, and nothing is open where no descriptor was named: the platform's `run` names none.
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

// Env names the environment variable that holds the number of the descriptor.
const Env = "BEECHCART_DOOR"

// Figures are what a program tells of itself.
type Figures struct {
	Mallocs    uint64           `json:"mallocs"` // heap objects allocated since the start
	Bytes      uint64           `json:"bytes"`   // heap bytes allocated since the start
	GCs        uint32           `json:"gcs"`
	Goroutines int              `json:"goroutines"`
	Counters   map[string]int64 `json:"counters"`
	Copies     map[string]int64 `json:"copies"` // bytes copied, by place; only in builds that count them
}

// Open answers on the descriptor that the environment names, if any, until it is closed by the other side. fill adds what
// the program knows.
func Open(fill func(*Figures)) error {
	text := os.Getenv(Env)
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return fmt.Errorf("%s: %q is not the number of a descriptor", Env, text)
	}
	f := os.NewFile(uintptr(fd), "door")
	if f == nil {
		return fmt.Errorf("%s: descriptor %d is not open", Env, fd)
	}
	go serve(f, fill)
	return nil
}

func serve(f io.ReadWriteCloser, fill func(*Figures)) {
	defer f.Close()
	one := make([]byte, 1)
	for {
		if _, err := f.Read(one); err != nil {
			return
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m) // stops the world, so that nothing is left in a processor's own count
		out := Figures{Mallocs: m.Mallocs, Bytes: m.TotalAlloc, GCs: m.NumGC, Goroutines: runtime.NumGoroutine()}
		fill(&out)
		if json.NewEncoder(f).Encode(out) != nil {
			return
		}
	}
}

// Client is the parent's side.
type Client struct {
	f io.ReadWriteCloser
	r *bufio.Reader
}

// NewClient asks over f, the other end of what was handed down.
func NewClient(f io.ReadWriteCloser) *Client { return &Client{f, bufio.NewReader(f)} }

// Ask returns the figures of this moment.
func (c *Client) Ask() (Figures, error) {
	var out Figures
	if _, err := c.f.Write([]byte{'?'}); err != nil {
		return out, fmt.Errorf("door: %w", err)
	}
	line, err := c.r.ReadBytes('\n')
	if err != nil {
		return out, fmt.Errorf("door: %w", err)
	}
	return out, json.Unmarshal(line, &out)
}

// Close ends the conversation.
func (c *Client) Close() { _ = c.f.Close() }
