package consul

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"beechcart/decision/discovery"
)

// The bounds of one answer.
const (
	mostElement  = 1 << 20
	mostElements = 100_000
	mostDepth    = 32
)

var errShape = errors.New("consul: the answer is not a list of service instances")

// Mapping tells where the fields of an engine stand in a service instance. A place is "meta:KEY", "node_meta:KEY",
// "tag:PREFIX" (the rest of the first tag with that prefix), "datacenter" or "" (nowhere).
type Mapping struct {
	Zone, Kind, Cell, Weight, Mark, Started string

	DrainTag  string // an engine with this tag drains
	DrainMeta string // an engine whose meta has this key, with any value but "", "0", "false" or "no", drains
}

// DefaultMapping is in force where nothing else is set.
func DefaultMapping() Mapping {
	return Mapping{Zone: "meta:zone", Kind: "meta:kind", Cell: "meta:cell", Mark: "meta:start", Started: "meta:started_ms",
		DrainTag: "draining", DrainMeta: "draining"}
}

// Check names the first place that can't be one.
func (m Mapping) Check() error {
	for _, p := range [][2]string{{"zone", m.Zone}, {"kind", m.Kind}, {"cell", m.Cell}, {"weight", m.Weight},
		{"mark", m.Mark}, {"started", m.Started}} {
		where, key, _ := strings.Cut(p[1], ":")
		switch {
		case p[1] == "" || p[1] == "datacenter":
		case (where == "meta" || where == "node_meta" || where == "tag") && key != "":
		default:
			return fmt.Errorf(`%s: %q is none of "meta:KEY", "node_meta:KEY", "tag:PREFIX", "datacenter", ""`, p[0], p[1])
		}
	}
	return nil
}

// decoder reads the answer of /v1/health/service/NAME as it comes. It holds one element of the list at a time, so a
// list of thousands of engines with much metadata costs the memory of one.
type decoder struct {
	mapping Mapping
	parser  fastjson.Parser
	element []byte
	state   int // 0: before the list, 1: before an element, 2: in one, 3: after one, 4: after the list
	depth   int
	quoted  bool
	escaped bool
	list    []discovery.Endpoint
}

func newDecoder(m Mapping) *decoder { return &decoder{mapping: m} }

// Write takes a piece of the answer.
func (d *decoder) Write(p []byte) (int, error) {
	begin := 0 // of the piece of an element within p
	for i, c := range p {
		if d.state == 2 {
			done, err := d.inside(c)
			if err != nil {
				return 0, err
			}
			if done {
				d.element = append(d.element, p[begin:i+1]...)
				if err := d.take(); err != nil {
					return 0, err
				}
				d.state = 3
			}
			continue
		}
		if c == ' ' || c == '\n' || c == '\r' || c == '\t' {
			continue
		}
		switch {
		case d.state == 0 && c == '[':
			d.state = 1
		case (d.state == 1 || d.state == 3) && c == ']' && (d.state == 3 || len(d.list) == 0):
			d.state = 4
		case d.state == 3 && c == ',':
			d.state = 1
		case d.state == 1 && c == '{':
			d.state, d.depth, begin = 2, 1, i
		default:
			return 0, errShape
		}
	}
	if d.state == 2 {
		if d.element = append(d.element, p[begin:]...); len(d.element) > mostElement {
			return 0, fmt.Errorf("consul: an instance has more than %d bytes", mostElement)
		}
	}
	return len(p), nil
}

// inside follows one byte of an element; true at its end. What is inside is left to the parser.
func (d *decoder) inside(c byte) (bool, error) {
	switch {
	case d.escaped:
		d.escaped = false
	case d.quoted:
		d.escaped, d.quoted = c == '\\', c != '"'
	case c == '"':
		d.quoted = true
	case c == '{' || c == '[':
		if d.depth++; d.depth > mostDepth {
			return false, errShape
		}
	case c == '}' || c == ']':
		d.depth--
		return d.depth == 0, nil
	}
	return false, nil
}

func (d *decoder) take() error {
	if len(d.list) == mostElements {
		return fmt.Errorf("consul: more than %d instances", mostElements)
	}
	v, err := d.parser.ParseBytes(d.element)
	d.element = d.element[:0]
	if err != nil {
		return fmt.Errorf("consul: %w", err)
	}
	e, err := d.mapping.entry(v)
	if err != nil {
		return err
	}
	d.list = append(d.list, e)
	return nil
}

// finish returns the list once the whole answer has been written.
func (d *decoder) finish() ([]discovery.Endpoint, error) {
	if d.state != 4 {
		return nil, errShape
	}
	return d.list, nil
}

// entry reads one instance. Its strings are copies: they outlive the buffer.
func (m *Mapping) entry(v *fastjson.Value) (discovery.Endpoint, error) {
	node, service := v.Get("Node"), v.Get("Service")
	if node.GetStringBytes("Node") == nil || service.GetStringBytes("ID") == nil {
		return discovery.Endpoint{}, errShape
	}
	id := string(service.GetStringBytes("ID"))
	host := string(service.GetStringBytes("Address"))
	if host == "" {
		host = string(node.GetStringBytes("Address"))
	}
	e := discovery.Endpoint{
		Key:  string(node.GetStringBytes("Node")) + "/" + id,
		Addr: net.JoinHostPort(host, strconv.Itoa(service.GetInt("Port"))),
		Zone: m.find(m.Zone, v), Kind: m.find(m.Kind, v), Incarnation: m.find(m.Mark, v),
		CreateIndex: service.GetUint64("CreateIndex"), ModifyIndex: service.GetUint64("ModifyIndex"),
		Weight: 1, Passing: true,
	}
	e.Cell, _ = strconv.Atoi(m.find(m.Cell, v))
	if ms, err := strconv.ParseInt(m.find(m.Started, v), 10, 64); err == nil && ms > 0 && ms < 1<<52 {
		e.StartedAt = time.Duration(ms) * time.Millisecond
	}
	warning := false
	for _, c := range v.GetArray("Checks") {
		check := string(c.GetStringBytes("CheckID"))
		switch status := string(c.GetStringBytes("Status")); {
		case check == "_node_maintenance", check == "_service_maintenance:"+id:
			e.Drain = true
		case status == "passing":
		case status == "warning":
			warning = true
		default:
			e.Passing = false // critical, or a state of a later catalogue
		}
	}
	if place := "Passing"; service.Exists("Weights") {
		if warning {
			place = "Warning"
		}
		e.Weight = service.GetFloat64("Weights", place)
	}
	if w, err := strconv.ParseFloat(m.find(m.Weight, v), 64); err == nil {
		e.Weight = w
	}
	e.Drain = e.Drain || m.drains(service)
	return e, nil
}

func (m *Mapping) drains(service *fastjson.Value) bool {
	for _, t := range service.GetArray("Tags") {
		if tag, err := t.StringBytes(); err == nil && m.DrainTag != "" && string(tag) == m.DrainTag {
			return true
		}
	}
	if m.DrainMeta == "" {
		return false
	}
	switch strings.ToLower(string(service.GetStringBytes("Meta", m.DrainMeta))) {
	case "", "0", "false", "no":
		return false
	}
	return true
}

// find reads the field at a place; empty where there is none.
func (m *Mapping) find(place string, v *fastjson.Value) string {
	where, key, _ := strings.Cut(place, ":")
	switch where {
	case "meta":
		return string(v.GetStringBytes("Service", "Meta", key))
	case "node_meta":
		return string(v.GetStringBytes("Node", "Meta", key))
	case "datacenter":
		return string(v.GetStringBytes("Node", "Datacenter"))
	case "tag":
		for _, t := range v.GetArray("Service", "Tags") {
			if rest, ok := strings.CutPrefix(string(t.GetStringBytes()), key); ok {
				return rest
			}
		}
	}
	return ""
}
