package endpointcache

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/discovery"
)

var list = []discovery.Endpoint{
	{Key: "n1/e1", Addr: "10.0.0.1:80", Zone: "a", Kind: "std", Cell: 2, Weight: 1.5, CreateIndex: 1 << 60,
		Incarnation: "p", StartedAt: 5 * time.Second, Passing: true},
	{Key: "n2/e2", Addr: "10.0.0.2:80", Weight: 1, Drain: true},
}

var discardLog = slog.New(slog.DiscardHandler)

func TestSaveAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	s := New(path, time.Hour, time.Hour, discardLog)
	got, _, err := s.Load()
	require.NoError(t, err, "a missing file must give an empty list")
	require.Empty(t, got)
	s.Save(list)
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 10*time.Second, time.Millisecond)
	s.Save(list[:1])
	s.Flush()
	got, stored, err := s.Load()
	require.NoError(t, err)
	assert.Equal(t, list[:1], got)
	assert.WithinDuration(t, time.Now(), stored, time.Minute)
	got, _, err = Decode(Encode(list, time.Now()))
	require.NoError(t, err)
	assert.Equal(t, list, got)
}

// A file is used as a whole or not at all: an unusable file is renamed with the reason as its suffix.
func TestUnusableFileIsRenamed(t *testing.T) {
	good := Encode(list, time.Now())
	flipped := bytes.Clone(good)
	flipped[len(flipped)-9] ^= 1
	for name, c := range map[string]struct {
		text []byte
		want error
	}{
		"empty":              {nil, ErrTruncated},
		"partial first line": {good[:7], ErrTruncated},
		"partial body":       {good[:len(good)-1], ErrTruncated},
		"head only":          {good[:bytes.IndexByte(good, '\n')+1], ErrTruncated},
		"flipped bit":        {flipped, ErrTorn},
		"trailing byte":      {append(bytes.Clone(good), 'x'), ErrTorn},
		"foreign file":       {[]byte("#!/bin/sh\nexit\n"), ErrForeign},
		"later version":      {append([]byte("beechcart-list 2 whatever comes\n"), good...), ErrFuture},
		"changed key":        {bytes.Replace(Encode(nil, time.Now()), []byte(`"engines"`), []byte(`"engineX"`), 1), ErrTorn},
		"one week old":       {Encode(list, time.Now().Add(-168*time.Hour)), ErrAge},
		"entry without key":  {Encode([]discovery.Endpoint{{Addr: "10.0.0.1:1"}}, time.Now()), ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "list")
			require.NoError(t, os.WriteFile(path, c.text, 0o600))
			_, _, err := New(path, 0, time.Hour, discardLog).Load()
			require.ErrorIs(t, err, c.want)
			_, err = os.Stat(path)
			require.ErrorIs(t, err, os.ErrNotExist)
			renamed, err := os.ReadFile(path + "." + c.want.Error())
			require.NoError(t, err)
			assert.Equal(t, string(c.text), string(renamed))
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(list, time.Now()))
	f.Add([]byte("beechcart-list 1 2 0\n{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, _, err := Decode(text); err != nil {
			for _, reason := range []error{ErrForeign, ErrFuture, ErrTruncated, ErrTorn, ErrLarge, ErrMalformed} {
				if errors.Is(err, reason) {
					return
				}
			}
			t.Fatalf("error is none of the declared reasons: %v", err)
		}
	})
}
