package cuefile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/operatorconfig"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "beechcart.cue")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against defaults that drift apart: those of the schema are those of the program.
func TestDefaultsAgree(t *testing.T) {
	text, err := Build(write(t, ""))
	require.NoError(t, err)
	got, err := operatorconfig.Parse(text)
	require.NoError(t, err)
	assert.Equal(t, operatorconfig.Default(), got)
}

func TestTheFileUnderDeployIsGood(t *testing.T) {
	text, err := Build("../../../deploy/beechcart.cue")
	require.NoError(t, err)
	s, err := operatorconfig.Parse(text)
	require.NoError(t, err)
	assert.Equal(t, operatorconfig.SourceChangeLog, s.Source, "the platform keeps its change log")
	assert.Empty(t, s.AdminSocket+s.EndpointCache.Path, "the platform has no listeners and no disk")
}

func TestProblemsNameFieldLineAndWhatIsAllowed(t *testing.T) {
	for name, k := range map[string]struct {
		text string
		want []string
	}{
		"out of range": {"\nmembership: max_out: 2", []string{":2: membership.max_out: not allowed; found 2; allowed is",
			"<=1"}},
		"wrong type":    {"consul: service: 7", []string{":1: consul.service: ", "found 7", "string"}},
		"no such word":  {"source: \"etcd\"", []string{":1: source: ", `found "etcd"`, `"changelog"`, `"consul"`}},
		"unknown field": {"consul: {\n\tadresses: []\n}", []string{":2: consul.adresses: not known", "addresses, service"}},
		"a bad address": {"consul: addresses: [\"consul\"]", []string{":1: consul.addresses", `"consul"`}},
		"a bad place":   {"consul: map: zone: \"room\"", []string{":1: consul.map.zone", `"room"`}},
		"no CUE":        {"source: \"consul\"\nconsul: {", []string{":2"}},
		"two at once": {"membership: max_out: 2\nconsul: wait_ms: 1", []string{":1: membership.max_out",
			":2: consul.wait_ms"}},
		"not concrete": {"consul: service: string & !=\"x\"\nmembership: max_out: number", nil},
		"bounds apart": {"membership: {suppress: 1, reuse: 2}", []string{"membership.suppress"}},
		"half a pair":  {"consul: cert_file: \"a\"", []string{"cert_file and key_file go together"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Build(write(t, k.text))
			if k.want == nil {
				require.NoError(t, err, "what leaves the default open is filled in")
				return
			}
			require.Error(t, err)
			for _, w := range k.want {
				assert.ErrorContains(t, err, w)
			}
		})
	}
	_, err := Build("/nonexistent.cue")
	assert.ErrorIs(t, err, os.ErrNotExist)
}
