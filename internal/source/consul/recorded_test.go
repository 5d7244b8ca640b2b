package consul

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"beechcart/decision/discovery"
	"beechcart/internal/recorded"
)

// catalogueResponse returns a response with every combination of addresses, checks and service fields.
func catalogueResponse() string {
	var list []string
	n := 0
	for _, address := range []string{"", "10.9.9.9", "::1"} {
		for _, checks := range []string{`[]`, `null`,
			`[{"CheckID":"serfHealth","Status":"passing"},{"CheckID":"c","Status":"warning"}]`,
			`[{"CheckID":"c","Status":"critical"},{"CheckID":"d","Status":"warning"}]`, `[{"CheckID":"c","Status":"resting"}]`,
			`[{"CheckID":"_node_maintenance","Status":"critical"}]`,
			`[{"CheckID":"_service_maintenance:e%d","Status":"critical"}]`,
			`[{"CheckID":"_service_maintenance:other","Status":"critical"}]`} {
			for _, service := range []string{`"Tags":["a","draining"],"Weights":{"Passing":10,"Warning":1},
				"Meta":{"zone":"z","kind":"k","cell":"4","start":"p","started_ms":"1500"}`,
				`"Tags":["room=b"],"Weights":{"Passing":0.25,"Warning":0},
				"Meta":{"draining":"Yes","cell":"x","started_ms":"-4","rate":"7.5"}`,
				`"Tags":null,"Meta":{"draining":"No","started_ms":"9999999999999999999","rate":"NaN"}`} {
				n++
				if strings.Contains(checks, "%d") {
					checks = fmt.Sprintf(checks, n)
				}
				list = append(list, fmt.Sprintf(`{"Node":{"Node":"n%d","Address":"10.0.0.%d","Datacenter":"dc%d",
					"Meta":{"rack":"r]%d"}},
					"Service":{"ID":"e%d","Address":%q,"Port":%d,%s,"CreateIndex":%d,"ModifyIndex":%d},"Checks":%s}`,
					n/2, n%250, n%3, n, n, address, 8000+n, service, 100+n, 200+n, checks))
			}
		}
	}
	return "[ " + strings.Join(list, " ,\n") + "]\n"
}

// Compares the endpoints that a response is decoded to, under each of two mappings, with the recorded ones.
func TestRecordedEndpoints(t *testing.T) {
	other := DefaultMapping()
	other.Zone, other.Kind, other.Cell, other.Weight, other.Mark = "node_meta:rack", "tag:room=", "", "meta:rate",
		"datacenter"
	other.DrainTag, other.DrainMeta = "room=b", ""
	text := []byte(catalogueResponse())
	var out bytes.Buffer
	for i, mapping := range []Mapping{DefaultMapping(), other} {
		d := newDecoder(mapping)
		for begin := 0; begin < len(text); begin += 100 {
			if _, err := d.Write(text[begin:min(begin+100, len(text))]); err != nil {
				t.Fatal(err)
			}
		}
		list, err := d.finish()
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list {
			writeEntry(&out, i, e)
		}
	}
	recorded.Compare(t, "endpoints", out.Bytes())
}

func writeEntry(out *bytes.Buffer, mapping int, e discovery.Endpoint) {
	fmt.Fprintf(out, "%d %q %q %q %q %d %x %d %d %q %d %t %t\n", mapping, e.Key, e.Addr, e.Zone, e.Kind, e.Cell,
		math.Float64bits(e.Weight), e.CreateIndex, e.ModifyIndex, e.Incarnation, e.StartedAt.Nanoseconds(), e.Drain,
		e.Passing)
}

// instanceWith returns a response with one instance, which has an additional field with the given value.
func instanceWith(value string) string {
	return `[{"Node":{"Node":"n","Address":"10.0.0.1"},"Service":{"ID":"e","Port":1},"More":` + value + `}]`
}

// Compares with the recording which responses are accepted and which are rejected.
func TestRecordedLimits(t *testing.T) {
	nested := func(n int) string { return strings.Repeat(`{"a":`, n) + "1" + strings.Repeat("}", n) }
	longString := func(n int) string { return `"` + strings.Repeat("x", n) + `"` }
	var out strings.Builder
	for i, text := range []string{``, `{}`, `[`, `[]`, `[1]`, `[{}]`, `[{"Node":{"Node":"n"},"Service":{}}]`, `[]x`,
		`[{"Node":nope}]`,
		instanceWith(`1`), instanceWith(`1`) + "x", strings.Replace(instanceWith(`1`), "}]", "},]", 1),
		instanceWith(nested(31)),
		instanceWith(nested(32)), instanceWith(longString(1<<20 - 100)), instanceWith(longString(1 << 20))} {
		d := newDecoder(DefaultMapping())
		_, err := d.Write([]byte(text))
		list := []discovery.Endpoint(nil)
		if err == nil {
			list, err = d.finish()
		}
		fmt.Fprintln(&out, i, err == nil, len(list))
	}
	recorded.Compare(t, "limits", []byte(out.String()))
}
