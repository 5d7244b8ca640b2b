package consul

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"beechcart/decision/discovery"
)

// Kinds of places in a service instance that can hold a field of an engine.
const (
	placeMeta       = "meta"
	placeNodeMeta   = "node_meta"
	placeTag        = "tag"
	placeDatacenter = "datacenter"
)

// Check IDs of Consul's maintenance mode. The service's ID is appended to serviceMaintenance.
const (
	nodeMaintenance    = "_node_maintenance"
	serviceMaintenance = "_service_maintenance:"
)

// Check statuses with which an instance passes. Any other status (critical, or one of a later version of Consul) means
// that the instance fails.
const (
	checkPassing = "passing"
	checkWarning = "warning"
)

// maxStartedMs bounds the start time of an engine, in Unix milliseconds.
const maxStartedMs = 1 << 52

// Mapping names the place in a service instance that holds each field of an engine. A place is "meta:KEY",
// "node_meta:KEY", "tag:PREFIX" (the rest of the first tag with that prefix), "datacenter" or "" (no place).
type Mapping struct {
	Zone, Kind, Cell, Weight, Mark, Started string

	DrainTag  string // an engine with this tag drains
	DrainMeta string // an engine whose meta has this key, with any value but "", "0", "false" or "no", drains
}

// DefaultMapping returns the Mapping that applies where the settings name no other places.
func DefaultMapping() Mapping {
	return Mapping{
		Zone: "meta:zone", Kind: "meta:kind", Cell: "meta:cell", Mark: "meta:start", Started: "meta:started_ms",
		DrainTag: "draining", DrainMeta: "draining",
	}
}

// Check returns an error that names the first field whose place is invalid.
func (m Mapping) Check() error {
	for _, field := range []struct{ name, place string }{
		{"zone", m.Zone}, {"kind", m.Kind}, {"cell", m.Cell}, {"weight", m.Weight}, {"mark", m.Mark}, {"started", m.Started},
	} {
		if !isPlace(field.place) {
			return fmt.Errorf(`%s: found %q, must be "meta:KEY", "node_meta:KEY", "tag:PREFIX", "datacenter" or ""`,
				field.name, field.place)
		}
	}
	return nil
}

func isPlace(place string) bool {
	if place == "" || place == placeDatacenter {
		return true
	}
	kind, key, _ := strings.Cut(place, ":")
	return (kind == placeMeta || kind == placeNodeMeta || kind == placeTag) && key != ""
}

// endpoint decodes one instance. The strings of the result are copies, because they outlive the decoder's buffer.
func (m *Mapping) endpoint(instance *fastjson.Value) (discovery.Endpoint, error) {
	node, service := instance.Get("Node"), instance.Get("Service")
	if node.GetStringBytes("Node") == nil || service.GetStringBytes("ID") == nil {
		return discovery.Endpoint{}, errMalformed
	}
	id := string(service.GetStringBytes("ID"))
	host := string(service.GetStringBytes("Address"))
	if host == "" {
		host = string(node.GetStringBytes("Address"))
	}
	e := discovery.Endpoint{
		Key:         string(node.GetStringBytes("Node")) + "/" + id,
		Addr:        net.JoinHostPort(host, strconv.Itoa(service.GetInt("Port"))),
		Zone:        m.find(m.Zone, instance),
		Kind:        m.find(m.Kind, instance),
		Incarnation: m.find(m.Mark, instance),
		CreateIndex: service.GetUint64("CreateIndex"),
		ModifyIndex: service.GetUint64("ModifyIndex"),
		Weight:      1,
		Passing:     true,
	}
	e.Cell, _ = strconv.Atoi(m.find(m.Cell, instance))
	if ms, err := strconv.ParseInt(m.find(m.Started, instance), 10, 64); err == nil && ms > 0 && ms < maxStartedMs {
		e.StartedAt = time.Duration(ms) * time.Millisecond
	}
	weight := "Passing"
	if applyChecks(&e, instance.GetArray("Checks"), id) {
		weight = "Warning"
	}
	if service.Exists("Weights") {
		e.Weight = service.GetFloat64("Weights", weight)
	}
	if w, err := strconv.ParseFloat(m.find(m.Weight, instance), 64); err == nil {
		e.Weight = w
	}
	e.Drain = e.Drain || m.drains(service)
	return e, nil
}

// applyChecks sets the fields of e that depend on the instance's checks, and reports whether a check has the status
// warning.
func applyChecks(e *discovery.Endpoint, checks []*fastjson.Value, serviceID string) (warning bool) {
	for _, c := range checks {
		check := string(c.GetStringBytes("CheckID"))
		switch status := string(c.GetStringBytes("Status")); {
		case check == nodeMaintenance, check == serviceMaintenance+serviceID:
			e.Drain = true
		case status == checkPassing:
		case status == checkWarning:
			warning = true
		default:
			e.Passing = false
		}
	}
	return warning
}

// drains reports whether a tag or a meta key of the service marks the instance as draining.
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

// find returns the field at a place; empty if the instance does not have it.
func (m *Mapping) find(place string, instance *fastjson.Value) string {
	kind, key, _ := strings.Cut(place, ":")
	switch kind {
	case placeMeta:
		return string(instance.GetStringBytes("Service", "Meta", key))
	case placeNodeMeta:
		return string(instance.GetStringBytes("Node", "Meta", key))
	case placeDatacenter:
		return string(instance.GetStringBytes("Node", "Datacenter"))
	case placeTag:
		for _, t := range instance.GetArray("Service", "Tags") {
			if rest, ok := strings.CutPrefix(string(t.GetStringBytes()), key); ok {
				return rest
			}
		}
	}
	return ""
}
