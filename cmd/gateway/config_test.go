package main_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestBadConfigurationIsReportedInOneLine(t *testing.T) {
	for config, want := range map[string]string{
		`{`:                           "JSON",
		`{"changelog":"127.0.0.1:1"}`: "settings: missing",
		`{"changelog":"127.0.0.1:1","seed":"xyz","settings":{}}`: "seed",
		`{"changelog":"127.0.0.1:1",` +
			`"settings":{"replicas_of_me":0}}`: "settings.replicas_of_me: 0 is not allowed: it must be 1 at least",
		`{"changelog":"127.0.0.1:1","settings":{"services":[{"semantics":"x"}]}}`:                      "semantics",
		`{"changelog":"127.0.0.1:1","known":{"results":1},"settings":` + defaultPlatformSettings + `}`: "seq",
		`{"settings":` + defaultPlatformSettings + `}`:                                                 "changelog",
	} {
		r := &testGateway{t: t, addr: "127.0.0.1:0", log: &lockedBuffer{}, exit: make(chan error, 1)}
		r.run(config)
		require.EqualError(t, <-r.exit, "exit status 1", config)
		assert.Contains(t, r.log.String(), want, config)
		assert.Equal(t, 1, strings.Count(r.log.String(), "\n"), r.log.String())
	}
}

// A setting that is missing, of a wrong type or out of range is reported in one line with the name of the setting, its
// value and the allowed values.
func TestBadSettingsAreNamed(t *testing.T) {
	for _, k := range []struct{ old, replacement, want string }{
		{`"me":0`, `"me":1`, "settings.me: 1 is not allowed: it must be under settings.replicas_of_me, which is 1"},
		{`"me":0`, `"me":0.5`, "me: 0.5 is not allowed: it must be a whole number from 0 on"},
		{`"cancel":true`, `"cancel":"yes"`, `permissions.cancel: "yes" is not allowed: it must be true or false`},
		{`"drain_grace":500000000`, `"drain_grace":-1`,
			"rules.drain_grace: -1 is not allowed: it must be a number from 0 on"},
		{`"drain_grace":500000000`, `"drain_grace":1e300`,
			"rules.drain_grace: 1e300 is not allowed: it must be a number from 0 on"},
		{`"cold_from":0.3`, `"cold_from":30`, "settings.rules.cold_from: 30 is not allowed: it must be from 0 to 1"},
		{`"deadline":2500000000,`, ``, "settings.services[0].deadline: 0 is not allowed: it must be over 0"},
		{`"name":"load"`, `"name":"lookup"`, `settings.services[0].name: "lookup" is not allowed: it must be no other ` +
			`class's name`},
		{`"name":"load"`, `"name":7`, "services[1].name: 7 is not allowed: it must be a string"},
		{`"semantics":"read_like"`, `"semantics":"odd"`,
			`services[0].semantics: "odd" is not known: it must be one of ["idempotency_key" "non_idempotent" "read_like"]`},
		{`"skus":["std-12"]`, `"skus":"std-12"`, `skus: "std-12" is not allowed: it must be a list`},
	} {
		require.Contains(t, defaultPlatformSettings, k.old)
		r := &testGateway{t: t, addr: "127.0.0.1:0", log: &lockedBuffer{}, exit: make(chan error, 1)}
		r.run(`{"changelog":"127.0.0.1:1","settings":` +
			strings.Replace(defaultPlatformSettings, k.old, k.replacement, 1) + `}`)
		require.EqualError(t, <-r.exit, "exit status 1", k.replacement)
		assert.Contains(t, r.log.String(), k.want)
		assert.Equal(t, 1, strings.Count(r.log.String(), "\n"), r.log.String())
	}
	for limits, want := range map[string]string{
		`{"sockets":7}`:      "limits.sockets: 7 is not allowed: it must be 16 at least",
		`{"sockets":"many"}`: `limits.sockets: "many" is not allowed: it must be a number from 0 on`,
		`{"memory_mb":-1}`:   "limits.memory_mb: -1 is not allowed: it must be a number from 0 on",
	} {
		r := &testGateway{t: t, addr: "127.0.0.1:0", log: &lockedBuffer{}, exit: make(chan error, 1)}
		r.run(`{"changelog":"127.0.0.1:1","limits":` + limits + `,"settings":` + defaultPlatformSettings + `}`)
		require.EqualError(t, <-r.exit, "exit status 1", limits)
		assert.Contains(t, r.log.String(), want)
	}
}

// Valid but unusual settings are accepted: any names, number and order of classes, and optional settings left out.
func TestUnusualSettingsAreAccepted(t *testing.T) {
	class := func(name, semantics string, deadline int) string {
		return fmt.Sprintf(`{"deadline":%d000000,"name":%q,"on_time":100000000,"points":1,"semantics":%q}`, deadline, name,
			semantics)
	}
	ten := []string{class("lookup", "non_idempotent", 300)}
	for i := range 9 {
		ten = append(ten, class(fmt.Sprint("c", i), []string{"read_like", "non_idempotent", "idempotency_key"}[i%3],
			300+i*5000))
	}
	for name, k := range map[string]struct {
		platform string
		sockets  int
	}{
		"one class, no other settings": {`{"replicas_of_me":1,"services":[` + class("lookup", "read_like", 300) + `]}`,
			1024},
		"one non-idempotent class": {`{"replicas_of_me":1,"services":[` + class("lookup", "non_idempotent",
			300) + `]}`, 1024},
		"ten classes":     {`{"replicas_of_me":3,"me":2,"services":[` + strings.Join(ten, ",") + `]}`, 1024},
		"few descriptors": {defaultPlatformSettings, 64},
		"no tenants": {strings.Replace(defaultPlatformSettings,
			`"tenants":[{"allowance_per_s":1000,"fraction":1,"name":"south-grain"}]`, `"tenants":[]`, 1), 1024},
		"no health checks, no progress reports, no cancel": {strings.NewReplacer(`"tells_every":1000000000`,
			`"tells_every":0`).Replace(withoutHealthChecks(false)), 1024},
		"a short grace": {strings.Replace(defaultPlatformSettings, `"drain_grace":500000000`, `"drain_grace":1000000`, 1),
			1024},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, nil)
			r := (&testGateway{t: t, log: &lockedBuffer{}, exit: make(chan error, 1),
				platformSettings: k.platform}).start(k.sockets, e)
			statement := fmt.Sprintf("\x03/* c=lookup,i=%016x,d=2000 */ SELECT a FROM sales_17.orders", 7)
			c := r.dial()
			c.send(0, statement)
			a := c.read()
			assert.Zero(t, a.code, a.text)
			assert.Equal(t, 1, e.count("POST"))
			r.publish(e.entry("draining", 0))
			r.waitForLog("state=draining")
			require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
			require.NoError(t, <-r.exit)
		})
	}
}
