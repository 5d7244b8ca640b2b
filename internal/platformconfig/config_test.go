package platformconfig

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/admission"
)

const valid = `{"name":"n3","listen":"10.0.0.4:7001","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":128,
"sockets":512},
"changelog":"10.2.0.1:2379","known":{"seq":0,"results":[]},"settings":{"permissions":{"connect_timeout":300000000,
"conn_idle":20000000000,"max_retry_after":1000000000,"retry_after":false},"zones":["a","b"],"locality":"b",
"family_info":{"size_cores":[12],"kind_memory_mb":[24576.0],"threads_by_class":[4],"holds_tables":[true]},
"skus":["std-12"],
"services":[{"name":"load","on_time":3000000000,"semantics":"non_idempotent","stays_in":["b","x"]}],
"tenants":[{"name":"acme","fraction":0.6,"allowance_per_s":117.0}],"unheard_of":{"x":1}}}`

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path, func(k string) string { return env[k] })
}

func TestLoad(t *testing.T) {
	c, err := load(t, valid, map[string]string{"PROXY_LISTEN": "127.0.0.1:9"})
	require.NoError(t, err)
	assert.Equal(t, []any{"n3", "127.0.0.1:9", "10.2.0.1:2379", uint64(0x8c1f30d27a5be964), 128, 512},
		[]any{c.Name, c.Listen, c.ChangeLog, c.Seed, c.MemoryMB, c.Descriptors})
	assert.Equal(t, 300*time.Millisecond, c.ConnectTimeout)
	assert.Equal(t, time.Second, c.Admission.MaxRetryAfter,
		"Retry-After must be set for the error message although permissions.retry_after is false")
	assert.Equal(t, 1, c.Admission.Zone)
	assert.Equal(t, []admission.Kind{{Cores: 12, MemoryMB: 24576}}, c.Admission.Kinds)
	assert.Equal(t, []admission.Tenant{{Quota: 0.6, RequestsPerSecond: 117}}, c.Admission.Tenants)
	assert.Equal(t, []admission.Class{{
		LatencyObjective: 3 * time.Second, Idempotency: admission.NonIdempotent, Threads: 4, LocksTables: true,
		OnlyZones: []int{1, -1},
	}}, c.Admission.Classes)
	assert.Equal(t, map[string]int{"load": 0}, c.Names.Classes)
}

func TestLoadMalformed(t *testing.T) {
	for text, want := range map[string]string{
		`[]`:                             "settings",
		`{"changelog":"a:1"}`:            "settings",
		`{"changelog":"a:1","seed":"x"}`: "seed",
		`{"changelog":"a:1","listen":"b:1","settings":{"me":"x"}}`: "me",
		`{"changelog":"a:1","listen":"b:1",` +
			`"settings":{"rules":{"cold":"x"}}}`: "rules.cold",
		`{"changelog":"a:1","listen":"b:1","settings":{"skus":["a"],` +
			`"family_info":{"size_cores":["x"]}}}`: "family_info.size_cores[0]",
		`{"changelog":"a:1","listen":"b:1","settings":{"services":[{"semantics":"read_like",` +
			`"deadline":true}]}}`: "services[0].deadline",
		`{"changelog":"a:1","listen":"b:1",` +
			`"settings":{"services":[{"semantics":"odd"}]}}`: "services[0].semantics",
		`{"changelog":"a:1","settings":{}}`: "listen",
	} {
		_, err := load(t, text, nil)
		require.ErrorContains(t, err, want, text)
	}
	_, err := Load("", os.Getenv)
	assert.ErrorContains(t, err, "PROXY_CONFIG")
}
