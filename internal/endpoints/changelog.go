package endpoints

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"beechcart/admission"
	"beechcart/internal/platformconfig"
)

// Values of an endpoint's status in the change log.
const (
	statusReady    = "ready"
	statusDraining = "draining"
	statusGone     = "gone"
)

var (
	errNoSequence  = errors.New("change log: seq is missing")
	errNoName      = errors.New("an endpoint has no name")
	errNoEndpoints = errors.New("a whole list without endpoints")
)

// ChangeLog reads the answers of the platform's change log. It is not safe for concurrent use.
type ChangeLog struct {
	names     platformconfig.Names
	held      int64 // the number of the last event that was read
	announced int64 // the number of the last event, by the last answer
}

// NewChangeLog returns a ChangeLog that has read no event.
func NewChangeLog(names platformconfig.Names) *ChangeLog { return &ChangeLog{names: names} }

// Seq is the number of the last event that was read.
func (l *ChangeLog) Seq() int64 { return l.held }

// Behind reports whether the last answer announced events that it did not bring.
func (l *ChangeLog) Behind() bool { return l.announced > l.held }

// Read reads an answer and returns the lists of its new events, in order. A malformed answer changes nothing.
func (l *ChangeLog) Read(text []byte) ([]List, error) {
	answer, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("change log: %w", err)
	}
	if answer.Get("seq") == nil || answer.Get("seq").Type() != fastjson.TypeNumber {
		return nil, errNoSequence
	}
	var lists []List
	last := l.held
	for _, event := range answer.GetArray("results") {
		seq := event.GetInt64("seq")
		fleet := event.Get("fleet")
		if seq <= last {
			continue
		}
		last = seq
		if fleet == nil {
			continue // an event of another kind
		}
		list, err := l.readList(fleet, seq)
		if err != nil {
			return nil, fmt.Errorf("change log: event %d: %w", seq, err)
		}
		lists = append(lists, list)
	}
	l.held, l.announced = last, answer.GetInt64("seq")
	return lists, nil
}

// readList reads one event. The first event of the log is a complete list.
func (l *ChangeLog) readList(fleet *fastjson.Value, seq int64) (List, error) {
	list := List{Complete: seq == 1 || fleet.GetBool("snapshot")}
	entries := fleet.Get("endpoints")
	if list.Complete && (entries == nil || entries.Type() != fastjson.TypeArray) {
		return List{}, errNoEndpoints // taken for an empty list it would end every engine
	}
	for _, entry := range fleet.GetArray("endpoints") {
		e, err := l.readEndpoint(entry)
		if err != nil {
			return List{}, err
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	return list, nil
}

func (l *ChangeLog) readEndpoint(entry *fastjson.Value) (Endpoint, error) {
	text := func(field string) string { return string(entry.GetStringBytes(field)) }
	e := Endpoint{Name: text("name"), Address: text("address")}
	if e.Name == "" {
		return e, errNoName
	}
	e.State = parseState(text("status"))
	e.ID = engineID(e.Name)
	e.Kind = platformconfig.IndexOf(l.names.Kinds, text("type"))
	e.Zone = platformconfig.IndexOf(l.names.Zones, text("zone"))
	e.Cell, e.Units = entry.GetInt("group"), entry.GetFloat64("weight")
	e.Started = time.Duration(entry.GetInt64("since_ms")) * time.Millisecond
	return e, nil
}

// parseState reads a status. An engine of an unknown status, of a later version of the change log, gets no new
// queries; an error would hold up all events that follow.
func parseState(status string) admission.State {
	switch status {
	case statusReady:
		return admission.Ready
	case statusGone:
		return admission.Removed
	case statusDraining:
		return admission.Draining
	default:
		return admission.Draining
	}
}
