// Package engine implements the HTTP/1.1 client that sends queries and health checks to engines and polls the change
// log. An attempt posts a query, polls the engine until the query ends, and reads the result page by page. An attempt
// is reported as done only once there is proof that the query does not run and will not run later. The connections of
// the gateway's own clients are handled elsewhere.
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
	"beechcart/internal/membudget"
)

// Sink receives the reports of a Client. A Client calls the methods of its Sink from any goroutine.
type Sink interface {
	// AttemptDone reports the outcome of an attempt. rows is the complete result if the status is admission.OK, and nil
	// otherwise.
	AttemptDone(x *exchange.Exchange, outcome admission.Outcome, rows []byte)
	// Notify reports the progress of an attempt or the result of a health check.
	Notify(ev admission.Event)
}

// Options are the settings of a Client.
type Options struct {
	ConnectTimeout time.Duration
	DrainGrace     time.Duration // the time within which the change log must report the drain of an engine
	Sockets        int           // maximum number of open connections, including the reserve
	Classes        []admission.Class
	MayDelete      bool          // abandoned queries may be deleted; if false, they are left to expire without polls
	MayCheckHealth bool          // health checks are allowed
	Reuse          *reuse.Policy // nil: connections are not reused
	Counters       *invariant.Counters
	Results        *membudget.Budget // memory for the rows of all results; nil: unlimited
	Responses      *membudget.Budget // memory for responses over inputBufferBytes while they are read; nil: unlimited
	FreeResults    func()            // called while there is no memory for rows; nil: nothing
	// AwaitInput is called before a query is sent, with the start of the attempt. It waits until the input of clients
	// has been handled. nil: nothing
	AwaitInput func(began time.Time)
}

// socketReserveDivisor sets the socket reserve: of N sockets, the POSTs of attempts leave N/socketReserveDivisor
// unused.
const socketReserveDivisor = 8

// Client sends attempts and health checks to the engines of the endpoint list. Its methods are safe for concurrent use.
type Client struct {
	options  Options
	sockets  *sockets
	idlePool *idlePool
	sink     Sink

	mu        sync.Mutex
	instances map[uint32]*instance    // by engine ID; guarded by mu
	inFlight  map[attemptKey]*attempt // guarded by mu
}

// attemptKey identifies an attempt by the ID of the request and the number of the attempt.
type attemptKey struct {
	id      string
	attempt int
}

// New returns a Client that reports to sink. The Client has no engines before the first call of Update.
func New(options Options, sink Sink) *Client {
	return &Client{
		options: options, sink: sink, instances: map[uint32]*instance{}, inFlight: map[attemptKey]*attempt{},
		sockets: &sockets{
			limit: options.Sockets, reserve: options.Sockets / socketReserveDivisor, input: options.Responses,
		},
		idlePool: newIdlePool(options.Reuse, func(counter string) { options.Counters.Add(counter, 1) }),
	}
}

// Update applies a change of the endpoint list. The caller must call Update before the change reaches the controller,
// so that no query is sent on the basis of the previous list.
func (c *Client) Update(l endpoints.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[uint32]bool{}
	for _, e := range l.Endpoints {
		listed[e.ID] = true
		c.updateInstance(e)
	}
	if l.Complete {
		for id, inst := range c.instances {
			if !listed[id] {
				inst.retire()
				delete(c.instances, id)
			}
		}
	}
}

// updateInstance applies one entry of an endpoint list; the caller holds mu. An address may be reassigned to another
// engine, and an engine's process may have restarted, so an attempt is bound to one process of one engine.
func (c *Client) updateInstance(e endpoints.Endpoint) {
	inst := c.instances[e.ID]
	if inst == nil || inst.replacedBy(e) {
		if inst != nil {
			inst.retire()
		}
		inst = &instance{client: c, id: e.ID, address: e.Address, started: e.Started}
		c.instances[e.ID] = inst
	}
	inst.setState(e.State)
	if e.State == admission.Removed {
		inst.retire()
		delete(c.instances, e.ID)
	}
}

// instance returns the current instance of an engine, or nil if the endpoint list does not contain the engine.
func (c *Client) instance(engine uint32) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[engine]
}

// Start begins an attempt and returns at once. The Client calls Sink.AttemptDone exactly once for the attempt. The
// deadline of the attempt is timeout from now. The query is not sent after notAfter; a zero notAfter sets no such
// limit.
func (c *Client) Start(
	x *exchange.Exchange, number int, engine uint32, terms admission.Terms, timeout time.Duration, notAfter time.Time,
) {
	a := &attempt{
		client: c, exchange: x, number: number, instance: c.instance(engine), engine: engine, terms: terms,
		notAfter: notAfter, startedAt: time.Now(), cancelled: make(chan struct{}), responsePause: partialResponseTimeout,
		callTimeout: callTimeout,
	}
	a.deadline = a.startedAt.Add(timeout)
	key := attemptKey{x.ID, number}
	c.mu.Lock()
	c.inFlight[key] = a
	c.mu.Unlock()
	go func() {
		status, rows := a.run()
		if rows == nil {
			a.releaseRows()
		} else {
			x.HoldResult(c.options.Results, a.reservedRows)
		}
		c.mu.Lock()
		delete(c.inFlight, key)
		c.mu.Unlock()
		a.outcome.ID, a.outcome.Attempt, a.outcome.Engine = x.ID, number, engine
		a.outcome.Status, a.outcome.Latency = status, time.Since(a.startedAt)-a.memoryWait
		c.sink.AttemptDone(x, a.outcome, rows)
	}()
}

// Drained reports whether an engine is not ready, has no attempt in flight and will get none. No attempt can start
// unnoticed, because each attempt is registered before the check that its engine is ready. An engine that is still
// ready is not drained, even without an attempt in flight: the controller may not have applied the engine's exclusion
// yet.
func (c *Client) Drained(engine uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inst := c.instances[engine]; inst != nil && inst.isReady() {
		return false
	}
	for _, a := range c.inFlight {
		if a.engine == engine {
			return false
		}
	}
	return true
}

// Cancel cancels an attempt. The outcome is reported once there is proof that the query has ended.
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
	if inst := c.instance(engine); inst != nil {
		c.idlePool.drop(inst)
	}
}

// nonIdempotent reports whether the class of a request is not idempotent. An unknown class counts as non-idempotent.
func (c *Client) nonIdempotent(x *exchange.Exchange) bool {
	classes := c.options.Classes
	return x.Class < 0 || x.Class >= len(classes) || classes[x.Class].Idempotency != admission.Idempotent
}

// dial opens a new connection to an engine. If no socket is free, dial closes the connection that has been idle for
// longest and tries again.
func (c *Client) dial(address string, use socketUse) (*connection, error) {
	for {
		conn, err := c.sockets.dial(context.Background(), address, c.options.ConnectTimeout, use)
		if err == nil {
			conn.limitReceiveBuffer(engineReceiveBuffer)
		}
		if !errors.Is(err, errNoSocket) || !c.idlePool.evict() {
			return conn, err
		}
	}
}
