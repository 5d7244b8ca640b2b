package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"beechcart/internal/recorded"

	"github.com/stretchr/testify/require"

	"beechcart/decision/discovery"
	"beechcart/internal/admin"
	"beechcart/internal/bench"
	"beechcart/internal/faulttest"
	"beechcart/internal/scale"
	"beechcart/internal/source"
	"beechcart/internal/source/endpointcache"
)

// fill sets v, with all its fields and elements, to distinct values. Each value is derived from n, which increases in
// the order of the fields.
func fill(v reflect.Value, n *int) {
	*n++
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(time.Date(2026, 12, 3, 7, *n%60, 0, 0, time.UTC)))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case v.Kind() == reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for i := range 2 {
			value := reflect.New(v.Type().Elem()).Elem()
			fill(value, n)
			v.SetMapIndex(reflect.ValueOf(fmt.Sprintf("key%d", i)).Convert(v.Type().Key()), value)
		}
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("text%d", *n))
	case v.Kind() == reflect.Bool:
		v.SetBool(*n%2 == 0)
	case v.CanInt():
		v.SetInt(int64(*n))
	case v.CanUint():
		v.SetUint(uint64(*n))
	case v.CanFloat():
		v.SetFloat(float64(*n) + 0.25)
	}
}

// filled returns a value of type T with every field set.
func filled[T any]() T {
	var value T
	n := 0
	fill(reflect.ValueOf(&value).Elem(), &n)
	return value
}

// TestRecordedReports compares the JSON of the reports that commands print after a run with recordings, and so their
// keys, order and format.
func TestRecordedReports(t *testing.T) {
	var out bytes.Buffer
	r := filled[faulttest.Report]()
	require.NoError(t, r.WriteJSON(&out))
	recorded.Compare(t, "drill.json", out.Bytes())
	out.Reset()
	require.NoError(t, printJSON(&out, filled[scale.Result]()))
	recorded.Compare(t, "scale.json", out.Bytes())
	out.Reset()
	require.NoError(t, printJSON(&out, scale.Result{}))
	recorded.Compare(t, "scale_empty.json", out.Bytes())
	out.Reset()
	require.NoError(t, printJSON(&out, filled[map[string]bench.Counts]()))
	recorded.Compare(t, "bench_path.json", out.Bytes())
	out.Reset()
	require.NoError(t, printJSON(&out, filled[bench.Baseline]()))
	recorded.Compare(t, "bench_baseline.json", out.Bytes())
}

func TestRecordedConfigCommands(t *testing.T) {
	settings, err := os.ReadFile("../../internal/operatorconfig/cuefile/testdata/every_field.cue")
	require.NoError(t, err)
	home, err := filepath.Abs(".")
	require.NoError(t, err)
	t.Chdir(t.TempDir())
	require.NoError(t, os.WriteFile("every_field.cue", settings, 0o600))
	require.NoError(t, os.WriteFile("bad.cue", []byte("membership: max_out: 2\nconsul: {\n\tnope: 1\n\twait_ms: 1\n}"),
		0o600))
	type call struct {
		file string
		args []string
	}
	var results []string
	calls := []call{
		{"config_check.json", []string{"config", "check", "--json", "every_field.cue"}},
		{"config_check_bad.json", []string{"config", "check", "--json", "bad.cue"}},
		{"config_build.json", []string{"config", "build", "every_field.cue"}},
		{"config_print.cue", []string{"config", "print", "every_field.cue"}},
	}
	for _, c := range calls {
		code, out, errs := runCommand(c.args...)
		results = append(results, fmt.Sprintf("exit code %d\n%s%s", code, out, errs))
	}
	t.Chdir(home)
	for i, c := range calls {
		recorded.Compare(t, c.file, []byte(results[i]))
	}
}

func TestRecordedListAndCounters(t *testing.T) {
	dir, err := os.MkdirTemp("", "bc") // t.TempDir() may exceed the maximum length of a socket path
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	statuses := filled[[]source.EngineStatus]()
	path := filepath.Join(dir, "s")
	socket, err := admin.Listen(path, map[string]admin.Command{
		"list":     func() (any, error) { return statuses, nil },
		"counters": func() (any, error) { return map[string]int64{"served": 7, "answers": 8, "zero": 0}, nil },
	})
	require.NoError(t, err)
	t.Cleanup(socket.Close)
	started := 1700000000500 * time.Millisecond
	file := filepath.Join(dir, "engines.list")
	require.NoError(t, os.WriteFile(file, endpointcache.Encode([]discovery.Endpoint{
		{Key: "n/e1", Addr: "10.0.0.1:1", Passing: true, Zone: "a", Kind: "std-12", Cell: 3, Weight: 1.5, StartedAt: started},
		{Key: "n/e2", Addr: "10.0.0.2:1", Passing: true, Drain: true},
		{Key: "n/e3", Addr: "[2001:db8::1]:1"},
	}, time.Unix(1700000000, 0)), 0o600))
	empty := filepath.Join(dir, "empty.list")
	require.NoError(t, os.WriteFile(empty, endpointcache.Encode(nil, time.Unix(1700000000, 0)), 0o600))

	for _, c := range []struct {
		file string
		args []string
	}{
		{"list_show_socket.json", []string{"list", "show", "--json", "--socket", path}},
		{"list_show_file.json", []string{"list", "show", "--json", "--file", file}},
		{"list_show_empty.json", []string{"list", "show", "--json", "--file", empty}},
		{"counters.json", []string{"counters", "--json", "--socket", path}},
		{"counters.txt", []string{"counters", "--socket", path}},
	} {
		code, out, errs := runCommand(c.args...)
		recorded.Compare(t, c.file, fmt.Appendf(nil, "exit code %d\n%s%s", code, out, errs))
	}
}

func TestRecordedScalePage(t *testing.T) {
	code, out, errs := runCommand("scale", "page", "--check", "--page", "../../docs/CAPACITY.md", "--recordings",
		"../../bench/scale")
	recorded.Compare(t, "scale_page_check.txt", fmt.Appendf(nil, "exit code %d\n%s%s", code, out, errs))
}
