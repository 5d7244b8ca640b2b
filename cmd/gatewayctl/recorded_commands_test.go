package main

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	helpCommand = regexp.MustCompile(`(?m)^  ([a-z]+) +[A-Z]`)
	helpFlag    = regexp.MustCompile(`(?m)^ +(?:(-[a-z]), |    )--([a-z-]+)(?: ([a-zA-Z0-9]+))?  `)
)

// flagValues holds a valid value for each kind of flag, by the kind's name in the help text.
var flagValues = map[string]string{
	"": "true", "string": "x", "int": "7", "uint": "7", "float": "0.5", "duration": "2s", "ints": "1,2",
	"stringArray": "x",
	"strings":     "x", "uint32": "7", "uint16": "7",
}

// commandLines returns the command lines that the help texts list: one for each command below path, and one for each
// flag of a command.
func commandLines(t *testing.T, path ...string) (lines []string) {
	t.Helper()
	code, help, errs := runCommand(append(slices.Clone(path), "--help")...)
	require.Zero(t, code, "%s: %s", path, errs)
	if len(path) > 0 {
		lines = append(lines, strings.Join(path, " "))
	}
	_, flags, _ := strings.Cut(help, "\nFlags:\n")
	for _, f := range helpFlag.FindAllStringSubmatch(flags, -1) {
		if f[2] == "help" {
			continue
		}
		value, known := flagValues[f[3]]
		require.True(t, known, "%s --%s: flagValues has no value for a flag of kind %q", path, f[2], f[3])
		lines = append(lines, strings.Join(append(slices.Clone(path), "--"+f[2]+"="+value), " "))
		if f[1] != "" {
			lines = append(lines, strings.Join(append(slices.Clone(path), f[1]+"="+value), " "))
		}
	}
	_, commands, _ := strings.Cut(help, "\nAvailable Commands:\n")
	commands, _, _ = strings.Cut(commands, "\n\n")
	for _, c := range helpCommand.FindAllStringSubmatch(commands, -1) {
		if c[1] != "completion" && c[1] != "help" {
			lines = append(lines, commandLines(t, append(slices.Clone(path), c[1])...)...)
		}
	}
	return lines
}

// TestRecordedCommandLines guards against the loss of a command or flag of an earlier version: each recorded
// command line must still be accepted, under its old name too. Each gets --help in addition, so that no command runs.
func TestRecordedCommandLines(t *testing.T) {
	const path = "testdata/recorded/command_lines.txt"
	if _, err := os.Stat(path); os.IsNotExist(err) && os.Getenv("RECORD") == "1" {
		lines := append(commandLines(t), "scale host") // a hidden command, which the help does not list
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	usage := func(out string) string {
		_, after, _ := strings.Cut(out, "Usage:\n")
		line, _, _ := strings.Cut(after, "\n")
		return line
	}
	_, root, _ := runCommand("--help")
	for line := range strings.Lines(string(recorded)) {
		code, out, errs := runCommand(append(strings.Fields(line), "--help")...)
		assert.Zero(t, code, "%s%s", line, errs)
		assert.NotEmpty(t, usage(out), line)
		assert.NotEqual(t, usage(root), usage(out), "%s: not a command", line)
	}
}
