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

// TestDeployBuildLinksTheCLibrary guards against a build line whose program is not linked to the C library. Go
// resolves nothing through the C library in such a program, and a library that the platform loads into the process
// reaches neither the program's sockets nor its clocks. The run line must start the built program with one exec.
func TestDeployBuildLinksTheCLibrary(t *testing.T) {
	file, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	line := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` *= *"(.*)"$`).FindSubmatch(file)
		require.NotNil(t, m, key)
		return string(m[1])
	}
	require.Regexp(t, `^exec [^ ;&|]+$`, line("run"), "the run line must be a single exec")
	out := t.TempDir()
	build := strings.ReplaceAll(strings.ReplaceAll(line("build"), "mkdir -p bin && ", ""), "-o bin/", "-o "+out+"/")
	cmd := exec.Command("/bin/sh", "-c", build)
	cmd.Dir = "../.."
	output, err := cmd.CombinedOutput()
	require.NoError(t, err, string(output))
	program, err := elf.Open(filepath.Join(out, filepath.Base(strings.TrimPrefix(line("run"), "exec "))))
	require.NoError(t, err)
	defer func() { _ = program.Close() }()
	libraries, err := program.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, libraries, "libc.so.6")
	loader := program.Section(".interp")
	require.NotNil(t, loader, "the program must be dynamically linked")
}

// TestDeployNamesEveryPackage guards against a package of the deployed program that the deploy file lists under
// neither node nor policy: a review of the listed files would then not cover the whole program.
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
		require.True(t, named, "%s is in the deployed program, but deploy/balancer.toml lists it under neither node nor "+
			"policy", folder)
	}
	require.Greater(t, own, 10, "go list must list the packages of the program")
}

// TestDeployNamesEveryPolicyFile guards against a file of a decision package that is missing from policy in the
// deploy file, and against an entry of policy without a file. If policy lists one file of a package, it must list all
// of them.
func TestDeployNamesEveryPolicyFile(t *testing.T) {
	var deploy struct{ Policy []string }
	_, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy)
	require.NoError(t, err)
	require.NotEmpty(t, deploy.Policy)
	folders := map[string]bool{}
	for _, named := range deploy.Policy {
		folders[filepath.Dir(named)] = true
	}
	require.True(t, folders["admission"], "policy must list the package admission")
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
