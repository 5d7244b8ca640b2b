package bench

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/testbinary"
)

// buildFrontEnd builds the front end and returns the path of the program. replace holds pairs of old and new text to
// replace in the file before the build.
func buildFrontEnd(t *testing.T, dir, name, file string, replace []string, tags ...string) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	args := []string{"-tags", strings.Join(tags, ",")}
	if len(replace) > 0 {
		path := filepath.Join(root, file)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for i := 0; i < len(replace); i += 2 {
			require.Contains(t, string(text), replace[i])
		}
		changed := filepath.Join(dir, name+".go")
		require.NoError(t, os.WriteFile(changed, []byte(strings.NewReplacer(replace...).Replace(string(text))), 0o600))
		overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
		require.NoError(t, err)
		list := filepath.Join(dir, name+".json")
		require.NoError(t, os.WriteFile(list, overlay, 0o600))
		args = append(args, "-overlay", list)
	}
	program, err := testbinary.Build(dir, name, args...)
	require.NoError(t, err)
	return program
}

// Guards against a gate that passes every build: one additional allocation or one additional copy of the result for
// each request must be reported.
func TestGateFindsOneOfEach(t *testing.T) {
	const file = "internal/mysql/answer.go"
	const answered = "	case exchange.Served:\n"
	const answerFunc = "func (s *session) answer("
	dir := t.TempDir()
	base := PathOptions{Program: buildFrontEnd(t, dir, "base", "", nil),
		Counting: buildFrontEnd(t, dir, "counting", "", nil, "count"),
		Lookups:  200, Engines: 1, Only: "lookup"}
	const measurements = 3
	noProgress := func(string) {}
	counts, err := PathMinimum(context.Background(), base, measurements, noProgress)
	require.NoError(t, err)
	path := filepath.Join(dir, "baseline.json")
	require.NoError(t, WriteBaseline(path, counts, base))
	b, err := ReadBaseline(path)
	require.NoError(t, err)
	again, err := PathWithin(context.Background(), base, b, measurements, noProgress)
	require.NoError(t, err)
	assert.Empty(t, b.Compare(again), "the same build, measured again")
	for name, c := range map[string]struct {
		replace []string
		want    string
		tags    []string
	}{
		"alloc": {[]string{answered, answered + "\t\textra = new([64]byte)\n", answerFunc,
			"var extra *[64]byte\n\n" + answerFunc},
			"lookup allocs:", nil},
		"copy": {[]string{answered, answered + "\t\tcopycount.Add(copycount.Output, len(a.Rows))\n"}, "lookup copied:",
			[]string{"count"}},
	} {
		t.Run(name, func(t *testing.T) {
			o := base
			if program := buildFrontEnd(t, dir, name, file, c.replace, c.tags...); len(c.tags) > 0 {
				o.Counting = program
			} else {
				o.Program = program
			}
			counts, err := PathWithin(context.Background(), o, b, measurements, noProgress)
			require.NoError(t, err)
			if !strings.Contains(strings.Join(b.Compare(counts), "\n"), c.want) {
				// A load that has ended raised the baseline only: it is taken again beside the count.
				lowered, err := PathMinimum(context.Background(), base, measurements, noProgress)
				require.NoError(t, err)
				KeepMinimum(b.Counts, lowered)
			}
			assert.Contains(t, strings.Join(b.Compare(counts), "\n"), c.want, "found %v", counts)
		})
	}
}

func TestBaselineFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "b.json")
	_, err := ReadBaseline(path)
	require.ErrorIs(t, err, os.ErrNotExist, "a missing file must not pass")
	for _, text := range []string{`{"schema":2,"counts":{"a":{"allocs":1}}}`, `{"schema":1}`, `{`, ``} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := ReadBaseline(path)
		require.Error(t, err, text)
	}
	require.NoError(t, WriteBaseline(path, map[string]Counts{"lookup": {"allocs": 20, "copied": 2.004, "peak_mb": 9}},
		PathOptions{Lookups: 9}))
	b, err := ReadBaseline(path)
	require.NoError(t, err)
	assert.Equal(t, Counts{"allocs": 20, "copied": 2}, b.Counts["lookup"], "peak_mb is not a gated count")
	assert.Empty(t, b.Compare(map[string]Counts{"lookup": {"allocs": 20.4, "copied": 2.05}}))
	assert.Len(t, b.Compare(map[string]Counts{"lookup": {"allocs": 21, "copied": 3}}), 2, "both counts rose by one")
	assert.Contains(t, b.Compare(map[string]Counts{"lookup": {"allocs": 20}})[0], "not counted")
	for field, o := range map[string]PathOptions{"lookups": {Lookups: 1, Engines: 1}, "engines": {Lookups: 100},
		"only": {Lookups: 100, Engines: 1, Only: "x"}} {
		assert.ErrorContains(t, o.Check(), field+": found")
	}
}

func TestKeepMinimum(t *testing.T) {
	counts := map[string]Counts{"lookup": {"allocs": 75, "copied": 2}, "report": {"allocs": 78}}
	KeepMinimum(counts, map[string]Counts{"lookup": {"allocs": 74, "copied": 3}, "load": {"allocs": 1}})
	assert.Equal(t, map[string]Counts{"lookup": {"allocs": 74, "copied": 2}, "report": {"allocs": 78}}, counts)
	b := &Baseline{Counts: map[string]Counts{"report": {"allocs": 77}}}
	KeepMinimum(counts, map[string]Counts{"report": {"allocs": 77.8}})
	assert.Len(t, b.Compare(counts), 1, "the minimum still exceeds the baseline")
}
