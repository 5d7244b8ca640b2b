package operatorconfig_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"beechcart/internal/recorded"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"

	"beechcart/internal/operatorconfig"
)

// everyField is the JSON built from a file that sets every field.
const everyField = "cuefile/testdata/recorded/every_field.json"

// values returns one line for each setting, with the key that the setting has in the file.
func values(s *operatorconfig.Settings) string {
	c, p, m, mp, f := &s.Consul, &s.Consul.Poll, &s.Consul.Membership, &s.Consul.Mapping, &s.Fleet
	var replicas []string
	for _, r := range f.ControlReplicas {
		replicas = append(replicas, strings.Join([]string{r.Name, r.LogAddress, r.APIAddress, r.GossipAddress}, " "))
	}
	var b strings.Builder
	for _, setting := range []struct {
		key   string
		value any
	}{
		{"source", s.Source}, {"log.level", s.Log.Level}, {"log.format", s.Log.Format},
		{"consul.addresses", c.Addresses}, {"consul.service", c.Service}, {"consul.datacenter", c.Datacenter},
		{"consul.namespace", c.Namespace}, {"consul.tag", c.Tag}, {"consul.filter", c.Filter},
		{"consul.passing", c.Passing}, {"consul.consistency", c.Consistency}, {"consul.token_file", c.TokenFile},
		{"consul.ca_file", c.CAFile}, {"consul.server_name", c.ServerName}, {"consul.cert_file", c.CertFile},
		{"consul.key_file", c.KeyFile}, {"consul.max_body_mb", c.MaxBody}, {"consul.connect_ms", c.Connect},
		{"consul.wait_ms", p.Wait}, {"consul.slack_ms", p.ResponseTimeout}, {"consul.max_slack_ms", p.MaxResponseTimeout},
		{"consul.confirm_ms", p.ConfirmInterval}, {"consul.min_gap_ms", p.MinInterval},
		{"consul.max_read_share", p.MaxBusyShare},
		{"consul.min_pause_ms", p.MinBackoff}, {"consul.max_pause_ms", p.MaxBackoff}, {"consul.hold_ms", p.DeniedBackoff},
		{"consul.map.zone", mp.Zone}, {"consul.map.kind", mp.Kind}, {"consul.map.cell", mp.Cell},
		{"consul.map.weight", mp.Weight}, {"consul.map.mark", mp.Mark}, {"consul.map.started", mp.Started},
		{"consul.map.drain_tag", mp.DrainTag}, {"consul.map.drain_meta", mp.DrainMeta},
		{"membership.max_lag_ms", m.MaxStaleness}, {"membership.max_out", m.MaxEjected}, {"membership.max_loss", m.MaxLoss},
		{"membership.loss_window_ms", m.LossWindow}, {"membership.confirm_reads", m.ConfirmReads},
		{"membership.confirm_after_ms", m.ConfirmAfter}, {"membership.doubt_for_ms", m.MaxSuspicion},
		{"membership.reset_after_ms", m.ResetAfter}, {"membership.penalty", m.Penalty},
		{"membership.half_life_ms", m.HalfLife}, {"membership.suppress", m.Suppress}, {"membership.reuse", m.Reuse},
		{"membership.max_suppress_ms", m.MaxSuppress}, {"membership.linger_ms", m.Linger},
		{"last_good.path", s.EndpointCache.Path}, {"last_good.write_every_ms", s.EndpointCache.WriteInterval},
		{"last_good.max_age_ms", s.EndpointCache.MaxAge}, {"clients.idle_ms", s.Clients.IdleTimeout},
		{"clients.max_sessions", s.Clients.MaxSessions}, {"engines.reuse", s.Reuse}, {"admin_socket", s.AdminSocket},
		{"fleet.room", f.Zone}, {"fleet.kind", f.Kind}, {"fleet.revision", f.Revision}, {"fleet.weight", f.CapacityPerSecond},
		{"fleet.gossip", f.GossipAddress}, {"fleet.keepers", strings.Join(replicas, ", ")}, {"fleet.dir", f.LogDirectory},
		{"fleet.key_file", f.KeyFile}, {"fleet.routes", f.DialOverrides}, {"fleet.disk_faults", f.DiskFaultFile},
		{"fleet.ahead_ms", f.ClockSkew}, {"fleet key", f.Key},
	} {
		fmt.Fprintf(&b, "%s = %v\n", setting.key, setting.value)
	}
	return b.String()
}

func TestRecordedSettings(t *testing.T) {
	defaults := operatorconfig.Default()
	recorded.Compare(t, "defaults.txt", []byte(values(&defaults)))
	every, err := operatorconfig.Load(everyField)
	require.NoError(t, err)
	recorded.Compare(t, "every_field.txt", []byte(values(&every)))
	unchanged, err := operatorconfig.Load("")
	require.NoError(t, err)
	assert.Equal(t, values(&defaults), values(&unchanged))
	for _, line := range strings.Split(strings.TrimSpace(values(&every)), "\n") {
		if !strings.HasPrefix(line, "fleet key = ") {
			assert.NotContains(t, values(&defaults), line+"\n", "every field must differ from its default")
		}
	}
}

func TestRecordedSessionBounds(t *testing.T) {
	var b strings.Builder
	for _, sessions := range []int{0, 1, 100, 1000} {
		for _, descriptors := range []int{16, 250, 511, 4096} {
			c := operatorconfig.ClientLimits{MaxSessions: sessions}
			fmt.Fprintf(&b, "max_sessions %d, %d descriptors: %d\n", sessions, descriptors, c.SessionLimit(descriptors))
		}
	}
	for _, reuse := range []operatorconfig.ConnectionReuse{"auto", "on", "off"} {
		for _, price := range []float64{0, 0.01} {
			s := operatorconfig.Settings{Reuse: reuse}
			policy, err := s.ReusePolicy(price, 512)
			require.NoError(t, err)
			fmt.Fprintf(&b, "reuse %s, handshake price %v: %t\n", reuse, price, policy != nil)
		}
	}
	recorded.Compare(t, "session_bounds.txt", []byte(b.String()))
}

// badValues replace each value in turn.
var badValues = []string{
	`null`, `{"no":1}`, `[]`, `[{"name":1}]`, `["x"]`, `-1`, `0.5`, `1e12`, `true`,
	`"a string of more than forty characters, which an error cuts short"`,
}

// paths returns the paths of all values, objects included, in the order of the keys.
func paths(v *fastjson.Value, prefix []string) (all [][]string) {
	object, err := v.Object()
	if err != nil {
		return nil
	}
	var keys []string
	object.Visit(func(key []byte, _ *fastjson.Value) { keys = append(keys, string(key)) })
	slices.Sort(keys)
	for _, key := range keys {
		path := append(slices.Clone(prefix), key)
		all = append(all, path)
		all = append(all, paths(v.Get(key), path)...)
	}
	return all
}

func TestRecordedErrorsOfBadValues(t *testing.T) {
	text, err := os.ReadFile(everyField)
	require.NoError(t, err)
	document, err := fastjson.ParseBytes(text)
	require.NoError(t, err)
	var b strings.Builder
	for _, path := range paths(document, nil) {
		for _, bad := range badValues {
			changed := fastjson.MustParse(string(text))
			parent := changed.Get(path[:len(path)-1]...)
			parent.Set(path[len(path)-1], fastjson.MustParse(bad))
			_, err := operatorconfig.Parse(changed.MarshalTo(nil))
			fmt.Fprintf(&b, "%s\t%s\t%v\n", strings.Join(path, "."), bad, err)
		}
	}
	for _, bad := range []string{``, `[`, `7`, `[]`, `{"schema":1,"nope":2}`, `{"schema":1,"consul":{"map":{"nope":2}}}`} {
		_, err := operatorconfig.Parse([]byte(bad))
		fmt.Fprintf(&b, "whole file\t%s\t%v\n", bad, err)
	}
	recorded.Compare(t, "bad_values.txt", []byte(b.String()))
}

func TestRecordedErrorsOfFiles(t *testing.T) {
	workDir, err := filepath.Abs(".")
	require.NoError(t, err)
	t.Chdir(t.TempDir())
	require.NoError(t, os.WriteFile("there", []byte(" 0123456789abcdef\n"), 0o600))
	record := func(b *strings.Builder, name string, s operatorconfig.Settings) {
		err := s.ResolveFiles()
		fmt.Fprintf(b, "%s: %v; key %q\n", name, err, s.Fleet.Key)
	}
	with := func(change func(*operatorconfig.Settings)) operatorconfig.Settings {
		s := operatorconfig.Default()
		s.Source = operatorconfig.SourceConsul
		change(&s)
		return s
	}
	var b strings.Builder
	record(&b, "defaults", operatorconfig.Default())
	record(&b, "token file missing", with(func(s *operatorconfig.Settings) { s.Consul.TokenFile = "none" }))
	record(&b, "authority file missing", with(func(s *operatorconfig.Settings) { s.Consul.CAFile = "none" }))
	record(&b, "certificate missing", with(func(s *operatorconfig.Settings) { s.Consul.CertFile = "none" }))
	record(&b, "certificate without key", with(func(s *operatorconfig.Settings) { s.Consul.CertFile = "there" }))
	record(&b, "key without certificate", with(func(s *operatorconfig.Settings) { s.Consul.KeyFile = "there" }))
	record(&b, "both", with(func(s *operatorconfig.Settings) { s.Consul.CertFile, s.Consul.KeyFile = "there", "there" }))
	record(&b, "another source", with(func(s *operatorconfig.Settings) {
		s.Source, s.Consul.TokenFile = operatorconfig.SourceChangeLog, "none"
	}))
	record(&b, "fleet key missing", with(func(s *operatorconfig.Settings) {
		s.Fleet.GossipAddress,
			s.Fleet.KeyFile = "a:1", "none"
	}))
	record(&b, "fleet key there", with(func(s *operatorconfig.Settings) {
		s.Fleet.GossipAddress,
			s.Fleet.KeyFile = "a:1", "there"
	}))
	_, err = operatorconfig.Load("none")
	fmt.Fprintf(&b, "no file: %v\n", err)
	require.NoError(t, os.WriteFile("bad", []byte(`{"schema":1,"source":7}`), 0o600))
	_, err = operatorconfig.Load("bad")
	fmt.Fprintf(&b, "bad file: %v\n", err)
	t.Chdir(workDir)
	recorded.Compare(t, "file_errors.txt", []byte(b.String()))
}
