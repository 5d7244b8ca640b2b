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

// line is one parsed line: a message name and its pairs.
type line struct {
	op string
	kv map[string]string
}

// textFields run on to the end of their line.
var textFields = map[string]bool{"facts": true, "message": true}

func parseLine(text string) (line, error) {
	op, rest, _ := strings.Cut(text, " ")
	l := line{op: op, kv: make(map[string]string, 8)}
	for rest != "" {
		name, tail, ok := strings.Cut(rest, "=")
		if !ok || strings.Contains(name, " ") {
			return l, fmt.Errorf("%s: want name=value, got %q", op, clip(rest))
		}
		if textFields[name] {
			l.kv[name] = tail
			break
		}
		l.kv[name], rest, _ = strings.Cut(tail, " ")
	}
	return l, nil
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

func (l line) get(name string) string { return l.kv[name] }

func (l line) text(name string) (string, error) {
	if v, ok := l.kv[name]; ok && v != "" {
		return v, nil
	}
	return "", fmt.Errorf("%s: field %s is missing", l.op, name)
}

// number reads an integer field; an absent one is an error when required.
func (l line) number(name string, required bool) (int64, error) {
	v, ok := l.kv[name]
	if !ok || v == "" {
		if required {
			return 0, fmt.Errorf("%s: field %s is missing", l.op, name)
		}
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: field %s: %q is not a whole number", l.op, name, clip(v))
	}
	return n, nil
}

func (l line) integer(name string) (int, error) {
	n, err := l.number(name, true)
	return int(n), err
}

func (l line) dur(name string) (time.Duration, error) {
	n, err := l.number(name, true)
	return time.Duration(n), err
}

func (l line) float(name string) (float64, error) {
	v, ok := l.kv[name]
	if !ok || v == "" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%s: field %s: %q is not a number", l.op, name, clip(v))
	}
	return f, nil
}

// reader collects the first error while several fields are read.
type reader struct {
	line
	err error
}

func (r *reader) keep(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) str(name string) string {
	v, err := r.text(name)
	r.keep(err)
	return v
}

func (r *reader) num(name string) int64 {
	v, err := r.number(name, true)
	r.keep(err)
	return v
}

func (r *reader) opt(name string) int64 {
	v, err := r.number(name, false)
	r.keep(err)
	return v
}

func (r *reader) real(name string) float64 {
	v, err := r.float(name)
	r.keep(err)
	return v
}

func (r *reader) engine() uint32 {
	n := r.num("engine")
	if n < 0 || n > math.MaxUint32 {
		r.keep(fmt.Errorf("%s: field engine: %d is out of range", r.op, n))
	}
	return uint32(n)
}

func (r *reader) status() admission.Status {
	n := r.num("ending")
	if n < 0 || n > int64(admission.NotSent) {
		r.keep(fmt.Errorf("%s: field ending: %d is not an outcome", r.op, n))
	}
	return admission.Status(n)
}

// report reads a load report; nil when none came.
func (r *reader) report() *admission.Report {
	v := r.get("gauge")
	if v == "" || v == "-" {
		return nil
	}
	rep := &admission.Report{Held: -1, Queue: -1, Util: -1, Memory: -1, Disks: -1}
	for _, pair := range strings.Split(v, ",") {
		name, val, ok := strings.Cut(pair, ":")
		f, err := strconv.ParseFloat(val, 64)
		if !ok || err != nil {
			r.keep(fmt.Errorf("%s: field gauge: bad pair %q", r.op, clip(pair)))
			return nil
		}
		switch name {
		case "outstanding":
			rep.Held = f
		case "backlog":
			rep.Queue = f
		case "utilization":
			rep.Util = f
		case "x0":
			rep.Memory = f
		case "x1":
			rep.Disks = f
		}
	}
	return rep
}

// decode turns a line into an event; an event of no known name is passed over.
func (s *server) decode(in *instance, l line) (admission.Event, error) {
	r := &reader{line: l}
	var ev admission.Event
	switch l.op {
	case "endpoints":
		ev = s.members(in, r)
	case "work_item":
		ev = workItem(in, r)
	case "established":
		ev = admission.FirstByte{ID: r.str("ticket"), Attempt: int(r.num("go")), Engine: r.engine()}
	case "response":
		o := admission.Outcome{
			ID: r.str("ticket"), Attempt: int(r.num("go")), Engine: r.engine(), Status: r.status(),
			Latency: time.Duration(r.opt("wait_time")), Closed: r.opt("terminal") == 1, Report: r.report(),
		}
		if note := r.opt("stats"); note > 0 {
			o.Work = time.Duration(note/4096) * time.Millisecond
			o.NeedMB = float64(note%4096) * 4
		}
		ev = o
	case "cancelled_by_client":
		ev = admission.ClientDisconnected{ID: r.str("ticket")}
	case "deadline_hit":
		ev = admission.Timer{Token: uint64(r.num("nonce"))}
	case "ping_result":
		ev = admission.HealthCheckResult{
			Engine: r.engine(), Status: r.status(),
			Latency: time.Duration(r.opt("wait_time")), Report: r.report(),
		}
	case "memo":
		p := admission.GossipReceived{From: int(r.num("src_peer"))}
		if d := r.get("data"); d != "-" {
			var err error
			if p.Data, err = hex.DecodeString(d); err != nil {
				r.keep(fmt.Errorf("memo: field data: %w", err))
			}
		}
		ev = p
	case "heartbeat":
		ev = admission.Progress{
			ID: r.str("ticket"), Attempt: int(r.num("go")), Engine: r.engine(),
			Kind: admission.ProgressKind(r.num("topic")), Value: r.real("level"),
		}
	}
	return ev, r.err
}

func workItem(in *instance, r *reader) admission.Event {
	band := r.str("band")
	class, ok := in.names.Classes[band]
	if !ok {
		r.keep(fmt.Errorf("work_item: field band: %q is not in the settings", clip(band)))
	}
	ev := admission.Request{
		ID: r.str("ticket"), Class: class, Tenant: platformconfig.Find(in.names.Tenants, r.get("org")),
		Key: r.get("order_key"), Timeout: time.Duration(r.num("patience_left")),
		Work: time.Duration(r.opt("est_cost")), MemoryMB: r.real("mem_mb"), TableGroup: -1,
		Retry: r.opt("repeat") == 1, Write: r.opt("update") == 1,
	}
	if r.get("source_set") != "" {
		ev.TableGroup = int(r.real("source_set"))
	}
	return ev
}

func (s *server) members(in *instance, r *reader) admission.Event {
	m := admission.EndpointsChanged{}
	switch scope := r.str("scope"); scope {
	case "Complete":
		m.Kind = admission.Complete
	case "Partial":
		m.Kind = admission.Partial
	case "Persisted":
		m.Kind = admission.Persisted
	case "Error":
		return admission.EndpointsChanged{Kind: admission.ListError}
	default:
		r.keep(fmt.Errorf("endpoints: field scope: %q is not known", clip(scope)))
		return nil
	}
	id := int(r.num("roster_id"))
	list, ok := s.lists[id]
	if !ok {
		r.keep(fmt.Errorf("endpoints: field roster_id: no catalog %d", id))
	}
	for _, kv := range list {
		e := &reader{line: line{op: "engine", kv: kv}}
		ent := admission.Engine{
			ID: e.engine(), Kind: platformconfig.Find(in.names.Kinds, kv["shape"]), Zone: platformconfig.Find(in.names.Zones, kv["rack_zone"]),
			Cell: int(e.opt("cell")), Units: e.real("units"), Started: time.Duration(e.opt("last_start")),
		}
		switch kv["state"] {
		case "in_service":
		case "terminating":
			ent.State = admission.Draining
		case "terminated":
			ent.State = admission.Removed
		default:
			e.keep(fmt.Errorf("engine: field state: %q is not known", clip(kv["state"])))
		}
		r.keep(e.err)
		m.Engines = append(m.Engines, ent)
	}
	return m
}
