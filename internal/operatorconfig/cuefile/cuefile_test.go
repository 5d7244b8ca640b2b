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

// Guards against different defaults in the schema and in the program.
func TestDefaultsAgree(t *testing.T) {
	text, err := Build(write(t, ""))
	require.NoError(t, err)
	got, err := operatorconfig.Parse(text)
	require.NoError(t, err)
	assert.Equal(t, operatorconfig.Default(), got)
}

func TestDeployFileIsValid(t *testing.T) {
	text, err := Build("../../../deploy/beechcart.cue")
	require.NoError(t, err)
	s, err := operatorconfig.Parse(text)
	require.NoError(t, err)
	assert.Equal(t, operatorconfig.SourceChangeLog, s.Source, "the deployed source must be the platform's change log")
	assert.Empty(t, s.AdminSocket+s.EndpointCache.Path, "the platform allows no listeners and has no disk")
}

func TestErrorsNameFieldLineAndAllowedValues(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"out of range": {"\nmembership: max_out: 2", []string{":2: membership.max_out: not allowed; found 2; allowed is",
			"<=1"}},
		"wrong type":      {"consul: service: 7", []string{":1: consul.service: ", "found 7", "string"}},
		"unknown value":   {"source: \"etcd\"", []string{":1: source: ", `found "etcd"`, `"changelog"`, `"consul"`}},
		"unknown field":   {"consul: {\n\tadresses: []\n}", []string{":2: consul.adresses: not known", "addresses, service"}},
		"invalid address": {"consul: addresses: [\"consul\"]", []string{":1: consul.addresses", `"consul"`}},
		"invalid place":   {"consul: map: zone: \"room\"", []string{":1: consul.map.zone", `"room"`}},
		"syntax error":    {"source: \"consul\"\nconsul: {", []string{":2"}},
		"two errors": {"membership: max_out: 2\nconsul: wait_ms: 1", []string{":1: membership.max_out",
			":2: consul.wait_ms"}},
		"not concrete":            {"consul: service: string & !=\"x\"\nmembership: max_out: number", nil},
		"bounds in conflict":      {"membership: {suppress: 1, reuse: 2}", []string{"membership.suppress"}},
		"certificate without key": {"consul: cert_file: \"a\"", []string{"cert_file and key_file go together"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Build(write(t, c.text))
			if c.want == nil {
				require.NoError(t, err, "a field without a concrete value must take its default")
				return
			}
			require.Error(t, err)
			for _, w := range c.want {
				assert.ErrorContains(t, err, w)
			}
		})
	}
	_, err := Build("/nonexistent.cue")
	assert.ErrorIs(t, err, os.ErrNotExist)
}
