// Package engine is the client of the engines: it carries attempts, health checks and the polls of the change log
// over HTTP/1.1. An attempt posts a query, polls it until it ends, reads its result page by page, and is reported as
// done only once it is proved that the query no longer runs, and won't. The package knows nothing of the gateway's
// own clients.
package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"beechcart/admission"
	"beechcart/decision/reuse"
	"beechcart/internal/endpoints"
	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
)

// Sink takes the reports of a Client. Its methods are called from any goroutine.
type Sink interface {
	// AttemptDone reports the outcome of an attempt; rows is the whole result of one that was served.
	AttemptDone(x *exchange.Exchange, outcome admission.Outcome, rows []byte)
	// Notify reports the progress of an attempt or the result of a health check.
	Notify(ev admission.Event)
}

// Options are the settings of a Client.
type Options struct {
	ConnectTimeout time.Duration
	DrainGrace     time.Duration // within which the drain of an engine has to be known
	Sockets        int           // connections at once, the reserve included
	Classes        []admission.Class
	MayDelete      bool          // abandoned queries may be deleted; otherwise they are no longer polled, and expire
	Reuse          *reuse.Policy // nil: no connection serves again
	Counters       *invariant.Counters
}

// reservedSockets is the part of the sockets that attempts may not use, as a divisor.
const reservedSockets = 8

// Client sends attempts and health checks to the engines of the endpoint list. Its methods are safe for concurrent use.
type Client struct {
	options  Options
	sockets  *sockets
	idlePool *idlePool
	sink     Sink

	mu        sync.Mutex
	instances map[uint32]*instance    // by engine; guarded by mu
	inFlight  map[attemptKey]*attempt // guarded by mu
}

// attemptKey identifies an attempt: the id of its request, and its number.
type attemptKey struct {
	id      string
	attempt int
}

// New returns a Client that knows no engine yet, and reports to sink.
func New(options Options, sink Sink) *Client {
	return &Client{
		options: options, sink: sink, instances: map[uint32]*instance{}, inFlight: map[attemptKey]*attempt{},
		sockets:  &sockets{limit: options.Sockets, reserve: options.Sockets / reservedSockets},
		idlePool: newIdlePool(options.Reuse, func(counter string) { options.Counters.Add(counter, 1) }),
	}
}

// Update applies a change of the endpoint list. It must be called before the controller hears of the change, so that
// nothing is sent on the older list.
func (c *Client) Update(l endpoints.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[uint32]bool{}
	for _, e := range l.Endpoints {
		listed[e.ID] = true
		c.updateInstance(e)
	}
	if l.Complete {
		for id, known := range c.instances {
			if !listed[id] {
				known.retire()
				delete(c.instances, id)
			}
		}
	}
}

// updateInstance applies one entry of a list; the lock is held. An address may pass from an engine to another one,
// and an engine's process may have been restarted: attempts belong to one process of one engine.
func (c *Client) updateInstance(e endpoints.Endpoint) {
	known := c.instances[e.ID]
	if known == nil || known.replacedBy(e) {
		if known != nil {
			known.retire()
		}
		known = &instance{client: c, id: e.ID, address: e.Address, started: e.Started}
		c.instances[e.ID] = known
	}
	known.setState(e.State)
	if e.State == admission.Removed {
		known.retire()
		delete(c.instances, e.ID)
	}
}

// instance is the current instance of an engine; nil where the list does not name it.
func (c *Client) instance(engine uint32) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[engine]
}

// Start begins an attempt, and returns at once; Sink.AttemptDone is called once for it. The attempt may last for
// timeout. Its query is not sent after notAfter, unless that is zero.
func (c *Client) Start(
	x *exchange.Exchange, number int, engine uint32, terms admission.Terms, timeout time.Duration, notAfter time.Time,
) {
	a := &attempt{
		client: c, exchange: x, number: number, instance: c.instance(engine), engine: engine, terms: terms,
		notAfter: notAfter, startedAt: time.Now(), cancelled: make(chan struct{}),
	}
	a.deadline = a.startedAt.Add(timeout)
	key := attemptKey{x.ID, number}
	c.mu.Lock()
	c.inFlight[key] = a
	c.mu.Unlock()
	go func() {
		status, rows := a.run()
		c.mu.Lock()
		delete(c.inFlight, key)
		c.mu.Unlock()
		a.outcome.ID, a.outcome.Attempt, a.outcome.Engine = x.ID, number, engine
		a.outcome.Status, a.outcome.Latency = status, time.Since(a.startedAt)
		c.sink.AttemptDone(x, a.outcome, rows)
	}()
}

// Drained reports whether an engine that is not ready has no attempt in flight, and will get none: an attempt is
// registered before it checks whether its engine is ready. An engine that is still ready here is not drained, even
// when it has no attempt: its exclusion may be on its way.
func (c *Client) Drained(engine uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.instances[engine]; known != nil && known.isReady() {
		return false
	}
	for _, a := range c.inFlight {
		if a.engine == engine {
			return false
		}
	}
	return true
}

// Cancel gives up on an attempt. Its outcome is reported once its end is proved.
func (c *Client) Cancel(id string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.inFlight[attemptKey{id, number}]; a != nil && !a.cancelRequested {
		a.cancelRequested = true
		close(a.cancelled)
	}
}

// CloseIdle closes the idle connections to an engine.
func (c *Client) CloseIdle(engine uint32) {
	if known := c.instance(engine); known != nil {
		c.idlePool.drop(known)
	}
}

// nonIdempotent reports whether a request must not run twice. A request of an unknown class must not.
func (c *Client) nonIdempotent(x *exchange.Exchange) bool {
	classes := c.options.Classes
	return x.Class < 0 || x.Class >= len(classes) || classes[x.Class].Idempotency != admission.Idempotent
}

// dial opens a new connection to an engine. Where no socket is free, an idle connection is closed for it.
func (c *Client) dial(address string, use socketUse) (*connection, error) {
	for {
		conn, err := c.sockets.dial(context.Background(), address, c.options.ConnectTimeout, use)
		if !errors.Is(err, errNoSocket) || !c.idlePool.evict() {
			return conn, err
		}
	}
}
