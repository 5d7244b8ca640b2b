package engine

import (
	"sync"
	"time"

	"beechcart/decision/reuse"
)

// checkInterval is the longest interval between two checks of the idle connections for input, or for their end. The
// socket of such a connection is free for others after the check.
const checkInterval = 100 * time.Millisecond

// expiryChecksPerIdleTime is how often idle connections are checked for expiry within reuse.Policy's MaxIdleTime.
const expiryChecksPerIdleTime = 4

// idlePool keeps connections after a query or a health check, and returns them for further ones where decision/reuse
// allows reuse. Methods that do not require mu to be held are safe for concurrent use, and may be called on a nil pool,
// which keeps no connections.
type idlePool struct {
	count func(counter string)
	start time.Time

	mu             sync.Mutex
	policy         *reuse.Policy             // guarded by mu
	byInstance     map[*instance][]*idleConn // guarded by mu; ordered by the time of put, oldest first
	checkScheduled bool                      // guarded by mu
	checkedAt      time.Time                 // guarded by mu; the time of the last check of all connections for expiry
}

// idleConn is an idle connection.
type idleConn struct {
	conn          *connection
	since         time.Time
	quietReported bool // StayedQuiet was called: no input arrived within the quiet period
}

// newIdlePool returns a pool, or nil if policy is nil. The pool calls count with the name of each counter to increment.
func newIdlePool(policy *reuse.Policy, count func(counter string)) *idlePool {
	if policy == nil {
		return nil
	}
	return &idlePool{count: count, start: time.Now(), policy: policy, byInstance: map[*instance][]*idleConn{}}
}

func (p *idlePool) now() time.Duration { return time.Since(p.start) }

// put adds a connection whose query or health check has ended, or closes the connection if it may not be reused.
// Surplus input after the response is detected in put, in each periodic check, and when the connection is taken again.
func (p *idlePool) put(owner *instance, conn *connection) {
	if p == nil {
		conn.close()
		return
	}
	reusable := conn.reusable()
	conn.queries++
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable && conn.hasSurplus() {
		p.distrust(owner)
	}
	state := reuse.Conn{Queries: conn.queries, Clean: reusable, Closing: conn.closing}
	if !owner.isReady() || !p.policy.Keep(owner.id, state) {
		conn.close()
		return
	}
	p.byInstance[owner] = append(p.byInstance[owner], &idleConn{conn: conn, since: time.Now()})
	p.scheduleCheck()
}

// take removes an idle connection from the pool and returns it for a query, or returns nil if there is none.
// needsConfirmation reports that a response on the connection counts only once it has been confirmed.
func (p *idlePool) take(owner *instance, nonIdempotent bool) (conn *connection, needsConfirmation bool) {
	if p == nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byInstance[owner]
	for i := len(list) - 1; i >= 0; i-- {
		switch p.decide(owner, list[i], nonIdempotent) {
		case reuse.Use:
			p.count("conn_reused")
			return p.remove(owner, i), false
		case reuse.UseAndConfirm:
			p.count("conn_proving")
			return p.remove(owner, i), true
		case reuse.Close:
			p.remove(owner, i).close()
		default: // the connection stays idle
		}
	}
	return nil, false
}

// decide reports surplus input, or its absence during the quiet period, to the policy, and returns the policy's
// decision on an idle connection; the caller holds mu.
func (p *idlePool) decide(owner *instance, idle *idleConn, nonIdempotent bool) reuse.Decision {
	idleTime := time.Since(idle.since)
	reusable := idle.conn.reusable()
	if !reusable && idle.conn.hasSurplus() {
		p.distrust(owner)
	} else if reusable && !idle.quietReported && idleTime >= p.policy.QuietPeriod() {
		idle.quietReported = true
		p.policy.StayedQuiet(owner.id)
	}
	state := reuse.Conn{
		Queries: idle.conn.queries, IdleTime: idleTime, EngineSilence: owner.sinceLastResponse(), Clean: reusable,
	}
	return p.policy.Decide(owner.id, state, nonIdempotent, p.now())
}

// remove removes the connection at the given index and returns it. Connections at lower indexes keep their index. The
// caller holds mu.
func (p *idlePool) remove(owner *instance, index int) *connection {
	list := p.byInstance[owner]
	conn := list[index].conn
	list = append(list[:index], list[index+1:]...)
	if p.byInstance[owner] = list; len(list) == 0 {
		delete(p.byInstance, owner)
	}
	p.policy.Released(owner.id)
	return conn
}

// reportMalformed tells the policy that an engine has sent a malformed response.
func (p *idlePool) reportMalformed(owner *instance) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distrust(owner)
}

// distrust tells the policy that an engine has sent a malformed response, or surplus bytes after a response; the caller
// holds mu.
func (p *idlePool) distrust(owner *instance) {
	p.policy.Malformed(owner.id, p.now())
	p.count("reuse_distrust")
}

// drop closes the idle connections to an instance that gets no more queries, and so releases their sockets.
func (p *idlePool) drop(owner *instance) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll(owner)
}

// forget closes the idle connections to an instance that has ended, and removes the engine's state from the policy: a
// connection to the old process must not carry a query for the new process.
func (p *idlePool) forget(owner *instance) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll(owner)
	p.policy.RemoveEngine(owner.id)
}

// closeAll closes all idle connections to an instance; the caller holds mu.
func (p *idlePool) closeAll(owner *instance) {
	for n := len(p.byInstance[owner]); n > 0; n-- {
		p.remove(owner, n-1).close()
	}
}

// evict closes the connection that has been idle for longest. evict returns false if the pool is empty.
func (p *idlePool) evict() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *instance
	for owner, list := range p.byInstance {
		if oldest == nil || list[0].since.Before(p.byInstance[oldest][0].since) {
			oldest = owner
		}
	}
	if oldest == nil {
		return false
	}
	p.remove(oldest, 0).close()
	return true
}

// scheduleCheck schedules closeExpired, unless it is already scheduled; the caller holds mu.
func (p *idlePool) scheduleCheck() {
	if !p.checkScheduled {
		p.checkScheduled = true
		time.AfterFunc(min(checkInterval, p.policy.MaxIdleTime()/expiryChecksPerIdleTime), p.closeExpired)
	}
}

// closeExpired closes the idle connections that have received input or lost their peer, if the policy says so. Every
// MaxIdleTime/expiryChecksPerIdleTime, closeExpired checks all idle connections. closeExpired runs on the goroutine of
// a timer, and schedules itself again while the pool is not empty.
func (p *idlePool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkScheduled = false
	checkAll := time.Since(p.checkedAt) >= p.policy.MaxIdleTime()/expiryChecksPerIdleTime
	if checkAll {
		p.checkedAt = time.Now()
	}
	for owner, list := range p.byInstance {
		for i := len(list) - 1; i >= 0; i-- {
			if (checkAll || !list[i].conn.reusable()) && p.decide(owner, list[i], false) == reuse.Close {
				p.remove(owner, i).close()
			}
		}
	}
	if len(p.byInstance) > 0 {
		p.scheduleCheck()
	}
}
