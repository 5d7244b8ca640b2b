package platformconfig_test

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beechcart/admission"
	"beechcart/internal/platformconfig"
	"beechcart/internal/recorded"
)

// full is a configuration that sets each field. Fields that could be mixed up have different values.
const full = `{"name":"n3","listen":"10.0.0.4:7001","seed":"8c1f30d27a5be964","limits":{"cores":1.5,"memory_mb":128,
"sockets":512},
"changelog":"10.2.0.1:2379","known":{"seq":2,"results":[{"seq":1}]},"settings":{"discovery":"ask","me":3,
"replicas_of_me":7,
"locality":"c","zones":["a","b","c"],"skus":["std-12","std-8"],"over_share_worth":0.375,
"rules":{"ask_every":1000000001,"answer_slack":1000000002,"drain_grace":1000000003,"cold_from":0.25,"cold":1000000004,
"fall_multiple":4.5,"overload_for":1000000005,"settle_after_doubt":1000000006,"spare_attempts":5.5,"repeat_ratio":0.125,
"ratio_span":1000000007},
"reporting":{"via":"pull","columns":["utilization"]},
"family_info":{"takes_grants":true,"lanes_count":true,"says_cost":true,"tells_every":1000000008,
"overbooked":"overcommit",
"most_grant":0.625,"size_cores":[12,8],"kind_memory_mb":[24576.5,16384],"threads_by_class":[4,2,1],
"holds_tables":[true,false,false],"waits_for_loads":[false,true,false]},
"permissions":{"cancel":true,"probes":true,"may_tell":true,"may_duplicate":true,"attempts_cap":6,"retry_after":true,
"max_retry_after":1000000009,"connect_timeout":300000000,"conn_idle":20000000000},
"prices":{"probe":0.03125,"handshake":0.015625},"callers":{"marks_retry":true},
"services":[{"name":"load","on_time":1000000010,"aim_stretch":1.5,"deadline":1000000011,"points":12,"late_worth":0.75,
"semantics":"non_idempotent","stays_in":["b","x"],"runs_on":["std-8","none"]},
{"name":"put","on_time":1000000012,"deadline":1000000013,"points":3,"semantics":"idempotency_key","group":"cell",
"memory_span":1000000014,"in_order":true},
{"name":"lookup","on_time":1000000015,"deadline":1000000016,"points":1,"semantics":"read_like","group":"zone",
"stream":true}],
"tenants":[{"name":"acme","fraction":0.6,"allowance_per_s":117.5},{"name":"north","fraction":0.4}],
"unheard_of":{"x":1}}}`

// minimal is a configuration without optional fields.
const minimal = `{"listen":"10.0.0.4:7001","settings":{"replicas_of_me":1}}`

// encoder writes values in a fixed order, without field names.
type encoder struct{ bytes.Buffer }

func (e *encoder) printf(format string, values ...any) { e.Write(fmt.Appendf(nil, format, values...)) }

func (e *encoder) ints(values ...int) {
	for _, v := range values {
		e.printf("%d ", v)
	}
}

func (e *encoder) durations(values ...time.Duration) {
	for _, v := range values {
		e.printf("%d ", int64(v))
	}
}

func (e *encoder) floats(values ...float64) {
	for _, v := range values {
		e.printf("%016x ", math.Float64bits(v))
	}
}

func (e *encoder) bools(values ...bool) {
	for _, v := range values {
		e.printf("%t ", v)
	}
}

func (e *encoder) texts(values ...string) {
	for _, v := range values {
		e.printf("%q ", v)
	}
}

func (e *encoder) line() { e.WriteByte('\n') }

func (e *encoder) settings(s *admission.Settings) {
	e.ints(s.Me, s.Replicas, s.Zone, s.Zones, s.MaxAttempts, int(s.LoadReporting), int(s.MemoryShortage))
	budget := cmp.Or(s.RetryBudget, &admission.RetryBudget{})
	e.floats(s.OverQuotaWeight, s.MaxGrantFraction, s.HealthCheckCost, s.SlowStart.InitialCapacity,
		s.SlowStart.OverloadMultiple, budget.MinRetries, budget.Ratio)
	e.durations(s.PollInterval, s.ProgressInterval, s.MaxRetryAfter, s.DeadlineSlack, s.DrainGrace,
		s.SlowStart.Duration, s.SlowStart.OverloadWindow, s.KeyCooldown, budget.Window)
	e.bools(s.PollDiscovery, s.GrantsSupported, s.PrioritiesSupported, s.CostReported, s.CancellationAllowed,
		s.HealthChecksAllowed,
		s.GossipAllowed, s.HedgingAllowed, s.RetriesMarked, s.RetryBudget != nil)
	e.line()
	for _, k := range s.Kinds {
		e.ints(k.Cores)
		e.floats(k.MemoryMB)
		e.line()
	}
	for _, c := range s.Classes {
		e.durations(c.LatencyObjective, c.Deadline, c.DeduplicationWindow)
		e.floats(c.ObjectivePerWork, c.PriorityWeight, c.LateWeight)
		e.ints(int(c.Idempotency), int(c.DeduplicationScope), c.Threads)
		e.bools(c.Ordered, c.Stream, c.LocksTables, c.WaitsForLocks)
		e.ints(c.OnlyZones...)
		e.texts("/")
		e.ints(c.OnlyKinds...)
		e.line()
	}
	for _, t := range s.Tenants {
		e.floats(t.Quota, t.RequestsPerSecond)
		e.line()
	}
}

func (e *encoder) names(n *platformconfig.Names) {
	for _, m := range []map[string]int{n.Classes, n.Tenants, n.Zones, n.Kinds} {
		for _, name := range []string{"load", "put", "lookup", "acme", "north", "a", "b", "c", "std-12", "std-8", "none"} {
			e.ints(platformconfig.IndexOf(m, name))
		}
		e.ints(len(m))
		e.line()
	}
	for i := range 4 {
		e.texts(n.ClassName(i, []byte("as asked")))
	}
	e.line()
}

func (e *encoder) config(c *platformconfig.Config) {
	e.texts(c.Name, c.Listen, c.ChangeLog, string(c.KnownEvents))
	e.printf("%d ", c.Seed)
	e.floats(c.Cores, c.HandshakePrice)
	e.ints(c.MemoryMB, c.Descriptors)
	e.durations(c.ConnectTimeout)
	e.line()
	e.settings(&c.Admission)
	e.names(&c.Names)
}

func loadText(t *testing.T, text string, env map[string]string) (*platformconfig.Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	c, err := platformconfig.Load(path, func(name string) string { return env[name] })
	if err != nil {
		return nil, fmt.Errorf("%s", strings.ReplaceAll(err.Error(), path, "FILE"))
	}
	return c, nil
}

// Compares the decoded value of each field with the recording.
func TestRecordedConfiguration(t *testing.T) {
	var out encoder
	for _, test := range []struct {
		text string
		env  map[string]string
	}{
		{full, nil},
		{full, map[string]string{"PROXY_NAME": "other", "PROXY_LISTEN": "127.0.0.1:9"}},
		{minimal, nil},
		{strings.Replace(full, `"retry_after":true`, `"retry_after":false`, 1), nil},
		{strings.Replace(full, `"via":"pull"`, `"via":"piggyback"`, 1), nil},
		{strings.Replace(full, `"via":"pull"`, `"via":"silent"`, 1), nil},
		{strings.Replace(full, `"overcommit"`, `"cut"`, 1), nil},
		{strings.Replace(full, `"overcommit"`, `"line_up"`, 1), nil},
		{strings.Replace(full, `"group":"zone"`, `"group":"all"`, 1), nil},
	} {
		c, err := loadText(t, test.text, test.env)
		require.NoError(t, err)
		var encoded encoder
		encoded.config(c)
		out.Write(fmt.Appendf(nil, "%x\n", sha256.Sum256(encoded.Bytes())))
		if out.Len() < 100 {
			out.Write(encoded.Bytes()) // the first configuration in full
		}
	}
	set, names, err := platformconfig.Parse([]byte(full[strings.Index(full, `{"discovery"`) : len(full)-1]))
	require.NoError(t, err)
	var encoded encoder
	encoded.settings(&set)
	encoded.names(&names)
	out.Write(fmt.Appendf(nil, "%x\n", sha256.Sum256(encoded.Bytes())))
	recorded.Compare(t, "configuration", out.Bytes())
}

// Compares the errors for invalid configurations with the recording.
func TestRecordedErrors(t *testing.T) {
	var out bytes.Buffer
	for _, text := range []string{
		``, `[]`, `{"settings":`, `{"settings":{}}`, `{"listen":"b:1"}`, `{"listen":7,"settings":{}}`,
		`{"listen":"b:1","seed":"x","settings":{}}`,
		`{"listen":"b:1","limits":{"cores":-1},"settings":{}}`, `{"listen":"b:1","limits":{"memory_mb":1.5},"settings":{}}`,
		`{"listen":"b:1","limits":{"sockets":1e12},"settings":{}}`, `{"listen":"b:1","settings":{"me":"x"}}`,
		`{"listen":"b:1","settings":{"rules":{"cold":"x"}}}`, `{"listen":"b:1","settings":{"rules":{"cold":1e300}}}`,
		`{"listen":"b:1","settings":{"skus":["a"],"family_info":{"size_cores":["x"]}}}`,
		`{"listen":"b:1","settings":{"skus":["a"],"family_info":{"kind_memory_mb":[-1]}}}`,
		`{"listen":"b:1","settings":{"skus":"` + strings.Repeat("a", 80) + `"}}`,
		`{"listen":"b:1","settings":{"services":[{"semantics":"read_like","deadline":true}]}}`,
		`{"listen":"b:1","settings":{"services":[{"semantics":"odd"}]}}`, `{"listen":"b:1","settings":{"services":[{}]}}`,
		`{"listen":"b:1","settings":{"services":[{"semantics":"read_like","group":"room"}]}}`,
		`{"listen":"b:1","settings":{"services":[{"semantics":"read_like","stays_in":[1]}]}}`,
		`{"listen":"b:1","settings":{"services":[{"semantics":"read_like","in_order":"yes"}]}}`,
		`{"listen":"b:1","settings":{"reporting":{"via":"x"}}}`,
		`{"listen":"b:1","settings":{"family_info":{"overbooked":"x"}}}`,
		`{"listen":"b:1","settings":{"tenants":[{"fraction":-1}]}}`,
		`{"listen":"b:1","settings":{"permissions":{"cancel":1}}}`,
		`{"listen":"b:1","settings":{"prices":{"handshake":"x"}}}`,
		`{"listen":"b:1","settings":{"permissions":{"connect_timeout":-1}}}`,
	} {
		_, err := loadText(t, text, nil)
		require.Error(t, err, text)
		fmt.Fprintf(&out, "%v\n", err)
	}
	_, err := platformconfig.Load("", os.Getenv)
	require.Error(t, err)
	fmt.Fprintf(&out, "%v\n", err)
	recorded.Compare(t, "load-errors", out.Bytes())
}

// Compares the errors of Check for configurations that Load accepts with the recording.
func TestRecordedChecks(t *testing.T) {
	var out bytes.Buffer
	for _, text := range []string{
		full, minimal, strings.Replace(full, `"sockets":512`, `"sockets":15`, 1), strings.Replace(full,
			`"replicas_of_me":7`, `"replicas_of_me":0`, 1),
		strings.Replace(full, `"me":3`, `"me":7`, 1), strings.Replace(full, `"cold_from":0.25`, `"cold_from":1.5`, 1),
		strings.Replace(full, `"name":"put"`, `"name":""`, 1), strings.Replace(full, `"name":"put"`, `"name":"load"`, 1),
		strings.Replace(full, `"deadline":1000000016`, `"deadline":0`, 1),
	} {
		c, err := loadText(t, text, nil)
		require.NoError(t, err, text)
		fmt.Fprintf(&out, "%v\n", c.Check())
	}
	recorded.Compare(t, "check-errors", out.Bytes())
}
