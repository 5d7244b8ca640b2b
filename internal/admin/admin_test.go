package admin

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestListenAndCall(t *testing.T) {
	dir, err := os.MkdirTemp("", "bc") // t.TempDir may exceed the length limit of socket paths
	require.NoError(t, err)
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "s")
	commands := map[string]Command{
		"n":   func() (any, error) { return map[string]int{"x": 1}, nil },
		"bad": func() (any, error) { return nil, errors.New("no such thing") },
	}
	server, err := Listen(path, commands)
	require.NoError(t, err)
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "socket permissions")
	value, err := Call(path, "n")
	require.NoError(t, err)
	assert.JSONEq(t, `{"x":1}`, string(value))
	_, err = Call(path, "bad")
	require.EqualError(t, err, "no such thing")
	_, err = Call(path, "what")
	require.EqualError(t, err, `unknown command "what"; there are bad, n`)
	_, err = Listen(path, commands)
	require.ErrorContains(t, err, "another program is listening")
	server.Close()
	_, err = Call(path, "n")
	require.ErrorContains(t, err, path)

	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err = Listen(path, commands)
	require.ErrorContains(t, err, "is not a socket")
	_, err = os.Stat(path)
	assert.NoError(t, err, "Listen removed a file that is not a socket")
}
