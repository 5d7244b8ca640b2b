// Package mutation shows that tests need each guard of a package: it takes a guard out of a copy of the package's
// source and runs a test on the copy, which must fail. Only tests import it.
//
// A mutation is a replacement of source text, applied by "go test -overlay". The files of the package stay as they are.
package mutation

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"testing"
)

// Mutation takes one guard out of one file of the package under test.
type Mutation struct {
	Guard string // what the text that is replaced guards against
	File  string // in the package's directory
	Old   string // stands exactly once in File
	New   string
	Test  string   // the test that must fail, with its subtests behind slashes
	Env   []string // of the test, as in exec.Cmd
	Want  string   // a regular expression that the output of the test must match; empty: any failure of Test
}

// concurrentBuilds is how many mutated copies are built and run at the same time.
const concurrentBuilds = 4

// Run applies each mutation to a copy of its own and fails where the mutation can't be applied or its test passes. It
// is called from a test of the package that is mutated, whose directory is the working directory.
func Run(t *testing.T, mutations []Mutation) {
	t.Helper()
	slots := make(chan struct{}, min(concurrentBuilds, runtime.GOMAXPROCS(0)))
	for _, m := range mutations {
		t.Run(m.Guard, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			output, err := m.run(t.TempDir())
			if err == nil {
				err = m.verify(output)
			}
			if err != nil {
				t.Fatal(err)
			}
			t.Log(output)
		})
	}
}

// run returns the output of the test on the mutated copy. Temporary files go into dir.
func (m Mutation) run(dir string) (output string, err error) {
	overlay, err := m.writeOverlay(dir)
	if err != nil {
		return "", err
	}
	command := exec.Command("go", "test", "-vet=off", "-count=1", "-overlay", overlay, "-run", anchored(m.Test), ".")
	command.Env = append(os.Environ(), m.Env...)
	text, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", fmt.Errorf("go test: %w", err)
	}
	return string(text), nil
}

// verify returns an error unless the output is that of a test that ran and failed as expected.
func (m Mutation) verify(output string) error {
	if !strings.Contains(output, "--- FAIL: "+topLevelTest(m.Test)+" ") {
		return fmt.Errorf("%s does not fail without the guard:\n%s", m.Test, output)
	}
	matched, err := regexp.MatchString(m.Want, output)
	if err != nil {
		return fmt.Errorf("wanted output: %w", err)
	}
	if !matched {
		return fmt.Errorf("%s fails without the guard, and its output does not match %q:\n%s", m.Test, m.Want, output)
	}
	return nil
}

// TextError tells that the text that a mutation replaces does not stand exactly once in its file.
type TextError struct {
	File, Text string
	Found      int
}

func (e *TextError) Error() string {
	return fmt.Sprintf("%s: the text to replace is found %d times, allowed is once: %s", e.File, e.Found, e.Text)
}

// writeOverlay writes the mutated file and the overlay that puts it in the place of the original.
func (m Mutation) writeOverlay(dir string) (overlay string, err error) {
	original, err := filepath.Abs(m.File)
	if err != nil {
		return "", err
	}
	source, err := os.ReadFile(original)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(source), m.Old); n != 1 {
		return "", &TextError{File: m.File, Text: m.Old, Found: n}
	}
	mutated := filepath.Join(dir, "mutated.go")
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(source), m.Old, m.New, 1)), 0o600); err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]map[string]string{"Replace": {original: mutated}})
	if err != nil {
		return "", err
	}
	overlay = filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, text, 0o600)
}

// topLevelTest is the function of a test that may be a subtest.
func topLevelTest(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}

// anchored is the pattern that "go test -run" needs to run this test and no other.
func anchored(test string) string {
	return "^" + strings.ReplaceAll(test, "/", "$/^") + "$"
}
