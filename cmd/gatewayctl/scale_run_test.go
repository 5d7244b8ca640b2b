package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScaleRejectsInvalidOptions(t *testing.T) {
	for option, args := range map[string][]string{
		"--members: found 1001, allowed is 1 to 1000":   {"--members", "1001"},
		"--control: found 2, allowed is 1, 3, 5 or 7":   {"--control", "2"},
		"--per-host: found 3, allowed is what needs at": {"--per-host", "3"},
		"--faults: found flood, allowed is none, all":   {"--faults", "pause,flood"},
		"--notice-within: found 0s, allowed is more":    {"--notice", "--notice-within", "0s"},
	} {
		code, out, errs := runCommand(append([]string{"scale", "--real", "0"}, args...)...)
		assert.Equal(t, exitFailed, code)
		assert.Empty(t, out)
		assert.Contains(t, errs, option)
	}
}
