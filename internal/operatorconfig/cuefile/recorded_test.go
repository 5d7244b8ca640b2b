package cuefile_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"beechcart/internal/recorded"

	"github.com/stretchr/testify/require"

	"beechcart/internal/operatorconfig/cuefile"
)

func TestRecordedBuild(t *testing.T) {
	allFields, err := cuefile.Build("testdata/every_field.cue")
	require.NoError(t, err)
	recorded.Compare(t, "every_field.json", allFields)
	empty := filepath.Join(t.TempDir(), "empty.cue")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	defaults, err := cuefile.Build(empty)
	require.NoError(t, err)
	recorded.Compare(t, "defaults.json", defaults)
}

func TestRecordedValidationErrors(t *testing.T) {
	const file = "bad.cue"
	workDir, err := filepath.Abs(".")
	require.NoError(t, err)
	t.Chdir(t.TempDir())
	var b strings.Builder
	for _, text := range []string{
		"\nmembership: max_out: 2", "consul: service: 7", "source: \"etcd\"", "consul: {\n\tadresses: []\n}",
		"consul: addresses: [\"consul\"]", "consul: addresses: []", "consul: map: zone: \"room\"",
		"source: \"consul\"\nconsul: {", "membership: max_out: 2\nconsul: wait_ms: 1", "consul: service: string",
		"consul: wait_ms: 1\nconsul: slack_ms: 1\nfleet: ahead_ms: -1\nfleet: keepers: [{name: 1}]\nfleet: routes: [\"x\"]",
		"membership: {suppress: 1, reuse: 2}", "consul: {min_pause_ms: 9000, max_pause_ms: 8000}",
		"consul: cert_file: \"a\"", "fleet: 7", "log: level: \"loud\"", "clients: idle_ms: 1\nclients: max_sessions: -1",
		"engines: reuse: true", "nope: 1", "last_good: max_age_ms: 1e12", "admin_socket: 1", "",
	} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := cuefile.Build(file)
		fmt.Fprintf(&b, "%q\n", text)
		var validationErrors cuefile.ValidationErrors
		if !errors.As(err, &validationErrors) {
			fmt.Fprintf(&b, "\tno list of problems: %v\n", err)
		}
		for _, p := range validationErrors {
			fmt.Fprintf(&b, "\tfile %q line %d field %q found %q allowed %q text %q\n\t%s\n",
				p.File, p.Line, p.Field, p.Found, p.Allowed, p.Text, p)
		}
	}
	_, err = cuefile.Build("none.cue")
	fmt.Fprintf(&b, "no file: %v\n", err)
	t.Chdir(workDir)
	recorded.Compare(t, "problems.txt", []byte(b.String()))
}
