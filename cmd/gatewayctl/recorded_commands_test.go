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

// flagValues are values of each kind of flag, by the kind's name in the help.
var flagValues = map[string]string{
	"": "true", "string": "x", "int": "7", "uint": "7", "float": "0.5", "duration": "2s", "ints": "1,2",
	"stringArray": "x",
	"strings":     "x", "uint32": "7", "uint16": "7",
}

// commandLines lists the command lines that the help tells of: one for each command, and for each flag of a command.
func commandLines(t *testing.T, path ...string) (lines []string) {
	t.Helper()
	code, help, errs := ctl(append(slices.Clone(path), "--help")...)
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
		require.True(t, known, "%s --%s: a flag of kind %q", path, f[2], f[3])
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

// TestRecordedCommandLines holds each command and flag that was ever told of to be taken still, under whatever name it
// has now. The help is asked for beside it, so that nothing runs.
func TestRecordedCommandLines(t *testing.T) {
	const path = "testdata/recorded/command_lines.txt"
	if _, err := os.Stat(path); os.IsNotExist(err) && os.Getenv("RECORD") == "1" {
		lines := append(commandLines(t), "scale host") // which the help leaves out
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	usage := func(out string) string {
		_, after, _ := strings.Cut(out, "Usage:\n")
		line, _, _ := strings.Cut(after, "\n")
		return line
	}
	_, root, _ := ctl("--help")
	for line := range strings.Lines(string(recorded)) {
		code, out, errs := ctl(append(strings.Fields(line), "--help")...)
		assert.Zero(t, code, "%s%s", line, errs)
		assert.NotEmpty(t, usage(out), line)
		assert.NotEqual(t, usage(root), usage(out), "%s is no command", line)
	}
}
