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
)

// checkRecorded compares bytes with those that a file of testdata/recorded holds. A missing file is written where
// RECORD=1 is set, and fails the test elsewhere; one that exists is never written.
func checkRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "recorded", name)
	want, err := os.ReadFile(path)
	if os.IsNotExist(err) && os.Getenv("RECORD") == "1" {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
		return
	}
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), name)
}

// fill sets every exported field that v reaches, in the order of their declaration, to a value of its own.
func fillFleetValue(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillFleetValue(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fillFleetValue(v.Field(i), n)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillFleetValue(v.Index(0), n)
		fillFleetValue(v.Index(1), n)
	case reflect.Array:
		for i := range v.Len() {
			fillFleetValue(v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillFleetValue(key, n)
		fillFleetValue(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.25)
	default:
		panic("recorded: no value for a " + v.Kind().String())
	}
}

// filledFleetValue is the JSON text of a value with every field set.
func filledFleetValue[T any](t *testing.T) json.RawMessage {
	t.Helper()
	var value T
	n := 0
	fillFleetValue(reflect.ValueOf(&value).Elem(), &n)
	text, err := json.Marshal(value)
	require.NoError(t, err)
	return text
}

// fakeReplica answers calls with values in which every field is set, and notes what it is sent.
type fakeReplica struct {
	values map[string]json.RawMessage // by path
	calls  bytes.Buffer
}

func (f *fakeReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(&f.calls, "%s %s %s %s\n", r.Method, r.URL, r.Header.Get("X-Key"), body)
	_ = json.NewEncoder(w).Encode(map[string]json.RawMessage{"value": f.values[r.URL.Path]})
}

// Every fleet command that has --json: what it sends, what it prints, and its exit code. The answers have every field
// set.
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
		code, stdout, stderr := ctl(append([]string{"fleet", "--settings", settings, "--json", "--id", "id-1", "--by", "ann"},
			strings.Fields(args)...)...)
		fmt.Fprintf(&out, "%s%s%sexit %d\n\n", replica.calls.String(), stdout, stderr, code)
	}
	commands := []string{"drain engine e0", "drain front-end n0", "undrain engine e0", "forget front-end n0",
		"release start r2 --from r1 --waves 0.1,1 --soak 90s", "release halt", "release resume", "release back"}
	for _, args := range append([]string{"status", "audit", "release status", "release plan r2 --from r1"}, commands...) {
		run(args) // an answer that refuses
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
	assert.NotContains(t, out.String(), dir, "no path of this machine is recorded")
	checkRecorded(t, "fleet-json.txt", out.Bytes())
}
