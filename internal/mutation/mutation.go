// Package mutation checks that a package's tests detect the loss of each of its guards, the conditions that prevent a
// fault: it removes a guard from a copy of the source and runs a test on the copy, which must fail. Only tests import
// the package.
//
// A mutation replaces source text through "go test -overlay". The package's own files stay unchanged.
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

// Mutation removes one guard from one file of the package under test.
type Mutation struct {
	Guard string // the rule that the replaced text enforces; names the subtest
	File  string // in the package's directory
	Old   string // must occur exactly once in File
	New   string
	Test  string   // the test that must fail; slashes separate subtests
	Env   []string // additional environment of the test, as in exec.Cmd
	Want  string   // a regular expression that the output of the test must match; empty: any failure of Test
}

// concurrentBuilds is how many mutated copies are built and run at the same time.
const concurrentBuilds = 4

// Run applies each mutation to its own copy of the source, in a subtest. The subtest fails if the mutation cannot be
// applied, or if its test does not fail as expected. Call Run from a test of the mutated package, whose directory must
// be the working directory.
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

// run runs the test on the mutated copy and returns its output. It writes temporary files to dir.
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

// verify returns an error unless the output shows that the test ran and failed as expected.
func (m Mutation) verify(output string) error {
	if !strings.Contains(output, "--- FAIL: "+topLevelTest(m.Test)+" ") {
		return fmt.Errorf("%s did not fail without the guard, output:\n%s", m.Test, output)
	}
	matched, err := regexp.MatchString(m.Want, output)
	if err != nil {
		return fmt.Errorf("invalid pattern in Want: %w", err)
	}
	if !matched {
		return fmt.Errorf("%s failed without the guard, but its output does not match %q:\n%s", m.Test, m.Want, output)
	}
	return nil
}

// TextError reports that the text to replace does not occur exactly once in its file.
type TextError struct {
	File, Text string
	Found      int
}

func (e *TextError) Error() string {
	return fmt.Sprintf("%s: found the text to replace %d times, must be once: %s", e.File, e.Found, e.Text)
}

// writeOverlay writes the mutated file, and the overlay file that substitutes it for the original.
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

// topLevelTest returns the name of the test function to which a test or subtest belongs.
func topLevelTest(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}

// anchored returns the pattern with which "go test -run" runs this test and no other.
func anchored(test string) string {
	return "^" + strings.ReplaceAll(test, "/", "$/^") + "$"
}
