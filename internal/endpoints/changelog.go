package endpoints

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"beechcart/admission"
	"beechcart/internal/platformconfig"
)

// Values of an endpoint's status in the change log. parseState handles all other values.
const (
	statusReady    = "ready"
	statusDraining = "draining"
	statusGone     = "gone"
)

var (
	errNoSequence  = errors.New("change log: seq is missing or not a number")
	errNoName      = errors.New("endpoint name must be a non-empty string")
	errNoEndpoints = errors.New("complete list: endpoints is missing or not an array")
)

// ChangeLog parses the answers of the platform's change log. It is not safe for concurrent use.
type ChangeLog struct {
	names     platformconfig.Names
	lastRead  int64 // sequence number of the last event that was read
	announced int64 // sequence number of the log's last event, as of the last answer
	owners    addressOwners
}

// NewChangeLog returns a ChangeLog that has read no event.
func NewChangeLog(names platformconfig.Names) *ChangeLog {
	return &ChangeLog{names: names, owners: newAddressOwners()}
}

// Seq returns the sequence number of the last event that was read; 0: none.
func (l *ChangeLog) Seq() int64 { return l.lastRead }

// Behind reports whether the last answer announced events that it did not contain.
func (l *ChangeLog) Behind() bool { return l.announced > l.lastRead }

// Read parses an answer and returns the lists of its new events, in order. Events that were read before and events of
// other kinds are skipped. A malformed answer leaves the ChangeLog unchanged.
func (l *ChangeLog) Read(text []byte) ([]List, error) {
	answer, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("change log: %w", err)
	}
	if answer.Get("seq") == nil || answer.Get("seq").Type() != fastjson.TypeNumber {
		return nil, errNoSequence
	}
	var lists []List
	last := l.lastRead
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
	l.lastRead, l.announced = last, answer.GetInt64("seq")
	for i := range lists {
		lists[i] = l.owners.apply(lists[i])
	}
	return lists, nil
}

// readList parses one event. The first event of the log is always a complete list.
func (l *ChangeLog) readList(fleet *fastjson.Value, seq int64) (List, error) {
	list := List{Complete: seq == 1 || fleet.GetBool("snapshot")}
	entries := fleet.Get("endpoints")
	if list.Complete && (entries == nil || entries.Type() != fastjson.TypeArray) {
		return List{}, errNoEndpoints // treated as an empty list, it would remove every engine
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

// parseState maps a status to a state. An unknown status, from a later version of the change log, counts as draining,
// so that the engine gets no new queries. An error instead would block all later events.
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
