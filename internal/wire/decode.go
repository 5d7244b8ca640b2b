package wire

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"beechcart/admission"
	"beechcart/internal/platformconfig"
)

// The field stats packs two values: the work of an attempt in milliseconds, multiplied by statsScale, plus the memory
// that the attempt used in units of memoryUnitMB.
const (
	statsScale   = 4096
	memoryUnitMB = 4
)

// unknown is the value of a number that a message does not contain.
const unknown = -1

// decode converts a message to an event. The event is nil if the name of the message is unknown.
func (s *server) decode(g *gateway, m message) (admission.Event, error) {
	r := &fieldReader{message: m}
	var event admission.Event
	switch m.name {
	case "endpoints":
		event = s.decodeEndpoints(g, r)
	case "work_item":
		event = decodeRequest(g, r)
	case "established":
		event = admission.FirstByte{ID: r.text("ticket"), Attempt: r.attempt(), Engine: r.engine()}
	case "response":
		event = decodeOutcome(r)
	case "cancelled_by_client":
		event = admission.ClientDisconnected{ID: r.text("ticket")}
	case "deadline_hit":
		event = admission.Timer{Token: uint64(r.number("nonce"))}
	case "ping_result":
		event = admission.HealthCheckResult{
			Engine: r.engine(), Status: r.status(), Latency: r.latency(), Report: r.loadReport(),
		}
	case "memo":
		event = decodeGossip(r)
	case "heartbeat":
		event = admission.Progress{
			ID: r.text("ticket"), Attempt: r.attempt(), Engine: r.engine(),
			Kind: admission.ProgressKind(r.number("topic")), Value: r.float("level"),
		}
	}
	return event, r.err
}

func (r *fieldReader) attempt() int { return int(r.number("go")) }

func (r *fieldReader) latency() time.Duration { return time.Duration(r.optionalNumber("wait_time")) }

func (r *fieldReader) engine() uint32 {
	n := r.number("engine")
	if n < 0 || n > math.MaxUint32 {
		r.fail(fmt.Errorf("%s: field engine: %d is out of range", r.name, n))
	}
	return uint32(n)
}

func (r *fieldReader) status() admission.Status {
	n := r.number("ending")
	if n < 0 || n > int64(admission.NotSent) {
		r.fail(fmt.Errorf("%s: field ending: %d is not an outcome", r.name, n))
	}
	return admission.Status(n)
}

// loadReport reads a load report. It returns nil if the message contains none.
func (r *fieldReader) loadReport() *admission.Report {
	v := r.get("gauge")
	if v == "" || v == noValue {
		return nil
	}
	report := &admission.Report{InFlight: unknown, Queued: unknown, Utilization: unknown, MemoryUtilization: unknown,
		DiskUtilization: unknown}
	for _, pair := range strings.Split(v, ",") {
		name, value, ok := strings.Cut(pair, ":")
		f, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			r.fail(fmt.Errorf("%s: field gauge: bad pair %q", r.name, truncate(pair)))
			return nil
		}
		switch name {
		case "outstanding":
			report.InFlight = f
		case "backlog":
			report.Queued = f
		case "utilization":
			report.Utilization = f
		case "x0":
			report.MemoryUtilization = f
		case "x1":
			report.DiskUtilization = f
		}
	}
	return report
}

// decodeOutcome reads the outcome of an attempt.
func decodeOutcome(r *fieldReader) admission.Outcome {
	o := admission.Outcome{
		ID:      r.text("ticket"),
		Attempt: r.attempt(),
		Engine:  r.engine(),
		Status:  r.status(),
		Latency: r.latency(),
		Closed:  r.optionalNumber("terminal") == 1,
		Report:  r.loadReport(),
	}
	if stats := r.optionalNumber("stats"); stats > 0 {
		o.Work = time.Duration(stats/statsScale) * time.Millisecond
		o.MemoryMB = float64(stats%statsScale) * memoryUnitMB
	}
	return o
}

func decodeGossip(r *fieldReader) admission.GossipReceived {
	g := admission.GossipReceived{From: int(r.number("src_peer"))}
	if data := r.get("data"); data != noValue {
		var err error
		if g.Data, err = hex.DecodeString(data); err != nil {
			r.fail(fmt.Errorf("memo: field data: %w", err))
		}
	}
	return g
}

func decodeRequest(g *gateway, r *fieldReader) admission.Request {
	name := r.text("band")
	class, known := g.names.Classes[name]
	if !known {
		r.fail(fmt.Errorf("work_item: field band: %q is not in the settings", truncate(name)))
	}
	req := admission.Request{
		ID:         r.text("ticket"),
		Class:      class,
		Tenant:     platformconfig.IndexOf(g.names.Tenants, r.get("org")),
		Key:        r.get("order_key"),
		Timeout:    time.Duration(r.number("patience_left")),
		Work:       time.Duration(r.optionalNumber("est_cost")),
		MemoryMB:   r.float("mem_mb"),
		TableGroup: unknown,
		Retry:      r.optionalNumber("repeat") == 1,
		Write:      r.optionalNumber("update") == 1,
	}
	if r.get("source_set") != "" {
		req.TableGroup = int(r.float("source_set"))
	}
	return req
}

var listKinds = map[string]admission.ListKind{
	"Complete":  admission.Complete,
	"Partial":   admission.Partial,
	"Persisted": admission.Persisted,
	"Error":     admission.ListError,
}

// decodeEndpoints reads a change of the endpoint list. Except for ListError, the message refers to a catalog.
func (s *server) decodeEndpoints(g *gateway, r *fieldReader) admission.Event {
	scope := r.text("scope")
	kind, known := listKinds[scope]
	if !known {
		r.fail(fmt.Errorf("endpoints: field scope: %q is not known", truncate(scope)))
		return nil
	}
	changed := admission.EndpointsChanged{Kind: kind}
	if kind == admission.ListError {
		return changed
	}
	id := int(r.number("roster_id"))
	list, known := s.catalogs[id]
	if !known {
		r.fail(fmt.Errorf("endpoints: field roster_id: no catalog %d", id))
	}
	for _, fields := range list {
		changed.Engines = append(changed.Engines, decodeEngine(g, r, fields))
	}
	return changed
}

// decodeEngine reads one engine of a catalog. An error is recorded in changed, the reader of the message that refers to
// the catalog.
func decodeEngine(g *gateway, changed *fieldReader, fields map[string]string) admission.Engine {
	r := &fieldReader{message: message{name: "engine", fields: fields}}
	e := admission.Engine{
		ID:      r.engine(),
		Kind:    platformconfig.IndexOf(g.names.Kinds, fields["shape"]),
		Zone:    platformconfig.IndexOf(g.names.Zones, fields["rack_zone"]),
		Cell:    int(r.optionalNumber("cell")),
		Units:   r.float("units"),
		Started: time.Duration(r.optionalNumber("last_start")),
	}
	switch fields["state"] {
	case "in_service":
	case "terminating":
		e.State = admission.Draining
	case "terminated":
		e.State = admission.Removed
	default:
		r.fail(fmt.Errorf("engine: field state: %q is not known", truncate(fields["state"])))
	}
	if r.err != nil {
		changed.fail(r.err)
	}
	return e
}
