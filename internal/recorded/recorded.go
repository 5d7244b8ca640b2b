// Package recorded compares the answers of a package with those that an earlier build gave to the same events. Only
// tests import the package.
//
// A recording is a file in testdata/recorded in the directory of the test. It is written once, if RECORD=1 is set and
// the file does not exist, and is never overwritten.
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

// Compare fails the test unless the recording of the given name equals got.
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
		tb.Fatalf("cannot read the recording: %v", err)
	}
	if !bytes.Equal(got, want) {
		tb.Errorf("%s differs from its recording\ngot:\n%s\nrecorded:\n%s", name, got, want)
	}
}

// Trace is a hash over values in the order of their addition. The hash does not depend on names of Go types, fields or
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

// Int adds signed numbers.
func (r *Trace) Int(values ...int) {
	for _, v := range values {
		r.Uint(uint64(v))
	}
}

// Float adds floating-point numbers by their IEEE 754 bits.
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

// Bool adds booleans.
func (r *Trace) Bool(values ...bool) {
	for _, v := range values {
		if v {
			r.Uint(1)
		} else {
			r.Uint(0)
		}
	}
}

// Text adds strings, each preceded by its length.
func (r *Trace) Text(values ...string) {
	for _, v := range values {
		r.Int(len(v))
		r.hash.Write([]byte(v))
	}
}

// Count increments the count of a label. The recording holds each label with its count.
func (r *Trace) Count(label string) { r.counts[label]++ }

// Mark adds the current hash to the recording, so that a difference can be narrowed down to the events between two
// marks.
func (r *Trace) Mark() { r.marks = append(r.marks, hex.EncodeToString(r.hash.Sum(nil)[:4])) }

// Compare fails the test unless the trace equals the recording of the given name.
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
