package platformconfig_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"beechcart/internal/recorded"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"

	"beechcart/internal/platformconfig"
)

const everyField = "testdata/every_field.json"

// leaves returns every number and string in v, without field names. Zero values are omitted, so that a field may move
// into another struct. The result is sorted, so that fields may change their order.
func leaves(v reflect.Value) (list []string) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			list = leaves(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			list = append(list, leaves(v.Field(i))...)
		}
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return []string{string(v.Bytes())}
		}
		for i := range v.Len() {
			list = append(list, "["+strings.Join(leaves(v.Index(i)), " ")+"]")
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			list = append(list, fmt.Sprintf("%s:%d", key.String(), v.MapIndex(key).Int()))
		}
	case reflect.String:
		if v.Len() > 0 {
			list = []string{strconv.Quote(v.String())}
		}
	case reflect.Bool: // omitted: the effect of a boolean shows on the simulator's wire
	case reflect.Float64:
		if v.Float() != 0 {
			list = []string{strconv.FormatFloat(v.Float(), 'g', -1, 64)}
		}
	case reflect.Uint64:
		list = []string{strconv.FormatUint(v.Uint(), 10)}
	default:
		if v.Int() != 0 {
			list = []string{strconv.FormatInt(v.Int(), 10)}
		}
	}
	slices.Sort(list)
	return list
}

func listing(c *platformconfig.Config) string {
	return strings.Join(leaves(reflect.ValueOf(c)), "\n") + "\n"
}

func env(values map[string]string) func(string) string {
	return func(key string) string { return values[key] }
}

func TestRecordedConfig(t *testing.T) {
	c, err := platformconfig.Load(everyField, env(nil))
	require.NoError(t, err)
	require.NoError(t, c.Check())
	recorded.Compare(t, "every_field.txt", []byte(listing(c)))
	c, err = platformconfig.Load(everyField, env(map[string]string{"PROXY_NAME": "other", "PROXY_LISTEN": "127.0.0.1:9"}))
	require.NoError(t, err)
	recorded.Compare(t, "environment.txt", []byte(listing(c)))
	path := filepath.Join(t.TempDir(), "c.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"listen":"a:1","settings":{}}`), 0o600))
	c, err = platformconfig.Load(path, env(nil))
	require.NoError(t, err)
	recorded.Compare(t, "defaults.txt", []byte(listing(c)))
}

// paths returns the paths of all values, objects included, in the order of the keys. Of a list, it includes only the
// first element.
func paths(v *fastjson.Value, prefix []string) (all [][]string) {
	var keys []string
	if object, err := v.Object(); err == nil {
		object.Visit(func(key []byte, _ *fastjson.Value) { keys = append(keys, string(key)) })
		slices.Sort(keys)
	} else if list, err := v.Array(); err == nil && len(list) > 0 {
		keys = []string{"0"}
	}
	for _, key := range keys {
		path := append(slices.Clone(prefix), key)
		all = append(all, path)
		if key == "known" { // passed on without decoding
			continue
		}
		all = append(all, paths(v.Get(key), path)...)
	}
	return all
}

// TestRecordedBadValues replaces each value in turn with values of other types and ranges, and compares the resulting
// errors with the recording.
func TestRecordedBadValues(t *testing.T) {
	text, err := os.ReadFile(everyField)
	require.NoError(t, err)
	document, err := fastjson.ParseBytes(text)
	require.NoError(t, err)
	workDir, err := filepath.Abs(".")
	require.NoError(t, err)
	t.Chdir(t.TempDir())
	var b strings.Builder
	for _, path := range paths(document, nil) {
		for _, bad := range []string{`null`, `{"no":1}`, `[]`, `["x"]`, `-1`, `0.5`, `true`, `"x"`} {
			changed := fastjson.MustParse(string(text))
			changed.Get(path[:len(path)-1]...).Set(path[len(path)-1], fastjson.MustParse(bad))
			require.NoError(t, os.WriteFile("c.json", changed.MarshalTo(nil), 0o600))
			c, err := platformconfig.Load("c.json", env(nil))
			if err == nil {
				err = c.Check()
			}
			fmt.Fprintf(&b, "%s\t%s\t%v\n", strings.Join(path, "."), bad, err)
		}
	}
	for _, bad := range []string{``, `[`, `[]`, `{"seed":"x"}`} {
		require.NoError(t, os.WriteFile("c.json", []byte(bad), 0o600))
		_, err := platformconfig.Load("c.json", env(nil))
		fmt.Fprintf(&b, "whole file\t%s\t%v\n", bad, err)
	}
	for _, path := range []string{"", "none.json"} {
		_, err := platformconfig.Load(path, env(nil))
		fmt.Fprintf(&b, "file %q\t%v\n", path, err)
	}
	t.Chdir(workDir)
	recorded.Compare(t, "bad_values.txt", []byte(b.String()))
}
