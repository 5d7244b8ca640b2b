// Package endpoints defines the endpoint list: the engines with their addresses and states. It parses the list's events
// from the platform's change log; packages for other sources produce the same events.
package endpoints

import (
	"hash/fnv"
	"strconv"
	"strings"

	"beechcart/admission"
)

// Endpoint is one entry of a list: the controller's view of an engine, and the engine's address.
type Endpoint struct {
	admission.Engine
	Name, Address string
	Reason        string // for the state; empty if the source gives none
}

// List is one event of a source: a complete list, or a change to the previous list.
type List struct {
	Complete  bool
	Endpoints []Endpoint
}

// Event returns the controller's event for the list.
func (l List) Event() admission.EndpointsChanged {
	event := admission.EndpointsChanged{Kind: admission.Partial}
	if l.Complete {
		event.Kind = admission.Complete
	}
	for _, e := range l.Endpoints {
		event.Engines = append(event.Engines, e.Engine)
	}
	return event
}

// hexIDSize is the number of hexadecimal digits after the dash in a name such as s-00c41f7a.
const hexIDSize = 8

// engineID returns the controller's id for an engine: the hexadecimal number in the name, or a hash of a name without
// one. The id is the same on every front end and after every restart, since the controller ranks engines by it.
func engineID(name string) uint32 {
	if _, digits, ok := strings.Cut(name, "-"); ok && len(digits) == hexIDSize {
		if n, err := strconv.ParseUint(digits, 16, 32); err == nil {
			return uint32(n)
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
