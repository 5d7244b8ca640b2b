package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runScalePage runs the command scale page without its root command, and returns its standard output.
func runScalePage(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := scalePageCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SilenceErrors, c.SilenceUsage = true, true
	err := c.Execute()
	return out.String(), err
}

func TestScalePage(t *testing.T) {
	text, err := os.ReadFile("../../" + capacityPage)
	require.NoError(t, err)
	page, recordings := filepath.Join(t.TempDir(), "CAPACITY.md"), "../../"+scaleRecordings
	changed := bytes.Replace(text, []byte("| front ends | 710 |"), []byte("| front ends | 711 |"), 1)
	require.NotEqual(t, text, changed)
	require.NoError(t, os.WriteFile(page, changed, 0o600))

	_, err = runScalePage(t, "--check", "--page", page, "--recordings", recordings)
	var negative negativeAnswerError
	require.ErrorAs(t, err, &negative, "a page that differs gives a negative answer")
	after, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Equal(t, changed, after, "--check must not write the page")

	_, err = runScalePage(t, "--page", page, "--recordings", recordings)
	require.NoError(t, err)
	after, err = os.ReadFile(page)
	require.NoError(t, err)
	assert.Equal(t, string(text), string(after))

	out, err := runScalePage(t, "--check", "--page", page, "--recordings", recordings)
	require.NoError(t, err)
	assert.Contains(t, out, "as the recordings have it")
	_, err = runScalePage(t, "--page", filepath.Join(t.TempDir(), "none.md"), "--recordings", recordings)
	require.Error(t, err)
}
