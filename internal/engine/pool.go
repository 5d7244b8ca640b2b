package engine

import (
	"sync"
	"time"

	"beechcart/decision/reuse"
)

// pool keeps the connections that have ended a query or a probe, and lets them serve again where decision/reuse allows
// it. All its methods are safe for concurrent use, and on a nil pool, which keeps nothing.
type pool struct {
	count func(name string)
	start time.Time

	mu    sync.Mutex
	trust *reuse.Policy
	idle  map[*peer][]*kept // by engine, the one that came last at the end
	armed bool              // a sweep is due
	swept time.Time         // when all that is kept was last looked at
}

// lookEvery is how often kept connections are looked at for what they should not bring. Guards against an engine that never ends
// what it sends: the network library reads all of it, whoever waits for it (92 MB in 0.75 s were seen).
const lookEvery = 25 * time.Millisecond

// kept is a connection that serves nobody at the time.
type kept struct {
	c      *conn
	since  time.Time
	silent bool // it has been told to trust that it stayed silent
}

// newPool returns a pool; nil where trust is nil and nothing is to be kept.
func newPool(trust *reuse.Policy, count func(name string)) *pool {
	if trust == nil {
		return nil
	}
	return &pool{count: count, start: time.Now(), trust: trust, idle: map[*peer][]*kept{}}
}

func (p *pool) now() time.Duration { return time.Since(p.start) }

// put takes a connection that has ended its query or probe, and closes it where it is not kept. Guards against what comes after
// an answer: it is looked for now, after Quiet, and when the connection is to serve again.
func (p *pool) put(of *peer, c *conn) {
	if p == nil {
		c.close()
		return
	}
	clean := c.fresh()
	c.queries++
	p.mu.Lock()
	defer p.mu.Unlock()
	if !clean && c.surplus() {
		p.spoilt(of)
	}
	if !of.isReady() || !p.trust.Keep(of.id, reuse.Conn{Queries: c.queries, Clean: clean, Closing: c.last}) {
		c.close()
		return
	}
	p.idle[of] = append(p.idle[of], &kept{c: c, since: time.Now()})
	p.arm()
}

// arm sees to it that the pool is swept while it holds anything; the lock is held.
func (p *pool) arm() {
	if !p.armed {
		p.armed = true
		time.AfterFunc(min(lookEvery, p.trust.MaxIdleTime()/4), p.sweep)
	}
}

// take returns a connection that may serve a query, or nil; prove tells that its answer counts only once it was confirmed. unsafe
// tells a query that must not run twice.
func (p *pool) take(of *peer, unsafe bool) (c *conn, prove bool) {
	if p == nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[of]
	for i := len(list) - 1; i >= 0; i-- {
		switch p.judge(of, list[i], unsafe) {
		case reuse.Use:
			p.count("conn_reused")
			return p.remove(of, i), false
		case reuse.UseAndConfirm:
			p.count("conn_proving")
			return p.remove(of, i), true
		case reuse.Close:
			p.remove(of, i).close()
		}
	}
	return nil, false
}

// judge tells trust what has become of a kept connection and asks what it may do; the lock is held.
func (p *pool) judge(of *peer, k *kept, unsafe bool) reuse.Decision {
	idle := time.Since(k.since)
	clean := k.c.fresh()
	if !clean && k.c.surplus() {
		p.spoilt(of)
	} else if clean && !k.silent && idle >= p.trust.QuietPeriod() {
		k.silent = true
		p.trust.StayedQuiet(of.id)
	}
	seen := reuse.Conn{Queries: k.c.queries, IdleTime: idle, EngineSilence: of.unheard(), Clean: clean}
	return p.trust.Decide(of.id, seen, unsafe, p.now())
}

// remove takes the connection at that place off the books; those before it stay in place. The lock is held.
func (p *pool) remove(of *peer, at int) *conn {
	list := p.idle[of]
	c := list[at].c
	list = append(list[:at], list[at+1:]...)
	if p.idle[of] = list; len(list) == 0 {
		delete(p.idle, of)
	}
	p.trust.Released(of.id)
	return c
}

// spoilt tells that an engine sent what can't be right, or more than belonged to its answer; the lock is held.
func (p *pool) spoilt(of *peer) {
	p.trust.Malformed(of.id, p.now())
	p.count("reuse_distrust")
}

// Spoilt tells of an answer that could not be read or could not be right.
func (p *pool) Spoilt(of *peer) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoilt(of)
}

// drop closes what is kept of a start of an engine that takes no more queries, and forgets it once it has ended.
// Guards against holding places that others need, and against asking a new process on a connection of the old one.
func (p *pool) drop(of *peer, ended bool) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle[of]); n > 0; n-- {
		p.remove(of, n-1).close()
	}
	if ended {
		p.trust.RemoveEngine(of.id)
	}
}

// evict closes the connection that has been idle for longest; false when none is kept.
func (p *pool) evict() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var of *peer
	for e, list := range p.idle {
		if of == nil || list[0].since.Before(p.idle[of][0].since) {
			of = e
		}
	}
	if of == nil {
		return false
	}
	p.remove(of, 0).close()
	return true
}

// sweep closes what has brought more than it should, and now and then all that may not serve any more.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = false
	all := time.Since(p.swept) >= p.trust.MaxIdleTime()/4
	if all {
		p.swept = time.Now()
	}
	for of, list := range p.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if (all || !list[i].c.fresh()) && p.judge(of, list[i], false) == reuse.Close {
				p.remove(of, i).close()
			}
		}
	}
	if len(p.idle) > 0 {
		p.arm()
	}
}
