package main_test

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
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
	defer func() { _ = program.Close() }()
	libraries, err := program.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, libraries, "libc.so.6")
	loader := program.Section(".interp")
	require.NotNil(t, loader, "the program names a dynamic loader")
}

// TestDeployNamesEveryPackage guards against a package that the deployed program is linked from and that the deploy
// file names under neither node nor policy: who judges a version by the files named there would judge another
// program.
func TestDeployNamesEveryPackage(t *testing.T) {
	var deploy struct{ Policy, Node []string }
	_, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy)
	require.NoError(t, err)
	list := exec.Command("go", "list", "-deps", "-tags", "lean", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}",
		"./cmd/gateway")
	list.Dir = "../.."
	list.Env = append(os.Environ(), "CGO_ENABLED=1", "GOFLAGS=-buildvcs=false")
	out, err := list.Output()
	require.NoError(t, err)
	own := 0
	for _, path := range strings.Fields(string(out)) {
		folder, ours := strings.CutPrefix(path, "beechcart/")
		if !ours {
			continue
		}
		own++
		named := slices.ContainsFunc(deploy.Node, func(n string) bool {
			return folder == n || strings.HasPrefix(folder, n+"/")
		}) ||
			slices.ContainsFunc(deploy.Policy, func(p string) bool { return filepath.Dir(p) == folder })
		require.True(t, named, "%s is in the deployed program, and deploy/balancer.toml names it under neither node nor "+
			"policy", folder)
	}
	require.Greater(t, own, 10, "the packages of the program were listed")
}

// TestDeployNamesEveryPolicyFile guards against a file of a decision module that the deploy file doesn't name under
// policy, and against a name there without a file: of a package of which it names one file, it names all.
func TestDeployNamesEveryPolicyFile(t *testing.T) {
	var deploy struct{ Policy []string }
	_, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy)
	require.NoError(t, err)
	require.NotEmpty(t, deploy.Policy)
	folders := map[string]bool{}
	for _, named := range deploy.Policy {
		folders[filepath.Dir(named)] = true
	}
	require.True(t, folders["admission"], "the decision module is named")
	var present []string
	for folder := range folders {
		files, err := filepath.Glob(filepath.Join("../..", folder, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				present = append(present, filepath.Join(folder, filepath.Base(file)))
			}
		}
	}
	require.ElementsMatch(t, present, deploy.Policy)
}
