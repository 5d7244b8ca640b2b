package endpointcache_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"beechcart/decision/discovery"
	"beechcart/internal/recorded"
	"beechcart/internal/source/endpointcache"
)

// recordedList returns a list that sets every field of an entry, and the time at which the list was stored.
func recordedList() ([]discovery.Endpoint, time.Time) {
	return []discovery.Endpoint{
		{Key: "node-1/e1", Addr: "10.0.0.1:8000", Zone: "east", Kind: "std", Cell: 3, Weight: 2.5, CreateIndex: 1<<63 + 5,
			Incarnation: "start \"7\"",
			StartedAt:   1_700_000_000_123 * time.Millisecond, Passing: true},
		{Key: "node-2/e2", Addr: "[::1]:8001", Weight: 1, Drain: true, Passing: true},
		{Key: "node-3/é\n", Addr: "10.0.0.3:8002", Cell: -1, Weight: 1e-9, StartedAt: -time.Second},
	}, time.UnixMilli(1_790_000_000_456)
}

// A file written by an earlier build can be read, and encoding its list again gives the same bytes.
func TestRecordedFile(t *testing.T) {
	list, at := recordedList()
	recorded.Compare(t, "list", endpointcache.Encode(list, at))
	text, err := os.ReadFile("testdata/recorded/list")
	if err != nil {
		t.Fatal(err)
	}
	got, stored, err := endpointcache.Decode(text)
	if err != nil || !slices.Equal(got, list) || !stored.Equal(at) {
		t.Errorf("Decode returned %+v, stored at %v, error %v", got, stored, err)
	}
	if again := endpointcache.Encode(got, stored); !bytes.Equal(again, text) {
		t.Errorf("Encode returned %q", again)
	}
}

// Compares the names to which unusable files are renamed with the recorded ones.
func TestRecordedFaults(t *testing.T) {
	list, at := recordedList()
	good := endpointcache.Encode(list, at)
	var out strings.Builder
	for i, text := range [][]byte{
		nil, good[:9], good[:30], good[:len(good)-3], append(bytes.Clone(good), 'x'), bytes.Replace(good, []byte("node-1"),
			[]byte("node-9"), 1),
		[]byte("#!/bin/sh\n"), []byte("beechcart-list 2 0 0\n"), []byte("beechcart-list x 0 0\n"),
		[]byte("beechcart-list 1 2\n{}"),
		endpointcache.Encode([]discovery.Endpoint{{Addr: "10.0.0.1:1"}}, at), good,
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, "engines.list")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		maxAge := time.Duration(0)
		if i == 11 {
			maxAge = 1 // 1 ns: a list that is one hour old is too old
			if err := os.WriteFile(path, endpointcache.Encode(list, time.Now().Add(-time.Hour)), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		_, _, err := endpointcache.New(path, 0, maxAge, slog.New(slog.NewTextHandler(io.Discard, nil))).Load()
		files, _ := os.ReadDir(dir)
		fmt.Fprintln(&out, i, err != nil, files[0].Name())
	}
	recorded.Compare(t, "faults", []byte(out.String()))
}
