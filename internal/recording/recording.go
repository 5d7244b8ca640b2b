// Package recording compares what a test produces with a file that was recorded earlier. Only tests import it.
package recording

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Compare compares got with the file testdata/recorded/name. A file that does not exist is written where the environment
// variable RECORD is 1, and fails the test otherwise. An existing file is never written.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "recorded", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv("RECORD") == "1" {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o750))
		file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		require.NoError(t, err)
		_, err = file.Write(got)
		require.NoError(t, errors.Join(err, file.Close()))
		return
	}
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), path)
}
