package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/rollout"
	"beechcart/internal/fleet"
	"beechcart/internal/recorded"
)

// filledFleetValue returns the JSON text of a value of type T with every field set.
func filledFleetValue[T any](t *testing.T) json.RawMessage {
	t.Helper()
	var value T
	var filler recorded.Filler
	filler.Fill(reflect.ValueOf(&value).Elem())
	text, err := json.Marshal(value)
	require.NoError(t, err)
	return text
}

// fakeReplica is a control replica that answers calls with fixed values and records the requests.
type fakeReplica struct {
	values map[string]json.RawMessage // by path
	calls  bytes.Buffer
}

func (f *fakeReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(&f.calls, "%s %s %s %s\n", r.Method, r.URL, r.Header.Get("X-Key"), body)
	_ = json.NewEncoder(w).Encode(map[string]json.RawMessage{"value": f.values[r.URL.Path]})
}

// TestRecordedFleetJSON compares the request, output and exit code of each fleet command that has --json with a
// recording. The answers of the replica have every field set.
func TestRecordedFleetJSON(t *testing.T) {
	replica := &fakeReplica{values: map[string]json.RawMessage{
		"/status": filledFleetValue[fleet.Status](t),
		"/plan":   filledFleetValue[[]rollout.Wave](t),
		"/apply":  filledFleetValue[rollout.Result](t),
	}}
	accepted := struct {
		Permit  uint64 `json:"permit"`
		Release uint64 `json:"release"`
		State   string `json:"state"`
	}{3, 4, "running"}
	server := httptest.NewServer(replica)
	defer server.Close()
	dir := t.TempDir()
	key, settings := filepath.Join(dir, "key"), filepath.Join(dir, "settings.json")
	require.NoError(t, os.WriteFile(key, []byte("0123456789abcdef\n"), 0o600))
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `{"schema":1,"fleet":{"gossip":"127.0.0.1:1",`+
		`"key_file":%q,"keepers":[{"name":"n0","log":"127.0.0.1:1","ask":%q,"gossip":"127.0.0.1:1"}]}}`,
		key, strings.TrimPrefix(server.URL, "http://")), 0o600))
	var out bytes.Buffer
	run := func(args string) {
		replica.calls.Reset()
		fmt.Fprintf(&out, "$ fleet %s\n", args)
		code, stdout, stderr := runCommand(append([]string{"fleet", "--settings", settings, "--json", "--id", "id-1",
			"--by", "ann"}, strings.Fields(args)...)...)
		fmt.Fprintf(&out, "%s%s%sexit %d\n\n", replica.calls.String(), stdout, stderr, code)
	}
	commands := []string{"drain engine e0", "drain front-end n0", "undrain engine e0", "forget front-end n0",
		"release start r2 --from r1 --waves 0.1,1 --soak 90s", "release halt", "release resume", "release back"}
	for _, args := range append([]string{"status", "audit", "release status", "release plan r2 --from r1"}, commands...) {
		run(args) // the result of /apply has every field set, so that it is a rejection
	}
	var err error
	replica.values["/apply"], err = json.Marshal(accepted)
	require.NoError(t, err)
	for _, args := range commands {
		run(args)
	}
	replica.values["/status"], err = json.Marshal(map[string]any{"keeper": "n0", "leads": true})
	require.NoError(t, err)
	for _, args := range []string{"status", "audit", "release status", "init", "wanted n0"} {
		run(args)
	}
	assert.NotContains(t, out.String(), dir, "a recording must not contain paths of this machine")
	recorded.Compare(t, "fleet-json.txt", out.Bytes())
}
