// Package endpoints holds the endpoint list: which engines there are, where, and in which state. It reads the list's
// events from the platform's change log; other sources make them in packages of their own.
package endpoints

import (
	"hash/fnv"
	"strconv"
	"strings"

	"beechcart/admission"
)

// Endpoint is one entry of a list: an engine as the controller sees it, and its address.
type Endpoint struct {
	admission.Engine
	Name, Address string
	Reason        string // of its state; empty where its source does not tell
}

// List is one event of a source: a complete list, or a change to the list before.
type List struct {
	Complete  bool
	Endpoints []Endpoint
}

// Event is the list as an event for the controller.
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

// hexIDSize is the number of hexadecimal digits behind the dash of a name such as s-00c41f7a.
const hexIDSize = 8

// engineID is the controller's number for an engine: the number in its name, or else a hash of the name. It is the
// same at every front end and after every restart, since the controller ranks engines by it.
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
