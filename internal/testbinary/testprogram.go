// Package testbinary builds the front end for tests that start it as a process.
package testbinary

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Build builds the front end as dir/name, with further arguments of 'go build', and returns its path.
func Build(dir, name string, args ...string) (string, error) {
	out := filepath.Join(dir, name)
	args = append(append([]string{"build", "-buildvcs=false", "-o", out}, args...), "beechcart/cmd/gateway")
	if msg, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%s%w", msg, err)
	}
	return out, nil
}

// Main builds the front end, lets the tests of a package run with its path in program, and ends the process.
func Main(m *testing.M, program *string, args ...string) {
	dir, err := os.MkdirTemp("", "beechcart")
	if err != nil {
		panic(err)
	}
	if *program, err = Build(dir, "gateway", args...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}
