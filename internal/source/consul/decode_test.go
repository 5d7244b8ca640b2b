package consul

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/decision/discovery"
	"beechcart/decision/poll"
)

const instance = `{"Node":{"ID":"4-f","Node":"foobar","Address":"10.1.10.12","Datacenter":"dc1","Meta":{"rack":"r\"}7"}},
"Service":{"ID":"e1","Service":"engine","Tags":["primary","room=b"],"Address":"","Port":8000,"Weights":{"Passing":10,"Warning":1},
"Meta":{"zone":"a","kind":"std","cell":"3","start":"p1","started_ms":"1500"},"CreateIndex":12,"ModifyIndex":14},
"Checks":[{"Node":"foobar","CheckID":"serfHealth","Status":"passing","ServiceID":""},
{"Node":"foobar","CheckID":"service:e1","Status":"%s","Output":"]},{","ServiceID":"e1"}]}`

func decode(t *testing.T, m Mapping, text string) []discovery.Endpoint {
	d := newDecoder(m)
	_, err := d.Write([]byte(text))
	require.NoError(t, err)
	list, err := d.finish()
	require.NoError(t, err)
	return list
}

func TestDecode(t *testing.T) {
	want := discovery.Endpoint{Key: "foobar/e1", Addr: "10.1.10.12:8000", Zone: "a", Kind: "std", Cell: 3, Weight: 10, CreateIndex: 12,
		ModifyIndex: 14, Incarnation: "p1", StartedAt: 1500 * time.Millisecond, Passing: true}
	text := "[\n" + fmt.Sprintf(instance, "passing") + ", " + fmt.Sprintf(instance, "passing") + " ]\n"
	assert.Equal(t, []discovery.Endpoint{want, want}, decode(t, DefaultMapping(), text))
	assert.Empty(t, decode(t, DefaultMapping(), " [ ] "))

	// Split at every byte, the answer reads the same.
	for i := range text {
		d := newDecoder(DefaultMapping())
		for _, p := range []string{text[:i], text[i:]} {
			_, err := d.Write([]byte(p))
			require.NoError(t, err)
		}
		list, err := d.finish()
		require.NoError(t, err)
		require.Equal(t, []discovery.Endpoint{want, want}, list, i)
	}
}

func TestMapping(t *testing.T) {
	for name, k := range map[string]struct {
		status, from, to string // a replacement in the instance
		mapping          func(*Mapping)
		check            func(t *testing.T, e discovery.Endpoint)
	}{
		"own address": {"passing", `"Address":"","Port"`, `"Address":"10.9.9.9","Port"`, nil, func(t *testing.T, e discovery.Endpoint) { assert.Equal(t, "10.9.9.9:8000", e.Addr) }},
		"ipv6":        {"passing", `"Address":"","Port"`, `"Address":"::1","Port"`, nil, func(t *testing.T, e discovery.Endpoint) { assert.Equal(t, "[::1]:8000", e.Addr) }},
		"warning": {"warning", "", "", nil, func(t *testing.T, e discovery.Endpoint) {
			assert.True(t, e.Passing)
			assert.EqualValues(t, 1, e.Weight)
		}},
		"critical":     {"critical", "", "", nil, func(t *testing.T, e discovery.Endpoint) { assert.False(t, e.Passing) }},
		"later status": {"resting", "", "", nil, func(t *testing.T, e discovery.Endpoint) { assert.False(t, e.Passing) }},
		"service maintenance": {"passing", `"serfHealth","Status":"passing"`, `"_service_maintenance:e1","Status":"critical"`, nil,
			func(t *testing.T, e discovery.Endpoint) { assert.True(t, e.Drain); assert.True(t, e.Passing) }},
		"another's maintenance": {"passing", `"serfHealth","Status":"passing"`, `"_service_maintenance:e2","Status":"critical"`, nil,
			func(t *testing.T, e discovery.Endpoint) { assert.False(t, e.Drain) }},
		"node maintenance": {"passing", `"serfHealth","Status":"passing"`, `"_node_maintenance","Status":"critical"`, nil,
			func(t *testing.T, e discovery.Endpoint) { assert.True(t, e.Drain) }},
		"drain tag":       {"passing", `"primary"`, `"draining"`, nil, func(t *testing.T, e discovery.Endpoint) { assert.True(t, e.Drain) }},
		"drain meta":      {"passing", `"zone":"a"`, `"draining":"yes"`, nil, func(t *testing.T, e discovery.Endpoint) { assert.True(t, e.Drain) }},
		"drain meta, off": {"passing", `"zone":"a"`, `"draining":"False"`, nil, func(t *testing.T, e discovery.Endpoint) { assert.False(t, e.Drain) }},
		"places": {"passing", "", "", func(m *Mapping) {
			m.Zone, m.Kind, m.Mark, m.Weight = "tag:room=", "node_meta:rack", "datacenter", "meta:cell"
		},
			func(t *testing.T, e discovery.Endpoint) {
				assert.Equal(t, []any{"b", `r"}7`, "dc1", 3.0}, []any{e.Zone, e.Kind, e.Incarnation, e.Weight})
			}},
	} {
		t.Run(name, func(t *testing.T) {
			m := DefaultMapping()
			if k.mapping != nil {
				k.mapping(&m)
			}
			text := fmt.Sprintf(instance, k.status)
			require.Contains(t, text, k.from)
			k.check(t, decode(t, m, "["+strings.Replace(text, k.from, k.to, 1)+"]")[0])
		})
	}
	assert.ErrorContains(t, Mapping{Zone: "meta:"}.Check(), "zone")
	assert.ErrorContains(t, Mapping{Cell: "room"}.Check(), `cell: "room" is none of`)
}

// Guards against an answer that is used in part, or that takes all memory.
func TestDecodeMalformed(t *testing.T) {
	one := fmt.Sprintf(instance, "passing")
	for _, text := range []string{"", "{}", "null", "[", "[" + one, "[" + one + ",", "[" + one + ",]", "[" + one + one + "]", "[]x", "[1]",
		`[{}]`, `[{"Node":{"Node":"a"},"Service":{}}]`, `[{"Node":{"Node":"a"}]`, `[{"Node":"` + strings.Repeat("x", mostElement+1),
		"[" + strings.Repeat(`{"a":`, 50), "<html>"} {
		d := newDecoder(DefaultMapping())
		_, err := d.Write([]byte(text))
		if err == nil {
			_, err = d.finish()
		}
		assert.Error(t, err, text[:min(len(text), 60)])
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("["+fmt.Sprintf(instance, "passing")+"]"), 7)
	f.Add([]byte(`[{"Node":{"Node":"a"},"Service":{"ID":"b","Port":1}}]`), 0)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		read := func(parts ...[]byte) ([]discovery.Endpoint, error) {
			d := newDecoder(DefaultMapping())
			for _, p := range parts {
				if _, err := d.Write(bytes.Clone(p)); err != nil {
					return nil, err
				}
			}
			return d.finish()
		}
		cut = max(0, min(cut, len(text)))
		whole, err := read(text)
		split, err2 := read(text[:cut], text[cut:])
		require.Equal(t, err == nil, err2 == nil)
		require.Equal(t, fmt.Sprint(whole), fmt.Sprint(split))
		if err == nil {
			s, err := discovery.New(discovery.Defaults())
			require.NoError(t, err)
			s.Observe(time.Hour, discovery.Observation{Index: 5, HasLeader: true, Endpoints: whole})
		}
	})
}

func TestPath(t *testing.T) {
	o := Options{Service: "en/gine", Datacenter: "dc1", Namespace: "ns", Tag: "a b", Filter: `"x" in Service.Tags`, Passing: true, Consistency: "stale"}
	assert.Equal(t, "/v1/health/service/en%2Fgine?dc=dc1&filter=%22x%22+in+Service.Tags&index=7&ns=ns&tag=a+b&wait=1500ms&passing&stale",
		o.path(poll.Request{Index: 7, Wait: 1500 * time.Millisecond}))
	assert.Equal(t, "/v1/health/service/e?", (&Options{Service: "e", Consistency: "default"}).path(poll.Request{}))
}

func TestAddresses(t *testing.T) {
	for text, want := range map[string]address{
		"127.0.0.1:8500": {"127.0.0.1:8500", false}, "http://consul:8500/": {"consul:8500", false},
		"https://[::1]:8501": {"[::1]:8501", true},
	} {
		got, err := parseAddress(text)
		require.NoError(t, err, text)
		assert.Equal(t, want, got)
	}
	for _, text := range []string{"", "consul", "consul:", ":8500", "consul:x", "consul:99999", "https://"} {
		_, err := parseAddress(text)
		assert.Error(t, err, text)
	}
}
