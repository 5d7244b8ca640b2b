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
	trust *reuse.Trust
	idle  map[*peer][]*kept // by engine, the one that came last at the end
	timer *time.Timer       // runs while anything is kept
	armed bool
}

// kept is a connection that serves nobody at the time.
type kept struct {
	c      *conn
	since  time.Time
	silent bool // it has been told to trust that it stayed silent
}

// newPool returns a pool; nil where nothing is to be kept.
func newPool(set reuse.Settings, count func(name string)) *pool {
	trust, err := reuse.New(set)
	if err != nil || set.Off {
		return nil
	}
	p := &pool{count: count, start: time.Now(), trust: trust, idle: map[*peer][]*kept{}}
	p.timer = time.AfterFunc(time.Hour, p.sweep)
	p.timer.Stop()
	return p
}

func (p *pool) now() time.Duration { return time.Since(p.start) }

// put takes a connection that has ended its query, and closes it where it is not kept. Guards against what comes after
// an answer: it is looked for now, after Quiet, and when the connection is to serve again.
func (p *pool) put(of *peer, c *conn) {
	if p == nil {
		c.close()
		return
	}
	clean := c.fresh()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !clean && c.surplus() {
		p.spoilt(of)
	}
	if !of.isReady() || !p.trust.Keep(of.id, reuse.Conn{Queries: c.queries, Clean: clean, Last: c.last}) {
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
		p.timer.Reset(p.trust.MaxIdle() / 4)
	}
}

// take returns a connection that may serve a query, or nil. unsafe tells a query that must not run twice.
func (p *pool) take(of *peer, unsafe bool) *conn {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[of]
	for i := len(list) - 1; i >= 0; i-- {
		k := list[i]
		switch p.judge(of, k, unsafe) {
		case reuse.Serve:
			p.remove(of, i)
			p.count("conn_reused")
			return k.c
		case reuse.Close:
			p.remove(of, i)
			k.c.close()
		}
		list = p.idle[of]
	}
	return nil
}

// judge tells trust what has become of a kept connection and asks what it may do; the lock is held.
func (p *pool) judge(of *peer, k *kept, unsafe bool) reuse.Verdict {
	idle := time.Since(k.since)
	clean := k.c.fresh()
	if !clean && k.c.surplus() {
		p.spoilt(of)
	} else if clean && !k.silent && idle >= p.trust.Quiet() {
		k.silent = true
		p.trust.Silent(of.id)
	}
	seen := reuse.Conn{Queries: k.c.queries, Idle: idle, Unheard: of.unheard(), Clean: clean}
	return p.trust.Serve(of.id, seen, unsafe, p.now())
}

// remove takes the connection at that place off the books; the lock is held.
func (p *pool) remove(of *peer, at int) {
	list := p.idle[of]
	list = append(list[:at], list[at+1:]...)
	if p.idle[of] = list; len(list) == 0 {
		delete(p.idle, of)
	}
	p.trust.Dropped(of.id)
}

// spoilt tells that an engine sent what can't be right, or more than belonged to its answer; the lock is held.
func (p *pool) spoilt(of *peer) {
	p.trust.Spoilt(of.id, p.now())
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
	for list := p.idle[of]; len(list) > 0; list = p.idle[of] {
		last := len(list) - 1
		list[last].c.close()
		p.remove(of, last)
	}
	if ended {
		p.trust.Forget(of.id)
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
	p.idle[of][0].c.close()
	p.remove(of, 0)
	return true
}

// sweep closes what may not serve any more.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = false
	for of, list := range p.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if k := list[i]; p.judge(of, k, false) == reuse.Close {
				p.remove(of, i)
				k.c.close()
			}
			list = p.idle[of]
		}
	}
	if len(p.idle) > 0 {
		p.arm()
	}
}
