// Package engine is the server side: connections to engines, attempts and their polls, pages and probes, and
// the calls to the change log. It knows nothing of clients, and decides nothing.
package engine

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"beechcart/admission"
	"beechcart/internal/exchange"
	"beechcart/internal/invariant"
	"beechcart/internal/roster"
)

// Sink takes what the engines tell.
type Sink interface {
	// Ended tells how an attempt ended; rows are its whole result when it was served.
	Ended(x *exchange.Exchange, o admission.Outcome, rows []byte)
	// Told brings notes and the results of probes.
	Told(ev admission.Event)
}

// Options are what the server side is built with.
type Options struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // engines close connections idle for so long
	Sockets        int           // connections in all, the reserve included
	Counters       *invariant.Counters
}

// Fleet is the engines that the list has named, and what is out on them.
type Fleet struct {
	opt   Options
	socks *sockets
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
func New(opt Options, sink Sink) *Fleet {
	return &Fleet{
		opt: opt, sink: sink, peers: map[uint32]*peer{}, outs: map[outKey]*attempt{},
		socks: &sockets{most: opt.Sockets, reserve: opt.Sockets / 8},
	}
}

// Update takes an event of the engine list. It must come before the controller hears of it, so that nothing
// is sent on old word.
func (f *Fleet) Update(l roster.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[uint32]bool{}
	for _, e := range l.Engines {
		seen[e.ID] = true
		old := f.peers[e.ID]
		// An address may pass from an engine that is gone to a new one, and a process may have started again:
		// connections belong to one engine and one start of it.
		if old == nil || (e.Addr != "" && old.addr != e.Addr) || (e.Started > 0 && old.started != e.Started) {
			if old != nil {
				old.end()
			}
			old = &peer{fleet: f, addr: e.Addr, started: e.Started}
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

func (f *Fleet) peer(id uint32) *peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers[id]
}

// Start sends an attempt on its way; Ended will tell of it once.
func (f *Fleet) Start(x *exchange.Exchange, n int, engine uint32, priority int, limit time.Duration) {
	a := &attempt{
		fleet: f, x: x, n: n, peer: f.peer(engine), engine: engine, priority: priority,
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
		f.sink.Ended(x, a.outcome, rows)
	}()
}

// Cancel gives an attempt up; its end is told once it is proved.
func (f *Fleet) Cancel(id string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.outs[outKey{id, n}]; a != nil && !a.stopping {
		a.stopping = true
		close(a.stop)
	}
}

// CloseIdle closes the idle connections to an engine.
func (f *Fleet) CloseIdle(engine uint32) {
	if p := f.peer(engine); p != nil {
		p.closeIdle()
	}
}

// Sweep closes connections that engines would soon close as idle.
func (f *Fleet) Sweep() {
	f.mu.Lock()
	peers := make([]*peer, 0, len(f.peers))
	for _, p := range f.peers {
		peers = append(peers, p)
	}
	f.mu.Unlock()
	for _, p := range peers {
		p.sweep()
	}
}

// Probe asks an engine how it is; Told brings the answer.
func (f *Fleet) Probe(engine uint32) {
	p := f.peer(engine)
	go func() {
		began := time.Now()
		ev := admission.Probed{Engine: engine, Status: admission.ConnectFailed}
		if p != nil {
			ev.Status, ev.Report = p.probe()
		}
		ev.Latency = time.Since(began)
		f.sink.Told(ev)
	}()
}

// peer is one start of one engine.
type peer struct {
	fleet   *Fleet
	addr    string
	started time.Duration

	mu    sync.Mutex
	ready bool
	ended bool
	idle  []*conn // the last one used last
}

// idlePool is how many idle connections an engine may have: more are opened only in a rush.
const idlePool = 32

func (p *peer) setReady(ready bool) {
	p.mu.Lock()
	p.ready = ready && !p.ended
	p.mu.Unlock()
}

// end gives up on this start of the engine.
func (p *peer) end() {
	p.mu.Lock()
	p.ready, p.ended = false, true
	p.mu.Unlock()
	p.closeIdle()
}

func (p *peer) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

// get takes an idle connection or opens one. One that the engine is about to close as idle carries nothing
// more: what was written into such a close may have run or not.
func (p *peer) get(urgent bool) (*conn, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return p.fleet.socks.dial(p.addr, p.fleet.opt.ConnectTimeout, urgent)
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if c.fresh() && time.Since(c.since) < p.keep() {
			return c, nil
		}
		c.close()
	}
}

// keep is how long an idle connection is kept: well under the engine's own time.
func (p *peer) keep() time.Duration { return p.fleet.opt.ConnIdle / 2 }

func (p *peer) put(c *conn) {
	p.mu.Lock()
	ok := !p.ended && c.fresh() && len(p.idle) < idlePool
	if ok {
		c.since = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !ok {
		c.close()
	}
}

func (p *peer) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

func (p *peer) sweep() {
	p.mu.Lock()
	kept, old := []*conn(nil), []*conn(nil)
	for _, c := range p.idle {
		if c.fresh() && time.Since(c.since) < p.keep() {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// probeWait is how long the answer to a probe is waited for.
const probeWait = 250 * time.Millisecond

func (p *peer) probe() (admission.Status, *admission.Report) {
	c, err := p.get(true)
	if err != nil {
		return admission.ConnectFailed, nil
	}
	c.begin("GET", "/-/gauges", p.addr)
	if err := c.send(nil); err != nil {
		c.close()
		return admission.Reset, nil
	}
	r, n, err := c.receive(time.Now().Add(probeWait))
	if err != nil {
		c.close()
		if isTimeout(err) {
			return admission.TimedOut, nil
		}
		return admission.Reset, nil
	}
	status, report := admission.Errored, report(r.gauges)
	if r.code == 200 {
		status = admission.OK
	}
	p.release(c, r, n)
	return status, report
}

// release gives a connection back after its response was used.
func (p *peer) release(c *conn, r response, n int) {
	if c.done(n) != nil || r.close {
		c.close()
		return
	}
	p.put(c)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// refused tells an error that proves that no process listens.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
