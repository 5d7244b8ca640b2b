package main_test

import (
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"beechcart/internal/testbinary"
)

// platformLimits are the limits that the platform sets for a process.
type platformLimits struct {
	memoryMB    int
	descriptors int
}

// platformProgram returns the path of the platform's build, which is built once.
var platformProgram = sync.OnceValues(func() (string, error) {
	return testbinary.Build(filepath.Dir(program), "gateway-lean", "-tags", "lean", "-ldflags=-linkmode=external")
})

// startPlatform runs the platform's build with the given limits, the default settings and the given engines.
func startPlatform(t *testing.T, limits platformLimits, engines ...*engine) *testGateway {
	t.Helper()
	return startPlatformWith(t, limits, defaultPlatformSettings, engines...)
}

// startPlatformWith is startPlatform with the given platform settings.
func startPlatformWith(t *testing.T, limits platformLimits, settings string, engines ...*engine) *testGateway {
	t.Helper()
	path, err := platformProgram()
	require.NoError(t, err)
	r := &testGateway{
		t: t, log: &lockedBuffer{}, exit: make(chan error, 1), program: path, memoryMB: limits.memoryMB,
		platformSettings: settings,
	}
	return r.start(limits.descriptors, engines...)
}
