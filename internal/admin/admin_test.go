package admin

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDoor(t *testing.T) {
	dir, err := os.MkdirTemp("", "bc") // short: the path of a socket has a bound
	require.NoError(t, err)
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "s")
	commands := map[string]Command{
		"n":   func() (any, error) { return map[string]int{"x": 1}, nil },
		"bad": func() (any, error) { return nil, errors.New("no such thing") },
	}
	d, err := Listen(path, commands)
	require.NoError(t, err)
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "for its owner only")
	v, err := Call(path, "n")
	require.NoError(t, err)
	assert.JSONEq(t, `{"x":1}`, string(v))
	_, err = Call(path, "bad")
	require.EqualError(t, err, "no such thing")
	_, err = Call(path, "what")
	require.EqualError(t, err, `unknown command "what"; there are bad, n`)
	_, err = Listen(path, commands)
	require.ErrorContains(t, err, "another program listens")
	d.Close()
	_, err = Call(path, "n")
	require.ErrorContains(t, err, path)

	require.NoError(t, os.WriteFile(path, nil, 0o600))
	_, err = Listen(path, commands)
	require.ErrorContains(t, err, "no socket")
	_, err = os.Stat(path)
	assert.NoError(t, err, "what is there is not touched")
}
