// Package endpointcache keeps the last good list of engines in a file, for installations that have a disk, so that a front
// end that starts while its catalogue is down serves all the same.
//
// A file is one line, "beechcart-list VERSION LENGTH XXH3", and a JSON object of that length. It is written whole
// (a new file, synced, renamed over the old one), and read whole or not at all: a file that can't be used is moved
// aside under a name that tells why, and one such file of each kind is kept.
package endpointcache

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"github.com/valyala/fastjson"
	"github.com/zeebo/xxh3"

	"beechcart/decision/discovery"
)

const (
	magic    = "beechcart-list"
	version  = 1
	mostSize = 64 << 20
)

// The reasons for which a file is not used. Their texts are part of the name that it is moved to.
var (
	ErrForeign   = errors.New("foreign")   // not a list of ours
	ErrFuture    = errors.New("future")    // of a version that this program does not know
	ErrTruncated = errors.New("truncated") // shorter than it says
	ErrTorn      = errors.New("torn")      // of other bytes than were written
	ErrLarge     = errors.New("large")     // over any size that a list has
	ErrMalformed = errors.New("malformed") // whole, and not a list
	ErrAge       = errors.New("old")       // older than it may be
)

// Store keeps lists in one file. Its methods are safe for concurrent use.
type Store struct {
	path   string
	every  time.Duration
	maxAge time.Duration
	log    *slog.Logger

	mu      sync.Mutex
	pending []byte
	timer   *time.Timer
	wrote   time.Time
	writing sync.Mutex
}

// New returns a store that writes at most once in every, and uses no file older than maxAge (0: of any age).
func New(path string, every, maxAge time.Duration, log *slog.Logger) *Store {
	return &Store{path: path, every: every, maxAge: maxAge, log: log}
}

// Save keeps a list, at once or when the time since the last write has passed.
func (s *Store) Save(list []discovery.Endpoint) {
	text := Encode(list, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = text
	if s.timer == nil {
		s.timer = time.AfterFunc(max(0, s.every-time.Since(s.wrote)), s.Flush)
	}
}

// Flush writes what was put off.
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
	s.wrote = time.Now()
	s.mu.Unlock()
	if text == nil {
		return
	}
	if err := renameio.WriteFile(s.path, text, 0o600); err != nil {
		s.log.Warn("last good list not written", "error", err)
	}
}

// Load reads the file; an absent one is an empty list. One that can't be used is moved aside.
func (s *Store) Load() ([]discovery.Endpoint, time.Time, error) {
	list, kept, err := ReadFile(s.path)
	if err == nil && s.maxAge > 0 && time.Since(kept) > s.maxAge {
		err = fmt.Errorf("%w: kept %v ago", ErrAge, time.Since(kept).Round(time.Second))
	}
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, time.Time{}, nil
	case err == nil:
		return list, kept, nil
	}
	for _, why := range []error{ErrForeign, ErrFuture, ErrTruncated, ErrTorn, ErrLarge, ErrMalformed, ErrAge} {
		if errors.Is(err, why) {
			aside := s.path + "." + why.Error()
			if mv := os.Rename(s.path, aside); mv != nil {
				return nil, time.Time{}, fmt.Errorf("last good list %s: %w (and not moved aside: %w)", s.path, err, mv)
			}
			return nil, time.Time{}, fmt.Errorf("last good list %s: %w; moved to %s", s.path, err, filepath.Base(aside))
		}
	}
	return nil, time.Time{}, fmt.Errorf("last good list: %w", err)
}

// ReadFile reads a file without moving it.
func ReadFile(path string) ([]discovery.Endpoint, time.Time, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, time.Time{}, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostSize+1))
	if err != nil {
		return nil, time.Time{}, err
	}
	return Decode(text)
}

// Encode writes a list that was good at that time.
func Encode(list []discovery.Endpoint, at time.Time) []byte {
	var a fastjson.Arena
	entries := a.NewArray()
	for i, e := range list {
		o := a.NewObject()
		o.Set("key", a.NewString(e.Key))
		o.Set("addr", a.NewString(e.Addr))
		o.Set("zone", a.NewString(e.Zone))
		o.Set("kind", a.NewString(e.Kind))
		o.Set("cell", a.NewNumberInt(e.Cell))
		o.Set("weight", a.NewNumberFloat64(e.Weight))
		o.Set("created", a.NewNumberString(strconv.FormatUint(e.CreateIndex, 10)))
		o.Set("mark", a.NewString(e.Incarnation))
		o.Set("started_ms", a.NewNumberString(strconv.FormatInt(e.StartedAt.Milliseconds(), 10)))
		if e.Drain {
			o.Set("drain", a.NewTrue())
		}
		if !e.Passing {
			o.Set("failing", a.NewTrue())
		}
		entries.SetArrayItem(i, o)
	}
	root := a.NewObject()
	root.Set("kept_ms", a.NewNumberString(strconv.FormatInt(at.UnixMilli(), 10)))
	root.Set("engines", entries)
	body := root.MarshalTo(nil)
	head := fmt.Sprintf("%s %d %d %016x\n", magic, version, len(body), xxh3.Hash(body))
	return append([]byte(head), body...)
}

// Decode reads what Encode has written, or tells by one of the errors of this package why it can't.
func Decode(text []byte) (list []discovery.Endpoint, kept time.Time, err error) {
	if len(text) > mostSize {
		return nil, kept, fmt.Errorf("%w: more than %d bytes", ErrLarge, mostSize)
	}
	head, body, whole := bytes.Cut(text, []byte("\n"))
	if len(text) == 0 || (!whole && bytes.HasPrefix([]byte(magic+" "), head)) {
		return nil, kept, fmt.Errorf("%w: no whole first line", ErrTruncated)
	}
	words := bytes.Split(head, []byte(" "))
	if string(words[0]) != magic {
		return nil, kept, fmt.Errorf("%w: it does not begin with %q", ErrForeign, magic)
	}
	if len(words) < 2 || !whole {
		return nil, kept, fmt.Errorf("%w: no whole first line", ErrTruncated)
	}
	if v, err := strconv.Atoi(string(words[1])); err != nil || v < 1 {
		return nil, kept, fmt.Errorf("%w: version %q", ErrTorn, words[1])
	} else if v > version {
		return nil, kept, fmt.Errorf("%w: version %d, known up to %d", ErrFuture, v, version)
	}
	if len(words) != 4 {
		return nil, kept, fmt.Errorf("%w: its first line has %d words", ErrTorn, len(words))
	}
	size, err := strconv.Atoi(string(words[2]))
	sum, err2 := strconv.ParseUint(string(words[3]), 16, 64)
	switch {
	case err != nil || err2 != nil:
		return nil, kept, fmt.Errorf("%w: its first line does not read", ErrTorn)
	case len(body) < size:
		return nil, kept, fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(body), size)
	case len(body) > size || xxh3.Hash(body) != sum:
		return nil, kept, fmt.Errorf("%w: its checksum does not fit", ErrTorn)
	}
	return decodeBody(body)
}

func decodeBody(body []byte) (list []discovery.Endpoint, kept time.Time, err error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, kept, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	entries, err := v.Get("engines").Array()
	if err != nil {
		return nil, kept, fmt.Errorf("%w: engines: %w", ErrMalformed, err)
	}
	for i, o := range entries {
		str := func(name string) string { return string(o.GetStringBytes(name)) }
		e := discovery.Endpoint{Key: str("key"), Addr: str("addr"), Zone: str("zone"), Kind: str("kind"), Cell: o.GetInt("cell"),
			Weight: o.GetFloat64("weight"), CreateIndex: o.GetUint64("created"), Incarnation: str("mark"),
			StartedAt: time.Duration(o.GetInt64("started_ms")) * time.Millisecond,
			Drain:     o.GetBool("drain"), Passing: !o.GetBool("failing")}
		if e.Key == "" || e.Addr == "" {
			return nil, kept, fmt.Errorf("%w: engine %d has no key or no address", ErrMalformed, i)
		}
		list = append(list, e)
	}
	return list, time.UnixMilli(v.GetInt64("kept_ms")), nil
}
