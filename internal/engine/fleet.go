// Package engine is the server side: connections to engines, attempts and their polls, pages and probes, and
// the calls to the change log. It knows nothing of clients, and decides nothing.
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

// Sink takes what the engines tell.
type Sink interface {
	// AttemptDone tells how an attempt ended; rows are its whole result when it was served.
	AttemptDone(x *exchange.Exchange, o admission.Outcome, rows []byte)
	// Notify brings notes and the results of probes.
	Notify(ev admission.Event)
}

// Options are what the server side is built with.
type Options struct {
	ConnectTimeout time.Duration
	DrainGrace     time.Duration // within which a drain has to be heard
	Sockets        int           // connections in all, the reserve included
	Classes        []admission.Class
	MayDelete      bool          // a query that nobody waits for may be deleted; else it is asked for no more
	Reuse          *reuse.Policy // nil keeps no connection
	Counters       *invariant.Counters
}

// Client is the engines that the list has named, and what is out on them.
type Client struct {
	opt   Options
	socks *sockets
	pool  *pool
	sink  Sink

	mu    sync.Mutex
	peers map[uint32]*peer
	outs  map[outKey]*attempt
}

type outKey struct {
	id string
	n  int
}

// New returns an empty fleet that tells sink.
func New(opt Options, sink Sink) *Client {
	return &Client{
		opt: opt, sink: sink, peers: map[uint32]*peer{}, outs: map[outKey]*attempt{},
		socks: &sockets{most: opt.Sockets, reserve: opt.Sockets / 8},
		pool:  newPool(opt.Reuse, func(name string) { opt.Counters.Add(name, 1) }),
	}
}

// Update takes an event of the engine list. It must come before the controller hears of it, so that nothing
// is sent on old word.
func (f *Client) Update(l endpoints.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[uint32]bool{}
	for _, e := range l.Endpoints {
		seen[e.ID] = true
		old := f.peers[e.ID]
		// An address may pass from an engine that is gone to a new one, and a process may have started again:
		// attempts belong to one engine and one start of it.
		if old == nil || (e.Address != "" && old.addr != e.Address) || (e.Started > 0 && old.started != e.Started) {
			if old != nil {
				old.end()
			}
			old = &peer{fleet: f, id: e.ID, addr: e.Address, started: e.Started}
			f.peers[e.ID] = old
		}
		old.setReady(e.State == admission.Ready)
		if e.State == admission.Removed {
			old.end()
			delete(f.peers, e.ID)
		}
	}
	if l.Complete {
		for id, p := range f.peers {
			if !seen[id] {
				p.end()
				delete(f.peers, id)
			}
		}
	}
}

func (f *Client) peer(id uint32) *peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers[id]
}

// Start sends an attempt on its way under those terms; AttemptDone will tell of it once. Its query goes out by that time or not at all,
// where one is given.
func (f *Client) Start(x *exchange.Exchange, n int, engine uint32, terms admission.Terms, limit time.Duration, by time.Time) {
	a := &attempt{
		fleet: f, x: x, n: n, peer: f.peer(engine), engine: engine, terms: terms, by: by,
		began: time.Now(), stop: make(chan struct{}),
	}
	a.due = a.began.Add(limit)
	key := outKey{x.ID, n}
	f.mu.Lock()
	f.outs[key] = a
	f.mu.Unlock()
	go func() {
		status, rows := a.run()
		f.mu.Lock()
		delete(f.outs, key)
		f.mu.Unlock()
		a.outcome.ID, a.outcome.Attempt, a.outcome.Engine = x.ID, n, engine
		a.outcome.Status, a.outcome.Latency = status, time.Since(a.began)
		f.sink.AttemptDone(x, a.outcome, rows)
	}()
}

// Drained tells that nothing is out on an engine, nor will be while it is not ready: an attempt is on the books before it looks
// whether its engine is. Guards against a veto that is on its way here while nothing happens to be out.
func (f *Client) Drained(engine uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[engine]; p != nil && p.isReady() {
		return false
	}
	for _, a := range f.outs {
		if a.engine == engine {
			return false
		}
	}
	return true
}

// Cancel gives an attempt up; its end is told once it is proved.
func (f *Client) Cancel(id string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.outs[outKey{id, n}]; a != nil && !a.stopping {
		a.stopping = true
		close(a.stop)
	}
}

// CloseIdle closes the connections to an engine that carry nothing.
func (f *Client) CloseIdle(engine uint32) {
	if p := f.peer(engine); p != nil {
		f.pool.drop(p, false)
	}
}

// unsafe tells a request that must not run twice; one of a class that is not known is taken for such.
func (f *Client) unsafe(x *exchange.Exchange) bool {
	return x.Class < 0 || x.Class >= len(f.opt.Classes) || f.opt.Classes[x.Class].Idempotency != admission.Idempotent
}

// open returns a connection for a query or a probe: one that may serve again, or a new one. prove tells that what it brings
// counts only once it was confirmed. unsafe tells a query that must not run twice; urgent may use the reserve of sockets.
func (p *peer) open(unsafe, urgent bool) (c *conn, prove bool, err error) {
	if c, prove = p.fleet.pool.take(p, unsafe); c != nil {
		return c, prove, nil
	}
	c, err = p.fleet.dial(p.addr, urgent)
	return c, false, err
}

// dial opens a new connection to an engine. Where no socket is free, a connection that carries nothing makes room.
func (f *Client) dial(addr string, urgent bool) (*conn, error) {
	for {
		c, err := f.socks.dial(context.Background(), addr, f.opt.ConnectTimeout, urgent)
		if err != errNoSocket || !f.pool.evict() {
			return c, err
		}
	}
}

// CheckHealth asks an engine how it is; Told brings the answer. One that could not be asked for want of a socket of our own brings none.
func (f *Client) CheckHealth(engine uint32) {
	p := f.peer(engine)
	go func() {
		began := time.Now()
		ev := admission.HealthCheckResult{Engine: engine, Status: admission.ConnectFailed}
		if p != nil {
			var err error
			if ev.Status, ev.Report, err = p.probe(); errors.Is(err, errNoSocket) {
				f.opt.Counters.Add("no_socket", 1)
				return
			}
		}
		ev.Latency = time.Since(began)
		f.sink.Notify(ev)
	}()
}

// peer is one start of one engine.
type peer struct {
	fleet   *Client
	id      uint32
	addr    string
	started time.Duration

	mu    sync.Mutex
	ready bool
	ended bool
	heard time.Time // when it answered last
}

func (p *peer) setReady(ready bool) {
	p.mu.Lock()
	p.ready = ready && !p.ended
	p.mu.Unlock()
	if !ready {
		p.fleet.pool.drop(p, false)
	}
}

// end gives up on this start of the engine.
func (p *peer) end() {
	p.mu.Lock()
	p.ready, p.ended = false, true
	p.mu.Unlock()
	p.fleet.pool.drop(p, true)
}

// answered tells that the engine has just answered; only the pool asks for it.
func (p *peer) answered() {
	if p.fleet.pool == nil {
		return
	}
	p.mu.Lock()
	p.heard = time.Now()
	p.mu.Unlock()
}

// unheard is how long ago the engine answered last.
func (p *peer) unheard() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.heard)
}

func (p *peer) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

func (p *peer) isEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// probeWait is how long the answer to a probe is waited for.
const probeWait = 250 * time.Millisecond

// mostProbes bounds the tries of one probe: one that was reset or answered by noise tells nothing of an engine
// that is well.
const mostProbes = 3

func (p *peer) probe() (status admission.Status, rep *admission.Report, err error) {
	for range mostProbes {
		if status, rep, err = p.probeOnce(); err == nil || isTimeout(err) || isRefused(err) {
			break
		}
	}
	return status, rep, err
}

func (p *peer) probeOnce() (admission.Status, *admission.Report, error) {
	c, _, err := p.open(false, true) // a report that is another call's does no harm
	if err != nil {
		return admission.ConnectFailed, nil, err
	}
	c.begin("GET", "/-/gauges", p.addr)
	if err := c.send(nil); err != nil {
		c.close()
		return admission.Reset, nil, err
	}
	r, err := c.receive(time.Now().Add(probeWait))
	if err != nil {
		c.close()
		if isTimeout(err) {
			return admission.TimedOut, nil, err
		}
		if isSpoilt(err) {
			p.fleet.pool.Spoilt(p)
		}
		return admission.Reset, nil, err
	}
	p.answered()
	rep, status := report(r.gauges), admission.OK
	if r.code != 200 {
		status = admission.Errored
	}
	p.fleet.pool.put(p, c)
	return status, rep, nil
}
