package main_test

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeployBuildLinksTheCLibrary guards against a build line that makes a program without the C library: Go resolves
// nothing through it then, and what a platform loads into the process meets neither its sockets nor its clocks. The
// program must be that of run, as one exec.
func TestDeployBuildLinksTheCLibrary(t *testing.T) {
	file, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	line := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` *= *"(.*)"$`).FindSubmatch(file)
		require.NotNil(t, m, key)
		return string(m[1])
	}
	require.Regexp(t, `^exec [^ ;&|]+$`, line("run"), "one process, by one exec")
	out := t.TempDir()
	build := strings.ReplaceAll(strings.ReplaceAll(line("build"), "mkdir -p bin && ", ""), "-o bin/", "-o "+out+"/")
	cmd := exec.Command("/bin/sh", "-c", build)
	cmd.Dir = "../.."
	said, err := cmd.CombinedOutput()
	require.NoError(t, err, string(said))
	program, err := elf.Open(filepath.Join(out, filepath.Base(strings.TrimPrefix(line("run"), "exec "))))
	require.NoError(t, err)
	defer program.Close()
	libraries, err := program.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, libraries, "libc.so.6")
	loader := program.Section(".interp")
	require.NotNil(t, loader, "the program names a dynamic loader")
}
