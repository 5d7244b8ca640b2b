package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/discovery"
	"beechcart/internal/admin"
	"beechcart/internal/operatorconfig/cuefile"
	"beechcart/internal/source"
	"beechcart/internal/source/endpointcache"
)

// runCommand runs one command line of gatewayctl, and returns its exit code, standard output and standard error.
func runCommand(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = execute(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func TestConfig(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.cue"), filepath.Join(dir, "bad.cue")
	require.NoError(t, os.WriteFile(good, []byte(`source: "consul"`), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte("membership: max_out: 2\nconsul: nope: 1"), 0o600))

	code, out, _ := runCommand("config", "check", good)
	assert.Zero(t, code)
	assert.Contains(t, out, "good")
	code, _, errs := runCommand("config", "check", bad)
	assert.Equal(t, exitNegativeAnswer, code)
	assert.Contains(t, errs, bad+":1: membership.max_out: not allowed; found 2")
	code, out, _ = runCommand("config", "check", "--json", bad)
	assert.Equal(t, exitNegativeAnswer, code)
	var list cuefile.ValidationErrors
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	assert.Len(t, list, 2)
	code, _, errs = runCommand("config", "check", filepath.Join(dir, "none.cue"))
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, errs, "none.cue")

	code, out, _ = runCommand("config", "print", good)
	assert.Zero(t, code)
	assert.Contains(t, out, `"consul"`)
	assert.Contains(t, out, "half_life_ms")
	built := filepath.Join(dir, "built.json")
	code, _, _ = runCommand("config", "build", "-o", built, good)
	assert.Zero(t, code)
	text, err := os.ReadFile(built)
	require.NoError(t, err)
	assert.True(t, json.Valid(text))
	code, _, _ = runCommand("config", "build", "-o", built, bad)
	assert.Equal(t, exitNegativeAnswer, code)
	after, err := os.ReadFile(built)
	require.NoError(t, err)
	assert.Equal(t, text, after, "an invalid settings file must not replace the output")
	code, out, _ = runCommand("config", "schema")
	assert.Zero(t, code)
	assert.Contains(t, out, "#Settings")
}

func TestList(t *testing.T) {
	dir, err := os.MkdirTemp("", "bc")
	require.NoError(t, err)
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "s")
	d, err := admin.Listen(path, map[string]admin.Command{
		"list": func() (any, error) {
			return []source.EngineStatus{{Name: "n/e1", State: "draining", Reason: "drain commanded"}}, nil
		},
		"counters": func() (any, error) { return map[string]int64{"served": 7}, nil },
	})
	require.NoError(t, err)
	defer d.Close()
	code, out, _ := runCommand("list", "show", "--socket", path)
	assert.Zero(t, code)
	assert.Regexp(t, `n/e1 .*draining +drain commanded`, out)
	code, out, _ = runCommand("list", "show", "--socket", path, "--json")
	assert.Zero(t, code)
	assert.Contains(t, out, `"reason": "drain commanded"`)
	code, out, _ = runCommand("counters", "--socket", path)
	assert.Zero(t, code)
	assert.Regexp(t, `served +7`, out)

	file := filepath.Join(dir, "list")
	require.NoError(t, os.WriteFile(file, endpointcache.Encode([]discovery.Endpoint{{Key: "n/e2", Addr: "10.0.0.1:1",
		Drain: true}}, time.Now()), 0o600))
	code, out, _ = runCommand("list", "show", "--file", file)
	assert.Zero(t, code)
	assert.Contains(t, out, "n/e2")
	require.NoError(t, os.WriteFile(file, []byte("something else"), 0o600))
	code, _, errs := runCommand("list", "show", "--file", file)
	assert.Equal(t, exitNegativeAnswer, code)
	assert.Contains(t, errs, "foreign")
	code, _, errs = runCommand("list", "show")
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, errs, "--socket and --file")
	code, _, _ = runCommand("list", "show", "--socket", filepath.Join(dir, "none"))
	assert.Equal(t, exitFailed, code)
}

func TestDrillCommandLine(t *testing.T) {
	for _, c := range [][]string{
		{"found 1, allowed is 2 to 3600", "--seconds", "1"}, {"faults: found", "--faults", "nope"}, {"unknown flag",
			"--nope"},
		{"no front end to start", "--beechcart", "/nonexistent"}, {"policy: found", "--policy", "wise"},
	} {
		code, _, errs := runCommand(append([]string{"drill", "catalogue"}, c[1:]...)...)
		assert.Equal(t, exitFailed, code)
		assert.Contains(t, errs, c[0])
	}
	code, out, _ := runCommand("drill", "--help")
	assert.Zero(t, code)
	assert.Contains(t, out, "catalogue")
	code, out, _ = runCommand("completion", "bash")
	assert.Zero(t, code)
	assert.NotEmpty(t, out)
}
