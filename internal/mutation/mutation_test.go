package mutation

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTextNotFoundExactlyOnceIsAnError(t *testing.T) {
	for text, found := range map[string]int{"no such text in this file\x00": 0, "return": 2} {
		source := filepath.Join(t.TempDir(), "source.go")
		require.NoError(t, os.WriteFile(source, []byte("package p\n\nfunc f() { return }\nfunc g() { return }\n"), 0o600))
		_, err := Mutation{File: source, Old: text}.run(t.TempDir())
		var textError *TextError
		require.ErrorAs(t, err, &textError)
		assert.Equal(t, found, textError.Found)
	}
}

func TestOnlyTheExpectedFailureCounts(t *testing.T) {
	m := Mutation{Test: "TestWalk/small", Want: "ran twice|lost"}
	for name, c := range map[string]struct {
		output string
		accept bool
	}{
		"failed as expected":        {"--- FAIL: TestWalk (0.01s)\n it ran twice\nFAIL\n", true},
		"failed for another reason": {"--- FAIL: TestWalk (0.01s)\n out of memory\nFAIL\n", false},
		"passed":                    {"ok  \tbeechcart/x\t0.1s\n", false},
		"no such test":              {"ok  \tbeechcart/x\t0.1s [no tests to run]\n", false},
		"does not compile":          {"./x.go:3:1: undefined: lost\nFAIL\tbeechcart/x [build failed]\n", false},
		"another test, same prefix": {"--- FAIL: TestWalkTwice (0.01s)\n it ran twice\n", false},
	} {
		assert.Equal(t, c.accept, m.verify(c.output) == nil, name)
	}
}

func TestPatternNamesOneTest(t *testing.T) {
	assert.Equal(t, "^TestWalk$", anchored("TestWalk"))
	assert.Equal(t, "^TestWalk$/^small$", anchored("TestWalk/small"))
}

// Mutates this package itself. verify accepts the mutation for the test that depends on the mutated line, and rejects
// it for a test that does not.
func TestMutationOfThisPackage(t *testing.T) {
	m := Mutation{
		File: "mutation.go",
		Old:  `return "^" + strings`,
		New:  `return "" + strings`,
		Test: "TestPatternNamesOneTest",
	}
	output, err := m.run(t.TempDir())
	require.NoError(t, err)
	assert.NoError(t, m.verify(output))

	m.Test = "TestOnlyTheExpectedFailureCounts"
	output, err = m.run(t.TempDir())
	require.NoError(t, err)
	assert.Error(t, m.verify(output))
}
