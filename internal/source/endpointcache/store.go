// Package endpointcache stores the last good endpoint list in a file, for installations that have a disk, so that a
// front end that starts while its catalogue is down serves all the same.
//
// A file is one line, "beechcart-list VERSION LENGTH XXH3", and a JSON object of that length. It is replaced as a
// whole (a new file, synced, renamed over the old one), and read as a whole or not at all: a file that can't be used
// is renamed to a name that tells the reason, and one such file is kept for each reason.
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

// maxFileBytes bounds the size of a file.
const maxFileBytes = 64 << 20

// fileMode lets the owner alone read the file.
const fileMode = 0o600

// The reasons for which a file is not used. Their texts are part of the name that it is renamed to.
var (
	ErrForeign   = errors.New("foreign")   // not an endpoint list
	ErrFuture    = errors.New("future")    // of an unknown version
	ErrTruncated = errors.New("truncated") // shorter than its first line says
	ErrTorn      = errors.New("torn")      // its checksum does not match
	ErrLarge     = errors.New("large")     // over maxFileBytes
	ErrMalformed = errors.New("malformed") // its checksum matches, and it is not a list
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

// New returns a Store that writes at most once in writeInterval, and uses no file older than maxAge (0: of any age).
func New(path string, writeInterval, maxAge time.Duration, log *slog.Logger) *Store {
	return &Store{path: path, writeInterval: writeInterval, maxAge: maxAge, log: log}
}

// Save stores a list, at once or when writeInterval has passed since the last write.
func (s *Store) Save(list []discovery.Endpoint) {
	text := Encode(list, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = text
	if s.timer == nil {
		s.timer = time.AfterFunc(max(0, s.writeInterval-time.Since(s.writtenAt)), s.Flush)
	}
}

// Flush writes the list that has not been written yet.
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

// Load reads the file; where there is none, the list is empty. A file that can't be used is renamed.
func (s *Store) Load() ([]discovery.Endpoint, time.Time, error) {
	list, stored, err := ReadFile(s.path)
	if err == nil && s.maxAge > 0 && time.Since(stored) > s.maxAge {
		err = fmt.Errorf("%w: kept %v ago", ErrAge, time.Since(stored).Round(time.Second))
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

// moveAside renames a file that can't be used, and returns the error of Load.
func (s *Store) moveAside(err, reason error) error {
	aside := s.path + "." + reason.Error()
	if renameErr := os.Rename(s.path, aside); renameErr != nil {
		return fmt.Errorf("last good list %s: %w (and not moved aside: %w)", s.path, err, renameErr)
	}
	return fmt.Errorf("last good list %s: %w; moved to %s", s.path, err, filepath.Base(aside))
}

// ReadFile reads a file and leaves it in place.
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
