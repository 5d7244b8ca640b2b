// Package testbinary builds the front end for tests that start it as a process.
package testbinary

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

const gatewayPackage = "beechcart/cmd/gateway"

// Build builds the front end as dir/name, with further arguments of 'go build', and returns its path.
func Build(dir, name string, args ...string) (string, error) {
	path := filepath.Join(dir, name)
	args = append(append([]string{"build", "-buildvcs=false", "-o", path}, args...), gatewayPackage)
	if output, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%s%w", output, err)
	}
	return path, nil
}

// Main builds the front end, runs the tests of a package with its path in program, and ends the process. It is to be
// called from TestMain.
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
