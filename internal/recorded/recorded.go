// Package recorded compares what a package answers now with what an earlier build answered to the same events. Only
// tests import it.
//
// A recording is a file under testdata/recorded beside the test. It is written once, when RECORD=1 is set and the file
// does not exist; nothing overwrites it.
package recorded

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io/fs"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// Compare fails the test unless the recorded file of that name holds exactly got.
func Compare(tb testing.TB, name string, got []byte) {
	tb.Helper()
	path := filepath.Join("testdata", "recorded", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv("RECORD") == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			tb.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			tb.Fatal(err)
		}
		return
	}
	if err != nil {
		tb.Fatalf("recording: %v", err)
	}
	if !bytes.Equal(got, want) {
		tb.Errorf("%s differs from its recording\ngot:\n%s\nrecorded:\n%s", name, got, want)
	}
}

// Trace is a hash over values in the order in which they were added. It knows no names of Go types, fields or
// constants.
type Trace struct {
	hash   hash.Hash
	marks  []string
	counts map[string]int
}

// NewTrace returns an empty trace.
func NewTrace() *Trace { return &Trace{hash: sha256.New(), counts: map[string]int{}} }

// Uint adds unsigned numbers.
func (r *Trace) Uint(values ...uint64) {
	for _, v := range values {
		r.hash.Write(binary.LittleEndian.AppendUint64(nil, v))
	}
}

// Int adds numbers.
func (r *Trace) Int(values ...int) {
	for _, v := range values {
		r.Uint(uint64(v))
	}
}

// Float adds numbers by their bits.
func (r *Trace) Float(values ...float64) {
	for _, v := range values {
		r.Uint(math.Float64bits(v))
	}
}

// Time adds durations.
func (r *Trace) Time(values ...time.Duration) {
	for _, v := range values {
		r.Uint(uint64(v))
	}
}

// Bool adds truth values.
func (r *Trace) Bool(values ...bool) {
	for _, v := range values {
		if v {
			r.Uint(1)
		} else {
			r.Uint(0)
		}
	}
}

// Text adds strings, each with its length.
func (r *Trace) Text(values ...string) {
	for _, v := range values {
		r.Int(len(v))
		r.hash.Write([]byte(v))
	}
}

// Count counts an answer under a label, which stands in the recording.
func (r *Trace) Count(label string) { r.counts[label]++ }

// Mark adds the hash so far to the recording, so that a difference can be narrowed down to the events since the mark
// before.
func (r *Trace) Mark() { r.marks = append(r.marks, hex.EncodeToString(r.hash.Sum(nil)[:4])) }

// Compare fails the test unless the trace is the recorded one.
func (r *Trace) Compare(tb testing.TB, name string) {
	tb.Helper()
	var out bytes.Buffer
	fmt.Fprintf(&out, "sha256 %x\n", r.hash.Sum(nil))
	for _, label := range slices.Sorted(maps.Keys(r.counts)) {
		fmt.Fprintf(&out, "count %6d %s\n", r.counts[label], label)
	}
	for i, mark := range r.marks {
		fmt.Fprintf(&out, "mark %d %s\n", i, mark)
	}
	Compare(tb, name, out.Bytes())
}
