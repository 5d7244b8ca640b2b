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

// instance is the format of a service instance. Its argument is the status of the service's check.
const instance = `{"Node":{"ID":"4-f","Node":"foobar","Address":"10.1.10.12","Datacenter":"dc1",
"Meta":{"rack":"r\"}7"}},
"Service":{"ID":"e1","Service":"engine","Tags":["primary","room=b"],"Address":"","Port":8000,
"Weights":{"Passing":10,"Warning":1},
"Meta":{"zone":"a","kind":"std","cell":"3","start":"p1","started_ms":"1500"},"CreateIndex":12,"ModifyIndex":14},
"Checks":[{"Node":"foobar","CheckID":"serfHealth","Status":"passing","ServiceID":""},
{"Node":"foobar","CheckID":"service:e1","Status":"%s","Output":"]},{","ServiceID":"e1"}]}`

// wantInstance is the endpoint that instance is decoded to with the status passing.
var wantInstance = discovery.Endpoint{
	Key: "foobar/e1", Addr: "10.1.10.12:8000", Zone: "a", Kind: "std", Cell: 3, Weight: 10, CreateIndex: 12,
	ModifyIndex: 14, Incarnation: "p1", StartedAt: 1500 * time.Millisecond, Passing: true,
}

func decode(t *testing.T, m Mapping, text string) []discovery.Endpoint {
	t.Helper()
	d := newDecoder(m)
	_, err := d.Write([]byte(text))
	require.NoError(t, err)
	list, err := d.finish()
	require.NoError(t, err)
	return list
}

func TestDecode(t *testing.T) {
	want := wantInstance
	text := "[\n" + fmt.Sprintf(instance, "passing") + ", " + fmt.Sprintf(instance, "passing") + " ]\n"
	assert.Equal(t, []discovery.Endpoint{want, want}, decode(t, DefaultMapping(), text))
	assert.Empty(t, decode(t, DefaultMapping(), " [ ] "))

	// The decoded list does not depend on where the response is split.
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
	const ownAddress = `"Address":"","Port"`
	const firstCheck = `"serfHealth","Status":"passing"`
	for name, c := range map[string]struct {
		status   string
		from, to string // a replacement in the instance
		mapping  func(m *Mapping)
		want     func(e *discovery.Endpoint) // changes a copy of wantInstance to the expected endpoint
	}{
		"own address": {"passing", ownAddress, `"Address":"10.9.9.9","Port"`, nil,
			func(e *discovery.Endpoint) { e.Addr = "10.9.9.9:8000" }},
		"ipv6": {"passing", ownAddress, `"Address":"::1","Port"`, nil,
			func(e *discovery.Endpoint) { e.Addr = "[::1]:8000" }},
		"warning":        {"warning", "", "", nil, func(e *discovery.Endpoint) { e.Weight = 1 }},
		"critical":       {"critical", "", "", nil, func(e *discovery.Endpoint) { e.Passing = false }},
		"unknown status": {"resting", "", "", nil, func(e *discovery.Endpoint) { e.Passing = false }},
		"service maintenance": {"passing", firstCheck, `"_service_maintenance:e1","Status":"critical"`, nil,
			func(e *discovery.Endpoint) { e.Drain = true }},
		"maintenance of another service": {"passing", firstCheck, `"_service_maintenance:e2","Status":"critical"`, nil,
			func(e *discovery.Endpoint) { e.Passing = false }},
		"node maintenance": {"passing", firstCheck, `"_node_maintenance","Status":"critical"`, nil,
			func(e *discovery.Endpoint) { e.Drain = true }},
		"drain tag": {"passing", `"primary"`, `"draining"`, nil, func(e *discovery.Endpoint) { e.Drain = true }},
		"drain meta": {"passing", `"zone":"a"`, `"draining":"yes"`, nil,
			func(e *discovery.Endpoint) { e.Zone, e.Drain = "", true }},
		"drain meta set to false": {"passing", `"zone":"a"`, `"draining":"False"`, nil,
			func(e *discovery.Endpoint) { e.Zone = "" }},
		"places": {"passing", "", "", func(m *Mapping) {
			m.Zone, m.Kind, m.Mark, m.Weight = "tag:room=", "node_meta:rack", "datacenter", "meta:cell"
		}, func(e *discovery.Endpoint) {
			e.Zone, e.Kind, e.Incarnation, e.Weight = "b", `r"}7`, "dc1", 3
		}},
	} {
		t.Run(name, func(t *testing.T) {
			m := DefaultMapping()
			if c.mapping != nil {
				c.mapping(&m)
			}
			text := fmt.Sprintf(instance, c.status)
			require.Contains(t, text, c.from)
			want := wantInstance
			c.want(&want)
			got := decode(t, m, "["+strings.Replace(text, c.from, c.to, 1)+"]")
			assert.Equal(t, []discovery.Endpoint{want}, got)
		})
	}
	require.ErrorContains(t, Mapping{Zone: "meta:"}.Check(), "zone")
	require.ErrorContains(t, Mapping{Cell: "room"}.Check(), `cell: found "room", must be`)
}

// A malformed response is rejected as a whole, and decoding it takes bounded memory.
func TestDecodeMalformed(t *testing.T) {
	valid := fmt.Sprintf(instance, "passing")
	for _, text := range []string{"", "{}", "null", "[", "[" + valid, "[" + valid + ",", "[" + valid + ",]",
		"[" + valid + valid + "]", "[]x", "[1]",
		`[{}]`, `[{"Node":{"Node":"a"},"Service":{}}]`, `[{"Node":{"Node":"a"}]`, `[{"Node":"` + strings.Repeat("x",
			maxElementBytes+1),
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
		complete, err := read(text)
		split, err2 := read(text[:cut], text[cut:])
		require.Equal(t, err == nil, err2 == nil)
		require.Equal(t, fmt.Sprint(complete), fmt.Sprint(split))
		if err == nil {
			s, err := discovery.New(discovery.Defaults())
			require.NoError(t, err)
			s.Observe(time.Hour, discovery.Observation{Index: 5, HasLeader: true, Endpoints: complete})
		}
	})
}

func TestPath(t *testing.T) {
	o := Options{Service: "en/gine", Datacenter: "dc1", Namespace: "ns", Tag: "a b", Filter: `"x" in Service.Tags`,
		Passing: true, Consistency: "stale"}
	assert.Equal(t, "/v1/health/service/en%2Fgine?dc=dc1&filter=%22x%22+in+Service.Tags&index=7&ns=ns&tag=a+b"+
		"&wait=1500ms&passing&stale",
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
