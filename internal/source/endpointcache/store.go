// Package endpointcache stores the last good endpoint list in a file, for installations that have a disk, so that a
// front end that starts while its catalogue is down can serve requests.
//
// A file holds one line, "beechcart-list VERSION LENGTH XXH3", and a JSON object of LENGTH bytes with that checksum. A
// write replaces the whole file: a new file is written, synced and renamed over the old one. A file is used as a whole
// or not at all: an unusable file is renamed to a name that ends in the reason, and the latest one is kept for each
// reason.
package endpointcache

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"beechcart/decision/discovery"
)

// maxFileBytes is the maximum size of a file.
const maxFileBytes = 64 << 20

// fileMode lets only the owner read and write the file.
const fileMode = 0o600

// The reasons for which a file is not used. The text of a reason is the suffix that the unusable file gets.
var (
	ErrForeign   = errors.New("foreign")   // not an endpoint list
	ErrFuture    = errors.New("future")    // of a version later than this program knows
	ErrTruncated = errors.New("truncated") // ends within the first line, or before the length in it
	ErrTorn      = errors.New("torn")      // the first line, the length or the checksum is wrong
	ErrLarge     = errors.New("large")     // larger than maxFileBytes
	ErrMalformed = errors.New("malformed") // the checksum matches, but the content is not a valid list
	ErrAge       = errors.New("old")       // older than the settings allow
)

var reasons = []error{ErrForeign, ErrFuture, ErrTruncated, ErrTorn, ErrLarge, ErrMalformed, ErrAge}

// Store stores lists in one file. Its methods are safe for concurrent use.
type Store struct {
	path          string
	writeInterval time.Duration
	maxAge        time.Duration // 0: no limit
	log           *slog.Logger

	mu        sync.Mutex
	pending   []byte      // guarded by mu; the list to write; nil: none
	timer     *time.Timer // guarded by mu; calls Flush; nil: not scheduled
	writtenAt time.Time   // guarded by mu

	writing sync.Mutex // held during a write
}

// New returns a Store that writes at most once per writeInterval, and uses no file older than maxAge (0: no limit).
func New(path string, writeInterval, maxAge time.Duration, log *slog.Logger) *Store {
	return &Store{path: path, writeInterval: writeInterval, maxAge: maxAge, log: log}
}

// Save schedules a write of a list, at once or when writeInterval has passed since the last write. A list that is still
// pending is dropped.
func (s *Store) Save(list []discovery.Endpoint) {
	text := Encode(list, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = text
	if s.timer == nil {
		s.timer = time.AfterFunc(max(0, s.writeInterval-time.Since(s.writtenAt)), s.Flush)
	}
}

// Flush writes the pending list, if there is one.
func (s *Store) Flush() {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	text := s.pending
	s.pending = nil
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.writtenAt = time.Now()
	s.mu.Unlock()
	if text == nil {
		return
	}
	if err := renameio.WriteFile(s.path, text, fileMode); err != nil {
		s.log.Warn("last good list not written", "error", err)
	}
}

// Load reads the file, and returns the list and the time at which it was stored. Without a file, the list is empty. An
// unusable file is renamed.
func (s *Store) Load() ([]discovery.Endpoint, time.Time, error) {
	list, stored, err := ReadFile(s.path)
	if err == nil && s.maxAge > 0 && time.Since(stored) > s.maxAge {
		err = fmt.Errorf("%w: stored %v ago", ErrAge, time.Since(stored).Round(time.Second))
	}
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, time.Time{}, nil
	case err == nil:
		return list, stored, nil
	}
	for _, reason := range reasons {
		if errors.Is(err, reason) {
			return nil, time.Time{}, s.moveAside(err, reason)
		}
	}
	return nil, time.Time{}, fmt.Errorf("last good list: %w", err)
}

// moveAside renames an unusable file, and returns the error for Load.
func (s *Store) moveAside(err, reason error) error {
	aside := s.path + "." + reason.Error()
	if renameErr := os.Rename(s.path, aside); renameErr != nil {
		return fmt.Errorf("last good list %s: %w (moving the file aside failed: %w)", s.path, err, renameErr)
	}
	return fmt.Errorf("last good list %s: %w; moved to %s", s.path, err, filepath.Base(aside))
}

// ReadFile reads a file, and leaves an unusable file in place.
func ReadFile(path string) ([]discovery.Endpoint, time.Time, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, time.Time{}, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, time.Time{}, err
	}
	return Decode(text)
}
