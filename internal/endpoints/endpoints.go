// Package endpoints turns the change log of the engine list into lists for the planner.
package endpoints

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"beechcart/admission"
	"beechcart/internal/platformconfig"
)

// Endpoint is one entry of the list: what the controller sees of it, and where it is.
type Endpoint struct {
	admission.Engine
	Name, Address string
	Reason        string // why it is in its state, where its source tells
}

// List is one event of the change log.
type List struct {
	Complete  bool
	Endpoints []Endpoint
}

// Event is the list as the controller takes it.
func (l List) Event() admission.EndpointsChanged {
	m := admission.EndpointsChanged{Kind: admission.Partial}
	if l.Complete {
		m.Kind = admission.Complete
	}
	for _, e := range l.Endpoints {
		m.Engines = append(m.Engines, e.Engine)
	}
	return m
}

// ChangeLog reads the change log's answers and remembers the last event it holds.
type ChangeLog struct {
	names platformconfig.Names
	seq   int64
	told  int64 // the last event that the last answer told of
}

// NewChangeLog starts before the first event.
func NewChangeLog(n platformconfig.Names) *ChangeLog { return &ChangeLog{names: n} }

// Seq is the number of the last event held.
func (l *ChangeLog) Seq() int64 { return l.seq }

// Read takes an answer and returns the lists of its events that are new, in order. An answer that does not
// read changes nothing.
func (l *ChangeLog) Read(text []byte) ([]List, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("change log: %w", err)
	}
	if v.Get("seq") == nil || v.Get("seq").Type() != fastjson.TypeNumber {
		return nil, fmt.Errorf("change log: seq is missing")
	}
	var lists []List
	last := l.seq
	for _, r := range v.GetArray("results") {
		seq := r.GetInt64("seq")
		fleet := r.Get("fleet")
		if seq <= last {
			continue
		}
		last = seq
		if fleet == nil {
			continue // an event of another kind
		}
		list := List{Complete: seq == 1 || fleet.GetBool("snapshot")}
		if e := fleet.Get("endpoints"); list.Complete && (e == nil || e.Type() != fastjson.TypeArray) {
			return nil, fmt.Errorf("change log: event %d: a whole list without endpoints", seq) // it would end every engine
		}
		for _, e := range fleet.GetArray("endpoints") {
			en, err := l.engine(e)
			if err != nil {
				return nil, fmt.Errorf("change log: event %d: %w", seq, err)
			}
			list.Endpoints = append(list.Endpoints, en)
		}
		lists = append(lists, list)
	}
	l.seq, l.told = last, v.GetInt64("seq")
	return lists, nil
}

// Behind tells that the answer that was read last told of events that did not come with it.
func (l *ChangeLog) Behind() bool { return l.told > l.seq }

func (l *ChangeLog) engine(v *fastjson.Value) (Endpoint, error) {
	str := func(name string) string { return string(v.GetStringBytes(name)) }
	e := Endpoint{Name: str("name"), Address: str("address")}
	if e.Name == "" {
		return e, fmt.Errorf("an endpoint has no name")
	}
	switch str("status") {
	case "ready":
		e.State = admission.Ready
	case "draining":
		e.State = admission.Draining
	case "gone":
		e.State = admission.Removed
	default:
		// Guards against a state of a later change log: an event that is never taken would hold up all that
		// follow, and an engine in a state that we do not know gets nothing new.
		e.State = admission.Draining
	}
	e.ID = id(e.Name)
	e.Kind, e.Zone = platformconfig.IndexOf(l.names.Kinds, str("type")), platformconfig.IndexOf(l.names.Zones, str("zone"))
	e.Cell, e.Units = v.GetInt("group"), v.GetFloat64("weight")
	e.Started = time.Duration(v.GetInt64("since_ms")) * time.Millisecond
	return e, nil
}

// id is the controller's number for an engine: alike at every front end and after every restart, since the
// controller ranks engines by it.
func id(name string) uint32 {
	if _, hex, ok := strings.Cut(name, "-"); ok && len(hex) == 8 {
		if n, err := strconv.ParseUint(hex, 16, 32); err == nil {
			return uint32(n)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}
