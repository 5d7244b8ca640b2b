package dispatch

import (
	"time"

	"beechcart/admission"
	"beechcart/internal/endpoints"
	"beechcart/internal/exchange"
)

// message is an entry of a Dispatcher's queue: one of the types below, or an admission.Event, which is passed to the
// controller unchanged. The messages that every request causes are pointers, or structs of one pointer, so that
// queueing one allocates nothing beyond the message itself.
type message any

type (
	// requestAccepted carries a new request.
	requestAccepted struct{ exchange *exchange.Exchange }
	// clientGone reports that a request was settled before an attempt served it: its client disconnected or cancelled
	// the request, or its deadline passed.
	clientGone struct{ exchange *exchange.Exchange }
	// attemptDone reports the outcome of an attempt.
	attemptDone struct {
		exchange *exchange.Exchange
		outcome  admission.Outcome
		rows     []byte
	}
	// endpointsChanged carries a change of the endpoint list.
	endpointsChanged struct{ list endpoints.List }
	// shutdownRequested announces that the process ends after timeout.
	shutdownRequested struct{ timeout time.Duration }
)

// event applies a message to the Dispatcher's own state and returns the controller's event for it. It returns nil if
// the message concerns only the Dispatcher.
func (d *Dispatcher) event(m message) admission.Event {
	switch m := m.(type) {
	case requestAccepted:
		return d.accept(m.exchange)
	case clientGone:
		return d.clientGone(m.exchange)
	case *attemptDone:
		return d.attemptDone(m)
	case endpointsChanged:
		// Engines learns of a drain before the controller does, so that no query is sent according to the older list.
		d.engines.Update(m.list)
		return m.list.Event()
	case shutdownRequested:
		d.beginShutdown(m.timeout)
		return admission.ShutdownRequested{Timeout: m.timeout}
	case admission.Event:
		return m
	}
	return nil
}
