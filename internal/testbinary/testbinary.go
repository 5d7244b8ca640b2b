// Package testbinary builds the gateway binary for tests that run it as a process.
package testbinary

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

const gatewayPackage = "beechcart/cmd/gateway"

// Build builds the gateway as dir/name, with additional arguments for "go build", and returns its path.
func Build(dir, name string, args ...string) (string, error) {
	path := filepath.Join(dir, name)
	args = append(append([]string{"build", "-buildvcs=false", "-o", path}, args...), gatewayPackage)
	if output, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%s%w", output, err)
	}
	return path, nil
}

// Main builds the gateway, stores the path of the binary in program, runs the tests of the package, and exits the
// process. Call Main from TestMain.
func Main(m *testing.M, program *string, args ...string) {
	dir, err := os.MkdirTemp("", "gateway")
	if err != nil {
		panic(err)
	}
	if *program, err = Build(dir, "gateway", args...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
