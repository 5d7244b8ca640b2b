package docs

import (
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// cueComment is a comment of the CUE schema.
var cueComment = regexp.MustCompile(`(?m)//.*$`)

// edgeNames reads docs/edge-names.txt: the names of each package, by its directory.
func edgeNames(t *testing.T) map[string][]string {
	t.Helper()
	names := map[string][]string{}
	directory := ""
	for _, line := range strings.Split(readPage(t, "docs/edge-names.txt"), "\n") {
		switch {
		case line == "" || strings.HasPrefix(line, "# "):
		case strings.HasPrefix(line, "["):
			directory = strings.Trim(line, "[]")
		case line != "#":
			names[directory] = append(names[directory], line)
		}
	}
	return names
}

// packageTexts returns the literals and struct tags of a package without its tests, and its CUE schema without
// comments.
func packageTexts(t *testing.T, files map[string]*sourceFile, directory string) []string {
	t.Helper()
	var texts []string
	for name, file := range files {
		if path.Dir(name) == directory && !strings.HasSuffix(name, "_test.go") {
			texts = slices.AppendSeq(texts, maps.Keys(file.strings))
		}
	}
	schemas, err := filepath.Glob(filepath.Join(root, directory, "*.cue"))
	require.NoError(t, err)
	for _, name := range schemas {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		texts = append(texts, cueComment.ReplaceAllString(string(text), ""))
	}
	return texts
}

// containsWord reports whether a text contains a name that is not a part of a longer word.
func containsWord(text, name string) bool {
	first, _ := utf8.DecodeRuneInString(name)
	last, _ := utf8.DecodeLastRuneInString(name)
	for from := 0; ; {
		at := strings.Index(text[from:], name)
		if at < 0 {
			return false
		}
		at += from
		before, _ := utf8.DecodeLastRuneInString(text[:at])
		after, _ := utf8.DecodeRuneInString(text[at+len(name):])
		startsInside := inWord(first) && inWord(before)
		endsInside := inWord(last) && inWord(after)
		if !startsInside && !endsInside {
			return true
		}
		from = at + 1
	}
}

func inWord(r rune) bool { return r == '_' || unicode.IsLetter(r) || unicode.IsDigit(r) }

// TestEdgeNamesExist fails for a name of docs/edge-names.txt that is gone from its package. Other programs, stored data
// and operators' settings use these names.
func TestEdgeNamesExist(t *testing.T) {
	files := readTree(t)
	total := 0
	for directory, list := range edgeNames(t) {
		texts := packageTexts(t, files, directory)
		for _, name := range list {
			total++
			found := false
			for _, text := range texts {
				found = found || containsWord(text, name)
			}
			if !found {
				t.Errorf("%s: %q is in no string, struct tag or schema of the package", directory, name)
			}
		}
	}
	require.Greater(t, total, 1500, "the list was read")
}

// TestContainsWord shows that a longer word does not count as the name.
func TestContainsWord(t *testing.T) {
	for _, test := range []struct {
		name, text, word string
		want             bool
	}{
		{"whole literal", "may_stop", "may_stop", true},
		{"in a struct tag", `json:"may_stop,omitempty"`, "may_stop", true},
		{"part of a longer word", "may_stop_at", "may_stop", false},
		{"second occurrence", "stops stop", "stop", true},
		{"prefix of a constructed name", "ended_", "ended_", true},
		{"path", "GET /status", "/status", true},
		{"absent", "status", "state", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, containsWord(test.text, test.word))
		})
	}
}
