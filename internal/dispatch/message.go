package dispatch

import (
	"time"

	"beechcart/admission"
	"beechcart/internal/endpoints"
	"beechcart/internal/exchange"
)

// message is what other goroutines post to a Dispatcher: one of the types below, or an admission.Event, which goes to
// the controller as it is. The messages of each request's path are pointers, or structs of one pointer, so that
// queueing one allocates no more than the message itself.
type message any

type (
	// requestAccepted brings a new request.
	requestAccepted struct{ exchange *exchange.Exchange }
	// clientGone reports that a request was settled without an attempt's outcome: its client has gone, or its deadline has
	// passed.
	clientGone struct{ exchange *exchange.Exchange }
	// attemptDone reports the outcome of an attempt.
	attemptDone struct {
		exchange *exchange.Exchange
		outcome  admission.Outcome
		rows     []byte
	}
	// endpointsChanged brings a change of the endpoint list.
	endpointsChanged struct{ list endpoints.List }
	// shutdownRequested announces the end of the process.
	shutdownRequested struct{ timeout time.Duration }
)

// event applies a message to the Dispatcher's own state and translates it for the controller; nil where the
// controller need not hear of it.
func (d *Dispatcher) event(m message) admission.Event {
	switch m := m.(type) {
	case requestAccepted:
		return d.accept(m.exchange)
	case clientGone:
		return d.clientGone(m.exchange)
	case *attemptDone:
		return d.attemptDone(m)
	case endpointsChanged:
		// The engines' side hears of a drain before the controller does, so that nothing is sent on the older list.
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
